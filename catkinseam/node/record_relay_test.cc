// The handler of relayed records with well-formed, foreign and malformed
// bodies.
#define BOOST_TEST_MODULE record_relay
#include "catkinseam/node/record_relay.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

struct Fixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  FakeLog m_log{m_host, m_random};
  FakeLog::View m_view{m_log};
  Ledger m_ledger;
  JobService m_service{m_host, m_view, m_ledger, {}};

  /// Returns the status of the response; zero if there was none.
  int post(const std::string &Body, const std::string &TimeoutMs = "900") {
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = "/records";
    Request.m_query = "timeout_ms=" + TimeoutMs;
    Request.m_body = Body;
    int Status = 0;
    handleRelayedRecords(
        Request,
        [&](const HttpResponse &Response) { Status = Response.m_status; },
        m_service);
    m_host.advance(Milliseconds(2000));
    return Status;
  }

  static std::string bodyOf(const std::string &Key, const std::string &Value) {
    return encode(
        std::vector<std::pair<std::string, std::string>>{{Key, Value}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(StoresSubmissions, Fixture) {
  const std::string Key = submissionKey("00000000000000a1");
  BOOST_TEST(post(bodyOf(Key, "job")) == 200);
  BOOST_TEST(m_log.newestOf(LogTopic::Jobs, Key).value_or("") == "job");
}

// The deadline of a timeout near the largest number would lie in the past, and
// the record in doubt would not be tried again.
BOOST_FIXTURE_TEST_CASE(HugeTimeoutsAreBounded, Fixture) {
  m_log.m_faults.m_lostReplyRate = 1.0;
  m_host.schedule(Milliseconds(300),
                  [this] { m_log.m_faults.m_lostReplyRate = 0.0; });
  BOOST_TEST(post(bodyOf(submissionKey("00000000000000a1"), "job"),
                  "9223372036854775807") == 200);
}

BOOST_FIXTURE_TEST_CASE(RefusesWhatTheLogRefuses, Fixture) {
  m_log.m_faults.m_isDown = true;
  BOOST_TEST(post(bodyOf(submissionKey("00000000000000a1"), "job")) == 503);
}

BOOST_FIXTURE_TEST_CASE(DoubtIsReported, Fixture) {
  m_log.m_faults.m_lostReplyRate = 1.0;
  BOOST_TEST(post(bodyOf(submissionKey("00000000000000a1"), "job")) == 504);
}

// A caller must not be able to name an owner or to change a job's state.
BOOST_FIXTURE_TEST_CASE(RefusesRecordsOfOwners, Fixture) {
  BOOST_TEST(post(bodyOf(OwnerKey, "x")) == 400);
  BOOST_TEST(post(bodyOf(progressKey("00000000000000a1"), "x")) == 400);
  BOOST_TEST(post(bodyOf("", "x")) == 400);
}

BOOST_FIXTURE_TEST_CASE(MalformedBodiesAreRefused, Fixture) {
  const std::string Whole = bodyOf(submissionKey("00000000000000a1"), "job");
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    BOOST_TEST(post(Whole.substr(0, Size)) == 400);
  std::string Huge = Whole;
  for (std::size_t At = 1; At < 9 && At < Huge.size(); ++At)
    Huge[At] = static_cast<char>(0x7f);
  BOOST_TEST(post(Huge) == 400);
}

} // namespace catkinseam
