// Chooses the worker of a task.
//
//   Place Chosen = chooseWorker(Task, Candidates, Learned, Clock.now());
#ifndef CATKINSEAM_SCHEDULER_PLACEMENT_H
#define CATKINSEAM_SCHEDULER_PLACEMENT_H

#include "catkinseam/scheduler/interference.h"
#include "catkinseam/scheduler/tables.h"

#include <string>
#include <vector>

namespace catkinseam {

/// Whether a worker may be sent starts at all.
bool isAvailable(const PlannedWorker &Worker, TimePoint Now);

/// Whether this task may run there by the rules of its step.
bool satisfiesConstraints(const PlannedTask &Task, const PlannedWorker &Worker);

/// Whether this task may run there, by rules and by room.
bool isFeasible(const PlannedTask &Task, const PlannedWorker &Worker);

/// The processors that a worker's fillers can still be given, in thousandths,
/// by what its other tasks are expected to use; needs Worker.m_serviceUse.
double spareMilliProcessors(const PlannedWorker &Worker);

/// Whether a filler at full pace gets next to nothing where it is.
bool isStarved(const StepSpec &Spec, const PlannedRun &Run, TimePoint Now);

/// Where a task is to run and, for a filler, at what pace, in percent.
struct Placement {
  PlannedWorker *m_worker = nullptr;
  int m_pace = 100;
};

/// The best worker that is open and allowed; none when m_worker is null.
Placement chooseWorker(const PlannedTask &Task,
                       const std::vector<PlannedWorker *> &Candidates,
                       const Interference &Learned, TimePoint Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PLACEMENT_H
