// Chooses a worker for a task.
//
//   Placement Chosen =
//       chooseWorker(Task, Candidates, Learned, Kept, Clock.now());
#ifndef CATKINSEAM_SCHEDULER_PLACEMENT_H
#define CATKINSEAM_SCHEDULER_PLACEMENT_H

#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/tables.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

class Reservations;

/// Minimum share of its processor request that a filler must get.
constexpr double MinFillerShare = 0.5;

/// Whether the worker is one of the task's m_avoidedWorkers.
bool isAvoided(const TaskInfo &Task, const WorkerInfo &Worker);

/// Whether new runs may be started on the worker.
bool isAvailable(const WorkerInfo &Worker, TimePoint Now);

/// Whether the worker has the label that the step requires, if any.
bool hasRequiredLabel(const StepSpec &Spec, const WorkerInfo &Worker);

/// Whether the worker satisfies the placement constraints of the task's step.
bool satisfiesConstraints(const TaskInfo &Task, const WorkerInfo &Worker);

/// Whether the worker satisfies the constraints and has enough free resources.
bool isFeasible(const TaskInfo &Task, const WorkerInfo &Worker);

/// Thousandths of a processor that the worker can still give to fillers, based
/// on the expected use of its other tasks.
/// Worker.m_expectedServiceMilliProcessors must be current.
double spareMilliProcessors(const WorkerInfo &Worker);

/// Whether a filler at its full CPU rate receives almost no processor time.
bool isStarved(const StepSpec &Spec, const RunInfo &Run, TimePoint Now);

/// What a start of the task on the worker would lead to; nullopt if the worker
/// is not available, or the task may not or should not start there. Ignores
/// room kept for waiting tasks (reservations.h) and whether the worker allows a
/// trial.
std::optional<InterferenceModel::FillerEstimate>
estimateStart(const TaskInfo &Task, WorkerInfo &Worker,
              const InterferenceModel &Learned, TimePoint Now);

/// The worker chosen for a task and, for a filler, its CPU rate in percent.
struct Placement {
  WorkerInfo *m_worker = nullptr;
  int m_cpuRatePercent = 100;
};

/// Returns the cheapest available, feasible worker on which the task delays no
/// task with a reservation; m_worker is null if there is none.
Placement chooseWorker(const TaskInfo &Task,
                       const std::vector<WorkerInfo *> &Candidates,
                       const InterferenceModel &Learned,
                       const Reservations &Kept, TimePoint Now);

/// Why no worker was chosen for a task: the number of available workers, and of
/// those that each check excludes first, in this order.
struct PlacementObstacles {
  std::size_t m_available = 0;
  /// Another task is on trial.
  std::size_t m_onTrial = 0;
  /// No room, or a constraint is not satisfied.
  std::size_t m_infeasible = 0;
  /// The start would delay a task with a reservation.
  std::size_t m_reserved = 0;
  /// A run is too young for a trial beside it, or its worker has not been heard
  /// of since; see allowsTrial().
  std::size_t m_unsettled = 0;
};

PlacementObstacles findObstacles(const TaskInfo &Task,
                                 const std::vector<WorkerInfo *> &Candidates,
                                 const Reservations &Kept, TimePoint Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PLACEMENT_H
