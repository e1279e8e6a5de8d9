// Throttles fillers by the tail latencies of services.
#include "catkinseam/scheduler/pacing.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr int FullCpuRatePercent = 100;
/// A filler that adds less load than this matters only together with others.
constexpr double LowImpactLoad = 0.03;

/// Returns the referenced run if it is a running filler, else null.
PlannedRun *findRunningFiller(const RunRef &Ref) {
  if (!Ref.m_task->m_step->m_spec->m_isFiller)
    return nullptr;
  for (PlannedRun &Run : Ref.m_task->m_runs)
    if (Run.m_number == Ref.m_run && Run.m_phase == RunPhase::Running)
      return &Run;
  return nullptr;
}

/// Records which services exceed their targets; returns whether one has done so
/// for at least `Limit`.
bool updateViolations(PlannedWorker &Worker, TimePoint Now,
                      Milliseconds Limit) {
  bool IsExceeded = false;
  Worker.m_isOver = false;
  for (const RunRef &Ref : Worker.m_runs) {
    if (!Ref.m_task->m_step->m_spec->m_isService)
      continue;
    const bool IsOver = tailOf(Ref) > 1.0;
    Worker.m_isOver = Worker.m_isOver || IsOver;
    for (PlannedRun &Run : Ref.m_task->m_runs) {
      if (Run.m_number != Ref.m_run)
        continue;
      if (IsOver && !Run.m_isOver)
        Run.m_overSince = Now;
      Run.m_isOver = IsOver;
      IsExceeded = IsExceeded || (IsOver && Now - Run.m_overSince >= Limit);
    }
  }
  return IsExceeded;
}

} // namespace

void Pacing::adjust(PlannedWorker &Worker, const Interference &Model,
                    TimePoint Now) const {
  const bool MustPause =
      updateViolations(Worker, Now, m_options.m_maxViolationTime);
  if (Worker.m_fillers == 0)
    return;
  if (MustPause && pauseFillers(Worker, Now)) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
    return;
  }
  if (MustPause)
    return;
  std::vector<FillerPlan> Fillers;
  for (const RunRef &Ref : Worker.m_runs) {
    const PlannedStep &Step = *Ref.m_task->m_step;
    if (PlannedRun *Run = findRunningFiller(Ref))
      Fillers.push_back(
          {&Step, Run, estimateDemand(*Step.m_spec, *Run, Now), 1.0});
  }
  for (const RunRef &Ref : Worker.m_runs)
    if (Ref.m_task->m_step->m_spec->m_isService)
      limitAddedLoad(Fillers, Worker, Ref, Model, Now);
  if (Worker.m_services > 0)
    limitProcessorUse(Fillers, Worker, Model, Now);
  bool IsChanged = false;
  for (const FillerPlan &Plan : Fillers)
    IsChanged = applyCpuRate(Plan, Now) || IsChanged;
  if (IsChanged) {
    Worker.m_pacedAt = Now;
    Worker.m_areTailsStale = true;
  }
}

bool Pacing::pauseFillers(PlannedWorker &Worker, TimePoint Now) const {
  bool IsChanged = false;
  for (const RunRef &Ref : Worker.m_runs) {
    PlannedRun *Run = findRunningFiller(Ref);
    if (!Run || Run->m_pace == 0)
      continue;
    if (Run->m_pace == FullCpuRatePercent)
      Run->m_slowSince = Now;
    Run->m_pace = 0;
    IsChanged = true;
  }
  return IsChanged;
}

double Pacing::estimateDemand(const StepSpec &Spec, const PlannedRun &Run,
                              TimePoint Now) const {
  const auto Request = static_cast<double>(Spec.m_request.m_milliProcessors);
  // Use is extrapolated to the full CPU rate once reports reflect the
  // current one.
  const bool IsSettled =
      Now - Run.m_confirmedAt >= m_options.m_settleTime &&
      Now - Run.m_worker->m_pacedAt >= m_options.m_settleTime;
  // The use at lower CPU rates is not extrapolated.
  constexpr int MinEstimateRatePercent = 50;
  constexpr double SafetyFactor = 1.2;
  if (!IsSettled || Run.m_paceSent < MinEstimateRatePercent)
    return Request;
  // The filler's use may rise again at any time.
  constexpr double MinFraction = 0.5;
  return std::clamp(SafetyFactor * static_cast<double>(Run.m_figure) *
                        FullCpuRatePercent / Run.m_paceSent,
                    MinFraction * Request, Request);
}

void Pacing::reduce(const FillerGroup &Target, double Excess) {
  if (Excess <= 0.0 || Target.m_total <= 0.0)
    return;
  const double Factor = std::max(0.0, 1.0 - Excess / Target.m_total);
  for (FillerPlan *Member : Target.m_members)
    Member->m_cpuRateFraction *= Factor;
}

void Pacing::limitAddedLoad(std::vector<FillerPlan> &Fillers,
                            const PlannedWorker &Worker, const RunRef &Service,
                            const Interference &Model, TimePoint Now) const {
  const StepSpec &Spec = *Service.m_task->m_step->m_spec;
  if (Spec.m_targetTail <= Milliseconds::zero())
    return;
  const ImageNumber Image = Service.m_task->m_step->m_image;
  FillerGroup HighImpact;
  FillerGroup LowImpact;
  for (FillerPlan &Filler : Fillers) {
    const double Added = Model.addedLoad(Worker, Image, Filler.m_step->m_image,
                                         Filler.m_milliProcessors);
    FillerGroup &Target = Added < LowImpactLoad ? LowImpact : HighImpact;
    Target.m_members.push_back(&Filler);
    Target.m_total += Added * Filler.m_cpuRateFraction;
  }
  // Low-impact fillers may bring the service closer to its target.
  const double LoadHeadroom =
      Model.loadHeadroom(Service, Now, m_options.m_horizon);
  reduce(HighImpact, HighImpact.m_total + LowImpact.m_total - LoadHeadroom);
  if (LowImpact.m_total >= LowImpactLoad)
    reduce(LowImpact, LowImpact.m_total - LoadHeadroom -
                          Model.lowImpactLoadHeadroom(Service));
}

void Pacing::limitProcessorUse(std::vector<FillerPlan> &Fillers,
                               const PlannedWorker &Worker,
                               const Interference &Model, TimePoint Now) const {
  const double Free = Worker.leftBy(
      Model.maxServiceProcessors(Worker, Now, m_options.m_horizon));
  FillerGroup All;
  for (FillerPlan &Filler : Fillers) {
    All.m_members.push_back(&Filler);
    All.m_total += Filler.m_milliProcessors * Filler.m_cpuRateFraction;
  }
  reduce(All, All.m_total - std::max(0.0, Free));
}

bool Pacing::applyCpuRate(const FillerPlan &Plan, TimePoint Now) const {
  PlannedRun &Run = *Plan.m_run;
  int RatePercent =
      static_cast<int>(Plan.m_cpuRateFraction * FullCpuRatePercent);
  if (RatePercent < m_options.m_minCpuRatePercent)
    RatePercent = 0;
  const int Change = RatePercent - Run.m_pace;
  const bool IsLimit = RatePercent == 0 || RatePercent == FullCpuRatePercent;
  if (Change == 0 || (!IsLimit && Change < m_options.m_minIncreasePercent &&
                      -Change < m_options.m_minDecreasePercent))
    return false;
  if (Run.m_pace == FullCpuRatePercent)
    Run.m_slowSince = Now;
  Run.m_pace = RatePercent;
  return true;
}

} // namespace catkinseam
