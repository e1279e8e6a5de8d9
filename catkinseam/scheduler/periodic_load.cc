// Least-squares fit of one harmonic for each candidate period.
#include "catkinseam/scheduler/periodic_load.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace catkinseam {

namespace {

/// Candidate periods range from 5 s to 25 s in steps of 2.6 percent. Within one
/// half-life of the reports, the phase error for a period between two
/// candidates stays below 1/30 of a cycle.
constexpr double MinPeriodSeconds = 5.0;
constexpr double PeriodRatio = 1.0259;

/// Returns radians per second.
double angularFrequency(std::size_t Period) {
  return 2.0 * std::numbers::pi /
         (MinPeriodSeconds *
          std::pow(PeriodRatio, static_cast<double>(Period)));
}

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double PeriodicLoad::secondsSinceOrigin(TimePoint Time) const {
  return toSeconds(Time - m_origin);
}

void PeriodicLoad::observe(TimePoint Time, double Load) {
  if (!m_hasOrigin) {
    m_hasOrigin = true;
    m_origin = Time;
    m_flushedAt = Time;
  }
  if (m_binCount > 0.0 && Time - m_binBegin >= m_options.m_binWidth)
    flushBin();
  if (m_binCount == 0.0)
    m_binBegin = Time;
  m_binSecondsSum += secondsSinceOrigin(Time);
  m_binLoadSum += Load;
  m_binCount += 1.0;
}

void PeriodicLoad::flushBin() {
  const double Seconds = m_binSecondsSum / m_binCount;
  const double Load = m_binLoadSum / m_binCount;
  const double Count = m_binCount;
  const double Decay = std::exp2(-toSeconds(m_binBegin - m_flushedAt) /
                                 toSeconds(m_options.m_halfLife));
  m_flushedAt = m_binBegin;
  m_binSecondsSum = 0.0;
  m_binLoadSum = 0.0;
  m_binCount = 0.0;
  m_weight = m_weight * Decay + Count;
  m_loadSum = m_loadSum * Decay + Count * Load;
  m_loadSquareSum = m_loadSquareSum * Decay + Count * Load * Load;
  for (std::size_t Period = 0; Period < PeriodCount; ++Period) {
    const double Angle = angularFrequency(Period) * Seconds;
    const double Cos = std::cos(Angle);
    const double Sin = std::sin(Angle);
    Sums &Target = m_sums[Period];
    Target.m_cos = Target.m_cos * Decay + Count * Cos;
    Target.m_sin = Target.m_sin * Decay + Count * Sin;
    Target.m_cosCos = Target.m_cosCos * Decay + Count * Cos * Cos;
    Target.m_sinSin = Target.m_sinSin * Decay + Count * Sin * Sin;
    Target.m_cosSin = Target.m_cosSin * Decay + Count * Cos * Sin;
    Target.m_loadCos = Target.m_loadCos * Decay + Count * Load * Cos;
    Target.m_loadSin = Target.m_loadSin * Decay + Count * Load * Sin;
  }
}

PeriodicLoad::Harmonic PeriodicLoad::solve(const Sums &Target) const {
  // Centering on the means leaves two unknowns; the prior weight keeps the
  // determinant nonzero.
  const double MeanCos = Target.m_cos / m_weight;
  const double MeanSin = Target.m_sin / m_weight;
  const double MeanLoad = m_loadSum / m_weight;
  const double CosCos =
      Target.m_cosCos - Target.m_cos * MeanCos + m_options.m_priorWeight;
  const double SinSin =
      Target.m_sinSin - Target.m_sin * MeanSin + m_options.m_priorWeight;
  const double CosSin = Target.m_cosSin - Target.m_cos * MeanSin;
  const double LoadCos = Target.m_loadCos - m_loadSum * MeanCos;
  const double LoadSin = Target.m_loadSin - m_loadSum * MeanSin;
  const double Determinant = CosCos * SinSin - CosSin * CosSin;
  Harmonic Result;
  Result.m_cos = (LoadCos * SinSin - LoadSin * CosSin) / Determinant;
  Result.m_sin = (LoadSin * CosCos - LoadCos * CosSin) / Determinant;
  Result.m_mean = MeanLoad - Result.m_cos * MeanCos - Result.m_sin * MeanSin;
  Result.m_meanSquaredError =
      std::max(0.0, m_loadSquareSum - m_loadSum * MeanLoad -
                        Result.m_cos * LoadCos - Result.m_sin * LoadSin) /
      m_weight;
  return Result;
}

void PeriodicLoad::fit(PeriodErrors &Shared) {
  if (m_weight == 0.0)
    return;
  const Duration Span = m_flushedAt - m_origin;
  const bool HasShared = Shared[0] > 0.0;
  const bool CanShare = Span >= m_options.m_minHistory;
  double LowestCost = 0.0;
  for (std::size_t Period = 0; Period < PeriodCount; ++Period) {
    const Harmonic Candidate = solve(m_sums[Period]);
    const double Cost = Candidate.m_meanSquaredError * m_weight +
                        Shared[Period] * m_options.m_sharedErrorWeight;
    if (Period == 0 || Cost < LowestCost) {
      LowestCost = Cost;
      m_bestPeriod = Period;
      m_bestHarmonic = Candidate;
    }
    if (CanShare)
      Shared[Period] += (HasShared ? m_options.m_sharedErrorSmoothing : 1.0) *
                        (Candidate.m_meanSquaredError - Shared[Period]);
  }
  m_hasEnoughHistory =
      Span >= (HasShared ? m_options.m_minHistoryWithSharedErrors
                         : m_options.m_minHistory);
}

double PeriodicLoad::loadAt(TimePoint Time) const {
  const double Angle =
      angularFrequency(m_bestPeriod) * secondsSinceOrigin(Time);
  return m_bestHarmonic.m_mean + m_bestHarmonic.m_cos * std::cos(Angle) +
         m_bestHarmonic.m_sin * std::sin(Angle);
}

double PeriodicLoad::maxLoad(TimePoint Begin, Duration Length) const {
  // The maximum is at the peak if the interval contains it, else at an end.
  const double Frequency = angularFrequency(m_bestPeriod);
  const double FullTurn = 2.0 * std::numbers::pi;
  const double PeakPhase =
      std::atan2(m_bestHarmonic.m_sin, m_bestHarmonic.m_cos);
  double PhaseToPeak =
      std::fmod(PeakPhase - Frequency * secondsSinceOrigin(Begin), FullTurn);
  if (PhaseToPeak < 0.0)
    PhaseToPeak += FullTurn;
  if (PhaseToPeak <= Frequency * toSeconds(Length))
    return m_bestHarmonic.m_mean +
           std::hypot(m_bestHarmonic.m_cos, m_bestHarmonic.m_sin);
  return std::max(loadAt(Begin), loadAt(Begin + Length));
}

} // namespace catkinseam
