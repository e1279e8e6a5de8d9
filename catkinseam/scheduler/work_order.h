// The order in which waiting steps are placed.
//
//   std::sort(Steps.begin(), Steps.end(), [&](StepInfo *One, StepInfo *Other) {
//     return rankOf(*One, Now) < rankOf(*Other, Now);
//   });
//
// Finite work comes by its next deadline: the job's objective, and after that
// the time by which a late result is still of use. It comes before services of
// the same priority, which never free their resources. Jobs that have missed
// both deadlines come last, because under overload they would delay all others.
#ifndef CATKINSEAM_SCHEDULER_WORK_ORDER_H
#define CATKINSEAM_SCHEDULER_WORK_ORDER_H

#include "catkinseam/scheduler/tables.h"

#include <compare>
#include <cstdint>

namespace catkinseam {

/// A step with a lower rank is placed first.
struct WorkRank {
  bool m_isExpired = false;
  std::int64_t m_priority = 0;
  bool m_isService = false;
  /// Milliseconds since 1970.
  std::int64_t m_deadlineMs = 0;

  auto operator<=>(const WorkRank &) const = default;
};

WorkRank rankOf(const StepInfo &Step, WallTime Now);

/// Whether the objective of the step's occurrence has passed. Services have
/// none.
bool hasMissedObjective(const StepInfo &Step, WallTime Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_WORK_ORDER_H
