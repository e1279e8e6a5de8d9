// The states of jobs as the log shows them, and checks of these against the
// history of runs.
//
//   ReportedJobs Reported;
//   Log.m_onStored = [&](LogTopic Topic, const KeyedRecord &Record) {
//     Reported.record(Topic, Record);
//   };
//   checkFailedJobs(Reported.m_jobs, History).empty()
#ifndef CATKINSEAM_OWNERSHIP_TESTING_REPORTED_JOBS_H
#define CATKINSEAM_OWNERSHIP_TESTING_REPORTED_JOBS_H

#include "catkinseam/ledger/keyed_log.h"
#include "catkinseam/ownership/testing/run_history.h"

#include <map>
#include <string>
#include <vector>

namespace catkinseam {

struct ReportedJob {
  Submission m_submission;
  /// Newest state in the topic of the jobs and in that of their progress.
  JobState m_state = JobState::Queued;
  JobState m_progressState = JobState::Queued;
  bool m_isCancelled = false;
  /// Its tasks crash their workers.
  bool m_isDeadly = false;

  bool isFailed() const {
    return m_state == JobState::Failed || m_progressState == JobState::Failed;
  }
};

/// What the log has shown of each job. Jobs remain after the log has forgotten
/// them.
class ReportedJobs {
public:
  /// Applies a record that the log has stored.
  void record(LogTopic Topic, const KeyedRecord &Record);

  const ReportedJob *find(const std::string &Id) const;
  /// The jobs as input of checkHistory(), without their cancellations: a node
  /// that is cut off from the log learns of these late.
  std::vector<SubmittedJob> submitted() const;

  std::map<std::string, ReportedJob> m_jobs;
};

/// Returns a line for each job that is shown as failed though none of its
/// finite tasks has failed as often as its queue permits.
std::vector<std::string>
checkFailedJobs(const std::map<std::string, ReportedJob> &Jobs,
                const RunHistory &History);

/// Returns a line for each finite job that has neither ended nor been
/// cancelled. Periodic jobs are not checked.
std::vector<std::string>
checkUnfinishedJobs(const std::map<std::string, ReportedJob> &Jobs);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_REPORTED_JOBS_H
