// Ranks waiting steps by priority, remaining work and deadline.
#include "catkinseam/scheduler/work_order.h"

#include <algorithm>
#include <set>

namespace catkinseam {

namespace {

/// A late result is of use until this multiple of the time that the objective
/// allows.
constexpr std::int64_t LateFactor = 3;
/// Deferred work competes again this long before its last useful start.
constexpr Milliseconds LastStartMargin{1000};
/// A service may be away for a few seconds; after this time of waiting it comes
/// before finite work of its priority.
constexpr Milliseconds MaxServiceWait{2000};

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

bool hasWaitedLong(const StepInfo &Step, TimePoint Now) {
  return std::any_of(Step.m_waitingTasks.begin(), Step.m_waitingTasks.end(),
                     [Now](const TaskInfo *Each) {
                       return Now - Each->m_earliestStart >= MaxServiceWait;
                     });
}

/// Whether the occurrence has used any resources: its first steps have ended,
/// or one of the step's tasks is not waiting.
bool hasBegun(const StepInfo &Step) {
  return Step.m_occurrence->m_doneStepCount > 0 ||
         Step.m_waitingTasks.size() < Step.m_tasks.size();
}

/// Counts the tasks that have not started: the others hold their resources
/// already.
double remainingWorkPerValue(const OccurrenceInfo &Occurrence) {
  ProcessorSeconds Remaining = 0.0;
  for (const StepInfo &Each : Occurrence.m_steps) {
    const std::size_t Tasks =
        Each.m_isStarted ? Each.m_waitingTasks.size() : Each.m_spec->m_count;
    Remaining += static_cast<double>(Tasks) * taskWork(*Each.m_spec);
  }
  return Remaining / Occurrence.m_job->m_value.current();
}

/// Expected time from the first start to the end of an occurrence. Where steps
/// wait for room at all, they run on throttled processors and wait again before
/// the next step.
Milliseconds expectedTimeUnderLoad(const StepInfo &Step) {
  return Step.m_occurrence->m_job->m_criticalPath * 5 / 4;
}

WorkRank rankOf(const StepInfo &Step, TimePoint Now, WallTime WallNow) {
  WorkRank Rank;
  Rank.m_priority = Step.m_occurrence->m_job->policy().m_priority;
  Rank.m_deadlineMs = objectiveMs(Step);
  if (Step.m_spec->m_isService) {
    Rank.m_isService = !hasWaitedLong(Step, Now);
    return Rank;
  }
  const std::int64_t NowMs = millisecondsOf(WallNow);
  const bool HasBegun = hasBegun(Step);
  const std::int64_t EarliestEndMs =
      HasBegun ? NowMs : NowMs + expectedTimeUnderLoad(Step).count();
  if (EarliestEndMs <= Rank.m_deadlineMs)
    return Rank;
  const std::int64_t DueMs = Step.m_occurrence->m_dueMs;
  Rank.m_deadlineMs = DueMs + LateFactor * (objectiveMs(Step) - DueMs);
  Rank.m_isExpired = Rank.m_deadlineMs < NowMs;
  Rank.m_isDeferred =
      !HasBegun && EarliestEndMs + LastStartMargin.count() < Rank.m_deadlineMs;
  return Rank;
}

} // namespace

bool hasMissedObjective(const StepInfo &Step, WallTime Now) {
  return !Step.m_spec->m_isService && objectiveMs(Step) < millisecondsOf(Now);
}

std::vector<std::pair<WorkRank, StepInfo *>>
inWorkOrder(const std::vector<StepInfo *> &Waiting, TimePoint Now,
            WallTime WallNow) {
  std::vector<std::pair<WorkRank, StepInfo *>> Order;
  Order.reserve(Waiting.size());
  std::set<std::int64_t> OverloadedPriorities;
  for (StepInfo *Each : Waiting) {
    const WorkRank Rank = rankOf(*Each, Now, WallNow);
    // A job that can never run would otherwise count for as long as it waits.
    if (hasMissedObjective(*Each, WallNow) && !Rank.m_isExpired)
      OverloadedPriorities.insert(Rank.m_priority);
    Order.emplace_back(Rank, Each);
  }
  for (auto &[Rank, Step] : Order)
    if (!Step->m_spec->m_isService &&
        OverloadedPriorities.contains(Rank.m_priority))
      Rank.m_remainingWorkPerValue = remainingWorkPerValue(*Step->m_occurrence);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto &One, const auto &Other) {
                     return One.first < Other.first;
                   });
  return Order;
}

} // namespace catkinseam
