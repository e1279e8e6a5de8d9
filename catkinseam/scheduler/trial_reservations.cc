// Chooses the workers on which nothing but a suspect starts.
#include "catkinseam/scheduler/trial_reservations.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/scheduler/placement.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>
#include <set>

namespace catkinseam {

namespace {

std::size_t countSuspects(const StepInfo &Step) {
  return static_cast<std::size_t>(
      std::count_if(Step.m_tasks.begin(), Step.m_tasks.end(), isSuspect));
}

/// How many tasks of the step fit on the worker beside its runs, up to `Max`.
std::size_t countFitting(const StepSpec &Spec, const WorkerInfo &Worker,
                         std::size_t Max) {
  if (Spec.m_maxPerWorker > 0)
    Max = std::min<std::size_t>(Max, Spec.m_maxPerWorker);
  Resources Reserved = Worker.m_reserved;
  std::size_t Count = 0;
  while (Count < Max) {
    Reserved += Spec.reservation();
    if (!Reserved.fitsIn(Worker.m_registration.m_capacity))
      break;
    ++Count;
  }
  return Count;
}

/// Whether all members of a gang that waits fit on the workers together.
bool hasRoomForAll(const TaskInfo &Member,
                   const std::vector<WorkerInfo *> &Candidates,
                   const InterferenceModel &Learned, TimePoint Now) {
  const StepSpec &Spec = *Member.m_step->m_spec;
  if (Member.m_step->m_waitingTasks.size() < Spec.m_count)
    return false;
  std::size_t Needed = Spec.m_count;
  for (WorkerInfo *Each : Candidates) {
    if (!estimateStart(Member, *Each, Learned, Now))
      continue;
    Needed -= countFitting(Spec, *Each, Needed);
    if (Needed == 0)
      return true;
  }
  return false;
}

} // namespace

void TrialReservations::beginRound(WorkerInfo &Worker, TimePoint Now) const {
  if (!Worker.m_trialStep) {
    Worker.m_trialReservedAt = TimePoint();
    return;
  }
  Worker.m_trialStep = nullptr;
  if (Now - Worker.m_trialReservedAt >= m_options.m_maxLength)
    Worker.m_trialEndedAt = Now;
}

bool TrialReservations::mayReserve(const WorkerInfo &Worker,
                                   TimePoint Now) const {
  return Worker.m_trials == 0 && !Worker.m_trialStep &&
         (Worker.m_trialEndedAt == TimePoint() ||
          Now - Worker.m_trialEndedAt >= m_options.m_pause);
}

std::vector<WorkerInfo *> TrialReservations::chooseWorkers(
    const TaskInfo &Suspect, const std::vector<Candidate> &Candidates,
    const InterferenceModel &Learned, TimePoint Now) {
  const StepSpec &Spec = *Suspect.m_step->m_spec;
  std::size_t Needed = Spec.m_isGang ? countSuspects(*Suspect.m_step) : 1;
  std::vector<WorkerInfo *> Chosen;
  for (const Candidate &Each : Candidates) {
    if (Each.m_worker->m_trialStep ||
        !estimateStart(Suspect, *Each.m_worker, Learned, Now))
      continue;
    Needed -= countFitting(Spec, *Each.m_worker, Needed);
    Chosen.push_back(Each.m_worker);
    if (Needed == 0)
      return Chosen;
  }
  return {};
}

void TrialReservations::reserveWorker(WorkerInfo &Worker,
                                      const TrialRequest &For, TimePoint Now) {
  const StepInfo &Step = *For.m_task->m_step;
  Worker.m_trialStep = &Step;
  if (Worker.m_trialReservedAt != TimePoint())
    return;
  Worker.m_trialReservedAt = Now;
  logInfo("worker.trial_reserved",
          {{"worker", Worker.m_registration.m_id},
           {"job", Step.m_occurrence->m_job->m_submission.m_id},
           {"step", std::to_string(Step.m_number)},
           {"waited_ms",
            std::to_string(toMilliseconds(Now - For.m_waitingSince).count())}});
}

void TrialReservations::reserve(const std::vector<TrialRequest> &Waiting,
                                const std::vector<WorkerInfo *> &Candidates,
                                const InterferenceModel &Learned,
                                TimePoint Now) const {
  std::vector<Candidate> Order;
  std::size_t InUse = 0;
  for (WorkerInfo *Each : Candidates) {
    InUse += Each->m_trials > 0;
    if (mayReserve(*Each, Now))
      Order.push_back({trialTime(*Each, Now), Each});
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Candidate &One, const Candidate &Other) {
                     return One.m_at < Other.m_at;
                   });
  const std::size_t Max = std::max<std::size_t>(
      1, Candidates.size() / m_options.m_workersPerReservation);
  std::set<const StepInfo *> Gangs;
  for (const TrialRequest &Each : Waiting) {
    if (Now - Each.m_waitingSince < m_options.m_patience)
      continue;
    const StepInfo &Step = *Each.m_task->m_step;
    if (Step.m_spec->m_isGang &&
        (!Gangs.insert(&Step).second ||
         !hasRoomForAll(*Each.m_task, Candidates, Learned, Now)))
      continue;
    const std::vector<WorkerInfo *> Chosen =
        chooseWorkers(*Each.m_task, Order, Learned, Now);
    // A gang that needs more workers than that gets them once no others are in
    // use. Those behind it wait, or it might never be.
    if (InUse > 0 && InUse + Chosen.size() > Max)
      return;
    InUse += Chosen.size();
    for (WorkerInfo *Worker : Chosen)
      reserveWorker(*Worker, Each, Now);
  }
}

} // namespace catkinseam
