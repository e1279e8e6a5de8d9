// Looks up jobs for customers, on any node.
//
//   JobLookup Jobs(Service, {HasCaughtUp, Cover});
//   Jobs.find(Id, [](const JobLookup::Reply &Found) { ... });
#ifndef CATKINSEAM_FRONT_JOB_LOOKUP_H
#define CATKINSEAM_FRONT_JOB_LOOKUP_H

#include "catkinseam/front/job_service.h"

#include <functional>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class JobLookup {
public:
  enum class Outcome {
    Found,
    NoSuchJob,  ///< No job was accepted under this id before the call.
    NotCurrent, ///< This node cannot tell, as it is behind the log.
  };

  struct Reply {
    Outcome m_outcome = Outcome::NotCurrent;
    /// Valid if the job was found.
    JobState m_state = JobState::Queued;
  };

  /// How the ledger is brought up to date.
  struct Updates {
    /// Returns whether the ledger has been up to date with the log at any time.
    std::function<bool()> m_hasCaughtUp;
    /// Calls back with whether the ledger includes all records that were
    /// appended before this call.
    std::function<void(std::function<void(bool)>)> m_cover;
  };

  JobLookup(const JobService &Jobs, Updates Source);

  /// A job is denied, or shown in a state that may change, only by a ledger
  /// that covers the time of the call. No state is shown before the ledger was
  /// up to date for the first time.
  void find(const std::string &Id, std::function<void(const Reply &)> Done);

private:
  const JobService &m_jobs;
  const Updates m_updates;
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_JOB_LOOKUP_H
