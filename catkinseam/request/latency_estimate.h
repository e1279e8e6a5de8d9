// Service time quantiles and mean with exponential decay.
//
//   LatencyEstimate Estimate(std::chrono::milliseconds(50));
//   Estimate.observe(ServiceTime);
//   Duration Tail = Estimate.quantile(0.99);
#ifndef CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H
#define CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H

#include "catkinseam/base/clock.h"

#include <array>

namespace catkinseam {

/// Exponentially decayed histogram with logarithmic buckets, each about 9%
/// wide. Not thread-safe.
class LatencyEstimate {
public:
  /// `InitialEstimate` is returned until there are enough observations.
  explicit LatencyEstimate(Duration InitialEstimate)
      : m_initialEstimate(InitialEstimate) {}

  void observe(Duration ServiceTime);

  /// Returns an upper bound of the given quantile (0 to 1): the upper edge of
  /// the bucket that contains it.
  Duration quantile(double Quantile) const;

  /// Returns the decayed mean.
  Duration mean() const;

private:
  static constexpr std::size_t NumBuckets = 256;
  /// The initial estimate applies while the total weight is below a quarter of
  /// this many times the latest weight, which holds for 5 observations.
  static constexpr double MinObservations = 20;

  Duration m_initialEstimate;
  std::array<float, NumBuckets> m_bucketWeights{};
  double m_totalWeight = 0;
  double m_weightedSumSeconds = 0;
  /// Weight of the latest observation. It grows with every observation, which
  /// decays older ones without updating every bucket.
  double m_latestWeight = 1;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_LATENCY_ESTIMATE_H
