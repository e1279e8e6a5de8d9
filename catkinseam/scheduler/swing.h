// Learns how a service's own load swings, and says what it will be.
//
//   Swing Own({});
//   Own.observe(Clock.now(), 0.45);
//   Own.fit(Votes);
//   if (Own.isKnown()) Own.most(Clock.now(), Milliseconds(1500));
//
// The instances of one service share their users, so they swing together; their
// reports are pooled. The model is a mean and one harmonic, fitted by least
// squares for each of some periods; the period that fits best is believed. Old
// reports fade.
#ifndef CATKINSEAM_SCHEDULER_SWING_H
#define CATKINSEAM_SCHEDULER_SWING_H

#include "catkinseam/base/clock.h"

#include <array>
#include <cstddef>

namespace catkinseam {

class Swing {
public:
  struct Options {
    /// After this time a report counts half: services keep their habits for
    /// some periods.
    Milliseconds m_halfLife{20000};
    /// Reports within this time are averaged.
    Milliseconds m_bin{200};
    /// Reports for so long are needed before the fit is believed, without and
    /// with a period known from other services.
    Milliseconds m_knownAfter{6000};
    Milliseconds m_knownAfterWithVotes{1500};
    /// The weight, in reports, of assuming that there is no swing.
    double m_assumedWeight = 2.0;
    /// The weight of what other services say of a period, in reports.
    double m_votesWeight = 40.0;
    /// Part of a new vote that is believed.
    double m_votePart = 0.03;
  };

  static constexpr std::size_t Periods = 64;

  /// Mean squared misfit of each period, over the services of all jobs; zero
  /// before the first.
  using Votes = std::array<double, Periods>;

  explicit Swing(const Options &Values) : m_options(Values) {}

  /// A load that was reported for this time; times must not go back by more
  /// than m_bin.
  void observe(TimePoint At, double Load);

  /// Fits anew, helped by what other services say, and votes in turn.
  void fit(Votes &Others);

  /// Whether at() and most() can be believed.
  bool isKnown() const { return m_isKnown; }

  /// The load expected at a time.
  double at(TimePoint When) const;

  /// The highest load expected within a span of time.
  double most(TimePoint From, Duration For) const;

private:
  /// Weighted sums for one period.
  struct Sums {
    double m_cos = 0.0;
    double m_sin = 0.0;
    double m_cosCos = 0.0;
    double m_sinSin = 0.0;
    double m_cosSin = 0.0;
    double m_loadCos = 0.0;
    double m_loadSin = 0.0;
  };
  struct Wave {
    double m_mean = 0.0;
    double m_cos = 0.0;
    double m_sin = 0.0;
    /// Mean squared misfit.
    double m_misfit = 0.0;
  };

  void flush();
  Wave solve(const Sums &Of) const;
  double seconds(TimePoint When) const;

  Options m_options;
  bool m_hasBegun = false;
  TimePoint m_begin;
  /// The bin that is being filled.
  TimePoint m_binBegin;
  double m_binSeconds = 0.0;
  double m_binLoad = 0.0;
  double m_binCount = 0.0;

  TimePoint m_flushedAt;
  double m_weight = 0.0;
  double m_load = 0.0;
  double m_loadLoad = 0.0;
  std::array<Sums, Periods> m_sums;

  bool m_isKnown = false;
  std::size_t m_period = 0;
  Wave m_wave;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_SWING_H
