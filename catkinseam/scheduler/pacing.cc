// Pace of fillers by the tails of the services beside them.
#include "catkinseam/scheduler/pacing.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr int FullPace = 100;
/// A filler that adds less load than this is harmless but among many.
constexpr double LightPart = 0.03;

PlannedRun *fillerRun(const RunRef &Ref) {
  if (!Ref.m_task->m_step->m_spec->m_isFiller)
    return nullptr;
  for (PlannedRun &Each : Ref.m_task->m_runs)
    if (Each.m_number == Ref.m_run && Each.m_phase == RunPhase::Running)
      return &Each;
  return nullptr;
}

/// Notes which services are over their targets; returns whether one has been
/// for `Limit`.
bool noteOver(PlannedWorker &Worker, TimePoint Now, Milliseconds Limit) {
  bool IsHarmed = false;
  Worker.m_isOver = false;
  for (const RunRef &Each : Worker.m_runs) {
    if (!Each.m_task->m_step->m_spec->m_isService)
      continue;
    const bool IsOver = tailOf(Each) > 1.0;
    Worker.m_isOver = Worker.m_isOver || IsOver;
    for (PlannedRun &Run : Each.m_task->m_runs) {
      if (Run.m_number != Each.m_run)
        continue;
      if (IsOver && !Run.m_isOver)
        Run.m_overSince = Now;
      Run.m_isOver = IsOver;
      IsHarmed = IsHarmed || (IsOver && Now - Run.m_overSince >= Limit);
    }
  }
  return IsHarmed;
}

} // namespace

void Pacing::adjust(PlannedWorker &Worker, const Interference &Learned,
                    TimePoint Now) const {
  const bool IsHarmed = noteOver(Worker, Now, m_options.m_harmTime);
  if (Worker.m_fillers == 0)
    return;
  if (IsHarmed && halt(Worker, Now)) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
    return;
  }
  if (IsHarmed)
    return;
  std::vector<Pressing> Fillers;
  for (const RunRef &Each : Worker.m_runs) {
    const PlannedStep &Step = *Each.m_task->m_step;
    if (PlannedRun *Run = fillerRun(Each))
      Fillers.push_back({&Step, Run, demandOf(*Step.m_spec, *Run, Now), 1.0});
  }
  for (const RunRef &Each : Worker.m_runs)
    if (Each.m_task->m_step->m_spec->m_isService)
      fit(Fillers, Worker, Each, Learned, Now);
  if (Worker.m_services > 0)
    fitProcessors(Fillers, Worker, Learned, Now);
  bool IsChanged = false;
  for (const Pressing &Each : Fillers)
    IsChanged = take(Each, Now) || IsChanged;
  if (IsChanged) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
  }
}

bool Pacing::halt(PlannedWorker &Worker, TimePoint Now) const {
  bool IsChanged = false;
  for (const RunRef &Each : Worker.m_runs) {
    PlannedRun *Run = fillerRun(Each);
    if (!Run || Run->m_pace == 0)
      continue;
    if (Run->m_pace == FullPace)
      Run->m_slowSince = Now;
    Run->m_pace = 0;
    IsChanged = true;
  }
  return IsChanged;
}

double Pacing::demandOf(const StepSpec &Spec, const PlannedRun &Run,
                        TimePoint Now) const {
  const auto Request = static_cast<double>(Spec.m_request.m_milliProcessors);
  // What it used at a pace says what it will use at another, once it shows.
  const bool IsSettled =
      Now - Run.m_confirmedAt >= m_options.m_settleTime &&
      Now - Run.m_worker->m_pacedAt >= m_options.m_settleTime;
  constexpr int TellingPace = 50;
  constexpr double Spread = 1.2;
  if (!IsSettled || Run.m_paceSent < TellingPace)
    return Request;
  // It may use more again at any moment.
  constexpr double Least = 0.5;
  return std::clamp(Spread * static_cast<double>(Run.m_figure) * FullPace /
                        Run.m_paceSent,
                    Least * Request, Request);
}

void Pacing::slow(const Group &Of, double Excess) {
  if (Excess <= 0.0 || Of.m_pressed <= 0.0)
    return;
  const double Share = std::max(0.0, 1.0 - Excess / Of.m_pressed);
  for (Pressing *Each : Of.m_members)
    Each->m_pace *= Share;
}

void Pacing::fit(std::vector<Pressing> &Fillers, const PlannedWorker &Worker,
                 const RunRef &Service, const Interference &Learned,
                 TimePoint Now) const {
  const StepSpec &Spec = *Service.m_task->m_step->m_spec;
  if (Spec.m_targetTail <= Milliseconds::zero())
    return;
  const ImageNumber Image = Service.m_task->m_step->m_image;
  Group Hard;
  Group Light;
  for (Pressing &Each : Fillers) {
    const double Part =
        Learned.added(Worker, Image, Each.m_step->m_image, Each.m_demand);
    Group &Of = Part < LightPart ? Light : Hard;
    Of.m_members.push_back(&Each);
    Of.m_pressed += Part * Each.m_pace;
  }
  // Those that press lightly may bring it closer to its target.
  const double Room = Learned.roomOf(Service, Now, m_options.m_ahead);
  slow(Hard, Hard.m_pressed + Light.m_pressed - Room);
  if (Light.m_pressed >= LightPart)
    slow(Light, Light.m_pressed - Room - Learned.slackOf(Service));
}

void Pacing::fitProcessors(std::vector<Pressing> &Fillers,
                           const PlannedWorker &Worker,
                           const Interference &Learned, TimePoint Now) const {
  const double Idle =
      Worker.leftBy(Learned.processorsOf(Worker, Now, m_options.m_ahead));
  Group All;
  for (Pressing &Each : Fillers) {
    All.m_members.push_back(&Each);
    All.m_pressed += Each.m_demand * Each.m_pace;
  }
  slow(All, All.m_pressed - std::max(0.0, Idle));
}

bool Pacing::take(const Pressing &Planned, TimePoint Now) const {
  PlannedRun &Run = *Planned.m_run;
  int Pace = static_cast<int>(Planned.m_pace * FullPace);
  if (Pace < m_options.m_leastPace)
    Pace = 0;
  const int Change = Pace - Run.m_pace;
  const bool IsEnd = Pace == 0 || Pace == FullPace;
  if (Change == 0 || (!IsEnd && Change < m_options.m_leastRaise &&
                      -Change < m_options.m_leastFall))
    return false;
  if (Run.m_pace == FullPace)
    Run.m_slowSince = Now;
  Run.m_pace = Pace;
  return true;
}

} // namespace catkinseam
