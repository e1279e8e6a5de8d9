// Chooses whom to stop for a task of a higher priority that finds no room.
//
//   for (const RunRef &Each : chooseVictims(Task, Candidates, Clock.now()))
//     stop(Each);
//
// Only runs of a lower priority make way, services never: their users are
// there until they are cancelled. The worker is taken on which least work is
// lost.
#ifndef CATKINSEAM_SCHEDULER_PREEMPTION_H
#define CATKINSEAM_SCHEDULER_PREEMPTION_H

#include "catkinseam/scheduler/tables.h"

#include <vector>

namespace catkinseam {

/// The runs to stop on one worker; none where room is coming free already or no
/// worker could hold the task.
std::vector<RunRef>
chooseVictims(const PlannedTask &Task,
              const std::vector<PlannedWorker *> &Candidates, TimePoint Now);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PREEMPTION_H
