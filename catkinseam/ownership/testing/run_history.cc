// Checks of run histories, one function per invariant.
#include "catkinseam/ownership/testing/run_history.h"

#include <algorithm>

namespace catkinseam {

namespace {

using Violations = std::vector<std::string>;
using RunsByTask = std::map<TaskKey, std::vector<const RecordedRun *>>;
using JobsById = std::map<std::string, const SubmittedJob *>;

std::string describe(const RecordedRun &Run) {
  return "task \"" + toString(Run.m_task) + "\" run " +
         std::to_string(Run.m_run) + " on worker \"" + Run.m_worker + "\"";
}

const SubmittedJob *jobOf(const JobsById &Jobs, const TaskKey &Task) {
  const auto Found = Jobs.find(Task.m_job);
  return Found == Jobs.end() ? nullptr : Found->second;
}

const StepSpec &stepOf(const SubmittedJob &Job, const TaskKey &Task) {
  return Job.m_job.m_spec.m_steps[Task.m_step];
}

RunsByTask byTask(const RunHistory &History) {
  RunsByTask Grouped;
  for (const RecordedRun &Each : History.m_runs)
    Grouped[Each.m_task].push_back(&Each);
  return Grouped;
}

void checkNoConcurrentRuns(const RunsByTask &Runs, const JobsById &Jobs,
                           Violations &Found) {
  for (const auto &[Task, List] : Runs) {
    const SubmittedJob *Job = jobOf(Jobs, Task);
    if (Job && stepOf(*Job, Task).m_isSpeculative)
      continue;
    for (std::size_t First = 0; First < List.size(); ++First)
      for (std::size_t Second = First + 1; Second < List.size(); ++Second)
        if (List[First]->m_startedAt < List[Second]->m_endedAt &&
            List[Second]->m_startedAt < List[First]->m_endedAt)
          Found.push_back(
              "concurrent runs of one task: " + describe(*List[First]) +
              " and " + describe(*List[Second]));
  }
}

/// Returns whether a lease expired between a run's end and its acknowledgement.
bool leaseExpiredBetween(const RunHistory &History, const RecordedRun &Run) {
  const auto Found = History.m_leaseExpiries.find(Run.m_worker);
  return Found != History.m_leaseExpiries.end() &&
         std::any_of(
             Found->second.begin(), Found->second.end(), [&](TimePoint Expiry) {
               return Expiry >= Run.m_endedAt && Expiry <= Run.m_observedAt;
             });
}

/// Returns the time from which on a task must not start again because `Done`
/// has completed it. Copies of a speculative task may start until the owner has
/// heard of the end.
TimePoint lastStartAfter(const RecordedRun &Done, const RecordedRun &Later,
                         const HistoryBounds &Bounds, bool IsSpeculative) {
  if (!IsSpeculative)
    return Done.m_endedAt;
  const TimePoint Last = Done.m_observedAt + Bounds.m_maxCopyAfterDone;
  return Later.m_wasDelayed ? Last + Bounds.m_maxStartDelay : Last;
}

void checkNoRunAfterDone(const RunHistory &History, const RunsByTask &Runs,
                         const JobsById &Jobs, const HistoryBounds &Bounds,
                         Violations &Found) {
  for (const auto &[Task, List] : Runs) {
    const SubmittedJob *Job = jobOf(Jobs, Task);
    if (Job && stepOf(*Job, Task).m_isService)
      continue;
    const bool IsSpeculative = Job && stepOf(*Job, Task).m_isSpeculative;
    for (const RecordedRun *Done : List)
      for (const RecordedRun *Later : List)
        if (Done->m_hasEnd && Done->m_end == RunEnd::Done &&
            Done->m_isObserved && !leaseExpiredBetween(History, *Done) &&
            Later->m_startedAt >=
                lastStartAfter(*Done, *Later, Bounds, IsSpeculative))
          Found.push_back("started after its task was done: " +
                          describe(*Later));
  }
}

void checkAttempts(const RunsByTask &Runs, const JobsById &Jobs,
                   Violations &Found) {
  for (const auto &[Task, List] : Runs) {
    const SubmittedJob *Job = jobOf(Jobs, Task);
    if (!Job || stepOf(*Job, Task).m_isService)
      continue;
    for (const RecordedRun *Later : List) {
      const auto Failures =
          std::count_if(List.begin(), List.end(), [&](const RecordedRun *Run) {
            return Run->m_hasEnd && Run->m_end == RunEnd::Failed &&
                   Run->m_isObserved && Run->m_endedAt <= Later->m_startedAt;
          });
      if (Failures >=
          static_cast<std::ptrdiff_t>(Job->m_job.m_policy.m_maxAttempts))
        Found.push_back("started after the last permitted attempt: " +
                        describe(*Later));
    }
  }
}

void checkStepOrder(const RunsByTask &Runs, const JobsById &Jobs,
                    Violations &Found) {
  for (const auto &[Task, List] : Runs) {
    const SubmittedJob *Job = jobOf(Jobs, Task);
    if (!Job)
      continue;
    for (const std::uint32_t Step : stepOf(*Job, Task).m_after)
      for (std::uint32_t Index = 0;
           Index < Job->m_job.m_spec.m_steps[Step].m_count; ++Index) {
        const auto Earlier =
            Runs.find({Task.m_job, Task.m_occurrence, Step, Index});
        for (const RecordedRun *Run : List) {
          const bool IsDone =
              Earlier != Runs.end() &&
              std::any_of(Earlier->second.begin(), Earlier->second.end(),
                          [&](const RecordedRun *Each) {
                            return Each->m_hasEnd &&
                                   Each->m_end == RunEnd::Done &&
                                   Each->m_endedAt <= Run->m_startedAt;
                          });
          if (!IsDone)
            Found.push_back("started before step " + std::to_string(Step) +
                            " was done: " + describe(*Run));
        }
      }
  }
}

void checkSubmitted(const RunHistory &History, const JobsById &Jobs,
                    const HistoryBounds &Bounds, Violations &Found) {
  for (const RecordedRun &Each : History.m_runs) {
    const SubmittedJob *Job = jobOf(Jobs, Each.m_task);
    if (!Job)
      Found.push_back("job was not submitted: " + describe(Each));
    else if (Job->m_cancelledAt != TimePoint::max() && !Each.m_wasDelayed &&
             Each.m_startedAt >
                 Job->m_cancelledAt + Bounds.m_maxStartAfterCancel)
      Found.push_back("started after its cancellation: " + describe(Each));
  }
}

/// Returns the largest capacity that counts for a start: a reduction does not
/// count at once.
Resources capacityFor(const RecordedRun &Start, const RunHistory &History,
                      const HistoryBounds &Bounds, const Resources &Initial) {
  Resources Current = Initial;
  Resources Largest = Initial;
  const auto Found = History.m_capacityChanges.find(Start.m_worker);
  if (Found == History.m_capacityChanges.end())
    return Initial;
  const TimePoint CountsSince =
      Start.m_startedAt - Bounds.m_capacityNotice -
      (Start.m_wasDelayed ? Bounds.m_maxStartDelay : Milliseconds(0));
  for (const RunHistory::CapacityChange &Each : Found->second) {
    if (Each.m_at > Start.m_startedAt)
      break;
    Current = Each.m_capacity;
    Largest =
        Each.m_at <= CountsSince ? Current : elementwiseMax(Largest, Current);
  }
  return Largest;
}

/// A run, and all runs that its worker had when it started.
using RunAtStart =
    std::pair<const RecordedRun *, std::vector<const RecordedRun *>>;

std::vector<RunAtStart> runsAtStarts(const RunHistory &History) {
  std::map<std::string, std::vector<const RecordedRun *>> ByWorker;
  for (const RecordedRun &Each : History.m_runs)
    ByWorker[Each.m_worker].push_back(&Each);
  std::vector<RunAtStart> Found;
  for (auto &[Worker, Runs] : ByWorker) {
    std::stable_sort(Runs.begin(), Runs.end(),
                     [](const RecordedRun *Left, const RecordedRun *Right) {
                       return Left->m_startedAt < Right->m_startedAt;
                     });
    std::vector<const RecordedRun *> Present;
    auto Next = Runs.begin();
    for (const RecordedRun *Started : Runs) {
      for (; Next != Runs.end() && (*Next)->m_startedAt <= Started->m_startedAt;
           ++Next)
        Present.push_back(*Next);
      std::erase_if(Present, [&](const RecordedRun *Each) {
        return Each->m_endedAt <= Started->m_startedAt;
      });
      Found.emplace_back(Started, Present);
    }
  }
  return Found;
}

void checkCapacity(const RunHistory &History, const JobsById &Jobs,
                   const HistoryBounds &Bounds, Violations &Found) {
  for (const auto &[Each, Present] : runsAtStarts(History)) {
    const RecordedRun &Started = *Each;
    Resources Used;
    std::uint32_t OfStep = 0;
    for (const RecordedRun *Other : Present) {
      const SubmittedJob *Job = jobOf(Jobs, Other->m_task);
      if (!Job)
        continue;
      const StepSpec &Step = stepOf(*Job, Other->m_task);
      Resources Request = Step.m_request;
      if (Step.m_isFiller)
        Request.m_milliProcessors = 0;
      Used += Request;
      if (Other->m_task.m_job == Started.m_task.m_job &&
          Other->m_task.m_step == Started.m_task.m_step)
        ++OfStep;
    }
    const auto Capacity = Bounds.m_capacities.find(Started.m_worker);
    if (Capacity != Bounds.m_capacities.end() &&
        !Used.fitsIn(capacityFor(Started, History, Bounds, Capacity->second)))
      Found.push_back("worker capacity exceeded: " + describe(Started));
    const SubmittedJob *Job = jobOf(Jobs, Started.m_task);
    const std::uint32_t Limit =
        Job ? stepOf(*Job, Started.m_task).m_maxPerWorker : 0;
    if (Limit > 0 && OfStep > Limit)
      Found.push_back("too many tasks of a step on one worker: " +
                      describe(Started));
  }
}

void checkEvacuations(const RunHistory &History, const HistoryBounds &Bounds,
                      Violations &Found) {
  for (const RecordedRun &Run : History.m_runs) {
    const auto Place = Bounds.m_dataCentres.find(Run.m_worker);
    if (Place == Bounds.m_dataCentres.end() || Run.m_wasDelayed)
      continue;
    for (const RunHistory::Evacuation &Each : History.m_evacuations)
      if (Each.m_dataCentre == Place->second &&
          Run.m_startedAt >
              Each.m_requestedAt + Bounds.m_maxStartAfterEvacuation &&
          Run.m_startedAt < Each.m_withdrawnAt)
        Found.push_back("started in evacuated data centre \"" +
                        Each.m_dataCentre + "\": " + describe(Run));
  }
}

} // namespace

RecordedRun *RunHistory::find(const std::string &Worker, const TaskKey &Task,
                              RunNumber Run) {
  for (auto Each = m_runs.rbegin(); Each != m_runs.rend(); ++Each)
    if (Each->m_worker == Worker && Each->m_task == Task && Each->m_run == Run)
      return &*Each;
  return nullptr;
}

void RunHistory::started(const std::string &Worker, const TaskKey &Task,
                         RunNumber Run, TimePoint Now, bool WasDelayed) {
  RecordedRun Seen;
  Seen.m_worker = Worker;
  Seen.m_task = Task;
  Seen.m_run = Run;
  Seen.m_startedAt = Now;
  Seen.m_wasDelayed = WasDelayed;
  m_runs.push_back(Seen);
}

void RunHistory::ended(const std::string &Worker, const TaskKey &Task,
                       RunNumber Run, RunEnd End, TimePoint Now) {
  RecordedRun *Seen = find(Worker, Task, Run);
  Seen->m_endedAt = Now;
  Seen->m_hasEnd = true;
  Seen->m_end = End;
}

void RunHistory::crashed(const std::string &Worker, const TaskKey &Task,
                         RunNumber Run, TimePoint Now) {
  find(Worker, Task, Run)->m_endedAt = Now;
}

void RunHistory::observed(const std::string &Worker, const TaskKey &Task,
                          RunNumber Run, TimePoint Now) {
  RecordedRun *Seen = find(Worker, Task, Run);
  if (Seen->m_isObserved)
    return;
  Seen->m_isObserved = true;
  Seen->m_observedAt = Now;
}

void RunHistory::leaseExpired(const std::string &Worker, TimePoint Now) {
  m_leaseExpiries[Worker].push_back(Now);
}

void RunHistory::capacityChanged(const std::string &Worker,
                                 const Resources &Capacity, TimePoint Now) {
  m_capacityChanges[Worker].push_back({Now, Capacity});
}

void RunHistory::evacuationRequested(const std::string &DataCentre,
                                     TimePoint Now) {
  m_evacuations.push_back({DataCentre, Now});
}

void RunHistory::evacuationWithdrawn(const std::string &DataCentre,
                                     TimePoint Now) {
  for (Evacuation &Each : m_evacuations)
    if (Each.m_dataCentre == DataCentre)
      Each.m_withdrawnAt = std::min(Each.m_withdrawnAt, Now);
}

std::vector<std::string> checkHistory(const RunHistory &History,
                                      const std::vector<SubmittedJob> &Jobs,
                                      const HistoryBounds &Bounds) {
  Violations Found;
  const RunsByTask Runs = byTask(History);
  JobsById ById;
  for (const SubmittedJob &Each : Jobs)
    ById.emplace(Each.m_job.m_id, &Each);
  checkSubmitted(History, ById, Bounds, Found);
  checkNoConcurrentRuns(Runs, ById, Found);
  checkNoRunAfterDone(History, Runs, ById, Bounds, Found);
  checkAttempts(Runs, ById, Found);
  checkStepOrder(Runs, ById, Found);
  checkCapacity(History, ById, Bounds, Found);
  checkEvacuations(History, Bounds, Found);
  return Found;
}

} // namespace catkinseam
