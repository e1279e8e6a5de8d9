// Relayed records: calls to peers that change, and the handler with
// well-formed, foreign and malformed bodies.
#define BOOST_TEST_MODULE record_relay
#include "catkinseam/node/record_relay.h"

#include "catkinseam/aio/testing/scripted_server.h"
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

/// Relays a record to each of the peers, in this order and at once, and returns
/// the replies in the order of their arrival.
std::vector<std::pair<std::size_t, RecordRelay::Reply>>
relayTo(EventLoop &Loop, const std::vector<Endpoint> &Peers,
        Milliseconds Timeout) {
  HttpRecordRelay Relay(Loop);
  std::vector<std::pair<std::size_t, RecordRelay::Reply>> Replies;
  for (std::size_t Index = 0; Index < Peers.size(); ++Index)
    Relay.append(Peers[Index], {{submissionKey("00000000000000a1"), "job"}},
                 Timeout, [&, Index](const RecordRelay::Reply &Reply) {
                   Replies.emplace_back(Index, Reply);
                   if (Replies.size() == Peers.size())
                     Loop.stop();
                 });
  Loop.schedule(Milliseconds(5000), [&Loop] { Loop.stop(); });
  Loop.run();
  return Replies;
}

} // namespace

// Guards against a node that refuses all submissions: a record was relayed to
// the next owner while the reply of the last one was awaited, and the caller
// was never told the outcome.
BOOST_AUTO_TEST_CASE(CallInFlightOutlivesChangeOfPeer) {
  using Delivery = RecordRelay::Delivery;
  EventLoop Loop;
  ScriptedServer Silent(
      Loop, {{.m_reply = replyText(200, ""), .m_delay = Milliseconds(2000)}});
  ScriptedServer Slow(
      Loop, {{.m_reply = replyText(200, ""), .m_delay = Milliseconds(100)}});
  ScriptedServer Next(Loop, {{.m_reply = replyText(200, "")}});
  const auto Replies =
      relayTo(Loop, {Silent.endpoint(), Slow.endpoint(), Next.endpoint()},
              Milliseconds(400));
  BOOST_REQUIRE(Replies.size() == 3U);
  BOOST_TEST(Replies[0].first == 2U);
  BOOST_TEST(Replies[1].first == 1U);
  BOOST_TEST((Replies[1].second.m_delivery == Delivery::Answered));
  BOOST_TEST((Replies[1].second.m_outcome == LogOutcome::Done));
  BOOST_TEST(Replies[2].first == 0U);
  BOOST_TEST((Replies[2].second.m_delivery == Delivery::NoReply));
}

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
