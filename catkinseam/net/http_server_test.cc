// HTTP server: clients that never complete a request, never read a response or
// send framing without end.
#define BOOST_TEST_MODULE http_server
#include "catkinseam/net/http_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

using Poco::Net::StreamSocket;

/// The server's threads are the connections that it allows and a few more for
/// rejections; a crowd of this size exceeds them.
constexpr std::size_t MaxConnections = 4;
constexpr int CrowdSize = 24;

constexpr std::size_t UnfinishedBytes = 64 * 1024;

const std::string ChunkedHeader =
    "POST /upload HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string GetRequest =
    "GET /ordinary HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// A server whose limits are low enough to be reached by a small crowd.
class LimitedServer {
public:
  explicit LimitedServer(std::size_t ResponseBytes = 2)
      : m_responseBytes(ResponseBytes),
        m_server(options(), [this](auto &Request) { return handle(Request); }) {
  }

  StreamSocket connect() const {
    StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", m_port));
    Socket.setReceiveTimeout(Poco::Timespan(1, 0));
    Socket.setSendTimeout(Poco::Timespan(1, 0));
    return Socket;
  }

  /// Sends `Text` on a connection of its own and returns what the server sends
  /// until it closes the connection or is silent for a second.
  std::string exchange(const std::string &Text,
                       bool EndsSending = false) const {
    std::string Received;
    try {
      StreamSocket Socket = connect();
      Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
      if (EndsSending)
        Socket.shutdownSend();
      char Buffer[4096];
      int Count = 0;
      while ((Count = Socket.receiveBytes(Buffer, sizeof Buffer)) > 0)
        Received.append(Buffer, static_cast<std::size_t>(Count));
    } catch (const Poco::Exception &) {
      // The server closed the connection or sends nothing more.
    }
    return Received;
  }

  bool servesOrdinaryRequest() const {
    return exchange(GetRequest).rfind("HTTP/1.1 200", 0) == 0;
  }

  std::vector<std::string> handledPaths() {
    const std::lock_guard Lock(m_mutex);
    return m_handledPaths;
  }

private:
  HttpServer::Options options() {
    HttpServer::Options Limits;
    Poco::Net::ServerSocket PortProbe(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_port = PortProbe.address().port();
    PortProbe.close();
    Limits.m_listen = {"127.0.0.1", m_port};
    Limits.m_maxConnections = MaxConnections;
    Limits.m_maxHeaderBytes = 2048;
    Limits.m_bodyBudget = std::make_shared<ByteBudget>(UnfinishedBytes);
    Limits.m_readTimeout = 300ms;
    Limits.m_writeTimeout = 300ms;
    return Limits;
  }

  HttpResponse handle(const HttpRequest &Request) {
    const std::lock_guard Lock(m_mutex);
    m_handledPaths.push_back(Request.m_path);
    const bool IsOrdinary = Request.m_path == "/ordinary";
    return jsonResponse(200,
                        std::string(IsOrdinary ? 2 : m_responseBytes, 'x'));
  }

  const std::size_t m_responseBytes;
  std::mutex m_mutex;
  std::vector<std::string> m_handledPaths;
  std::uint16_t m_port = 0;
  HttpServer m_server;
};

/// Sends without waiting; errors are ignored, as the server may have closed the
/// connection.
void sendSome(StreamSocket &Socket, const std::string &Text) {
  try {
    Socket.setBlocking(false);
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  } catch (const Poco::Exception &) {
  }
}

/// A crowd sends `Start` and then `Piece` again and again, and reads nothing.
/// Returns whether an ordinary request is served while this goes on.
bool servesBesideCrowd(const LimitedServer &Server, const std::string &Start,
                       const std::string &Piece) {
  std::list<StreamSocket> Crowd;
  for (int Member = 0; Member < CrowdSize; ++Member) {
    Crowd.push_back(Server.connect());
    sendSome(Crowd.back(), Start);
  }
  constexpr int Rounds = 200;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (StreamSocket &Member : Crowd)
      sendSome(Member, Piece);
    std::this_thread::sleep_for(50ms);
    if (Server.servesOrdinaryRequest())
      return true;
  }
  return false;
}

} // namespace

// Guards against a chunk extension without end that holds a thread forever.
BOOST_AUTO_TEST_CASE(EndlessChunkExtensionHoldsNoThread) {
  const LimitedServer Server;
  BOOST_TEST(servesBesideCrowd(Server, ChunkedHeader + "5;", "xxxxxxxx"));
}

// Guards against a chunk size without end that holds a thread forever.
BOOST_AUTO_TEST_CASE(EndlessSpaceBeforeChunkHoldsNoThread) {
  const LimitedServer Server;
  BOOST_TEST(servesBesideCrowd(Server, ChunkedHeader, "        "));
}

// Guards against a trailer field without end that holds a thread forever.
BOOST_AUTO_TEST_CASE(EndlessTrailerFieldHoldsNoThread) {
  const LimitedServer Server;
  BOOST_TEST(servesBesideCrowd(Server, ChunkedHeader + "0\r\nX-T: ", "xxxx"));
}

// Guards against trailer fields without end that hold a thread forever.
BOOST_AUTO_TEST_CASE(EndlessTrailerFieldsHoldNoThread) {
  const LimitedServer Server;
  BOOST_TEST(servesBesideCrowd(Server, ChunkedHeader + "0\r\n", "X-T: y\r\n"));
}

// Guards against a body that arrives byte by byte and holds a thread forever.
BOOST_AUTO_TEST_CASE(SlowBodyHoldsNoThread) {
  const LimitedServer Server;
  BOOST_TEST(servesBesideCrowd(
      Server,
      "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n",
      "x"));
}

// Guards against responses that are never read and hold a thread forever.
BOOST_AUTO_TEST_CASE(UnreadResponsesHoldNoThread) {
  constexpr std::size_t MoreThanSocketBuffers = 32 * 1024 * 1024;
  const LimitedServer Server(MoreThanSocketBuffers);
  BOOST_TEST(
      servesBesideCrowd(Server, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n", ""));
}

// Guards against trailer fields that are taken for the next request.
BOOST_AUTO_TEST_CASE(TrailerFieldsAreNotTakenForNextRequest) {
  LimitedServer Server;
  Server.exchange(ChunkedHeader + "1\r\nx\r\n0\r\nX-T: y\r\n" + GetRequest);
  const std::vector<std::string> Expected = {"/upload"};
  BOOST_TEST(Server.handledPaths() == Expected,
             boost::test_tools::per_element());
}

// Guards against the first part of a chunked body that is handled as a whole
// request.
BOOST_AUTO_TEST_CASE(TruncatedChunkedBodyIsNotHandled) {
  LimitedServer Server;
  for (const char *Part : {"", "5", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n",
                           "5\r\nhello\r\n0\r\n", "5\r\nhello\r\nfff"})
    Server.exchange(ChunkedHeader + Part, /*EndsSending=*/true);
  BOOST_TEST(Server.handledPaths().empty());
}

// Guards against a body whose chunks are invalid that is handled all the same.
BOOST_AUTO_TEST_CASE(InvalidChunksAreRejected) {
  LimitedServer Server;
  for (const char *Body : {"x\r\n", "5\r\nhelloX\r\n0\r\n\r\n",
                           "fffffffffffffffff\r\nx", "-1\r\n\r\n", "\r\n\r\n"})
    BOOST_TEST(Server.exchange(ChunkedHeader + Body).rfind("HTTP/1.1 400", 0) ==
                   0,
               Body);
  BOOST_TEST(Server.handledPaths().empty());
}

BOOST_AUTO_TEST_CASE(ChunkedBodyWithExtensionsAndTrailersIsServed) {
  LimitedServer Server;
  const std::string Received = Server.exchange(
      ChunkedHeader +
      "5;name=value\r\nhello\r\n1\r\n!\r\n0;x\r\nX-T: y\r\n\r\n" + GetRequest);
  BOOST_TEST(Received.rfind("HTTP/1.1 200", 0) == 0);
  const std::vector<std::string> Expected = {"/upload", "/ordinary"};
  BOOST_TEST(Server.handledPaths() == Expected,
             boost::test_tools::per_element());
}

// Guards against bodies that each stay within their limit and together use up
// the memory of the process.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesShareABudget) {
  const LimitedServer Server;
  const auto Post = [](std::size_t Length) {
    return "POST /upload HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  };
  StreamSocket Unfinished = Server.connect();
  const std::string Part =
      Post(UnfinishedBytes) + std::string(UnfinishedBytes - 8192, 'x');
  Unfinished.sendBytes(Part.data(), static_cast<int>(Part.size()));
  const std::string Whole = Post(16384) + std::string(16384, 'x');
  std::string Refusal;
  while (Refusal.rfind("HTTP/1.1 503", 0) != 0)
    Refusal = Server.exchange(Whole);
  BOOST_TEST(Refusal.find("unfinished requests exceed 65536 bytes") !=
             std::string::npos);
  Unfinished.close();
  std::string Reply;
  while (Reply.rfind("HTTP/1.1 200", 0) != 0)
    Reply = Server.exchange(Whole);
  BOOST_TEST(Server.servesOrdinaryRequest());
}

// Guards against chunk extensions and trailers that are read without bound.
BOOST_AUTO_TEST_CASE(FramingOfABodyIsLimited) {
  const LimitedServer Server;
  const std::string Long(3000, 'x');
  for (const std::string &Body :
       {"5;" + Long + "\r\nhello\r\n0\r\n\r\n", "0;" + Long + "\r\n\r\n",
        "0\r\nX-T: " + Long + "\r\n\r\n"})
    BOOST_TEST(Server.exchange(ChunkedHeader + Body).rfind("HTTP/1.1 431", 0) ==
               0);
}
