// Pace of fillers by the tails of the services beside them.
#include "catkinseam/scheduler/pacing.h"

#include <algorithm>

namespace catkinseam {

namespace {

const RunRow *runOf(const RunRef &Ref) {
  for (const RunRow &Each : Ref.m_task->m_runs)
    if (Each.m_number == Ref.m_run)
      return &Each;
  return nullptr;
}

double worstTail(const WorkerRow &Worker) {
  double Worst = 0.0;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    const RunRow *Run = runOf(Each);
    if (!Run || !Spec.m_isService ||
        Spec.m_targetTail <= Milliseconds::zero() ||
        Run->m_phase != RunPhase::Running)
      continue;
    Worst = std::max(Worst, static_cast<double>(Run->m_figure) /
                                static_cast<double>(Spec.m_targetTail.count()));
  }
  return Worst;
}

} // namespace

void Pacing::adjust(WorkerRow &Worker, TimePoint Now) const {
  Worker.m_worstTail = worstTail(Worker);
  if (Worker.m_fillers == 0) {
    Worker.m_fillerPace = 100;
    return;
  }
  if (Now - Worker.m_pacedAt < m_options.m_settleTime)
    return;
  int Pace = Worker.m_fillerPace;
  if (Worker.m_worstTail > m_options.m_slowAbove) {
    Pace = static_cast<int>(Pace * m_options.m_slowFactor);
    if (Pace < m_options.m_leastPace)
      Pace = 0;
  } else if (Worker.m_worstTail < m_options.m_raiseBelow) {
    Pace = std::min(100, Pace + m_options.m_raiseStep);
  }
  if (Pace == Worker.m_fillerPace)
    return;
  Worker.m_fillerPace = Pace;
  Worker.m_pacedAt = Now;
}

} // namespace catkinseam
