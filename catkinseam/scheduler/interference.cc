// Least-squares fit of the load that fillers add to services.
#include "catkinseam/scheduler/interference.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

/// Progress, in percent, of a service that is serving.
constexpr std::int64_t ServingPercent = 100;

/// Returns thousandths of a processor, at least 1.
double processorCapacity(const PlannedWorker &Worker) {
  return static_cast<double>(
      std::max<std::int64_t>(1, Worker.m_report.m_capacity.m_milliProcessors));
}

} // namespace

const PlannedRun *runOf(const RunRef &Ref) {
  for (const PlannedRun &Run : Ref.m_task->m_runs)
    if (Run.m_number == Ref.m_run)
      return &Run;
  return nullptr;
}

double tailOf(const RunRef &Ref) {
  const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
  const PlannedRun *Run = runOf(Ref);
  if (!Run || !Spec.m_isService || Spec.m_targetTail <= Milliseconds::zero() ||
      Run->m_phase != RunPhase::Running || Run->m_percent != ServingPercent)
    return 0.0;
  return static_cast<double>(Run->m_figure) /
         static_cast<double>(Spec.m_targetTail.count());
}

Interference::Knowledge Interference::knowledge() const {
  Knowledge State;
  State.m_images.resize(m_imageNumbers.size());
  for (const auto &[Image, Number] : m_imageNumbers)
    State.m_images[Number] = Image;
  State.m_fillers.assign(m_fillers.begin(), m_fillers.end());
  for (ImageNumber Number = 0; Number < m_fits.size(); ++Number) {
    const Fit &ServiceFit = m_fits[Number];
    if (ServiceFit.m_minTail > 0.0)
      State.m_services.push_back(
          {State.m_images[Number], ServiceFit.m_normalMatrix,
           ServiceFit.m_normalVector, ServiceFit.m_minTail});
  }
  State.m_periodErrors.assign(m_periodErrors.begin(), m_periodErrors.end());
  return State;
}

void Interference::adopt(const Knowledge &State, TimePoint Now) {
  if (!m_imageNumbers.empty())
    return;
  for (const std::string &Image : State.m_images)
    numberOf(Image);
  m_fillers.insert(State.m_fillers.begin(), State.m_fillers.end());
  if (State.m_periodErrors.size() == m_periodErrors.size())
    std::copy(State.m_periodErrors.begin(), State.m_periodErrors.end(),
              m_periodErrors.begin());
  for (const Knowledge::Service &Service : State.m_services) {
    Fit &ServiceFit = m_fits[numberOf(Service.m_image)];
    const bool IsSquare =
        Service.m_normalMatrix.size() == Service.m_normalVector.size() &&
        Service.m_normalVector.size() <= m_imageNumbers.size() &&
        std::all_of(Service.m_normalMatrix.begin(),
                    Service.m_normalMatrix.end(),
                    [&](const std::vector<double> &Row) {
                      return Row.size() == Service.m_normalVector.size();
                    });
    if (!IsSquare)
      continue;
    ServiceFit.m_normalMatrix = Service.m_normalMatrix;
    ServiceFit.m_normalVector = Service.m_normalVector;
    ServiceFit.m_minTail = Service.m_minTail;
    ServiceFit.m_decayedAt = Now;
    ServiceFit.m_coefficients.assign(ServiceFit.m_normalVector.size(),
                                     m_options.m_priorCoefficient);
    resizeToImages(ServiceFit);
    solveCoefficients(ServiceFit);
  }
}

ImageNumber Interference::numberOf(const std::string &Image) {
  const ImageNumber Number =
      m_imageNumbers.emplace(Image, m_imageNumbers.size()).first->second;
  if (m_fits.size() <= Number)
    m_fits.resize(Number + 1);
  return Number;
}

void Interference::resizeToImages(Fit &Target) const {
  const std::size_t Size = m_imageNumbers.size();
  if (Target.m_normalVector.size() == Size)
    return;
  Target.m_normalVector.resize(Size, 0.0);
  Target.m_coefficients.resize(Size, m_options.m_priorCoefficient);
  Target.m_normalMatrix.resize(Size);
  for (std::vector<double> &Row : Target.m_normalMatrix)
    Row.resize(Size, 0.0);
}

void Interference::decay(Fit &Target, TimePoint Now) const {
  const double HalfLives =
      std::chrono::duration<double>(Now - Target.m_decayedAt).count() /
      std::chrono::duration<double>(m_options.m_halfLife).count();
  Target.m_decayedAt = Now;
  const double Factor = std::exp2(-std::max(0.0, HalfLives));
  for (std::vector<double> &Row : Target.m_normalMatrix)
    for (double &Value : Row)
      Value *= Factor;
  for (double &Value : Target.m_normalVector)
    Value *= Factor;
}

double Interference::idleTail(ImageNumber Service) const {
  const double MinTail =
      Service < m_fits.size() ? m_fits[Service].m_minTail : 0.0;
  return MinTail > 0.0 ? MinTail * m_options.m_idleTailFactor
                       : m_options.m_defaultIdleTail;
}

double Interference::loadFromTail(ImageNumber Service, double Tail) const {
  const double IdleTail = idleTail(Service);
  return 1.0 - IdleTail / std::max(Tail, IdleTail);
}

void Interference::noteHeldBack(double Share) {
  m_suspendedShare +=
      m_options.m_suspendedShareSmoothing * (Share - m_suspendedShare);
}

double Interference::loadLimit(const PlannedStep &Service) const {
  const double SuspendedFactor =
      std::min(1.0, m_suspendedShare / m_options.m_maxLimitSuspendedShare);
  const double InstanceFactor =
      std::min(1.0, (static_cast<double>(Service.m_spec->m_count) - 1.0) /
                        (m_options.m_maxLimitInstances - 1.0));
  return loadFromTail(Service.m_image, m_options.m_minTailLimit +
                                           SuspendedFactor * InstanceFactor *
                                               (m_options.m_maxTailLimit -
                                                m_options.m_minTailLimit));
}

double Interference::lowImpactLoadHeadroom(const RunRef &Service) const {
  const PlannedStep &Step = *Service.m_task->m_step;
  return std::max(0.0, loadFromTail(Step.m_image, m_options.m_maxTailLimit) -
                           loadLimit(Step));
}

double Interference::loadHeadroom(const RunRef &Service, TimePoint Begin,
                                  Duration Length) const {
  return loadLimit(*Service.m_task->m_step) -
         predictIntrinsicLoad(Service, Begin, Length);
}

Interference::FillerShares Interference::fillerShares(PlannedWorker &Worker,
                                                      TimePoint Now) const {
  FillerShares Shares(m_imageNumbers.size(), 0.0);
  for (const RunRef &Ref : Worker.m_runs) {
    const PlannedStep &Step = *Ref.m_task->m_step;
    const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Ref) : nullptr;
    if (Run && Run->m_figure > 0)
      Shares[Step.m_image] +=
          static_cast<double>(Run->m_figure) / processorCapacity(Worker);
  }
  const Duration Window = m_options.m_reportWindow;
  std::erase_if(Worker.m_endedFillers,
                [&](const PlannedWorker::EndedFiller &Ended) {
                  return Now - Ended.m_endedAt >= Window;
                });
  for (const PlannedWorker::EndedFiller &Ended : Worker.m_endedFillers) {
    const double Weight =
        1.0 - std::chrono::duration<double>(Now - Ended.m_endedAt) / Window;
    Shares[Ended.m_image] += Weight * static_cast<double>(Ended.m_figure) /
                             processorCapacity(Worker);
  }
  return Shares;
}

void Interference::observe(PlannedWorker &Worker, TimePoint Now) {
  const Duration Elapsed = Now - Worker.m_observedAt;
  if (Elapsed < m_options.m_minReportInterval)
    return;
  Worker.m_observedAt = Now;
  for (const RunRef &Ref : Worker.m_runs)
    if (Ref.m_task->m_step->m_spec->m_isFiller)
      m_fillers.insert(Ref.m_task->m_step->m_image);
  const FillerShares Shares = fillerShares(Worker, Now);
  for (const RunRef &Ref : Worker.m_runs) {
    const double Tail = tailOf(Ref);
    if (Tail <= 0.0)
      continue;
    PlannedStep &Step = *Ref.m_task->m_step;
    if (!Step.m_habits)
      Step.m_habits = std::make_unique<ServiceHabits>();
    Fit &ServiceFit = m_fits[Step.m_image];
    if (ServiceFit.m_minTail == 0.0 || Tail < ServiceFit.m_minTail)
      ServiceFit.m_minTail = Tail;
    const double Load = loadFromTail(Step.m_image, Tail);
    updateFit(ServiceFit, *Step.m_habits, Load, Shares, Now);
    double FillerLoad = 0.0;
    for (ImageNumber Filler = 0; Filler < Shares.size(); ++Filler)
      if (Shares[Filler] > 0.0)
        FillerLoad +=
            interferenceCoefficient(Step.m_image, Filler) * Shares[Filler];
    updateIntrinsicLoad(Ref, Load, FillerLoad, Elapsed, Now);
  }
}

void Interference::updateFit(Fit &Target, ServiceHabits &Baseline, double Load,
                             const FillerShares &Shares, TimePoint Now) const {
  const double Decay = std::exp(
      -std::chrono::duration<double>(Now - Baseline.m_meanAt).count() /
      std::chrono::duration<double>(m_options.m_meanTimeConstant).count());
  Baseline.m_meanAt = Now;
  Baseline.m_weight *= Decay;
  Baseline.m_shares.resize(Shares.size(), 0.0);
  resizeToImages(Target);
  constexpr double MinWeight = 0.3;
  if (Baseline.m_weight >= MinWeight) {
    // A mean over few reports is noisy, so its difference weighs less.
    const double Weight = Baseline.m_weight / (1.0 + Baseline.m_weight);
    FillerShares Differences = Shares;
    double Expected = 0.0;
    for (ImageNumber Image = 0; Image < Shares.size(); ++Image) {
      Differences[Image] -= Baseline.m_shares[Image];
      Expected += Target.m_coefficients[Image] * Differences[Image];
    }
    const double Difference =
        std::clamp(Load - Baseline.m_load, Expected - m_options.m_maxResidual,
                   Expected + m_options.m_maxResidual);
    decay(Target, Now);
    for (ImageNumber Row = 0; Row < Shares.size(); ++Row) {
      if (Differences[Row] == 0.0)
        continue;
      for (ImageNumber Column = 0; Column < Shares.size(); ++Column)
        Target.m_normalMatrix[Row][Column] +=
            Weight * Differences[Row] * Differences[Column];
      Target.m_normalVector[Row] += Weight * Differences[Row] * Difference;
    }
  }
  Baseline.m_weight += 1.0;
  Baseline.m_load += (Load - Baseline.m_load) / Baseline.m_weight;
  for (ImageNumber Image = 0; Image < Shares.size(); ++Image)
    Baseline.m_shares[Image] +=
        (Shares[Image] - Baseline.m_shares[Image]) / Baseline.m_weight;
  if (Now - Target.m_fittedAt >= m_options.m_fitInterval) {
    Target.m_fittedAt = Now;
    solveCoefficients(Target);
  }
}

void Interference::updateIntrinsicLoad(const RunRef &Service, double Load,
                                       double FillerLoad, Duration Elapsed,
                                       TimePoint Now) {
  ServiceHabits &Baseline = *Service.m_task->m_step->m_habits;
  const TimePoint Time = Now - m_options.m_reportWindow / 2;
  const double Intrinsic = Load - FillerLoad;
  Baseline.m_swing.observe(Time, Intrinsic);
  if (Now - Baseline.m_fittedAt >= m_options.m_periodicLoadFitInterval) {
    Baseline.m_fittedAt = Now;
    Baseline.m_swing.fit(m_periodErrors);
  }
  for (PlannedRun &Run : Service.m_task->m_runs) {
    if (Run.m_number != Service.m_run)
      continue;
    const double Seconds = std::chrono::duration<double>(Elapsed).count();
    constexpr double MaxTrendSeconds = 3.0;
    const double Trend = Run.m_ownLoad > 0.0 && Seconds < MaxTrendSeconds
                             ? (Intrinsic - Run.m_ownLoad) / Seconds
                             : 0.0;
    Run.m_ownTrend += m_options.m_trendSmoothing * (Trend - Run.m_ownTrend);
    Run.m_ownLoad = Intrinsic;
    const double Deviation = Baseline.m_swing.hasEnoughHistory()
                                 ? Intrinsic - Baseline.m_swing.loadAt(Time)
                                 : 0.0;
    Run.m_ownExcess +=
        m_options.m_deviationSmoothing * (Deviation - Run.m_ownExcess);
    Run.m_ownAt = Time;
  }
}

double Interference::predictIntrinsicLoad(const RunRef &Service,
                                          TimePoint Begin,
                                          Duration Length) const {
  const PlannedRun *Run = runOf(Service);
  const ServiceHabits *Baseline = Service.m_task->m_step->m_habits.get();
  if (Baseline && Baseline->m_swing.hasEnoughHistory()) {
    const Duration Age = Begin + Length / 2 - (Run ? Run->m_ownAt : Begin);
    const double Decay = std::exp(
        -std::chrono::duration<double>(Age).count() /
        std::chrono::duration<double>(m_options.m_deviationTimeConstant)
            .count());
    return Baseline->m_swing.maxLoad(Begin, Length) +
           (Run ? Run->m_ownExcess * Decay : 0.0);
  }
  if (!Run || tailOf(Service) <= 0.0)
    return m_options.m_defaultLoad;
  const double HorizonSeconds =
      std::chrono::duration<double>(m_options.m_trendHorizon).count();
  return std::max(m_options.m_defaultLoad,
                  Run->m_ownLoad +
                      std::max(0.0, Run->m_ownTrend) * HorizonSeconds);
}

void Interference::solveCoefficients(Fit &Target) const {
  // Gauss-Jordan elimination; the prior weights keep the pivots nonzero.
  const std::size_t Size = Target.m_normalVector.size();
  std::vector<std::vector<double>> Matrix = Target.m_normalMatrix;
  std::vector<double> Vector = Target.m_normalVector;
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Matrix[Index][Index] += m_options.m_priorWeight;
    Vector[Index] += m_options.m_priorWeight * m_options.m_priorCoefficient;
  }
  for (std::size_t Pivot = 0; Pivot < Size; ++Pivot) {
    for (std::size_t Row = 0; Row < Size; ++Row) {
      const double Ratio = Matrix[Row][Pivot] / Matrix[Pivot][Pivot];
      if (Row == Pivot || Ratio == 0.0)
        continue;
      for (std::size_t Column = Pivot; Column < Size; ++Column)
        Matrix[Row][Column] -= Ratio * Matrix[Pivot][Column];
      Vector[Row] -= Ratio * Vector[Pivot];
    }
  }
  for (std::size_t Index = 0; Index < Size; ++Index)
    Target.m_coefficients[Index] =
        std::max(0.0, Vector[Index] / Matrix[Index][Index]);
}

double Interference::interferenceCoefficient(ImageNumber Service,
                                             ImageNumber Filler) const {
  if (Service >= m_fits.size() ||
      Filler >= m_fits[Service].m_coefficients.size())
    return m_options.m_priorCoefficient;
  return m_fits[Service].m_coefficients[Filler];
}

double Interference::addedLoad(const PlannedWorker &Worker, ImageNumber Service,
                               ImageNumber Filler,
                               double MilliProcessors) const {
  return interferenceCoefficient(Service, Filler) * MilliProcessors /
         processorCapacity(Worker);
}

double Interference::maxServiceProcessors(const PlannedWorker &Worker,
                                          TimePoint Begin,
                                          Duration Length) const {
  double Total = 0.0;
  for (const RunRef &Ref : Worker.m_runs) {
    const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
    if (Spec.m_isService)
      Total += static_cast<double>(Spec.m_request.m_milliProcessors) *
               std::clamp(predictIntrinsicLoad(Ref, Begin, Length), 0.0, 1.0);
  }
  return Total;
}

void Interference::refreshLoadHeadrooms(PlannedWorker &Worker,
                                        TimePoint Now) const {
  Worker.m_areTailsStale = false;
  Worker.m_tails.clear();
  Worker.m_serviceUse =
      maxServiceProcessors(Worker, Now, m_options.m_placementHorizon);
  for (const RunRef &Ref : Worker.m_runs) {
    const PlannedStep &Step = *Ref.m_task->m_step;
    if (!Step.m_spec->m_isService ||
        Step.m_spec->m_targetTail <= Milliseconds::zero())
      continue;
    const double LoadHeadroom =
        loadLimit(Step) -
        predictIntrinsicLoad(Ref, Now, m_options.m_placementHorizon);
    const double Fraction = 1.0 / static_cast<double>(Step.m_spec->m_count);
    const auto Entry =
        std::find_if(Worker.m_tails.begin(), Worker.m_tails.end(),
                     [&](const PlannedWorker::ServiceTail &Tail) {
                       return Tail.m_image == Step.m_image;
                     });
    if (Entry == Worker.m_tails.end())
      Worker.m_tails.push_back({Step.m_image, LoadHeadroom, Fraction});
    else {
      Entry->m_room = std::min(Entry->m_room, LoadHeadroom);
      Entry->m_parts += Fraction;
    }
  }
  for (PlannedWorker::ServiceTail &Tail : Worker.m_tails) {
    for (const RunRef &Ref : Worker.m_runs) {
      const PlannedStep &Step = *Ref.m_task->m_step;
      const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Ref) : nullptr;
      if (Run)
        Tail.m_room -= addedLoad(
            Worker, Tail.m_image, Step.m_image,
            static_cast<double>(Step.m_spec->m_request.m_milliProcessors) *
                Run->m_pace / 100.0);
    }
  }
  if (m_fillers.empty())
    return;
  const auto Tolerated = std::count_if(
      m_fillers.begin(), m_fillers.end(), [&](ImageNumber Filler) {
        return offerTo(Worker, Filler, m_options.m_typicalFillerMilliProcessors,
                       Now)
                   .m_room >= 0.0;
      });
  Worker.m_bearable =
      static_cast<double>(Tolerated) / static_cast<double>(m_fillers.size());
}

Interference::Offer Interference::offerTo(PlannedWorker &Worker,
                                          ImageNumber Filler,
                                          double MilliProcessors,
                                          TimePoint Now) const {
  if (Worker.m_areTailsStale)
    refreshLoadHeadrooms(Worker, Now);
  Offer Result;
  for (const PlannedWorker::ServiceTail &Service : Worker.m_tails) {
    const double Added =
        addedLoad(Worker, Service.m_image, Filler, MilliProcessors);
    if (Added < m_options.m_minAddedLoad)
      continue;
    Result.m_pressed += Service.m_parts;
    Result.m_room = std::min(Result.m_room, Service.m_room - Added);
    Result.m_pace =
        std::min(Result.m_pace, std::max(0.0, Service.m_room / Added));
  }
  return Result;
}

} // namespace catkinseam
