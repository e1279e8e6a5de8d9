// Chooses a worker for a task.
//
//   Placement Chosen = chooseWorker(Task, Candidates, Learned, Clock.now());
#ifndef CATKINSEAM_SCHEDULER_PLACEMENT_H
#define CATKINSEAM_SCHEDULER_PLACEMENT_H

#include "catkinseam/scheduler/interference.h"
#include "catkinseam/scheduler/tables.h"

#include <string>
#include <vector>

namespace catkinseam {

/// Whether new runs may be started on the worker.
bool isAvailable(const PlannedWorker &Worker, TimePoint Now);

/// Whether the worker satisfies the placement constraints of the task's step.
bool satisfiesConstraints(const PlannedTask &Task, const PlannedWorker &Worker);

/// Whether the worker satisfies the constraints and has enough free resources.
bool isFeasible(const PlannedTask &Task, const PlannedWorker &Worker);

/// Thousandths of a processor that the worker can still give to fillers, based
/// on the expected use of its other tasks. Worker.m_serviceUse must be current.
double spareMilliProcessors(const PlannedWorker &Worker);

/// Whether a filler at full pace receives almost no processor time.
bool isStarved(const StepSpec &Spec, const PlannedRun &Run, TimePoint Now);

/// The worker chosen for a task and, for a filler, its pace in percent.
struct Placement {
  PlannedWorker *m_worker = nullptr;
  int m_pace = 100;
};

/// Returns the cheapest available, feasible worker; m_worker is null if there
/// is none.
Placement chooseWorker(const PlannedTask &Task,
                       const std::vector<PlannedWorker *> &Candidates,
                       const Interference &Learned, TimePoint Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PLACEMENT_H
