// Chooses places for queued tasks.
//
//   PlannerView View{.m_seat = 2, .m_readySeats = {1, 2, 3}, ...};
//   std::vector<ClaimRecord> Claims = planClaims(Shared, View);
//
// Each entry plans for the workers that hashing gives it, so that claims
// rarely collide; the fold refuses the ones that do.
#ifndef CATKINSEAM_BATCH_PLANNER_H
#define CATKINSEAM_BATCH_PLANNER_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/state/fold.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// What an entry plans from, besides the shared state.
struct PlannerView {
  Seat m_seat = 1;
  std::vector<Seat> m_readySeats;
  /// Workers that are live, not leaving and reachable, with their boots.
  std::map<std::string, std::string> m_usable;
  /// Tasks whose claim this entry has appended and not yet read back.
  std::set<TaskId> m_pending;
  std::size_t m_maxClaims = 500;
  /// Wall time in milliseconds, as records carry it.
  std::int64_t m_wallMs = 0;
};

/// What a task of this job is given: its declared size until usage has been
/// observed, then what was observed, with a margin, but no more than `Most`,
/// what the largest worker leaves to batch.
Resources reservationFor(const JobRow &Job, const Resources &Most);

/// Returns claims, best first, that the fold would accept now one by one.
std::vector<ClaimRecord> planClaims(const State &Shared,
                                    const PlannerView &View);

/// Tasks to evict from `Worker` so that it keeps to its report, least work
/// lost first; empty when none is due.
std::vector<TaskId> planEvictions(const State &Shared,
                                  const std::string &Worker);

} // namespace catkinseam

#endif // CATKINSEAM_BATCH_PLANNER_H
