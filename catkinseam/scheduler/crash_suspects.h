// Tasks that may crash the workers which start them.
//
//   for (const RunRef &Each : blamedRuns(Worker))
//     ++Each.m_task->m_lostWorkers;
//   if (isGivenUp(Task)) ... // fails the job
//
// When a worker is lost, any run that it had only just started may be the
// cause. The tasks of these runs become suspects. A suspect is started on
// trial: on a worker that starts nothing else meanwhile, so that the loss of
// this worker would point to the suspect alone. Surviving the trial clears the
// suspect. Where all workers start something all the time, one is reserved for
// the trial (trial_reservations.h).
//
// One trial after another takes long where a worker had started many tasks. So
// a suspect that has been lost once may share its trial: half of the waiting
// suspects start together, then half of the others. If their worker is lost,
// each of them is tried alone. Of the losses of a task, one at most is thus due
// to another suspect in its trial, and that one does not count as a crash.
//
// Workers also crash for other reasons, and again while a harmless suspect is
// on trial. Several losses in a row are needed, and more of them where other
// workers are lost that had started nothing of the job. A trial begins on a
// worker that was heard from a moment ago, and on another one than before.
//
// The loss of many workers at once has another cause, and so may the loss of a
// worker while the owner changed, or of one that was silent before the start
// was sent. Each task is spared once for such a loss, until it is cleared.
#ifndef CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H
#define CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H

#include "catkinseam/scheduler/tables.h"

#include <vector>

namespace catkinseam {

/// How long a run must be active for its task to count as harmless.
constexpr Milliseconds TrialTime{500};
/// A worker that has been silent for longer may have been lost already.
constexpr Milliseconds MaxSilenceBeforeTrial{100};

/// Whether the worker is known to have been alive after the run had been active
/// for TrialTime, or since before the owner changed.
bool hasSurvivedTrial(const RunInfo &Run);

/// Whether the next run of the task has to start on trial.
bool isSuspect(const TaskInfo &Task);

/// Whether the worker is known to have begun the run.
bool hasArrived(const RunInfo &Run);

/// Whether the worker may have been lost before the start reached it.
bool mayPrecedeStart(const RunInfo &Run);

/// Whether enough workers were lost right after they had started the task for
/// it to be the cause. `HaveOthersBeenLost`: workers that had started nothing
/// of its job may have been lost lately, too.
bool isLossLimitReached(const TaskInfo &Task, bool HaveOthersBeenLost);

/// Whether a suspect may start on this worker: it was heard from a moment ago,
/// and no other run there is so young that it could be the cause of a loss.
/// Members of one gang share a trial, as they are given up together. A trial
/// may be joined.
bool allowsTrial(const TaskInfo &Task, const WorkerInfo &Worker, TimePoint Now);

/// Whether the suspect's trial may be shared with other suspects.
bool mayShareTrial(const TaskInfo &Task);

/// Whether a trial begins on the worker in this round of placement that other
/// suspects may share.
bool hasJoinableTrial(const WorkerInfo &Worker);

/// Whether the suspect may start together with those whose trial begins on the
/// worker.
bool mayJoinTrial(const TaskInfo &Task, const WorkerInfo &Worker);

/// When a trial may begin on this worker if nothing else starts there and it is
/// heard of; TimePoint::min() if one may begin now.
TimePoint trialTime(const WorkerInfo &Worker, TimePoint Now);

/// Whether the task may not start on this worker because of a run on trial, or
/// because the worker is reserved for the trial of another task.
bool isBarredByTrial(const TaskInfo &Task, const WorkerInfo &Worker);

/// The runs that may have caused the loss of their worker.
std::vector<RunRef> blamedRuns(const WorkerInfo &Worker);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_CRASH_SUSPECTS_H
