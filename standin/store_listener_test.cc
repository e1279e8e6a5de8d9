// Each mode of a log address must have its effect on a client's calls.
#define BOOST_TEST_MODULE store_listener
#include "catkinseam/aio/async_http_client.h"
#include "standin/store_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Mode = StoreListener::Mode;

constexpr Milliseconds CallTimeout{300};
constexpr Milliseconds TestTimeout{5000};

std::uint16_t freePort(EventLoop &Loop) {
  const tcp::acceptor Probe(Loop.context(),
                            {asio::ip::make_address("127.0.0.1"), 0});
  return Probe.local_endpoint().port();
}

struct Fixture {
  EventLoop m_loop;
  const std::uint16_t m_port = freePort(m_loop);
  std::size_t m_served = 0;
  StoreListener m_store{
      m_loop, m_port,
      [this](const HttpRequest &Request, const HttpResponder &Respond) {
        ++m_served;
        Respond({200, {}, Request.m_body});
      }};

  void setMode(Mode How, double Share = 1.0) {
    auto Set = attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(m_store.setMode(How, Share));
      return true;
    });
    BOOST_REQUIRE(Set);
  }

  HttpReply call() {
    AsyncHttpClient Client(m_loop, {"127.0.0.1", m_port}, {});
    std::optional<HttpReply> Received;
    HttpCall Append;
    Append.m_method = "POST";
    Append.m_body = "record";
    Append.m_timeout = CallTimeout;
    Client.call(Append, [&](const HttpReply &Reply) { Received = Reply; });
    const TimePoint Deadline = m_loop.now() + TestTimeout;
    while (!Received && m_loop.now() < Deadline)
      m_loop.context().run_one_for(TestTimeout);
    BOOST_REQUIRE(Received);
    return *Received;
  }

  /// Sends `Parts` on one connection, each when the one before was answered,
  /// and returns the status lines of the replies.
  std::vector<std::string> exchange(const std::vector<std::string> &Parts) {
    tcp::socket Peer(m_loop.context());
    Peer.connect({asio::ip::make_address("127.0.0.1"), m_port});
    std::vector<std::string> Lines;
    for (const std::string &Part : Parts) {
      asio::write(Peer, asio::buffer(Part));
      const TimePoint Deadline = m_loop.now() + TestTimeout;
      while (Peer.available() == 0 && m_loop.now() < Deadline)
        m_loop.context().run_one_for(Milliseconds(10));
      std::string Reply(Peer.available(), '\0');
      asio::read(Peer, asio::buffer(Reply));
      Lines.push_back(Reply.substr(0, Reply.find("\r\n")));
    }
    return Lines;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ServesCalls, Fixture) {
  setMode(Mode::Serving);
  const HttpReply Reply = call();
  BOOST_TEST(Reply.isAnswered(200));
  BOOST_TEST(Reply.m_body == "record");
}

BOOST_FIXTURE_TEST_CASE(RefusesCallsByStatus, Fixture) {
  setMode(Mode::Busy);
  BOOST_TEST(call().isAnswered(503));
  setMode(Mode::Many);
  BOOST_TEST(call().isAnswered(429));
  BOOST_TEST(m_served == 0U);
}

BOOST_FIXTURE_TEST_CASE(ClosedAddressIsNotReached, Fixture) {
  setMode(Mode::Serving);
  setMode(Mode::Closed);
  BOOST_TEST((call().m_outcome == CallOutcome::NotSent));
}

BOOST_FIXTURE_TEST_CASE(ResetAndSilentCallsGetNoResponse, Fixture) {
  setMode(Mode::Reset);
  TimePoint Start = m_loop.now();
  BOOST_TEST((call().m_outcome == CallOutcome::NoResponse));
  BOOST_TEST((m_loop.now() - Start < CallTimeout));
  setMode(Mode::Silent);
  Start = m_loop.now();
  BOOST_TEST((call().m_outcome == CallOutcome::NoResponse));
  BOOST_TEST((m_loop.now() - Start >= CallTimeout));
  BOOST_TEST(m_served == 0U);
}

BOOST_FIXTURE_TEST_CASE(EarlyRefusalTakesBodyForRequest, Fixture) {
  setMode(Mode::Early);
  const std::string Head = "POST /append HTTP/1.1\r\nContent-Length: 4\r\n\r\n";
  const std::vector<std::string> Replies =
      exchange({Head, "\1abc", Head + "\1abc"});
  BOOST_TEST(Replies ==
                 (std::vector<std::string>{"HTTP/1.1 429 Too Many Requests",
                                           "HTTP/1.1 400 Bad Request",
                                           "HTTP/1.1 429 Too Many Requests"}),
             boost::test_tools::per_element());
  BOOST_TEST(m_served == 0U);
}

BOOST_FIXTURE_TEST_CASE(EarlyServesTheOthers, Fixture) {
  setMode(Mode::Early, /*Share=*/0.0);
  const HttpReply Reply = call();
  BOOST_TEST(Reply.isAnswered(200));
  BOOST_TEST(Reply.m_body == "record");
}

BOOST_FIXTURE_TEST_CASE(ServesAgainAfterTheTime, Fixture) {
  setMode(Mode::Serving);
  for (const Mode Each : {Mode::Closed, Mode::Reset, Mode::Busy, Mode::Many,
                          Mode::Silent, Mode::Early}) {
    m_store.setModeFor(Each, Milliseconds(30));
    BOOST_TEST(!call().isAnswered(200));
    const TimePoint End = m_loop.now() + Milliseconds(60);
    while (m_loop.now() < End)
      m_loop.context().run_one_for(Milliseconds(10));
    BOOST_TEST(call().isAnswered(200));
  }
}

} // namespace catkinseam
