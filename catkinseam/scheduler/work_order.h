// The order in which waiting steps are placed.
//
//   std::sort(Steps.begin(), Steps.end(), [&](StepInfo *One, StepInfo *Other) {
//     return rankOf(*One, Now) < rankOf(*Other, Now);
//   });
//
// Finite work comes by its job's objective. Work that has not begun and cannot
// meet it is deferred until it must start for its result to be of use at all:
// under overload it would make others late and not be in time itself. Work that
// has begun is not deferred, since what it has used would be of no use. Jobs
// whose results are of no use any more come last. Finite work comes before
// services of the same priority, which never free their resources, but no
// service waits for longer than a few seconds because of it.
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
  /// The objective cannot be met, and the work need not start yet.
  bool m_isDeferred = false;
  /// Milliseconds since 1970.
  std::int64_t m_deadlineMs = 0;

  auto operator<=>(const WorkRank &) const = default;
};

WorkRank rankOf(const StepInfo &Step, TimePoint Now, WallTime WallNow);

/// Whether the objective of the step's occurrence has passed. Services have
/// none.
bool hasMissedObjective(const StepInfo &Step, WallTime Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_WORK_ORDER_H
