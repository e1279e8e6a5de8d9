// Trace context and spans, exported as OTLP JSON.
//
//   TraceContext Here = childOf(parseTraceparent(Header));
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

/// W3C trace context of one hop.
struct TraceContext {
  /// 32 hexadecimal digits.
  std::string m_traceId;
  /// 16 hexadecimal digits.
  std::string m_spanId;
  /// The span that caused this one; empty for a root.
  std::string m_parentSpanId;
  bool m_isSampled = false;
};

/// Reads a traceparent header; nothing when it is not valid.
std::optional<TraceContext> parseTraceparent(const std::string &Header);

/// Returns the context of a new span below `Parent`, or a new root that is
/// sampled when `SampleRoot`.
TraceContext childOf(const std::optional<TraceContext> &Parent,
                     bool SampleRoot);

/// Returns the header value to send on.
std::string toTraceparent(const TraceContext &Context);

struct Span {
  TraceContext m_context;
  std::string m_name;
  WallTime m_start;
  Duration m_length{0};
  std::vector<std::pair<std::string, std::string>> m_attributes;
};

/// Returns the body of an OTLP/HTTP JSON trace export.
std::string toOtlpJson(const std::string &Service,
                       const std::vector<Span> &Spans);

/// Sends spans to a collector in the background. A collector that is down or
/// slow costs spans, never requests. Thread-safe.
class SpanExporter {
public:
  static constexpr std::size_t MaxQueuedSpans = 4096;

  /// `Collector` empty: spans are dropped.
  SpanExporter(std::string Service, std::optional<Endpoint> Collector);
  ~SpanExporter();

  void record(Span Done);

  /// Spans dropped because too many waited.
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
