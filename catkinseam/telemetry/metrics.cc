// Metrics implementation on prometheus-cpp.
#include "catkinseam/telemetry/metrics.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace catkinseam {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBucketsSeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

double toSeconds(Duration Interval) {
  return std::chrono::duration<double>(Interval).count();
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      m_requests(prometheus::BuildCounter()
                     .Name("catkinseam_requests_total")
                     .Help("Requests by kind and terminal outcome.")
                     .Register(*m_registry)),
      m_latency(prometheus::BuildHistogram()
                    .Name("catkinseam_request_seconds")
                    .Help("Time from arrival to terminal outcome.")
                    .Register(*m_registry)),
      m_queueWait(prometheus::BuildHistogram()
                      .Name("catkinseam_queue_wait_seconds")
                      .Help("Time a request waited for a slot.")
                      .Register(*m_registry)),
      m_batchEvents(prometheus::BuildCounter()
                        .Name("catkinseam_batch_events_total")
                        .Help("Batch task events seen by this entry.")
                        .Register(*m_registry)),
      m_failedJobs(prometheus::BuildCounter()
                       .Name("catkinseam_jobs_failed_total")
                       .Help("Jobs that failed under this owner, by reason.")
                       .Register(*m_registry)) {}

void Metrics::countRequest(const std::string &Kind, const std::string &Outcome,
                           Duration Latency) {
  m_requests.Add({{"kind", Kind}, {"outcome", Outcome}}).Increment();
  m_latency.Add({{"kind", Kind}}, LatencyBucketsSeconds)
      .Observe(toSeconds(Latency));
}

void Metrics::observeQueueWait(const std::string &Kind, Duration Wait) {
  m_queueWait.Add({{"kind", Kind}}, LatencyBucketsSeconds)
      .Observe(toSeconds(Wait));
}

void Metrics::countBatchEvent(const std::string &Event) {
  m_batchEvents.Add({{"event", Event}}).Increment();
}

void Metrics::countFailedJob(const std::string &Reason) {
  m_failedJobs.Add({{"reason", Reason}}).Increment();
}

void Metrics::setGauge(const std::string &Name, double Value) {
  // Registering a family again under the same name returns the existing one.
  prometheus::BuildGauge()
      .Name(Name)
      .Help("State of this entry.")
      .Register(*m_registry)
      .Add({})
      .Set(Value);
}

std::string Metrics::text() const {
  std::ostringstream Stream;
  prometheus::TextSerializer().Serialize(Stream, m_registry->Collect());
  return Stream.str();
}

} // namespace catkinseam
