// Reads the log on before a job is denied.
#include "catkinseam/front/job_lookup.h"

#include <utility>

namespace catkinseam {

JobLookup::JobLookup(const JobService &Jobs, Updates Source)
    : m_jobs(Jobs), m_updates(std::move(Source)) {}

bool JobLookup::answerIfKnown(
    const std::string &Id,
    const std::function<void(const Reply &)> &Done) const {
  const std::optional<JobState> State = m_jobs.stateOf(Id);
  if (State)
    Done({Outcome::Found, *State});
  return State.has_value();
}

void JobLookup::find(const std::string &Id,
                     std::function<void(const Reply &)> Done) {
  // While the newest records are loaded for the first time, even a final state
  // may be wrong: a cancelled job may have completed before.
  if (!m_updates.m_hasCaughtUp())
    return Done({Outcome::NotCurrent, JobState::Queued});
  const std::optional<JobState> Known = m_jobs.stateOf(Id);
  if (Known && isFinal(*Known))
    return Done({Outcome::Found, *Known});
  m_updates.m_refresh([this, Id, Done = std::move(Done)] {
    if (answerIfKnown(Id, Done))
      return;
    m_updates.m_cover([this, Id, Done](bool IsCovered) {
      if (!answerIfKnown(Id, Done))
        Done({IsCovered ? Outcome::NoSuchJob : Outcome::NotCurrent,
              JobState::Queued});
    });
  });
}

} // namespace catkinseam
