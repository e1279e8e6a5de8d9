// Log records, trace context and the OTLP form.
#define BOOST_TEST_MODULE telemetry
#include "catkinseam/telemetry/log.h"
#include "catkinseam/telemetry/log_budget.h"
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

// Pattern: a process that logs without end. The log stays bounded and says what
// it lacks.
BOOST_AUTO_TEST_CASE(TooManyRecordsAreDroppedAndCounted) {
  ManualClock Time;
  LogRateLimiter Budget({.m_recordsPerSecond = 10.0, .m_burstRecords = 20.0});
  int Written = 0;
  for (int Record = 0; Record < 100; ++Record)
    Written += Budget.tryAcquire(Time.now());
  BOOST_TEST(Written == 20);
  BOOST_TEST(Budget.takeDropped() == 80U);
  BOOST_TEST(Budget.takeDropped() == 0U);
  Time.advance(Milliseconds(1000));
  Written = 0;
  for (int Record = 0; Record < 100; ++Record)
    Written += Budget.tryAcquire(Time.now());
  BOOST_TEST(Written == 10);
}

// Pattern: nobody reads the log.
BOOST_AUTO_TEST_CASE(AFullPipeHoldsNobody) {
  int Ends[2] = {};
  BOOST_REQUIRE(::pipe(Ends) == 0);
  const std::string Line(1000, 'x');
  int Written = 0;
  while (Written < 1000 && writeNonBlocking(Ends[1], Line))
    ++Written;
  BOOST_TEST(Written > 0);
  BOOST_TEST(Written < 1000);
  ::close(Ends[0]);
  ::close(Ends[1]);
}

BOOST_AUTO_TEST_CASE(TraceContextGoesThrough) {
  const std::string Header =
      "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const std::optional<TraceContext> Read = parseTraceparent(Header);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(toTraceparent(*Read) == Header);
  const TraceContext Child = childOf(Read, false);
  BOOST_TEST(Child.m_traceId == Read->m_traceId);
  BOOST_TEST(Child.m_parentSpanId == Read->m_spanId);
  BOOST_TEST(Child.m_isSampled);
}

BOOST_AUTO_TEST_CASE(RefusesBrokenTraceContext) {
  for (const char *Header :
       {"", "00-xyz", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e473g-00f067aa0ba902b7-01"})
    BOOST_TEST(!parseTraceparent(Header).has_value());
}

BOOST_AUTO_TEST_CASE(SpanBecomesOtlpJson) {
  Span Done;
  Done.m_context = {"4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7",
                    "1111111111111111", true};
  Done.m_name = "entry";
  Done.m_start = WallTime(Milliseconds(1000));
  Done.m_length = std::chrono::milliseconds(5);
  const Outcome<JsonObject> Body =
      attempt([&] { return parseJsonObject(toOtlpJson("e1", {Done})); });
  BOOST_REQUIRE(bool(Body));
  const JsonObject Item = jsonArray(Body.value(), "resourceSpans")
                              ->getObject(0)
                              ->getArray("scopeSpans")
                              ->getObject(0)
                              ->getArray("spans")
                              ->getObject(0);
  BOOST_TEST(jsonText(Item, "traceId") == Done.m_context.m_traceId);
  BOOST_TEST(jsonText(Item, "parentSpanId") == "1111111111111111");
  BOOST_TEST(jsonText(Item, "startTimeUnixNano") == "1000000000");
  BOOST_TEST(jsonText(Item, "endTimeUnixNano") == "1005000000");
}

BOOST_AUTO_TEST_CASE(MetricsShowWhatWasCounted) {
  Metrics Counters;
  Counters.countRequest("bill", "answered", std::chrono::milliseconds(3));
  Counters.setGauge("catkinseam_config_version", 7);
  const std::string Text = Counters.text();
  BOOST_TEST(Text.find("catkinseam_requests_total{kind=\"bill\",outcome="
                       "\"answered\"} 1") != std::string::npos);
  BOOST_TEST(Text.find("catkinseam_config_version 7") != std::string::npos);
}
