// Selects runs to preempt for a higher-priority task that cannot be placed.
//
//   for (const RunRef &Each : chooseVictims(Task, Candidates, Clock.now()))
//     stop(Each);
//
// Only runs of a lower priority are preempted. Services never are: they have
// users until they are cancelled. The worker with the least lost work is
// chosen.
#ifndef CATKINSEAM_SCHEDULER_PREEMPTION_H
#define CATKINSEAM_SCHEDULER_PREEMPTION_H

#include "catkinseam/scheduler/tables.h"

#include <vector>

namespace catkinseam {

/// Returns the runs to stop on one worker; empty if enough resources are
/// already being freed on some worker or if no worker could run the task.
std::vector<RunRef> chooseVictims(const TaskInfo &Task,
                                  const std::vector<WorkerInfo *> &Candidates,
                                  TimePoint Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PREEMPTION_H
