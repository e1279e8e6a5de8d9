// Pace of fillers by the tails of the services beside them.
#include "catkinseam/scheduler/pacing.h"

#include <algorithm>
#include <map>

namespace catkinseam {

namespace {

constexpr int FullPace = 100;
/// A filler that adds less load than this is no cause.
constexpr double LeastPart = 0.01;

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
  if (Worker.m_services == 0)
    return;
  const bool IsHarmed = noteOver(Worker, Now, m_options.m_harmTime);
  if (Worker.m_fillers == 0)
    return;
  if (IsHarmed && halt(Worker, Now)) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
    return;
  }
  if (IsHarmed || Now - Worker.m_pacedAt < m_options.m_settleTime)
    return;
  if (slow(Worker, Learned, Now) || raise(Worker, Learned)) {
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

bool Pacing::slow(PlannedWorker &Worker, const Interference &Learned,
                  TimePoint Now) const {
  // The share of its pace that each cause is to keep.
  std::map<PlannedRun *, double> Kept;
  for (const RunRef &Service : Worker.m_runs) {
    const double Tail = tailOf(Service);
    const ImageNumber Image = Service.m_task->m_step->m_image;
    const double Room = Learned.roomAt(Image, Tail);
    if (Tail <= 0.0 || Room >= 0.0)
      continue;
    std::map<PlannedRun *, double> Parts;
    double Pressed = 0.0;
    for (const RunRef &Each : Worker.m_runs) {
      PlannedRun *Run = fillerRun(Each);
      if (!Run)
        continue;
      const double Part =
          Learned.added(Worker, Image, Each.m_task->m_step->m_image,
                        static_cast<double>(Run->m_figure));
      if (Part < LeastPart)
        continue;
      Parts[Run] = Part;
      Pressed += Part;
    }
    for (const auto &[Run, Part] : Parts) {
      const double Share = std::max(0.0, 1.0 + Room / Pressed);
      const auto Known = Kept.emplace(Run, Share).first;
      Known->second = std::min(Known->second, Share);
    }
  }
  bool IsChanged = false;
  for (const auto &[Run, Share] : Kept) {
    int Pace = static_cast<int>(Run->m_pace * Share);
    if (Pace < m_options.m_leastPace)
      Pace = 0;
    IsChanged = IsChanged || Pace != Run->m_pace;
    if (Run->m_pace == FullPace)
      Run->m_slowSince = Now;
    Run->m_pace = Pace;
  }
  return IsChanged;
}

bool Pacing::raise(PlannedWorker &Worker, const Interference &Learned) const {
  for (const RunRef &Each : Worker.m_runs) {
    PlannedRun *Run = fillerRun(Each);
    if (!Run || Run->m_pace > FullPace - 1)
      continue;
    const PlannedStep &Step = *Each.m_task->m_step;
    const auto Request =
        static_cast<double>(Step.m_spec->m_request.m_milliProcessors);
    // The largest of a few raises that leaves room.
    for (const int Pace : {FullPace, Run->m_pace + 50, Run->m_pace + 25}) {
      if (Pace > FullPace ||
          (Pace < FullPace && Pace - Run->m_pace < m_options.m_leastRaise))
        continue;
      const double More = Request * (Pace - Run->m_pace) / FullPace;
      if (Learned.roomWith(Worker, Step.m_image, More) < 0.0)
        continue;
      Run->m_pace = Pace;
      return true;
    }
  }
  return false;
}

} // namespace catkinseam
