// What has counted towards the failure of a task, for the log.
//
//   noteCountedRun(Task, {.m_run = 2, .m_worker = "w1", .m_cause = "failed"});
//   logWarn("job.failed", {{"counted", countedRuns(Task)}});
#ifndef CATKINSEAM_SCHEDULER_FAILURE_CAUSES_H
#define CATKINSEAM_SCHEDULER_FAILURE_CAUSES_H

#include "catkinseam/scheduler/tables.h"

#include <string>

namespace catkinseam {

/// Adds a run to the task's list, which keeps the newest ones.
void noteCountedRun(TaskInfo &Task, CountedRun Run);

/// Returns the task's list as "RUN@WORKER/BORN#SEQUENCE:CAUSE", separated by
/// spaces; without a sequence number for a lost worker.
std::string countedRuns(const TaskInfo &Task);

/// Returns the counts that a job's tasks had at the takeover, where they are
/// not zero, as "OCCURRENCE.STEP.INDEX:FAILURES/LOST/CRASHED", separated by
/// spaces. Names the first few tasks only.
std::string restoredCounts(const JobInfo &Job);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_FAILURE_CAUSES_H
