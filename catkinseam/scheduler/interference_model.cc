// Least-squares fit of the load that fillers add to services.
#include "catkinseam/scheduler/interference_model.h"

#include "catkinseam/base/codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace catkinseam {

namespace {

/// Progress, in percent, of a service that is serving.
constexpr std::int64_t ServingPercent = 100;

/// Returns thousandths of a processor, at least 1.
double processorCapacity(const WorkerInfo &Worker) {
  return static_cast<double>(std::max<std::int64_t>(
      1, Worker.m_registration.m_capacity.m_milliProcessors));
}

} // namespace

const RunInfo *findReferencedRun(const RunRef &Ref) {
  for (const RunInfo &Run : Ref.m_task->m_runs)
    if (Run.m_number == Ref.m_run)
      return &Run;
  return nullptr;
}

double tailLatencyRatio(const RunRef &Ref) {
  const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
  const RunInfo *Run = findReferencedRun(Ref);
  if (!Run || !Spec.m_isService ||
      Spec.m_targetTailLatency <= Milliseconds::zero() ||
      Run->m_phase != RunPhase::Running || Run->m_percent != ServingPercent)
    return 0.0;
  return static_cast<double>(Run->m_measurement) /
         static_cast<double>(Spec.m_targetTailLatency.count());
}

InterferenceModel::State InterferenceModel::state(double MinWeight) const {
  State Stored;
  constexpr std::size_t Unused = std::numeric_limits<std::size_t>::max();
  std::vector<std::size_t> Positions(m_images.size(), Unused);
  for (ImageIndex Image = 0; Image < m_images.size(); ++Image) {
    if (m_images[Image].m_users == 0 ||
        Stored.m_images.size() > std::numeric_limits<std::uint16_t>::max())
      continue;
    Positions[Image] = Stored.m_images.size();
    Stored.m_images.push_back(m_images[Image].m_name);
  }
  const auto PositionOf = [&](ImageIndex Image) {
    return static_cast<std::uint16_t>(Positions[Image]);
  };
  for (const ImageIndex Filler : m_fillers)
    if (Positions[Filler] != Unused)
      Stored.m_fillers.push_back(PositionOf(Filler));
  for (ImageIndex Image = 0; Image < m_fits.size(); ++Image) {
    const Fit &ServiceFit = m_fits[Image];
    if (ServiceFit.m_minTail <= 0.0 || Positions[Image] == Unused)
      continue;
    State::Service &Service = Stored.m_services.emplace_back();
    Service.m_image = PositionOf(Image);
    Service.m_minTail = ServiceFit.m_minTail;
    const std::size_t Size = ServiceFit.m_normalVector.size();
    const auto IsStored = [&](ImageIndex Filler) {
      const double Weight = ServiceFit.m_normalMatrix[Filler][Filler];
      return Positions[Filler] != Unused && Weight > 0.0 && Weight >= MinWeight;
    };
    for (ImageIndex Row = 0; Row < Size; ++Row) {
      if (!IsStored(Row))
        continue;
      Service.m_normalVector.push_back(
          {PositionOf(Row),
           static_cast<float>(ServiceFit.m_normalVector[Row])});
      for (ImageIndex Column = 0; Column <= Row; ++Column)
        if (IsStored(Column) && ServiceFit.m_normalMatrix[Row][Column] != 0.0)
          Service.m_normalMatrix.push_back(
              {PositionOf(Row), PositionOf(Column),
               static_cast<float>(ServiceFit.m_normalMatrix[Row][Column])});
    }
  }
  Stored.m_periodErrors.assign(m_periodErrors.begin(), m_periodErrors.end());
  return Stored;
}

InterferenceModel::EncodedState
InterferenceModel::encodedState(std::size_t MaxBytes) const {
  constexpr double FirstMinWeight = 1e-6;
  constexpr double LastMinWeight = 1e3;
  constexpr double Growth = 4.0;
  for (double MinWeight = 0.0; MinWeight < LastMinWeight;
       MinWeight = std::max(FirstMinWeight, MinWeight * Growth)) {
    std::string Bytes = encode(state(MinWeight));
    if (Bytes.size() <= MaxBytes)
      return {std::move(Bytes), MinWeight};
  }
  return {"", LastMinWeight};
}

void InterferenceModel::restore(const State &Stored, TimePoint Now) {
  if (!m_imageIndices.empty())
    return;
  std::vector<ImageIndex> Numbers;
  for (const std::string &Image : Stored.m_images)
    Numbers.push_back(numberOf(Image));
  for (const std::uint16_t Filler : Stored.m_fillers)
    if (Filler < Numbers.size())
      m_fillers.insert(Numbers[Filler]);
  if (Stored.m_periodErrors.size() == m_periodErrors.size())
    std::copy(Stored.m_periodErrors.begin(), Stored.m_periodErrors.end(),
              m_periodErrors.begin());
  for (const State::Service &Service : Stored.m_services) {
    if (Service.m_image >= Numbers.size())
      continue;
    Fit &ServiceFit = m_fits[Numbers[Service.m_image]];
    resizeToImages(ServiceFit);
    ServiceFit.m_minTail = Service.m_minTail;
    ServiceFit.m_decayedAt = Now;
    for (const State::VectorEntry &Each : Service.m_normalVector)
      if (Each.m_row < Numbers.size())
        ServiceFit.m_normalVector[Numbers[Each.m_row]] = Each.m_value;
    for (const State::MatrixEntry &Each : Service.m_normalMatrix) {
      if (Each.m_row >= Numbers.size() || Each.m_column >= Numbers.size())
        continue;
      const ImageIndex Row = Numbers[Each.m_row];
      const ImageIndex Column = Numbers[Each.m_column];
      ServiceFit.m_normalMatrix[Row][Column] = Each.m_value;
      ServiceFit.m_normalMatrix[Column][Row] = Each.m_value;
    }
    solveCoefficients(ServiceFit);
  }
}

ImageIndex InterferenceModel::numberOf(const std::string &Image) {
  if (const auto Found = m_imageIndices.find(Image);
      Found != m_imageIndices.end())
    return Found->second;
  ImageIndex Number = m_images.size();
  if (m_images.size() >= m_options.m_maxImages) {
    const auto Free =
        std::find_if(m_images.begin(), m_images.end(),
                     [](const ImageInfo &Each) { return Each.m_users == 0; });
    if (Free != m_images.end())
      Number = static_cast<ImageIndex>(Free - m_images.begin());
  }
  if (Number == m_images.size()) {
    m_images.emplace_back();
    m_fits.emplace_back();
  } else {
    forgetImage(Number);
  }
  m_images[Number] = {Image, 0};
  m_imageIndices[Image] = Number;
  return Number;
}

ImageIndex InterferenceModel::acquireImage(const std::string &Image) {
  const ImageIndex Number = numberOf(Image);
  ++m_images[Number].m_users;
  return Number;
}

void InterferenceModel::releaseImage(ImageIndex Image) {
  --m_images[Image].m_users;
}

void InterferenceModel::forgetImage(ImageIndex Image) {
  m_imageIndices.erase(m_images[Image].m_name);
  m_fillers.erase(Image);
  m_fits[Image] = {};
  for (Fit &Each : m_fits) {
    if (Image >= Each.m_normalVector.size())
      continue;
    Each.m_normalVector[Image] = 0.0;
    Each.m_coefficients[Image] = m_options.m_priorCoefficient;
    std::fill(Each.m_normalMatrix[Image].begin(),
              Each.m_normalMatrix[Image].end(), 0.0);
    for (std::vector<double> &Row : Each.m_normalMatrix)
      Row[Image] = 0.0;
  }
}

void InterferenceModel::resizeToImages(Fit &Target) const {
  const std::size_t Size = m_images.size();
  if (Target.m_normalVector.size() == Size)
    return;
  Target.m_normalVector.resize(Size, 0.0);
  Target.m_coefficients.resize(Size, m_options.m_priorCoefficient);
  Target.m_normalMatrix.resize(Size);
  for (std::vector<double> &Row : Target.m_normalMatrix)
    Row.resize(Size, 0.0);
}

void InterferenceModel::decay(Fit &Target, TimePoint Now) const {
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

double InterferenceModel::idleTail(ImageIndex Service) const {
  const double MinTail =
      Service < m_fits.size() ? m_fits[Service].m_minTail : 0.0;
  return MinTail > 0.0 ? MinTail * m_options.m_idleTailFactor
                       : m_options.m_defaultIdleTail;
}

double InterferenceModel::loadFromTail(ImageIndex Service, double Tail) const {
  const double IdleTail = idleTail(Service);
  return 1.0 - IdleTail / std::max(Tail, IdleTail);
}

void InterferenceModel::updateSuspendedShare(double Share) {
  m_suspendedShare +=
      m_options.m_suspendedShareSmoothing * (Share - m_suspendedShare);
}

double InterferenceModel::loadLimit(const StepInfo &Service) const {
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

double InterferenceModel::lowImpactLoadHeadroom(const RunRef &Service) const {
  const StepInfo &Step = *Service.m_task->m_step;
  return std::max(0.0, loadFromTail(Step.m_image, m_options.m_maxTailLimit) -
                           loadLimit(Step));
}

double InterferenceModel::loadHeadroom(const RunRef &Service, TimePoint Begin,
                                       Duration Length) const {
  return loadLimit(*Service.m_task->m_step) -
         predictIntrinsicLoad(Service, Begin, Length);
}

InterferenceModel::FillerShares
InterferenceModel::fillerShares(WorkerInfo &Worker, TimePoint Now) const {
  FillerShares Shares(m_images.size(), 0.0);
  for (const RunRef &Ref : Worker.m_runs) {
    const StepInfo &Step = *Ref.m_task->m_step;
    const RunInfo *Run =
        Step.m_spec->m_isFiller ? findReferencedRun(Ref) : nullptr;
    if (Run && Run->m_measurement > 0)
      Shares[Step.m_image] +=
          static_cast<double>(Run->m_measurement) / processorCapacity(Worker);
  }
  const Duration Window = m_options.m_reportWindow;
  std::erase_if(Worker.m_endedFillers,
                [&](const WorkerInfo::EndedFiller &Ended) {
                  return Now - Ended.m_endedAt >= Window;
                });
  for (const WorkerInfo::EndedFiller &Ended : Worker.m_endedFillers) {
    const double Weight =
        1.0 - std::chrono::duration<double>(Now - Ended.m_endedAt) / Window;
    Shares[Ended.m_image] += Weight *
                             static_cast<double>(Ended.m_milliProcessors) /
                             processorCapacity(Worker);
  }
  return Shares;
}

void InterferenceModel::observe(WorkerInfo &Worker, TimePoint Now) {
  const Duration Elapsed = Now - Worker.m_observedAt;
  if (Elapsed < m_options.m_minReportInterval)
    return;
  Worker.m_observedAt = Now;
  for (const RunRef &Ref : Worker.m_runs)
    if (Ref.m_task->m_step->m_spec->m_isFiller)
      m_fillers.insert(Ref.m_task->m_step->m_image);
  const FillerShares Shares = fillerShares(Worker, Now);
  for (const RunRef &Ref : Worker.m_runs) {
    const double Tail = tailLatencyRatio(Ref);
    if (Tail <= 0.0)
      continue;
    StepInfo &Step = *Ref.m_task->m_step;
    if (!Step.m_loadBaseline)
      Step.m_loadBaseline = std::make_unique<LoadBaseline>();
    Fit &ServiceFit = m_fits[Step.m_image];
    if (ServiceFit.m_minTail == 0.0 || Tail < ServiceFit.m_minTail)
      ServiceFit.m_minTail = Tail;
    const double Load = loadFromTail(Step.m_image, Tail);
    updateFit(ServiceFit, *Step.m_loadBaseline, Load, Shares, Now);
    double FillerLoad = 0.0;
    for (ImageIndex Filler = 0; Filler < Shares.size(); ++Filler)
      if (Shares[Filler] > 0.0)
        FillerLoad +=
            interferenceCoefficient(Step.m_image, Filler) * Shares[Filler];
    updateIntrinsicLoad(Ref, Load, FillerLoad, Elapsed, Now);
  }
}

void InterferenceModel::updateFit(Fit &Target, LoadBaseline &Baseline,
                                  double Load, const FillerShares &Shares,
                                  TimePoint Now) const {
  const double Decay = std::exp(
      -std::chrono::duration<double>(Now - Baseline.m_meanAt).count() /
      std::chrono::duration<double>(m_options.m_meanTimeConstant).count());
  Baseline.m_meanAt = Now;
  Baseline.m_weight *= Decay;
  Baseline.m_meanFillerShares.resize(Shares.size(), 0.0);
  resizeToImages(Target);
  // Weight of the mean, in reports, below which it is too old to compare with.
  constexpr double MinWeight = 0.3;
  if (Baseline.m_weight >= MinWeight) {
    // A mean over few reports is noisy, so its difference weighs less.
    const double Weight = Baseline.m_weight / (1.0 + Baseline.m_weight);
    FillerShares Differences = Shares;
    double Expected = 0.0;
    for (ImageIndex Image = 0; Image < Shares.size(); ++Image) {
      Differences[Image] -= Baseline.m_meanFillerShares[Image];
      Expected += Target.m_coefficients[Image] * Differences[Image];
    }
    const double Difference = std::clamp(Load - Baseline.m_meanLoad,
                                         Expected - m_options.m_maxResidual,
                                         Expected + m_options.m_maxResidual);
    decay(Target, Now);
    for (ImageIndex Row = 0; Row < Shares.size(); ++Row) {
      if (Differences[Row] == 0.0)
        continue;
      for (ImageIndex Column = 0; Column < Shares.size(); ++Column)
        Target.m_normalMatrix[Row][Column] +=
            Weight * Differences[Row] * Differences[Column];
      Target.m_normalVector[Row] += Weight * Differences[Row] * Difference;
    }
  }
  Baseline.m_weight += 1.0;
  Baseline.m_meanLoad += (Load - Baseline.m_meanLoad) / Baseline.m_weight;
  for (ImageIndex Image = 0; Image < Shares.size(); ++Image)
    Baseline.m_meanFillerShares[Image] +=
        (Shares[Image] - Baseline.m_meanFillerShares[Image]) /
        Baseline.m_weight;
  if (Now - Target.m_fittedAt >= m_options.m_fitInterval) {
    Target.m_fittedAt = Now;
    solveCoefficients(Target);
  }
}

void InterferenceModel::updateIntrinsicLoad(const RunRef &Service, double Load,
                                            double FillerLoad, Duration Elapsed,
                                            TimePoint Now) {
  LoadBaseline &Baseline = *Service.m_task->m_step->m_loadBaseline;
  const TimePoint Time = Now - m_options.m_reportWindow / 2;
  const double Intrinsic = Load - FillerLoad;
  Baseline.m_periodicLoad.observe(Time, Intrinsic);
  if (Now - Baseline.m_fittedAt >= m_options.m_periodicLoadFitInterval) {
    Baseline.m_fittedAt = Now;
    Baseline.m_periodicLoad.fit(m_periodErrors);
  }
  for (RunInfo &Run : Service.m_task->m_runs) {
    if (Run.m_number != Service.m_run)
      continue;
    const double Seconds = std::chrono::duration<double>(Elapsed).count();
    // Reports that are farther apart yield no trend.
    constexpr double MaxTrendSeconds = 3.0;
    const double Trend = Run.m_intrinsicLoad > 0.0 && Seconds < MaxTrendSeconds
                             ? (Intrinsic - Run.m_intrinsicLoad) / Seconds
                             : 0.0;
    Run.m_intrinsicLoadTrend +=
        m_options.m_trendSmoothing * (Trend - Run.m_intrinsicLoadTrend);
    Run.m_intrinsicLoad = Intrinsic;
    const double Deviation =
        Baseline.m_periodicLoad.hasEnoughHistory()
            ? Intrinsic - Baseline.m_periodicLoad.loadAt(Time)
            : 0.0;
    Run.m_baselineDeviation +=
        m_options.m_deviationSmoothing * (Deviation - Run.m_baselineDeviation);
    Run.m_intrinsicLoadAt = Time;
  }
}

double InterferenceModel::predictIntrinsicLoad(const RunRef &Service,
                                               TimePoint Begin,
                                               Duration Length) const {
  const RunInfo *Run = findReferencedRun(Service);
  const LoadBaseline *Baseline = Service.m_task->m_step->m_loadBaseline.get();
  if (Baseline && Baseline->m_periodicLoad.hasEnoughHistory()) {
    const Duration Age =
        Begin + Length / 2 - (Run ? Run->m_intrinsicLoadAt : Begin);
    const double Decay = std::exp(
        -std::chrono::duration<double>(Age).count() /
        std::chrono::duration<double>(m_options.m_deviationTimeConstant)
            .count());
    return Baseline->m_periodicLoad.maxLoad(Begin, Length) +
           (Run ? Run->m_baselineDeviation * Decay : 0.0);
  }
  if (!Run || tailLatencyRatio(Service) <= 0.0)
    return m_options.m_defaultLoad;
  const double HorizonSeconds =
      std::chrono::duration<double>(m_options.m_trendHorizon).count();
  return std::max(m_options.m_defaultLoad,
                  Run->m_intrinsicLoad +
                      std::max(0.0, Run->m_intrinsicLoadTrend) *
                          HorizonSeconds);
}

void InterferenceModel::solveCoefficients(Fit &Target) const {
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

double InterferenceModel::interferenceCoefficient(ImageIndex Service,
                                                  ImageIndex Filler) const {
  if (Service >= m_fits.size() ||
      Filler >= m_fits[Service].m_coefficients.size())
    return m_options.m_priorCoefficient;
  return m_fits[Service].m_coefficients[Filler];
}

double InterferenceModel::addedLoad(const WorkerInfo &Worker,
                                    ImageIndex Service, ImageIndex Filler,
                                    double MilliProcessors) const {
  return interferenceCoefficient(Service, Filler) * MilliProcessors /
         processorCapacity(Worker);
}

double InterferenceModel::maxServiceProcessors(const WorkerInfo &Worker,
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

void InterferenceModel::refreshLoadHeadrooms(WorkerInfo &Worker,
                                             TimePoint Now) const {
  Worker.m_areLoadHeadroomsStale = false;
  Worker.m_loadHeadrooms.clear();
  Worker.m_expectedServiceMilliProcessors =
      maxServiceProcessors(Worker, Now, m_options.m_placementHorizon);
  for (const RunRef &Ref : Worker.m_runs) {
    const StepInfo &Step = *Ref.m_task->m_step;
    if (!Step.m_spec->m_isService ||
        Step.m_spec->m_targetTailLatency <= Milliseconds::zero())
      continue;
    const double LoadHeadroom =
        loadLimit(Step) -
        predictIntrinsicLoad(Ref, Now, m_options.m_placementHorizon);
    const double Fraction = 1.0 / static_cast<double>(Step.m_spec->m_count);
    const auto Same = std::find_if(
        Worker.m_loadHeadrooms.begin(), Worker.m_loadHeadrooms.end(),
        [&](const WorkerInfo::ServiceLoadHeadroom &Each) {
          return Each.m_image == Step.m_image;
        });
    if (Same == Worker.m_loadHeadrooms.end())
      Worker.m_loadHeadrooms.push_back({Step.m_image, LoadHeadroom, Fraction});
    else {
      Same->m_loadHeadroom = std::min(Same->m_loadHeadroom, LoadHeadroom);
      Same->m_instanceFraction += Fraction;
    }
  }
  for (WorkerInfo::ServiceLoadHeadroom &Each : Worker.m_loadHeadrooms) {
    for (const RunRef &Ref : Worker.m_runs) {
      const StepInfo &Step = *Ref.m_task->m_step;
      const RunInfo *Run =
          Step.m_spec->m_isFiller ? findReferencedRun(Ref) : nullptr;
      if (Run)
        Each.m_loadHeadroom -= addedLoad(
            Worker, Each.m_image, Step.m_image,
            static_cast<double>(Step.m_spec->m_request.m_milliProcessors) *
                Run->m_cpuRatePercent / 100.0);
    }
  }
  if (m_fillers.empty())
    return;
  const auto Tolerated =
      std::count_if(m_fillers.begin(), m_fillers.end(), [&](ImageIndex Filler) {
        return estimateFiller(Worker, Filler,
                              m_options.m_typicalFillerMilliProcessors, Now)
                   .m_loadHeadroom >= 0.0;
      });
  Worker.m_toleratedFraction =
      static_cast<double>(Tolerated) / static_cast<double>(m_fillers.size());
}

InterferenceModel::FillerEstimate
InterferenceModel::estimateFiller(WorkerInfo &Worker, ImageIndex Filler,
                                  double MilliProcessors, TimePoint Now) const {
  if (Worker.m_areLoadHeadroomsStale)
    refreshLoadHeadrooms(Worker, Now);
  FillerEstimate Result;
  for (const WorkerInfo::ServiceLoadHeadroom &Service :
       Worker.m_loadHeadrooms) {
    const double Added =
        addedLoad(Worker, Service.m_image, Filler, MilliProcessors);
    if (Added < m_options.m_minAddedLoad)
      continue;
    Result.m_affectedFraction += Service.m_instanceFraction;
    Result.m_loadHeadroom =
        std::min(Result.m_loadHeadroom, Service.m_loadHeadroom - Added);
    Result.m_cpuRateFraction =
        std::min(Result.m_cpuRateFraction,
                 std::max(0.0, Service.m_loadHeadroom / Added));
  }
  return Result;
}

} // namespace catkinseam
