// Pace of fillers by the tails of the services beside them.
#include "catkinseam/scheduler/pacing.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr int FullPace = 100;

RunRow *fillerRun(const RunRef &Ref) {
  if (!Ref.m_task->m_step->m_spec->m_isFiller)
    return nullptr;
  for (RunRow &Each : Ref.m_task->m_runs)
    if (Each.m_number == Ref.m_run && Each.m_phase == RunPhase::Running)
      return &Each;
  return nullptr;
}

} // namespace

void Pacing::adjust(WorkerRow &Worker, const Interference &Learned,
                    TimePoint Now) const {
  Worker.m_worstTail = 0.0;
  for (const RunRef &Each : Worker.m_runs)
    Worker.m_worstTail = std::max(Worker.m_worstTail, tailOf(Each));
  if (Worker.m_fillers == 0 || Now - Worker.m_pacedAt < m_options.m_settleTime)
    return;
  if (slow(Worker, Learned, Now) || raise(Worker, Learned)) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
  }
}

bool Pacing::slow(WorkerRow &Worker, const Interference &Learned,
                  TimePoint Now) const {
  if (Worker.m_worstTail <= m_options.m_slowAbove)
    return false;
  std::set<RunRow *> Causes;
  for (const RunRef &Service : Worker.m_runs) {
    if (tailOf(Service) <= m_options.m_slowAbove)
      continue;
    const ImageNumber Image = Service.m_task->m_step->m_image;
    std::vector<RunRow *> Known;
    std::vector<RunRow *> All;
    for (const RunRef &Each : Worker.m_runs) {
      RunRow *Run = fillerRun(Each);
      if (!Run)
        continue;
      All.push_back(Run);
      if (Learned.share(Worker, Image, *Each.m_task, *Run) >=
          m_options.m_leastShare)
        Known.push_back(Run);
    }
    const std::vector<RunRow *> &Chosen = Known.empty() ? All : Known;
    Causes.insert(Chosen.begin(), Chosen.end());
  }
  bool IsChanged = false;
  for (RunRow *Each : Causes) {
    int Pace = static_cast<int>(Each->m_pace * m_options.m_slowFactor);
    if (Pace < m_options.m_leastPace)
      Pace = 0;
    IsChanged = IsChanged || Pace != Each->m_pace;
    if (Each->m_pace == FullPace)
      Each->m_slowSince = Now;
    Each->m_pace = Pace;
  }
  return IsChanged;
}

bool Pacing::raise(WorkerRow &Worker, const Interference &Learned) const {
  if (Worker.m_worstTail > m_options.m_raiseBelow)
    return false;
  for (const RunRef &Each : Worker.m_runs) {
    RunRow *Run = fillerRun(Each);
    if (!Run || Run->m_pace >= FullPace)
      continue;
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    const int Pace = std::min(FullPace, Run->m_pace + m_options.m_raiseStep);
    const double More = static_cast<double>(Spec.m_request.m_milliProcessors) *
                        (Pace - Run->m_pace) / FullPace;
    if (Learned.worstTailWith(Worker, Each.m_task->m_step->m_image, More) >
        m_options.m_raiseBelow)
      continue;
    Run->m_pace = Pace;
    return true;
  }
  return false;
}

} // namespace catkinseam
