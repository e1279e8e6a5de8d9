// Calls to peers that answer cut short, half, late, not at all, or to nobody.
#define BOOST_TEST_MODULE http_client
#include "catkinseam/net/http_client.h"

#include "catkinseam/net/http_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

/// Accepts one connection, reads one request's header, sends `Answer`, then
/// does what `Then` says with the socket.
class OneAnswer {
public:
  using After = std::function<void(Poco::Net::StreamSocket &)>;

  explicit OneAnswer(std::string Answer, After Then = {})
      : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        m_thread([this, Text = std::move(Answer), Last = std::move(Then)] {
          Poco::Net::StreamSocket Peer = m_socket.acceptConnection();
          char Buffer[4096];
          Peer.receiveBytes(Buffer, sizeof Buffer);
          if (!Text.empty())
            Peer.sendBytes(Text.data(), static_cast<int>(Text.size()));
          if (Last)
            Last(Peer);
        }) {}

  ~OneAnswer() { m_thread.join(); }

  CallResult call(Duration Timeout = 2s) {
    HttpConnection Connection(where());
    BOOST_REQUIRE(attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(Connection.connect(1s));
      return true;
    }));
    CallResult Answer = Connection.call({}, Timeout);
    m_isUsableAfter = Connection.isUsable();
    return Answer;
  }

  bool isUsableAfter() const { return m_isUsableAfter; }

private:
  Endpoint where() const { return {"127.0.0.1", m_socket.address().port()}; }

  Poco::Net::ServerSocket m_socket;
  bool m_isUsableAfter = false;
  std::thread m_thread;
};

/// Waits until the peer has closed.
void waitForEnd(Poco::Net::StreamSocket &Peer) {
  char Byte = 0;
  try {
    while (Peer.receiveBytes(&Byte, 1) > 0) {
    }
  } catch (const Poco::Exception &) {
    // Reset: that is an end too.
  }
}

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

BOOST_AUTO_TEST_CASE(TakesAWholeAnswerAndKeepsTheConnection) {
  OneAnswer Peer(Whole, waitForEnd);
  const CallResult Answer = Peer.call();
  BOOST_REQUIRE(Answer.m_response.has_value());
  BOOST_TEST(Answer.m_response->m_body == "hello");
  BOOST_TEST(Peer.isUsableAfter());
}

BOOST_AUTO_TEST_CASE(RefusesAnAnswerCutShort) {
  OneAnswer Peer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  const CallResult Answer = Peer.call();
  BOOST_TEST(!Answer.m_response.has_value());
  BOOST_TEST((Answer.m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(RefusesAnAnswerThatDeclaresNoEnd) {
  OneAnswer Peer("HTTP/1.1 200 OK\r\n\r\nhello");
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(RefusesAChunkedAnswerWhoseLastChunkIsMissing) {
  OneAnswer Peer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nhello\r\n");
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(TakesAWholeChunkedAnswer) {
  OneAnswer Peer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "5\r\nhello\r\n0\r\n\r\n",
                 waitForEnd);
  const CallResult Answer = Peer.call();
  BOOST_REQUIRE(Answer.m_response.has_value());
  BOOST_TEST(Answer.m_response->m_body == "hello");
}

BOOST_AUTO_TEST_CASE(GivesUpOnASilentPeerAndClosesTheConnection) {
  OneAnswer Peer("", waitForEnd);
  BOOST_TEST((Peer.call(100ms).m_failure == CallFailure::TimedOut));
  BOOST_TEST(!Peer.isUsableAfter());
}

BOOST_AUTO_TEST_CASE(GivesUpOnAnAnswerThatStopsHalfway) {
  OneAnswer Peer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
                 waitForEnd);
  BOOST_TEST((Peer.call(100ms).m_failure == CallFailure::TimedOut));
}

BOOST_AUTO_TEST_CASE(HalfClosedPeerBreaksTheCall) {
  OneAnswer Peer("", [](Poco::Net::StreamSocket &Socket) {
    Socket.shutdownSend();
    waitForEnd(Socket);
  });
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(SaysMalformedForWhatIsNotHttp) {
  OneAnswer Peer("what is this\r\n\r\n");
  const CallFailure Failure = Peer.call().m_failure;
  BOOST_TEST(
      (Failure == CallFailure::Malformed || Failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(SaysNotSentWhenNobodyListens) {
  Poco::Net::ServerSocket Closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Endpoint Where{"127.0.0.1", Closed.address().port()};
  Closed.close();
  HttpClient Client;
  BOOST_TEST((Client.call(Where, {}, 1s).m_failure == CallFailure::NotSent));
}

BOOST_AUTO_TEST_CASE(ConnectionWithUnaskedBytesIsNotUsable) {
  OneAnswer Peer(Whole + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
                 waitForEnd);
  // Either the bytes are seen now, or they wait in the session: both end it
  // before another request could read them.
  const CallResult Answer = Peer.call();
  BOOST_TEST((!Answer.m_response || Answer.m_response->m_body == "hello"));
}

BOOST_AUTO_TEST_CASE(ServerClosesAHeaderThatTakesTooLong) {
  HttpServer::Options Limits;
  Poco::Net::ServerSocket Free(Poco::Net::SocketAddress("127.0.0.1", 0));
  Limits.m_listen = {"127.0.0.1", Free.address().port()};
  Free.close();
  Limits.m_readTimeout = 300ms;
  const HttpServer Server(
      Limits, [](const HttpRequest &) { return jsonResponse(200, "{}"); });
  Poco::Net::StreamSocket Slow(
      Poco::Net::SocketAddress("127.0.0.1", Limits.m_listen.m_port));
  const std::string Start = "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ";
  Slow.sendBytes(Start.data(), static_cast<int>(Start.size()));
  // A byte now and then keeps each single read short; the sum must end it.
  bool IsClosed = false;
  for (int Byte = 0; Byte < 200 && !IsClosed; ++Byte) {
    try {
      Slow.sendBytes("x", 1);
      char Answer = 0;
      IsClosed = Slow.poll(Poco::Timespan(0, 100 * 1000),
                           Poco::Net::Socket::SELECT_READ) &&
                 Slow.receiveBytes(&Answer, 1) == 0;
    } catch (const Poco::Exception &) {
      IsClosed = true;
    }
  }
  BOOST_TEST(IsClosed);
}
