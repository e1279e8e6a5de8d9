// Assigns queued tasks to workers and selects tasks to evict.
//
//   PlannerView View{.m_seat = 2, .m_readySeats = {1, 2, 3}, ...};
//   std::vector<ClaimRecord> Claims = planClaims(Shared, View);
//
// Each entry plans only for the workers that are assigned to it by hashing, so
// that claims of different entries rarely conflict. Conflicting claims are
// rejected when they are applied to the shared state.
#ifndef CATKINSEAM_BATCH_PLANNER_H
#define CATKINSEAM_BATCH_PLANNER_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/state/replicated_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// Inputs of an entry's planning in addition to the shared state.
struct PlannerView {
  Seat m_seat = 1;
  std::vector<Seat> m_readySeats;
  /// Boot identifiers of the workers that are listed, reachable and not
  /// leaving, by worker name.
  std::map<std::string, std::string> m_usableWorkers;
  /// Tasks for which this entry has submitted a record whose outcome is not yet
  /// known.
  std::set<TaskId> m_pending;
  /// Maximum number of claims to plan at once.
  std::size_t m_maxClaims = 500;
  /// Current wall-clock time in milliseconds, as in log records.
  std::int64_t m_wallMs = 0;
};

/// Returns the resources to reserve for a task of `Job`: its declared size
/// until usage has been observed, then the observed peak plus a margin. The
/// observed value is capped, per resource, at the larger of
/// `LargestBatchCapacity`, the largest batch capacity of any worker, and the
/// declared size. Accelerators are always reserved as declared.
Resources reservationFor(const JobRow &Job,
                         const Resources &LargestBatchCapacity);

/// Returns claims, in order of preference, that the shared state would accept
/// if applied in this order now.
std::vector<ClaimRecord> planClaims(const ReplicatedState &Shared,
                                    const PlannerView &View);

/// Returns the tasks to evict from `Worker` so that its reservations fit its
/// batch capacity, those that lose the least work first; empty if no eviction
/// is needed.
std::vector<TaskId> planEvictions(const ReplicatedState &Shared,
                                  const std::string &Worker);

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_PLANNER_H
