// Tests of message parsing: valid input, and errors that name the invalid
// field.
#define BOOST_TEST_MODULE adapters
#include "catkinseam/platform/job_body.h"
#include "catkinseam/platform/operator_records.h"
#include "catkinseam/platform/task_name.h"
#include "catkinseam/settings/node_settings.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

template <class Parser> std::string errorMessage(Parser &&Call) {
  auto Outcome = attempt(Call);
  return Outcome ? "" : Outcome.error().m_message;
}

} // namespace

BOOST_AUTO_TEST_CASE(ParsesAJob) {
  auto Parsed = attempt([] {
    return readJobBody(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
        R"("estimatedMs":900,"dataRack":"r1-3"},{"count":2,"cpu":10,)"
        R"("after":[0],"checkpointing":true,"fills":true,"image":"i",)"
        R"("antiAffinity":1,"targetMs":18,"optional":2,"later":true}]})");
  });
  BOOST_REQUIRE(static_cast<bool>(Parsed));
  const JobSpec &Job = Parsed.value();
  BOOST_TEST(Job.m_payload == "x");
  BOOST_REQUIRE(Job.m_steps.size() == 2U);
  BOOST_TEST(Job.m_steps[0].m_request.m_milliProcessors == 500);
  BOOST_TEST(Job.m_steps[0].m_estimate.count() == 900);
  BOOST_TEST(Job.m_steps[0].m_dataRack == "r1-3");
  BOOST_TEST(Job.m_steps[1].m_after[0] == 0U);
  BOOST_TEST(Job.m_steps[1].m_savesCheckpoints);
  BOOST_TEST(Job.m_steps[1].m_isFiller);
  BOOST_TEST(Job.m_steps[1].m_maxPerWorker == 1U);
  BOOST_TEST(Job.m_steps[1].m_maxUnavailable == 2U);
}

BOOST_AUTO_TEST_CASE(JobErrorNamesTheInvalidField) {
  const auto ErrorOf = [](const std::string &Body) {
    return errorMessage([&] { return readJobBody(Body); });
  };
  BOOST_TEST(ErrorOf("{").find("not JSON") != std::string::npos);
  BOOST_TEST(ErrorOf("[]") == "body is not a JSON object");
  BOOST_TEST(ErrorOf("{}") == "field \"steps\" is missing");
  BOOST_TEST(ErrorOf(R"({"steps":[{}]})") == "field \"count\" is missing");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"cpu":-1}]})") ==
             "field \"cpu\" is negative");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"cpu":"x"}]})") ==
             "field \"cpu\" is not a whole number");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"after":[0]}]})") ==
             "field \"after\" names no earlier step");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"gang":1}]})") ==
             "field \"gang\" is not true or false");
}

// Guards against a body whose nesting exhausts the stack of the parser.
BOOST_AUTO_TEST_CASE(DeeplyNestedBodyIsRefused) {
  constexpr std::size_t Levels = 200000;
  for (const char *Level : {"[", "{\"a\":"}) {
    std::string Nested;
    for (std::size_t Number = 0; Number < Levels; ++Number)
      Nested += Level;
    const std::string Body = "{\"spec\":" + Nested;
    BOOST_TEST(!errorMessage([&] { return readJobBody(Body); }).empty());
    BOOST_TEST(!errorMessage([&] {
                  return parseWorkerRegistration("w1", Body);
                }).empty());
  }
}

BOOST_AUTO_TEST_CASE(ParsesAWorkerEntry) {
  const std::string Text =
      R"({"service":"s","address":"10.1.0.9:80","zone":"a","state":"draining",)"
      R"("capacity":{"cpu":16000,"memMb":64000,"gpu":0},"labels":["a","r1"],)"
      R"("remainingMs":2500,"coldRemainingMs":1200,"born":17,"sequence":4})";
  auto Parsed = attempt([&] { return parseWorkerRegistration("w1", Text); });
  BOOST_REQUIRE(static_cast<bool>(Parsed));
  BOOST_TEST(Parsed.value().m_isDraining);
  BOOST_TEST(Parsed.value().m_startedMs == 17);
  BOOST_TEST(Parsed.value().m_remaining.count() == 2500);
  BOOST_TEST(Parsed.value().m_coldFor.count() == 1200);
  BOOST_TEST(Parsed.value().m_capacity.m_memoryMb == 64000);
}

BOOST_AUTO_TEST_CASE(RejectsAnInvalidWorkerEntry) {
  const auto ErrorOf = [](const std::string &Body) {
    return errorMessage([&] { return parseWorkerRegistration("w1", Body); });
  };
  BOOST_TEST(!ErrorOf("\xff\xfe").empty());
  BOOST_TEST(
      ErrorOf(R"({"service":"s","address":"10.1.0.9:80","state":"odd"})") ==
      "field \"state\" is \"odd\"");
  BOOST_TEST(
      ErrorOf(R"({"service":"s","address":"10.1.0.9:80","state":"ready"})") ==
      "field \"capacity\" is missing");
  BOOST_TEST(!ErrorOf(R"({"service":7,"address":"10.1.0.9:80"})").empty());
  BOOST_TEST(!ErrorOf(R"({"service":"s","address":"here"})").empty());
}

// An entry of another writer must not change what is known of a worker, and an
// amount that it omits is none.
BOOST_AUTO_TEST_CASE(RejectsAnInvalidCapacity) {
  const auto Parse = [](const std::string &Capacity) {
    return attempt([&] {
      return parseWorkerRegistration(
          "w1", R"({"service":"s","address":"10.1.0.9:80","zone":"a",)"
                R"("state":"ready","labels":["a"],"born":17,"capacity":)" +
                    Capacity + "}");
    });
  };
  BOOST_REQUIRE(static_cast<bool>(Parse(R"({"cpu":16000,"memMb":64})")));
  BOOST_TEST(
      Parse(R"({"cpu":16000,"memMb":64})").value().m_capacity.m_accelerators ==
      0);
  for (const char *Each :
       {"null", "16000", "[]", R"("x")", R"({"cpu":"16000","memMb":64})",
        R"({"cpu":16000,"memMb":true})", R"({"cpu":16000,"memMb":[64]})",
        R"({"cpu":1e30,"memMb":64})", R"({"cpu":0.5,"memMb":64})",
        R"({"cpu":99999999999999999999,"memMb":64})"})
    BOOST_TEST(!Parse(Each), Each);
}

BOOST_AUTO_TEST_CASE(ParsesKeysOfEvacuations) {
  BOOST_TEST(parseEvacuationKey("evacuate/samara").value() == "samara");
  for (const char *Each : {"evacuate/", "evacuate", "config", "wave/1"})
    BOOST_TEST(!parseEvacuationKey(Each), Each);
}

BOOST_AUTO_TEST_CASE(ParsesAnOperatorConfiguration) {
  auto Parsed = attempt([] {
    return parseOperatorConfig(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
        R"("timeoutMs":3000,"targetLatencyMs":250,"priority":2,"service":"s",)"
        R"("maxAttempts":2,"stretchFactor":2.2}],"services":[{"name":"s",)"
        R"("admissionControl":true}],"limits":{"maxBodyBytes":5}})");
  });
  BOOST_REQUIRE(static_cast<bool>(Parsed));
  const OperatorConfig &Config = Parsed.value();
  BOOST_TEST(Config.m_version == 7);
  BOOST_TEST(Config.m_routes[0].m_policy.m_maxAttempts == 2U);
  BOOST_TEST(Config.m_routes[0].m_policy.m_stretchFactor == 2.2);
  BOOST_TEST(Config.m_services.at("s").m_hasAdmissionControl);
  BOOST_TEST(Config.m_limits.m_bodyBytes == 5U);
}

BOOST_AUTO_TEST_CASE(ParsesTaskNamesAndJobIds) {
  TaskKey Task;
  BOOST_REQUIRE(parseTaskName("5c0e7a21d94b36f8.0.1.17", Task));
  BOOST_TEST(Task.m_job == "5c0e7a21d94b36f8");
  BOOST_TEST(Task.m_step == 1U);
  BOOST_TEST(Task.m_index == 17U);
  BOOST_TEST(formatTaskName(Task) == "5c0e7a21d94b36f8.0.1.17");
  BOOST_TEST(!parseTaskName("5c0e", Task));
  BOOST_TEST(!parseTaskName("5c0e.0.1", Task));
  BOOST_TEST(!parseTaskName("5c0e.0.1.2.3", Task));
  BOOST_TEST(isJobId("5c0e7a21d94b36f8"));
  BOOST_TEST(!isJobId("5c0e7a21d94b36f"));
  BOOST_TEST(!isJobId("5c0e7a21d94b36fg"));
}

BOOST_AUTO_TEST_CASE(NodeSettingsAreValidated) {
  const LoadedNodeSettings Valid = parseNodeSettings(
      "[node]\nname = \"n\"\ndata_centre = \"a\"\ncallers = \"127.0.0.1:1\"\n"
      "readiness = \"127.0.0.1:2\"\nmetrics = \"127.0.0.1:3\"\n"
      "[platform]\nstore = \"127.0.0.1:4\"\n"
      "[scheduling]\nlongest_lease_s = 6500e-3\njob_memory_s = 90.5\n"
      "evacuation_s = 5000e-3\nreservations = 16\n"
      "[stop]\ngrace_s = 6\n");
  BOOST_TEST(Valid.m_errors.empty());
  BOOST_TEST(toMilliseconds(Valid.m_settings.m_maxLeaseDuration).count() ==
             6500);
  BOOST_TEST(toMilliseconds(Valid.m_settings.m_jobRetention).count() == 90500);
  BOOST_TEST(toMilliseconds(Valid.m_settings.m_evacuationBound).count() ==
             5000);
  BOOST_TEST(Valid.m_settings.m_maxReservations == 16);
  BOOST_TEST(toMilliseconds(Valid.m_settings.m_shutdownGracePeriod).count() ==
             6000);
  const LoadedNodeSettings Invalid =
      parseNodeSettings("[node]\nname = \"n\"\ncallers = \"here\"\nextra = 1\n"
                        "[telemetry]\nlog_level = \"loud\"\n");
  std::string Messages;
  for (const SettingsError &Problem : Invalid.m_errors)
    Messages += toString(Problem) + "\n";
  for (const char *Expected :
       {"node.data_centre: is required", "node.callers", "node.extra: unknown",
        "telemetry.log_level: must be debug", "platform.store: is required"})
    BOOST_TEST(Messages.find(Expected) != std::string::npos, Expected);
}

BOOST_AUTO_TEST_CASE(LogLimitsOfNodeSettingsAreValidated) {
  const std::string Complete =
      "[node]\nname = \"n\"\ndata_centre = \"a\"\ncallers = \"127.0.0.1:1\"\n"
      "readiness = \"127.0.0.1:2\"\nmetrics = \"127.0.0.1:3\"\n"
      "peers = \"127.0.0.1:5\"\n[platform]\nstore = \"127.0.0.1:4\"\n";
  const LoadedNodeSettings Valid = parseNodeSettings(
      Complete + "record_bytes = 8192\nappend_bytes = 8192\n");
  BOOST_TEST(Valid.m_errors.empty());
  BOOST_TEST(Valid.m_settings.m_storeRecordBytes == 8192);
  BOOST_TEST(Valid.m_settings.m_peerEndpoint.m_port == 5);
  const LoadedNodeSettings Invalid = parseNodeSettings(
      Complete + "record_bytes = 8192\nappend_bytes = 4096\n");
  BOOST_REQUIRE(Invalid.m_errors.size() == 1U);
  BOOST_TEST(toString(Invalid.m_errors.front())
                 .find("platform.append_bytes: must not be below "
                       "platform.record_bytes") != std::string::npos);
}

} // namespace catkinseam
