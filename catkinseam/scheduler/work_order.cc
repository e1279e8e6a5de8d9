// Ranks waiting steps by priority and next deadline.
#include "catkinseam/scheduler/work_order.h"

namespace catkinseam {

namespace {

/// A late result is of use until this multiple of the time that the objective
/// allows.
constexpr std::int64_t LateFactor = 3;

std::int64_t millisecondsOf(WallTime Time) {
  return Time.time_since_epoch().count();
}

/// Delay of the occurrence's due time after the job was accepted.
std::int64_t dueDelayMs(const StepInfo &Step) {
  return Step.m_occurrence->m_dueMs -
         Step.m_occurrence->m_job->m_submission.m_acceptedMs;
}

std::int64_t objectiveMs(const StepInfo &Step) {
  return Step.m_occurrence->m_job->m_objectiveMs + dueDelayMs(Step);
}

} // namespace

bool hasMissedObjective(const StepInfo &Step, WallTime Now) {
  return !Step.m_spec->m_isService && objectiveMs(Step) < millisecondsOf(Now);
}

WorkRank rankOf(const StepInfo &Step, WallTime Now) {
  WorkRank Rank;
  Rank.m_priority = Step.m_occurrence->m_job->policy().m_priority;
  Rank.m_isService = Step.m_spec->m_isService;
  Rank.m_deadlineMs = objectiveMs(Step);
  if (!hasMissedObjective(Step, Now))
    return Rank;
  const std::int64_t DueMs = Step.m_occurrence->m_dueMs;
  const std::int64_t UsefulUntilMs =
      DueMs + LateFactor * (objectiveMs(Step) - DueMs);
  if (UsefulUntilMs < millisecondsOf(Now))
    Rank.m_isExpired = true;
  else
    Rank.m_deadlineMs = UsefulUntilMs;
  return Rank;
}

} // namespace catkinseam
