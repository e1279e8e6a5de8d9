// Metrics of one entry or node, in the Prometheus text format.
//
//   Metrics Counters;
//   Counters.countRequest("shift-count", "answered", Latency);
//   std::string Text = Counters.text();
#ifndef CATKINSEAM_TELEMETRY_METRICS_H
#define CATKINSEAM_TELEMETRY_METRICS_H

#include "catkinseam/base/clock.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinseam {

/// Thread-safe.
class Metrics {
public:
  Metrics();

  /// Counts a request that reached its terminal outcome, and records its
  /// latency from arrival at this process.
  void countRequest(const std::string &Kind, const std::string &Outcome,
                    Duration Latency);

  /// Records the time that a request waited for a slot. Shows head-of-line
  /// blocking.
  void observeQueueWait(const std::string &Kind, Duration Wait);

  /// Counts a batch event: "claimed", "started", "finished" or "evicted".
  void countBatchEvent(const std::string &Event);

  /// Counts a job that failed, by the reason that the log gives.
  void countFailedJob(const std::string &Reason);

  /// Sets a gauge by its full name, such as "catkinseam_config_version".
  void setGauge(const std::string &Name, double Value);

  /// Returns all metrics in the Prometheus text exposition format.
  std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_latency;
  prometheus::Family<prometheus::Histogram> &m_queueWait;
  prometheus::Family<prometheus::Counter> &m_batchEvents;
  prometheus::Family<prometheus::Counter> &m_failedJobs;
};

} // namespace catkinseam

#endif // CATKINSEAM_TELEMETRY_METRICS_H
