// Decayed quantiles of service times.
//
//   LatencyEstimate Estimate(std::chrono::milliseconds(50));
//   Estimate.observe(Took);
//   Duration Tail = Estimate.quantile(0.99);
#ifndef CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H
#define CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H

#include "catkinseam/base/clock.h"

#include <array>

namespace catkinseam {

/// Histogram with logarithmic buckets, each about 9% wide, whose older
/// observations fade. Not thread-safe.
class LatencyEstimate {
public:
  /// `Seed` is returned until enough has been observed.
  explicit LatencyEstimate(Duration Seed) : m_seed(Seed) {}

  void observe(Duration Took);

  /// Returns the service time that a share `Rank` (0 to 1) stays below.
  Duration quantile(double Rank) const;

  Duration mean() const;

private:
  static constexpr std::size_t Buckets = 256;
  static constexpr double ObservationsNeeded = 20;

  Duration m_seed;
  std::array<float, Buckets> m_counts{};
  double m_total = 0;
  double m_sumSeconds = 0;
  /// Weight of the next observation; grows instead of fading all others.
  double m_weight = 1;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H
