// Metrics of one entry, in Prometheus form.
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

  /// A request reached its terminal outcome after `Latency` in this entry.
  void countRequest(const std::string &Kind, const std::string &Outcome,
                    Duration Latency);

  /// A request waited `Wait` for a slot: head-of-line blocking shows here.
  void observeQueueWait(const std::string &Kind, Duration Wait);

  /// Something happened to batch: "claimed", "started", "finished", "evicted".
  void countBatch(const std::string &Event);

  /// Sets a gauge such as "catkinseam_config_version".
  void setGauge(const std::string &Name, double Value);

  /// Returns the text exposition.
  std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_latency;
  prometheus::Family<prometheus::Histogram> &m_queueWait;
  prometheus::Family<prometheus::Counter> &m_batchEvents;
};

} // namespace catkinseam

#endif // CATKINSEAM_TELEMETRY_METRICS_H
