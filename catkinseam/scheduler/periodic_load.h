// Periodic model of a service's load, fitted online to load reports.
//
//   PeriodicLoad Model({});
//   Model.observe(Clock.now(), 0.45);
//   Model.fit(SharedErrors);
//   if (Model.hasEnoughHistory())
//     Model.maxLoad(Clock.now(), Milliseconds(1500));
//
// The instances of a service share their users, so their loads vary together
// and their reports are pooled. The model is a mean plus one harmonic, fitted
// by least squares for each of a fixed set of candidate periods; the period
// with the lowest error is used. Older reports are weighted down
// exponentially. Not thread-safe.
#ifndef CATKINSEAM_SCHEDULER_PERIODIC_LOAD_H
#define CATKINSEAM_SCHEDULER_PERIODIC_LOAD_H

#include "catkinseam/base/clock.h"

#include <array>
#include <cstddef>

namespace catkinseam {

class PeriodicLoad {
public:
  struct Options {
    /// Half-life of a report's weight. The load pattern of a service is stable
    /// over several periods.
    Milliseconds m_halfLife{20000};
    /// Reports within an interval of this width are averaged into one sample.
    Milliseconds m_binWidth{200};
    /// Minimum history before the fit is used, without and with period errors
    /// shared by other services.
    Milliseconds m_minHistory{6000};
    Milliseconds m_minHistoryWithSharedErrors{1500};
    /// Weight, in reports, of the prior that the load is constant (the ridge
    /// term of the fit).
    double m_priorWeight = 2.0;
    /// Weight, in reports, of the shared period errors.
    double m_sharedErrorWeight = 40.0;
    /// Smoothing factor, 0 to 1, of the shared period errors.
    double m_sharedErrorSmoothing = 0.03;
  };

  /// Number of candidate periods.
  static constexpr std::size_t PeriodCount = 64;

  /// Mean squared error of each candidate period, smoothed over the services
  /// of all jobs; zero before the first update.
  using PeriodErrors = std::array<double, PeriodCount>;

  explicit PeriodicLoad(const Options &Values) : m_options(Values) {}

  /// Adds a load (utilization, 0 to 1) reported for `Time`. Times must not go
  /// back by more than `Options::m_binWidth`.
  void observe(TimePoint Time, double Load);

  /// Refits the model, using `Shared` as a prior over the periods. Updates
  /// `Shared` once the history is at least `Options::m_minHistory` long.
  void fit(PeriodErrors &Shared);

  /// Whether the history suffices for loadAt() and maxLoad().
  bool hasEnoughHistory() const { return m_hasEnoughHistory; }

  /// Returns the load expected at `Time`.
  double loadAt(TimePoint Time) const;

  /// Returns the highest load expected from `Begin` to `Begin + Length`.
  double maxLoad(TimePoint Begin, Duration Length) const;

private:
  /// Weighted sums over all samples for one candidate period.
  struct Sums {
    double m_cos = 0.0;
    double m_sin = 0.0;
    double m_cosCos = 0.0;
    double m_sinSin = 0.0;
    double m_cosSin = 0.0;
    double m_loadCos = 0.0;
    double m_loadSin = 0.0;
  };
  struct Harmonic {
    double m_mean = 0.0;
    double m_cos = 0.0;
    double m_sin = 0.0;
    double m_meanSquaredError = 0.0;
  };

  void flushBin();
  Harmonic solve(const Sums &Target) const;
  double secondsSinceOrigin(TimePoint Time) const;

  Options m_options;
  bool m_hasOrigin = false;
  TimePoint m_origin;
  /// The averaging interval that is being filled.
  TimePoint m_binBegin;
  double m_binSecondsSum = 0.0;
  double m_binLoadSum = 0.0;
  double m_binCount = 0.0;

  /// Weighted sums over all samples, decayed to m_flushedAt.
  TimePoint m_flushedAt;
  double m_weight = 0.0;
  double m_loadSum = 0.0;
  double m_loadSquareSum = 0.0;
  std::array<Sums, PeriodCount> m_sums;

  bool m_hasEnoughHistory = false;
  std::size_t m_bestPeriod = 0;
  Harmonic m_bestHarmonic;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PERIODIC_LOAD_H
