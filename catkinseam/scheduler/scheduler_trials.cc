// Trials of suspects: reservations, trials that several suspects share, and
// their ends.
#include "catkinseam/scheduler/scheduler.h"

#include "catkinseam/scheduler/crash_suspects.h"
#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Interval at which the log tells why a suspect is not placed.
constexpr Milliseconds WaitLogInterval{1000};

/// Suspects that can run on the same workers, as far as a label decides.
struct TrialClass {
  std::string m_service;
  std::string m_requiredLabel;
  auto operator<=>(const TrialClass &) const = default;
};

TrialClass classOf(const TaskInfo &Task) {
  return {Task.m_step->m_occurrence->m_job->policy().m_service,
          Task.m_step->m_spec->m_requiredLabel};
}

/// The suspects of a class that may share trials.
struct SharedTrials {
  std::vector<TaskInfo *> m_waiting;
  /// Those whose trials begin in this round, and the workers of these trials.
  std::size_t m_begun = 0;
  std::set<const WorkerInfo *> m_workers;

  /// Half of the suspects start in this round, so that the number of rounds
  /// grows with the logarithm of their number.
  std::size_t maxPerWorker() const {
    const std::size_t Suspects = m_waiting.size() + m_begun;
    const std::size_t Shares = 2 * std::max<std::size_t>(1, m_workers.size());
    return (Suspects + Shares - 1) / Shares;
  }
};

void markTrialShared(const WorkerInfo &Worker) {
  for (const RunRef &Each : Worker.m_runs)
    for (RunInfo &Run : Each.m_task->m_runs)
      if (Run.m_number == Each.m_run)
        Run.m_isTrialShared = Run.m_isOnTrial;
}

} // namespace

void Scheduler::reserveForTrials() {
  const TimePoint Now = m_clock.now();
  for (const auto &[Id, Worker] : m_workers)
    m_trialReservations.beginRound(*Worker, Now);
  std::map<std::string, std::vector<TrialRequest>> Waiting;
  const auto Add = [&](const TaskInfo &Task, TimePoint Since) {
    Waiting[Task.m_step->m_occurrence->m_job->policy().m_service].push_back(
        {&Task, Since});
  };
  for (TaskInfo *Each : m_waitingSuspects) {
    const std::vector<WorkerInfo *> &Available =
        availableWorkers(Each->m_step->m_occurrence->m_job->policy().m_service);
    Each->m_hasOtherWorkers = std::any_of(
        Available.begin(), Available.end(), [&](const WorkerInfo *Worker) {
          return hasRequiredLabel(*Each->m_step->m_spec, *Worker) &&
                 !isAvoided(*Each, *Worker);
        });
    Add(*Each, Each->m_earliestStart);
  }
  for (const StepInfo *Step : m_speculativeSteps)
    for (const TaskInfo &Each : Step->m_tasks)
      if (isSuspect(Each) && needsCopy(Each))
        Add(Each, Each.m_runs.front().m_worker->m_lostAt);
  for (auto &[Service, Requests] : Waiting) {
    std::sort(Requests.begin(), Requests.end(),
              [](const TrialRequest &One, const TrialRequest &Other) {
                return One.m_waitingSince != Other.m_waitingSince
                           ? One.m_waitingSince < Other.m_waitingSince
                           : keyOf(*One.m_task) < keyOf(*Other.m_task);
              });
    m_trialReservations.reserve(Requests, availableWorkers(Service),
                                m_interference, Now);
  }
}

void Scheduler::placeSharedTrials(Decisions &Next) {
  const TimePoint Now = m_clock.now();
  std::map<TrialClass, SharedTrials> Classes;
  for (TaskInfo *Each : m_waitingSuspects)
    if (mayShareTrial(*Each) && Each->m_earliestStart <= Now)
      Classes[classOf(*Each)].m_waiting.push_back(Each);
  if (Classes.empty())
    return;
  std::vector<WorkerInfo *> Workers;
  for (const auto &[Id, Worker] : m_workers) {
    if (!hasJoinableTrial(*Worker))
      continue;
    Workers.push_back(Worker.get());
    for (const RunRef &Each : Worker->m_runs) {
      const auto Found = Classes.find(classOf(*Each.m_task));
      if (Found == Classes.end() || !findReferencedRun(Each)->m_isOnTrial)
        continue;
      ++Found->second.m_begun;
      Found->second.m_workers.insert(Worker.get());
    }
  }
  for (auto &[Class, Suspects] : Classes) {
    std::sort(Suspects.m_waiting.begin(), Suspects.m_waiting.end(),
              [](const TaskInfo *One, const TaskInfo *Other) {
                return One->m_earliestStart != Other->m_earliestStart
                           ? One->m_earliestStart < Other->m_earliestStart
                           : keyOf(*One) < keyOf(*Other);
              });
    for (WorkerInfo *Each : Workers)
      Each->m_maxTrials = Suspects.maxPerWorker();
    const auto IsOpen = [](const WorkerInfo *Each) {
      return Each->m_trials < Each->m_maxTrials;
    };
    for (TaskInfo *Each : Suspects.m_waiting) {
      if (std::none_of(Workers.begin(), Workers.end(), IsOpen))
        break;
      placeTask(*Each, Next);
    }
  }
  for (WorkerInfo *Each : Workers) {
    Each->m_maxTrials = 1;
    if (Each->m_trials == 1)
      continue;
    markTrialShared(*Each);
    logInfo("worker.trial_shared",
            {{"worker", Each->m_registration.m_id},
             {"suspects", std::to_string(Each->m_trials)},
             {"waiting", std::to_string(m_waitingSuspects.size())}});
  }
}

void Scheduler::logTrialAwaited(TaskInfo &Task) {
  const TimePoint Now = m_clock.now();
  if (Now - Task.m_waitLoggedAt < WaitLogInterval)
    return;
  Task.m_waitLoggedAt = Now;
  const std::string &Service =
      Task.m_step->m_occurrence->m_job->policy().m_service;
  const PlacementObstacles Found =
      findObstacles(Task, availableWorkers(Service), m_reservations, Now);
  logInfo("task.trial_awaited",
          {{"task", toString(keyOf(Task))},
           {"waited_ms",
            std::to_string(toMilliseconds(Now - Task.m_earliestStart).count())},
           {"lost_workers", std::to_string(Task.m_lostWorkers)},
           {"workers", std::to_string(Found.m_available)},
           {"infeasible", std::to_string(Found.m_infeasible)},
           {"on_trial", std::to_string(Found.m_onTrial)},
           {"reserved", std::to_string(Found.m_reserved)},
           {"unsettled", std::to_string(Found.m_unsettled)}});
}

void Scheduler::endTrials() {
  for (const auto &[Id, Worker] : m_workers) {
    if (Worker->m_trials == 0 || !Worker->m_isReachable)
      continue;
    for (const RunRef &Each : Worker->m_runs) {
      RunInfo *Run = findRun(*Each.m_task, Each.m_run);
      if (!Run->m_isOnTrial || Run->m_confirmedAt == TimePoint() ||
          m_clock.now() - Run->m_confirmedAt < TrialTime)
        continue;
      Run->m_isOnTrial = false;
      --Worker->m_trials;
      Worker->m_trialEndedAt = m_clock.now();
    }
  }
}

} // namespace catkinseam
