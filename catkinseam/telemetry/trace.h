// Trace context and spans, exported as OTLP JSON.
//
//   TraceContext Here = newChildContext(parseTraceparent(Header), SampleRoot);
//   Exporter.record(Span{.m_context = Here, .m_name = "entry"});
#ifndef CATKINSEAM_TELEMETRY_TRACE_H
#define CATKINSEAM_TELEMETRY_TRACE_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace catkinseam {

/// W3C trace context of one span.
struct TraceContext {
  /// 32 hexadecimal digits.
  std::string m_traceId;
  /// 16 hexadecimal digits.
  std::string m_spanId;
  /// Span ID of the parent; empty for a root span.
  std::string m_parentSpanId;
  bool m_isSampled = false;
};

/// Parses a traceparent header. Returns nullopt when it is invalid.
std::optional<TraceContext> parseTraceparent(const std::string &Header);

/// Returns the context of a new child span of `Parent`. Without a parent,
/// starts a new trace, which is sampled if `SampleRoot` is set.
TraceContext newChildContext(const std::optional<TraceContext> &Parent,
                             bool SampleRoot);

/// Returns the traceparent header value for `Context`.
std::string toTraceparent(const TraceContext &Context);

struct Span {
  TraceContext m_context;
  std::string m_name;
  WallTime m_start;
  Duration m_duration{0};
  std::vector<std::pair<std::string, std::string>> m_attributes;
};

/// Returns the body of an OTLP/HTTP JSON trace export.
std::string toOtlpJson(const std::string &Service,
                       const std::vector<Span> &Spans);

/// Exports spans to a collector from a background thread. When the collector is
/// slow or unreachable, spans are lost but requests are not delayed.
/// Thread-safe.
class SpanExporter {
public:
  static constexpr std::size_t MaxQueuedSpans = 4096;

  /// Without a collector, spans are discarded.
  SpanExporter(std::string Service, std::optional<Endpoint> Collector);
  ~SpanExporter();

  /// Queues a finished span for export. Spans that are not sampled are ignored.
  void record(Span FinishedSpan);

  /// Number of spans dropped because the queue was full.
  std::uint64_t dropped() const;

private:
  void run();
  void exportBatch(const std::vector<Span> &Spans);

  const std::string m_service;
  const std::optional<Endpoint> m_collector;
  mutable std::mutex m_mutex;
  std::condition_variable m_stopSignal;
  std::deque<Span> m_queue;
  std::uint64_t m_dropped = 0;
  bool m_isStopping = false;
  std::thread m_thread;
};

} // namespace catkinseam

#endif // CATKINSEAM_TELEMETRY_TRACE_H
