// Exponentially decayed histogram of service times.
#include "catkinseam/request/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

/// Lower edge of the first bucket, which also counts all smaller values.
constexpr double MinSeconds = 10e-6;
constexpr double BucketsPerDoubling = 8;
/// Growth per observation: the last few hundred carry most of the weight.
constexpr double WeightGrowthFactor = 1.005;
/// All weights are divided by this when the latest one reaches it, so that they
/// do not overflow.
constexpr double RescaleThreshold = 1e12;

std::size_t bucketIndex(Duration ServiceTime, std::size_t NumBuckets) {
  const double Seconds = std::chrono::duration<double>(ServiceTime).count();
  if (Seconds <= MinSeconds)
    return 0;
  const double Position = std::log2(Seconds / MinSeconds) * BucketsPerDoubling;
  return std::min(static_cast<std::size_t>(Position), NumBuckets - 1);
}

Duration bucketUpperBound(std::size_t Bucket) {
  const double Seconds =
      MinSeconds *
      std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void LatencyEstimate::observe(Duration ServiceTime) {
  m_latestWeight *= WeightGrowthFactor;
  m_bucketWeights[bucketIndex(ServiceTime, NumBuckets)] +=
      static_cast<float>(m_latestWeight);
  m_totalWeight += m_latestWeight;
  m_weightedSumSeconds +=
      m_latestWeight * std::chrono::duration<double>(ServiceTime).count();
  if (m_latestWeight < RescaleThreshold)
    return;
  for (float &Weight : m_bucketWeights)
    Weight /= static_cast<float>(RescaleThreshold);
  m_totalWeight /= RescaleThreshold;
  m_weightedSumSeconds /= RescaleThreshold;
  m_latestWeight /= RescaleThreshold;
}

Duration LatencyEstimate::quantile(double Quantile) const {
  if (m_totalWeight < MinObservations * m_latestWeight / 4)
    return m_initialEstimate;
  double CumulativeWeight = 0;
  for (std::size_t Bucket = 0; Bucket < NumBuckets; ++Bucket) {
    CumulativeWeight += m_bucketWeights[Bucket];
    if (CumulativeWeight >= Quantile * m_totalWeight)
      return bucketUpperBound(Bucket);
  }
  return bucketUpperBound(NumBuckets - 1);
}

Duration LatencyEstimate::mean() const {
  if (m_totalWeight < MinObservations * m_latestWeight / 4)
    return m_initialEstimate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_weightedSumSeconds / m_totalWeight));
}

} // namespace catkinseam
