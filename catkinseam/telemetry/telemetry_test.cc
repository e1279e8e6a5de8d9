// Tests of log records, rate limiting, trace context, OTLP export and metrics.
#define BOOST_TEST_MODULE telemetry
#include "catkinseam/telemetry/log.h"
#include "catkinseam/telemetry/log_rate_limiter.h"
#include "catkinseam/telemetry/metrics.h"
#include "catkinseam/telemetry/trace.h"

#include "catkinseam/platform/json.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace catkinseam;

BOOST_AUTO_TEST_CASE(RecordIsOneLineOfKeyValuePairs) {
  BOOST_TEST(formatRecord("worker.silent", {{"worker", "w\"1\n"}}) ==
             "event=worker.silent worker=\"w\\\"1 \"");
}

// Guards against unbounded log output from a process that logs in a loop: the
// excess is dropped and counted.
BOOST_AUTO_TEST_CASE(TooManyRecordsAreDroppedAndCounted) {
  ManualClock Time;
  LogRateLimiter Limiter({.m_recordsPerSecond = 10.0, .m_burstRecords = 20.0});
  int Written = 0;
  for (int Record = 0; Record < 100; ++Record)
    Written += Limiter.tryAcquire(Time.now());
  BOOST_TEST(Written == 20);
  BOOST_TEST(Limiter.takeDropped() == 80U);
  BOOST_TEST(Limiter.takeDropped() == 0U);
  Time.advance(Milliseconds(1000));
  Written = 0;
  for (int Record = 0; Record < 100; ++Record)
    Written += Limiter.tryAcquire(Time.now());
  BOOST_TEST(Written == 10);
}

// Guards against blocking the process when nobody reads its log: the pipe fills
// up, and further writes fail at once.
BOOST_AUTO_TEST_CASE(WriteToAFullPipeDoesNotBlock) {
  int Pipe[2] = {};
  BOOST_REQUIRE(::pipe(Pipe) == 0);
  const std::string Line(1000, 'x');
  int Written = 0;
  while (Written < 1000 && writeNonBlocking(Pipe[1], Line))
    ++Written;
  BOOST_TEST(Written > 0);
  BOOST_TEST(Written < 1000);
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

BOOST_AUTO_TEST_CASE(TraceContextIsPropagated) {
  const std::string Header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const std::optional<TraceContext> Parsed = parseTraceparent(Header);
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(toTraceparent(*Parsed) == Header);
  const TraceContext Child = newChildContext(Parsed, false);
  BOOST_TEST(Child.m_traceId == Parsed->m_traceId);
  BOOST_TEST(Child.m_parentSpanId == Parsed->m_spanId);
  BOOST_TEST(Child.m_isSampled);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidTraceContext) {
  for (const char *Header :
       {"", "00-xyz", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01"})
    BOOST_TEST(!parseTraceparent(Header).has_value());
}

BOOST_AUTO_TEST_CASE(SpanIsSerializedAsOtlpJson) {
  Span FinishedSpan;
  FinishedSpan.m_context = {"4bf92f3577b34da6a3ce929d0e0e4736",
                            "00f067aa0ba902b7", "1111111111111111", true};
  FinishedSpan.m_name = "entry";
  FinishedSpan.m_start = WallTime(Milliseconds(1000));
  FinishedSpan.m_duration = std::chrono::milliseconds(5);
  const Outcome<JsonObject> Body = attempt(
      [&] { return parseJsonObject(toOtlpJson("e1", {FinishedSpan})); });
  BOOST_REQUIRE(bool(Body));
  const JsonObject Item = jsonArray(Body.value(), "resourceSpans")
                              ->getObject(0)
                              ->getArray("scopeSpans")
                              ->getObject(0)
                              ->getArray("spans")
                              ->getObject(0);
  BOOST_TEST(jsonString(Item, "traceId") == FinishedSpan.m_context.m_traceId);
  BOOST_TEST(jsonString(Item, "parentSpanId") == "1111111111111111");
  BOOST_TEST(jsonString(Item, "startTimeUnixNano") == "1000000000");
  BOOST_TEST(jsonString(Item, "endTimeUnixNano") == "1005000000");
}

BOOST_AUTO_TEST_CASE(MetricsTextContainsRecordedValues) {
  Metrics Counters;
  Counters.countRequest("bill", "answered", std::chrono::milliseconds(3));
  Counters.setGauge("catkinseam_config_version", 7);
  Counters.countFailedJob("workers_lost");
  const std::string Text = Counters.text();
  BOOST_TEST(Text.find("catkinseam_requests_total{kind=\"bill\",outcome="
                       "\"answered\"} 1") != std::string::npos);
  BOOST_TEST(Text.find("catkinseam_config_version 7") != std::string::npos);
  BOOST_TEST(Text.find("catkinseam_jobs_failed_total{reason=\"workers_lost\"} "
                       "1") != std::string::npos);
}
