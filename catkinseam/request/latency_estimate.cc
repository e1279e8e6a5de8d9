// Decayed histogram of service times.
#include "catkinseam/request/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

constexpr double SmallestSeconds = 10e-6;
constexpr double BucketsPerDoubling = 8;
/// Growth per observation: the last few hundred carry most of the weight.
constexpr double WeightGrowth = 1.005;
constexpr double RescaleAt = 1e12;

std::size_t bucketOf(Duration Took, std::size_t Buckets) {
  const double Seconds = std::chrono::duration<double>(Took).count();
  if (Seconds <= SmallestSeconds)
    return 0;
  const double Place =
      std::log2(Seconds / SmallestSeconds) * BucketsPerDoubling;
  return std::min(static_cast<std::size_t>(Place), Buckets - 1);
}

Duration upperEdge(std::size_t Bucket) {
  const double Seconds =
      SmallestSeconds *
      std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void LatencyEstimate::observe(Duration Took) {
  m_weight *= WeightGrowth;
  m_counts[bucketOf(Took, Buckets)] += static_cast<float>(m_weight);
  m_total += m_weight;
  m_sumSeconds += m_weight * std::chrono::duration<double>(Took).count();
  if (m_weight < RescaleAt)
    return;
  for (float &Count : m_counts)
    Count /= static_cast<float>(RescaleAt);
  m_total /= RescaleAt;
  m_sumSeconds /= RescaleAt;
  m_weight /= RescaleAt;
}

Duration LatencyEstimate::quantile(double Rank) const {
  if (m_total < ObservationsNeeded * m_weight / 4)
    return m_seed;
  double Below = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    Below += m_counts[Bucket];
    if (Below >= Rank * m_total)
      return upperEdge(Bucket);
  }
  return upperEdge(Buckets - 1);
}

Duration LatencyEstimate::mean() const {
  if (m_total < ObservationsNeeded * m_weight / 4)
    return m_seed;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(m_sumSeconds / m_total));
}

} // namespace catkinseam
