// Least-squares fit of one harmonic over a row of periods.
#include "catkinseam/scheduler/swing.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace catkinseam {

namespace {

/// Periods from 5 s to 25 s, each 2.6 percent longer than the one before:
/// within a half life of reports a period between two of them is off by less
/// than a thirtieth of a turn.
constexpr double LeastPeriod = 5.0;
constexpr double PeriodStep = 1.0259;

/// Radians a second.
double frequencyOf(std::size_t Period) {
  return 2.0 * std::numbers::pi /
         (LeastPeriod * std::pow(PeriodStep, static_cast<double>(Period)));
}

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double Swing::seconds(TimePoint When) const {
  return toSeconds(When - m_begin);
}

void Swing::observe(TimePoint At, double Load) {
  if (!m_hasBegun) {
    m_hasBegun = true;
    m_begin = At;
    m_flushedAt = At;
  }
  if (m_binCount > 0.0 && At - m_binBegin >= m_options.m_bin)
    flush();
  if (m_binCount == 0.0)
    m_binBegin = At;
  m_binSeconds += seconds(At);
  m_binLoad += Load;
  m_binCount += 1.0;
}

void Swing::flush() {
  const double Time = m_binSeconds / m_binCount;
  const double Load = m_binLoad / m_binCount;
  const double Count = m_binCount;
  const double Left = std::exp2(-toSeconds(m_binBegin - m_flushedAt) /
                                toSeconds(m_options.m_halfLife));
  m_flushedAt = m_binBegin;
  m_binSeconds = 0.0;
  m_binLoad = 0.0;
  m_binCount = 0.0;
  m_weight = m_weight * Left + Count;
  m_load = m_load * Left + Count * Load;
  m_loadLoad = m_loadLoad * Left + Count * Load * Load;
  for (std::size_t Period = 0; Period < Periods; ++Period) {
    const double Angle = frequencyOf(Period) * Time;
    const double Cos = std::cos(Angle);
    const double Sin = std::sin(Angle);
    Sums &Of = m_sums[Period];
    Of.m_cos = Of.m_cos * Left + Count * Cos;
    Of.m_sin = Of.m_sin * Left + Count * Sin;
    Of.m_cosCos = Of.m_cosCos * Left + Count * Cos * Cos;
    Of.m_sinSin = Of.m_sinSin * Left + Count * Sin * Sin;
    Of.m_cosSin = Of.m_cosSin * Left + Count * Cos * Sin;
    Of.m_loadCos = Of.m_loadCos * Left + Count * Load * Cos;
    Of.m_loadSin = Of.m_loadSin * Left + Count * Load * Sin;
  }
}

Swing::Wave Swing::solve(const Sums &Of) const {
  // Deviations from the means leave two unknowns; the assumed weight keeps
  // their determinant from zero.
  const double MeanCos = Of.m_cos / m_weight;
  const double MeanSin = Of.m_sin / m_weight;
  const double MeanLoad = m_load / m_weight;
  const double CosCos =
      Of.m_cosCos - Of.m_cos * MeanCos + m_options.m_assumedWeight;
  const double SinSin =
      Of.m_sinSin - Of.m_sin * MeanSin + m_options.m_assumedWeight;
  const double CosSin = Of.m_cosSin - Of.m_cos * MeanSin;
  const double LoadCos = Of.m_loadCos - m_load * MeanCos;
  const double LoadSin = Of.m_loadSin - m_load * MeanSin;
  const double Determinant = CosCos * SinSin - CosSin * CosSin;
  Wave Found;
  Found.m_cos = (LoadCos * SinSin - LoadSin * CosSin) / Determinant;
  Found.m_sin = (LoadSin * CosCos - LoadCos * CosSin) / Determinant;
  Found.m_mean = MeanLoad - Found.m_cos * MeanCos - Found.m_sin * MeanSin;
  Found.m_misfit =
      std::max(0.0, m_loadLoad - m_load * MeanLoad - Found.m_cos * LoadCos -
                        Found.m_sin * LoadSin) /
      m_weight;
  return Found;
}

void Swing::fit(Votes &Others) {
  if (m_weight == 0.0)
    return;
  const Duration Span = m_flushedAt - m_begin;
  const bool HasVotes = Others[0] > 0.0;
  const bool MayVote = Span >= m_options.m_knownAfter;
  double Best = 0.0;
  for (std::size_t Period = 0; Period < Periods; ++Period) {
    const Wave Found = solve(m_sums[Period]);
    const double Cost =
        Found.m_misfit * m_weight + Others[Period] * m_options.m_votesWeight;
    if (Period == 0 || Cost < Best) {
      Best = Cost;
      m_period = Period;
      m_wave = Found;
    }
    if (MayVote)
      Others[Period] += (HasVotes ? m_options.m_votePart : 1.0) *
                        (Found.m_misfit - Others[Period]);
  }
  m_isKnown = Span >= (HasVotes ? m_options.m_knownAfterWithVotes
                                : m_options.m_knownAfter);
}

double Swing::at(TimePoint When) const {
  const double Angle = frequencyOf(m_period) * seconds(When);
  return m_wave.m_mean + m_wave.m_cos * std::cos(Angle) +
         m_wave.m_sin * std::sin(Angle);
}

double Swing::most(TimePoint From, Duration For) const {
  // A harmonic is highest at its crest, or else at an end of the span.
  const double Frequency = frequencyOf(m_period);
  const double Full = 2.0 * std::numbers::pi;
  const double Crest = std::atan2(m_wave.m_sin, m_wave.m_cos);
  double ToCrest = std::fmod(Crest - Frequency * seconds(From), Full);
  if (ToCrest < 0.0)
    ToCrest += Full;
  if (ToCrest <= Frequency * toSeconds(For))
    return m_wave.m_mean + std::hypot(m_wave.m_cos, m_wave.m_sin);
  return std::max(at(From), at(From + For));
}

} // namespace catkinseam
