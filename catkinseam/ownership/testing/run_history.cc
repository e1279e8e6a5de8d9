// Checks of run histories, one function a promise.
#include "catkinseam/ownership/testing/run_history.h"

#include <algorithm>

namespace catkinseam {

namespace {

using Faults = std::vector<std::string>;
using RunsByTask = std::map<TaskKey, std::vector<const SeenRun *>>;

std::string name(const SeenRun &Run) {
  return "task \"" + toString(Run.m_task) + "\" run " +
         std::to_string(Run.m_run) + " on worker \"" + Run.m_worker + "\"";
}

const AskedJob *jobOf(const std::vector<AskedJob> &Jobs, const TaskKey &Task) {
  for (const AskedJob &Each : Jobs)
    if (Each.m_job.m_id == Task.m_job)
      return &Each;
  return nullptr;
}

const StepSpec &stepOf(const AskedJob &Job, const TaskKey &Task) {
  return Job.m_job.m_spec.m_steps[Task.m_step];
}

RunsByTask byTask(const RunHistory &Past) {
  RunsByTask Grouped;
  for (const SeenRun &Each : Past.m_runs)
    Grouped[Each.m_task].push_back(&Each);
  return Grouped;
}

void checkOnePlace(const RunsByTask &Runs, const std::vector<AskedJob> &Jobs,
                   Faults &Found) {
  for (const auto &[Task, List] : Runs) {
    const AskedJob *Job = jobOf(Jobs, Task);
    if (Job && stepOf(*Job, Task).m_isSpeculative)
      continue;
    for (std::size_t At = 0; At < List.size(); ++At)
      for (std::size_t Next = At + 1; Next < List.size(); ++Next)
        if (List[At]->m_began < List[Next]->m_ended &&
            List[Next]->m_began < List[At]->m_ended)
          Found.push_back("two places at once: " + name(*List[At]) + " and " +
                          name(*List[Next]));
  }
}

/// Whether a lease ran out between an end and its being taken note of.
bool lapsedBetween(const RunHistory &Past, const SeenRun &Run) {
  const auto Found = Past.m_lapses.find(Run.m_worker);
  return Found != Past.m_lapses.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](TimePoint Lapse) {
                       return Lapse >= Run.m_ended && Lapse <= Run.m_observedAt;
                     });
}

void checkDoneOnce(const RunHistory &Past, const RunsByTask &Runs,
                   const std::vector<AskedJob> &Jobs, Faults &Found) {
  for (const auto &[Task, List] : Runs) {
    const AskedJob *Job = jobOf(Jobs, Task);
    if (Job && stepOf(*Job, Task).m_isService)
      continue;
    for (const SeenRun *Done : List)
      for (const SeenRun *Later : List)
        if (Done->m_hasEnd && Done->m_end == RunEnd::Done &&
            Done->m_isObserved && !lapsedBetween(Past, *Done) &&
            Later->m_began >= Done->m_ended)
          Found.push_back("begun after it was done: " + name(*Later));
  }
}

void checkAttempts(const RunsByTask &Runs, const std::vector<AskedJob> &Jobs,
                   Faults &Found) {
  for (const auto &[Task, List] : Runs) {
    const AskedJob *Job = jobOf(Jobs, Task);
    if (!Job || stepOf(*Job, Task).m_isService)
      continue;
    for (const SeenRun *Later : List) {
      const auto Failures =
          std::count_if(List.begin(), List.end(), [&](const SeenRun *Run) {
            return Run->m_hasEnd && Run->m_end == RunEnd::Failed &&
                   Run->m_isObserved && Run->m_ended <= Later->m_began;
          });
      if (Failures >=
          static_cast<std::ptrdiff_t>(Job->m_job.m_terms.m_maxAttempts))
        Found.push_back("begun after its last attempt: " + name(*Later));
    }
  }
}

void checkOrder(const RunsByTask &Runs, const std::vector<AskedJob> &Jobs,
                Faults &Found) {
  for (const auto &[Task, List] : Runs) {
    const AskedJob *Job = jobOf(Jobs, Task);
    if (!Job)
      continue;
    for (const std::uint32_t Step : stepOf(*Job, Task).m_after)
      for (std::uint32_t Index = 0;
           Index < Job->m_job.m_spec.m_steps[Step].m_count; ++Index) {
        const auto Earlier =
            Runs.find({Task.m_job, Task.m_occurrence, Step, Index});
        for (const SeenRun *Run : List) {
          const bool IsDone =
              Earlier != Runs.end() &&
              std::any_of(Earlier->second.begin(), Earlier->second.end(),
                          [&](const SeenRun *Each) {
                            return Each->m_hasEnd &&
                                   Each->m_end == RunEnd::Done &&
                                   Each->m_ended <= Run->m_began;
                          });
          if (!IsDone)
            Found.push_back("begun before step " + std::to_string(Step) +
                            " was done: " + name(*Run));
        }
      }
  }
}

void checkAsked(const RunHistory &Past, const std::vector<AskedJob> &Jobs,
                const HistoryBounds &Bounds, Faults &Found) {
  for (const SeenRun &Each : Past.m_runs) {
    const AskedJob *Job = jobOf(Jobs, Each.m_task);
    if (!Job)
      Found.push_back("nobody asked for it: " + name(Each));
    else if (Job->m_cancelledAt != TimePoint::max() && !Each.m_wasLate &&
             Each.m_began > Job->m_cancelledAt + Bounds.m_cancelTime)
      Found.push_back("begun after its cancelling: " + name(Each));
  }
}

void checkRoom(const RunHistory &Past, const std::vector<AskedJob> &Jobs,
               const HistoryBounds &Bounds, Faults &Found) {
  for (const SeenRun &Begun : Past.m_runs) {
    Resources Used;
    std::uint32_t OfStep = 0;
    for (const SeenRun &Each : Past.m_runs) {
      const AskedJob *Job = jobOf(Jobs, Each.m_task);
      if (!Job || Each.m_worker != Begun.m_worker ||
          Each.m_began > Begun.m_began || Each.m_ended <= Begun.m_began)
        continue;
      const StepSpec &Step = stepOf(*Job, Each.m_task);
      Resources Request = Step.m_request;
      if (Step.m_isFiller)
        Request.m_milliProcessors = 0;
      Used += Request;
      if (Each.m_task.m_job == Begun.m_task.m_job &&
          Each.m_task.m_step == Begun.m_task.m_step)
        ++OfStep;
    }
    const auto Capacity = Bounds.m_capacities.find(Begun.m_worker);
    if (Capacity != Bounds.m_capacities.end() && !Used.fitsIn(Capacity->second))
      Found.push_back("over the capacity: " + name(Begun));
    const AskedJob *Job = jobOf(Jobs, Begun.m_task);
    const std::uint32_t Most =
        Job ? stepOf(*Job, Begun.m_task).m_maxPerWorker : 0;
    if (Most > 0 && OfStep > Most)
      Found.push_back("too many of a step on one worker: " + name(Begun));
  }
}

} // namespace

SeenRun *RunHistory::find(const std::string &Worker, const TaskKey &Task,
                          RunNumber Run) {
  for (auto Each = m_runs.rbegin(); Each != m_runs.rend(); ++Each)
    if (Each->m_worker == Worker && Each->m_task == Task && Each->m_run == Run)
      return &*Each;
  return nullptr;
}

void RunHistory::started(const std::string &Worker, const TaskKey &Task,
                         RunNumber Run, TimePoint Now, bool WasLate) {
  SeenRun Seen;
  Seen.m_worker = Worker;
  Seen.m_task = Task;
  Seen.m_run = Run;
  Seen.m_began = Now;
  Seen.m_wasLate = WasLate;
  m_runs.push_back(Seen);
}

void RunHistory::ended(const std::string &Worker, const TaskKey &Task,
                       RunNumber Run, RunEnd End, TimePoint Now) {
  SeenRun *Seen = find(Worker, Task, Run);
  Seen->m_ended = Now;
  Seen->m_hasEnd = true;
  Seen->m_end = End;
}

void RunHistory::died(const std::string &Worker, const TaskKey &Task,
                      RunNumber Run, TimePoint Now) {
  find(Worker, Task, Run)->m_ended = Now;
}

void RunHistory::observed(const std::string &Worker, const TaskKey &Task,
                          RunNumber Run, TimePoint Now) {
  SeenRun *Seen = find(Worker, Task, Run);
  if (Seen->m_isObserved)
    return;
  Seen->m_isObserved = true;
  Seen->m_observedAt = Now;
}

void RunHistory::lapsed(const std::string &Worker, TimePoint Now) {
  m_lapses[Worker].push_back(Now);
}

std::vector<std::string> checkHistory(const RunHistory &Past,
                                      const std::vector<AskedJob> &Jobs,
                                      const HistoryBounds &Bounds) {
  Faults Found;
  const RunsByTask Runs = byTask(Past);
  checkAsked(Past, Jobs, Bounds, Found);
  checkOnePlace(Runs, Jobs, Found);
  checkDoneOnce(Past, Runs, Jobs, Found);
  checkAttempts(Runs, Jobs, Found);
  checkOrder(Runs, Jobs, Found);
  checkRoom(Past, Jobs, Bounds, Found);
  return Found;
}

} // namespace catkinseam
