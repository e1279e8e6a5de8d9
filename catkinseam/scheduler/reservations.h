// Room kept for waiting tasks that nothing fits at present.
//
// Small tasks fill each gap as soon as it opens, so that a gap of the size that
// a large task needs never appears. A task that could not be placed reserves
// the worker on which it will fit first, by the expected ends of the runs
// there. Tasks of a lower rank start on that worker only if they do not delay
// it (backfill).
//
//   Reservations Kept({.m_max = 16});
//   Kept.beginRound();
//   if (!Chosen.m_worker)
//     Kept.reserve(Task, Candidates, Now);
//   if (Kept.delays(Other, Worker, Now)) ... // not there
#ifndef CATKINSEAM_SCHEDULER_RESERVATIONS_H
#define CATKINSEAM_SCHEDULER_RESERVATIONS_H

#include "catkinseam/scheduler/tables.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace catkinseam {

/// When the run is expected to end: by the progress that it has reported, or by
/// the declared estimate. TimePoint::max() for services.
TimePoint expectedEnd(const StepSpec &Spec, const RunInfo &Run, TimePoint Now);

/// What a task takes from a worker while it runs. The processors of fillers are
/// those left by all others, of which they need a part to start.
struct Claim {
  Resources m_reserved;
  double m_fillerMilliProcessors = 0.0;
};

Claim claimOf(const StepSpec &Spec);

/// Not thread-safe. Valid within one round of placement: refers to workers.
class Reservations {
public:
  struct Options {
    /// Maximum number of reservations; zero for none.
    std::size_t m_max = 0;
    /// Only room that is expected within this time is reserved.
    Milliseconds m_horizon{1500};
  };

  explicit Reservations(const Options &Values) : m_options(Values) {}

  /// Removes all reservations. Waiting tasks make theirs anew, in the order of
  /// their ranks.
  void beginRound() { m_byWorker.clear(); }

  /// Reserves the worker on which the task is expected to fit first.
  void reserve(const TaskInfo &Task,
               const std::vector<WorkerInfo *> &Candidates, TimePoint Now);

  /// Whether a start of the task on the worker would delay a task for which
  /// room is reserved there.
  bool delays(const TaskInfo &Task, const WorkerInfo &Worker,
              TimePoint Now) const;

  std::size_t count() const { return m_byWorker.size(); }

private:
  struct Reservation {
    const StepInfo *m_step = nullptr;
    /// When the task is expected to fit, and what is expected to be left then.
    TimePoint m_at;
    Claim m_left;
  };

  const Options m_options;
  std::unordered_map<const WorkerInfo *, Reservation> m_byWorker;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_RESERVATIONS_H
