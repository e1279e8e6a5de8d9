// Finds a low-cost set of runs to preempt for a higher-priority task.
#include "catkinseam/scheduler/preemption.h"

#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/placement.h"

#include <algorithm>
#include <optional>

namespace catkinseam {

namespace {

struct Victim {
  RunRef m_run;
  Resources m_held;
  double m_lost = 0.0;
};

std::int64_t priorityOf(const TaskInfo &Task) {
  return Task.m_step->m_occurrence->m_job->policy().m_priority;
}

/// Work to be repeated after a stop: percent done times requested processors,
/// in thousandths; only a small part of it with checkpoints.
double lostWork(const StepSpec &Spec, const RunInfo &Run) {
  constexpr double LostPartWithCheckpoints = 0.1;
  const double Done = static_cast<double>(Run.m_percent) *
                      static_cast<double>(Spec.m_request.m_milliProcessors);
  // Stopping one gang member restarts the whole gang.
  const double Members = Spec.m_isGang ? Spec.m_count : 1;
  return Members *
         (Spec.m_savesCheckpoints ? LostPartWithCheckpoints * Done : Done);
}

bool freesNeededResource(const Resources &Held, const Resources &Needed) {
  return (Needed.m_milliProcessors > 0 && Held.m_milliProcessors > 0) ||
         (Needed.m_memoryMb > 0 && Held.m_memoryMb > 0);
}

/// Returns the runs to stop on this worker; empty if none has to be stopped,
/// nullopt if stopping all preemptible runs would not free enough resources.
std::optional<std::vector<Victim>> findVictims(const TaskInfo &Task,
                                               const WorkerInfo &Worker) {
  const Resources Needed = Task.m_step->m_spec->reservation();
  // Unknown runs are being stopped.
  Resources Reserved =
      Worker.m_reserved - Worker.m_reservedByUnknownRuns + Needed;
  std::vector<Victim> Preemptible;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    const RunInfo *Run = findReferencedRun(Each);
    if (!Run)
      continue;
    const Resources Held = Spec.reservation();
    if (Run->m_phase == RunPhase::Stopping)
      Reserved -= Held;
    else if (!Spec.m_isService && Run->m_phase == RunPhase::Running &&
             priorityOf(*Each.m_task) > priorityOf(Task) &&
             freesNeededResource(Held, Needed))
      Preemptible.push_back({Each, Held, lostWork(Spec, *Run)});
  }
  std::sort(Preemptible.begin(), Preemptible.end(),
            [](const Victim &One, const Victim &Other) {
              return One.m_lost < Other.m_lost;
            });
  std::vector<Victim> Chosen;
  for (const Victim &Each : Preemptible) {
    if (Reserved.fitsIn(Worker.m_registration.m_capacity))
      break;
    Reserved -= Each.m_held;
    Chosen.push_back(Each);
  }
  if (!Reserved.fitsIn(Worker.m_registration.m_capacity))
    return std::nullopt;
  return Chosen;
}

} // namespace

std::vector<RunRef> chooseVictims(const TaskInfo &Task,
                                  const std::vector<WorkerInfo *> &Candidates,
                                  TimePoint Now) {
  std::vector<Victim> Best;
  double BestLost = 0.0;
  for (const WorkerInfo *Each : Candidates) {
    if (!isAvailable(*Each, Now) || !satisfiesConstraints(Task, *Each))
      continue;
    const std::optional<std::vector<Victim>> Found = findVictims(Task, *Each);
    if (!Found)
      continue;
    if (Found->empty())
      return {};
    double Lost = 0.0;
    for (const Victim &One : *Found)
      Lost += One.m_lost;
    if (Best.empty() || Lost < BestLost) {
      Best = *Found;
      BestLost = Lost;
    }
  }
  std::vector<RunRef> Runs;
  Runs.reserve(Best.size());
  for (const Victim &Each : Best)
    Runs.push_back(Each.m_run);
  return Runs;
}

} // namespace catkinseam
