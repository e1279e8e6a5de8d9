// Throttles fillers by the tail latencies of services.
#include "catkinseam/scheduler/filler_throttle.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr int FullCpuRatePercent = 100;
/// A filler that adds less load than this matters only together with others.
constexpr double LowImpactLoad = 0.03;

/// Returns the referenced run if it is a running filler, else null.
RunInfo *findRunningFiller(const RunRef &Ref) {
  if (!Ref.m_task->m_step->m_spec->m_isFiller)
    return nullptr;
  for (RunInfo &Run : Ref.m_task->m_runs)
    if (Run.m_number == Ref.m_run && Run.m_phase == RunPhase::Running)
      return &Run;
  return nullptr;
}

/// Records which services exceed their targets; returns whether one has done so
/// for at least `Limit`.
bool updateViolations(WorkerInfo &Worker, TimePoint Now, Milliseconds Limit) {
  bool IsExceeded = false;
  Worker.m_hasServiceOverTarget = false;
  for (const RunRef &Ref : Worker.m_runs) {
    if (!Ref.m_task->m_step->m_spec->m_isService)
      continue;
    const bool IsOver = tailLatencyRatio(Ref) > 1.0;
    Worker.m_hasServiceOverTarget = Worker.m_hasServiceOverTarget || IsOver;
    for (RunInfo &Run : Ref.m_task->m_runs) {
      if (Run.m_number != Ref.m_run)
        continue;
      if (IsOver && !Run.m_isOverTarget)
        Run.m_overTargetSince = Now;
      Run.m_isOverTarget = IsOver;
      IsExceeded =
          IsExceeded || (IsOver && Now - Run.m_overTargetSince >= Limit);
    }
  }
  return IsExceeded;
}

} // namespace

void FillerThrottle::adjust(WorkerInfo &Worker, const InterferenceModel &Model,
                            TimePoint Now) const {
  const bool MustPause =
      updateViolations(Worker, Now, m_options.m_maxViolationTime);
  if (Worker.m_fillers == 0)
    return;
  if (MustPause && pauseFillers(Worker, Now)) {
    Worker.m_throttledAt = Now;
    Worker.m_areLoadHeadroomsStale = true;
    return;
  }
  if (MustPause)
    return;
  std::vector<FillerPlan> Fillers;
  for (const RunRef &Ref : Worker.m_runs) {
    const StepInfo &Step = *Ref.m_task->m_step;
    if (RunInfo *Run = findRunningFiller(Ref))
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
    Worker.m_throttledAt = Now;
    Worker.m_areLoadHeadroomsStale = true;
  }
}

bool FillerThrottle::pauseFillers(WorkerInfo &Worker, TimePoint Now) const {
  bool IsChanged = false;
  for (const RunRef &Ref : Worker.m_runs) {
    RunInfo *Run = findRunningFiller(Ref);
    if (!Run || Run->m_cpuRatePercent == 0)
      continue;
    if (Run->m_cpuRatePercent == FullCpuRatePercent)
      Run->m_throttledSince = Now;
    Run->m_cpuRatePercent = 0;
    IsChanged = true;
  }
  return IsChanged;
}

double FillerThrottle::estimateDemand(const StepSpec &Spec, const RunInfo &Run,
                                      TimePoint Now) const {
  const auto Request = static_cast<double>(Spec.m_request.m_milliProcessors);
  // The reported use is extrapolated to the full CPU rate, but only once
  // reports reflect the current CPU rate and only if that is not too low.
  const bool IsSettled =
      Now - Run.m_confirmedAt >= m_options.m_settleTime &&
      Now - Run.m_worker->m_throttledAt >= m_options.m_settleTime;
  constexpr int MinEstimateRatePercent = 50;
  constexpr double SafetyFactor = 1.2;
  if (!IsSettled || Run.m_confirmedCpuRatePercent < MinEstimateRatePercent)
    return Request;
  // The filler's use may rise again at any time.
  constexpr double MinFraction = 0.5;
  return std::clamp(SafetyFactor * static_cast<double>(Run.m_measurement) *
                        FullCpuRatePercent / Run.m_confirmedCpuRatePercent,
                    MinFraction * Request, Request);
}

void FillerThrottle::reduce(const FillerGroup &Target, double Excess) {
  if (Excess <= 0.0 || Target.m_total <= 0.0)
    return;
  const double Factor = std::max(0.0, 1.0 - Excess / Target.m_total);
  for (FillerPlan *Member : Target.m_members)
    Member->m_cpuRateFraction *= Factor;
}

void FillerThrottle::limitAddedLoad(std::vector<FillerPlan> &Fillers,
                                    const WorkerInfo &Worker,
                                    const RunRef &Service,
                                    const InterferenceModel &Model,
                                    TimePoint Now) const {
  const StepSpec &Spec = *Service.m_task->m_step->m_spec;
  if (Spec.m_targetTailLatency <= Milliseconds::zero())
    return;
  const ImageIndex Image = Service.m_task->m_step->m_image;
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

void FillerThrottle::limitProcessorUse(std::vector<FillerPlan> &Fillers,
                                       const WorkerInfo &Worker,
                                       const InterferenceModel &Model,
                                       TimePoint Now) const {
  const double Free = Worker.freeMilliProcessors(
      Model.maxServiceProcessors(Worker, Now, m_options.m_horizon));
  FillerGroup All;
  for (FillerPlan &Filler : Fillers) {
    All.m_members.push_back(&Filler);
    All.m_total += Filler.m_milliProcessors * Filler.m_cpuRateFraction;
  }
  reduce(All, All.m_total - std::max(0.0, Free));
}

bool FillerThrottle::applyCpuRate(const FillerPlan &Plan, TimePoint Now) const {
  RunInfo &Run = *Plan.m_run;
  int RatePercent =
      static_cast<int>(Plan.m_cpuRateFraction * FullCpuRatePercent);
  if (RatePercent < m_options.m_minCpuRatePercent)
    RatePercent = 0;
  const int Change = RatePercent - Run.m_cpuRatePercent;
  const bool IsZeroOrFull =
      RatePercent == 0 || RatePercent == FullCpuRatePercent;
  if (Change == 0 ||
      (!IsZeroOrFull && Change < m_options.m_minIncreasePercent &&
       -Change < m_options.m_minDecreasePercent))
    return false;
  if (Run.m_cpuRatePercent == FullCpuRatePercent)
    Run.m_throttledSince = Now;
  Run.m_cpuRatePercent = RatePercent;
  return true;
}

} // namespace catkinseam
