// The order in which waiting steps are placed.
//
//   for (const auto &[Rank, Step] : inWorkOrder(Waiting, Now, WallNow))
//     place(*Step);
//
// Finite work comes by its job's objective while all objectives can be met.
// Once a waiting job that is still of use has missed its own, jobs of that
// priority come by the work that they still need, relative to the value of the
// result (weighted shortest remaining work first): by objective alone, jobs
// that have begun wait behind later ones under overload, and all become late.
//
// Work that has not begun and cannot meet its objective is deferred until it
// must start for its result to be of use at all: under overload it would make
// others late and not be in time itself. Work that has begun is not deferred,
// since what it has used would be of no use. Jobs whose results are of no use
// any more come last. Finite work comes before services of the same priority,
// which never free their resources, but no service waits for longer than a few
// seconds because of it.
#ifndef CATKINSEAM_SCHEDULER_WORK_ORDER_H
#define CATKINSEAM_SCHEDULER_WORK_ORDER_H

#include "catkinseam/scheduler/tables.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace catkinseam {

/// A step with a lower rank is placed first.
struct WorkRank {
  bool m_isExpired = false;
  std::int64_t m_priority = 0;
  bool m_isService = false;
  /// The objective cannot be met, and the work need not start yet.
  bool m_isDeferred = false;
  /// Under overload: work of the tasks that have not started, per unit of the
  /// job's value. Zero for services.
  double m_remainingWorkPerValue = 0.0;
  /// Milliseconds since 1970.
  std::int64_t m_deadlineMs = 0;

  std::partial_ordering operator<=>(const WorkRank &) const = default;
};

/// The steps in the order in which they are placed. Steps of equal rank keep
/// their order.
std::vector<std::pair<WorkRank, StepInfo *>>
inWorkOrder(const std::vector<StepInfo *> &Waiting, TimePoint Now,
            WallTime WallNow);

/// Whether the objective of the step's occurrence has passed. Services have
/// none.
bool hasMissedObjective(const StepInfo &Step, WallTime Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_WORK_ORDER_H
