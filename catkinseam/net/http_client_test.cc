// HTTP calls to peers whose responses are truncated, incomplete, late, missing
// or unsolicited.
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

/// Accepts one connection, reads one request header, sends `Response`, then
/// calls `Then` with the socket.
class SingleResponseServer {
public:
  using After = std::function<void(Poco::Net::StreamSocket &)>;

  explicit SingleResponseServer(std::string Response, After Then = {})
      : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        m_thread([this, Text = std::move(Response),
                  AfterResponse = std::move(Then)] {
          Poco::Net::StreamSocket Peer = m_socket.acceptConnection();
          char Buffer[4096];
          Peer.receiveBytes(Buffer, sizeof Buffer);
          if (!Text.empty())
            Peer.sendBytes(Text.data(), static_cast<int>(Text.size()));
          if (AfterResponse)
            AfterResponse(Peer);
        }) {}

  ~SingleResponseServer() { m_thread.join(); }

  CallResult call(Duration Timeout = 2s) {
    HttpConnection Connection(address());
    BOOST_REQUIRE(attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(Connection.connect(1s));
      return true;
    }));
    CallResult Exchange = Connection.call({}, Timeout);
    m_isUsableAfter = Connection.isUsable();
    return Exchange;
  }

  bool isUsableAfter() const { return m_isUsableAfter; }

private:
  Endpoint address() const { return {"127.0.0.1", m_socket.address().port()}; }

  Poco::Net::ServerSocket m_socket;
  bool m_isUsableAfter = false;
  std::thread m_thread;
};

/// Waits until the peer closes the connection.
void waitForClose(Poco::Net::StreamSocket &Peer) {
  char Byte = 0;
  try {
    while (Peer.receiveBytes(&Byte, 1) > 0) {
    }
  } catch (const Poco::Exception &) {
    // A reset also ends the connection.
  }
}

const std::string CompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

BOOST_AUTO_TEST_CASE(AcceptsCompleteResponseAndKeepsConnection) {
  SingleResponseServer Peer(CompleteResponse, waitForClose);
  const CallResult Exchange = Peer.call();
  BOOST_REQUIRE(Exchange.m_response.has_value());
  BOOST_TEST(Exchange.m_response->m_body == "hello");
  BOOST_TEST(Peer.isUsableAfter());
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedResponse) {
  SingleResponseServer Peer(
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  const CallResult Exchange = Peer.call();
  BOOST_TEST(!Exchange.m_response.has_value());
  BOOST_TEST((Exchange.m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(RejectsResponseWithoutLength) {
  SingleResponseServer Peer("HTTP/1.1 200 OK\r\n\r\nhello");
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(RejectsChunkedResponseWithoutLastChunk) {
  SingleResponseServer Peer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n");
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(AcceptsCompleteChunkedResponse) {
  SingleResponseServer Peer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      waitForClose);
  const CallResult Exchange = Peer.call();
  BOOST_REQUIRE(Exchange.m_response.has_value());
  BOOST_TEST(Exchange.m_response->m_body == "hello");
}

BOOST_AUTO_TEST_CASE(TimesOutOnSilentPeerAndClosesConnection) {
  SingleResponseServer Peer("", waitForClose);
  BOOST_TEST((Peer.call(100ms).m_failure == CallFailure::TimedOut));
  BOOST_TEST(!Peer.isUsableAfter());
}

BOOST_AUTO_TEST_CASE(TimesOutOnIncompleteResponse) {
  SingleResponseServer Peer(
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", waitForClose);
  BOOST_TEST((Peer.call(100ms).m_failure == CallFailure::TimedOut));
}

BOOST_AUTO_TEST_CASE(ReportsBrokenOnHalfClosedConnection) {
  SingleResponseServer Peer("", [](Poco::Net::StreamSocket &Socket) {
    Socket.shutdownSend();
    waitForClose(Socket);
  });
  BOOST_TEST((Peer.call().m_failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(ReportsMalformedOrBrokenForNonHttpResponse) {
  SingleResponseServer Peer("what is this\r\n\r\n");
  const CallFailure Failure = Peer.call().m_failure;
  BOOST_TEST(
      (Failure == CallFailure::Malformed || Failure == CallFailure::Broken));
}

BOOST_AUTO_TEST_CASE(ReportsNotSentWhenConnectionRefused) {
  Poco::Net::ServerSocket Closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Endpoint ClosedEndpoint{"127.0.0.1", Closed.address().port()};
  Closed.close();
  HttpClient Client;
  BOOST_TEST(
      (Client.call(ClosedEndpoint, {}, 1s).m_failure == CallFailure::NotSent));
}

BOOST_AUTO_TEST_CASE(UnsolicitedBytesAreNotPartOfResponse) {
  SingleResponseServer Peer(
      CompleteResponse + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
      waitForClose);
  // The unsolicited bytes are either seen at once or remain in the session; in
  // both cases the session ends before another request could read them.
  const CallResult Exchange = Peer.call();
  BOOST_TEST((!Exchange.m_response || Exchange.m_response->m_body == "hello"));
}

BOOST_AUTO_TEST_CASE(ServerClosesConnectionWithSlowHeader) {
  HttpServer::Options Limits;
  Poco::Net::ServerSocket PortProbe(Poco::Net::SocketAddress("127.0.0.1", 0));
  Limits.m_listen = {"127.0.0.1", PortProbe.address().port()};
  PortProbe.close();
  Limits.m_readTimeout = 300ms;
  const HttpServer Server(
      Limits, [](const HttpRequest &) { return jsonResponse(200, "{}"); });
  Poco::Net::StreamSocket SlowClient(
      Poco::Net::SocketAddress("127.0.0.1", Limits.m_listen.m_port));
  const std::string HeaderStart = "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ";
  SlowClient.sendBytes(HeaderStart.data(),
                       static_cast<int>(HeaderStart.size()));
  // Each read returns in time, since a byte arrives about every 100 ms; the
  // limit on the whole header must end the connection.
  bool IsClosed = false;
  for (int Byte = 0; Byte < 200 && !IsClosed; ++Byte) {
    try {
      SlowClient.sendBytes("x", 1);
      char Received = 0;
      IsClosed = SlowClient.poll(Poco::Timespan(0, 100 * 1000),
                                 Poco::Net::Socket::SELECT_READ) &&
                 SlowClient.receiveBytes(&Received, 1) == 0;
    } catch (const Poco::Exception &) {
      IsClosed = true;
    }
  }
  BOOST_TEST(IsClosed);
}

// Guards against a surplus response, read together with the one that it
// follows, that would be taken for the response to the next call.
BOOST_AUTO_TEST_CASE(ConnectionWithSurplusResponseIsNotUsable) {
  SingleResponseServer Server(
      CompleteResponse + "HTTP/1.1 400 X\r\nContent-Length: 7\r\n\r\nsurplus",
      waitForClose);
  BOOST_TEST(Server.call().m_response->m_body == "hello");
  BOOST_TEST(!Server.isUsableAfter());
}
