// Reads the log on before a job is denied or shown as unfinished.
#include "catkinseam/front/job_lookup.h"

#include <utility>

namespace catkinseam {

namespace {

/// Whether a state is final even if some records have not been read. A job that
/// has been cancelled may have completed before.
bool isCertain(JobState State) {
  return isFinal(State) && State != JobState::Cancelled;
}

} // namespace

JobLookup::JobLookup(const JobService &Jobs, Updates Source)
    : m_jobs(Jobs), m_updates(std::move(Source)) {}

void JobLookup::find(const std::string &Id,
                     std::function<void(const Reply &)> Done) {
  // While the newest records are loaded for the first time, even a final state
  // may be wrong: a cancelled job may have completed before.
  if (!m_updates.m_hasCaughtUp())
    return Done({Outcome::NotCurrent, JobState::Queued});
  const std::optional<JobState> Known = m_jobs.stateOf(Id);
  if (Known && isCertain(*Known))
    return Done({Outcome::Found, *Known});
  // Another node may have shown the end of the job, so an unfinished state is
  // shown only by a ledger that covers the time of the question.
  m_updates.m_cover([this, Id, Done = std::move(Done)](bool IsCovered) {
    const std::optional<JobState> State = m_jobs.stateOf(Id);
    if (State && (IsCovered || isCertain(*State)))
      return Done({Outcome::Found, *State});
    Done({IsCovered ? Outcome::NoSuchJob : Outcome::NotCurrent,
          JobState::Queued});
  });
}

} // namespace catkinseam
