// Records in which accepted jobs last: one key for what was asked, one for how
// far it has come, one for its cancelling.
//
//   std::string Value = encodeProgress(Progress);
//   Outcome<JobProgress> Read = attempt([&] { return decodeProgress(Value); });
#ifndef CATKINSEAM_LEDGER_RECORDS_H
#define CATKINSEAM_LEDGER_RECORDS_H

#include "catkinseam/base/error.h"
#include "catkinseam/scheduler/model.h"

#include <string>
#include <vector>

namespace catkinseam {

/// A run that may be on a worker; written before its start is sent.
struct RunRecord {
  RunNumber m_run = 0;
  std::string m_worker;
  std::int64_t m_workerBornMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_run, m_worker, m_workerBornMs);
  }
};

struct TaskRecord {
  bool m_isDone = false;
  std::uint32_t m_failures = 0;
  RunNumber m_lastRun = 0;
  std::string m_checkpoint;
  std::vector<RunRecord> m_runs;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_isDone, m_failures, m_lastRun, m_checkpoint, m_runs);
  }
};

/// A step without tasks has not begun.
struct StepRecord {
  std::vector<TaskRecord> m_tasks;

  template <class Archive> void serialize(Archive &Target) { Target(m_tasks); }
};

struct OccurrenceRecord {
  std::uint32_t m_number = 0;
  std::vector<StepRecord> m_steps;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_number, m_steps);
  }
};

/// How far a job has come.
struct JobProgress {
  JobState m_state = JobState::Queued;
  /// Occurrences before this number have ended.
  std::uint32_t m_firstOpen = 0;
  std::vector<OccurrenceRecord> m_occurrences;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_firstOpen, m_occurrences);
  }
};

/// Says which entry schedules.
struct OwnerRecord {
  std::uint64_t m_epoch = 0;
  std::string m_entry;
  /// Differs for each life of the entry's process.
  std::string m_boot;
  /// The owner gives up its part; another is to follow at once.
  bool m_isLeaving = false;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_epoch, m_entry, m_boot, m_isLeaving);
  }
};

/// The state stands first, so that it can be read without the rest.
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Value);
Result<JobState> decodeState(const std::string &Value);

/// What a key of the jobs' topic holds.
enum class RecordKind {
  Submission,
  Progress,
  Cancel,
  Owner,
  Knowledge,
  Foreign
};

std::string submissionKey(const std::string &Job);
std::string progressKey(const std::string &Job);
std::string cancelKey(const std::string &Job);
extern const char *const OwnerKey;
/// What owners have learned; kept for the next one.
extern const char *const KnowledgeKey;

/// Sets `Job` for kinds that belong to one.
RecordKind kindOfKey(const std::string &Key, std::string &Job);

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_RECORDS_H
