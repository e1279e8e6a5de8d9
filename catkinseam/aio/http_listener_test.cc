// Tests of the listener's limits against clients that do not behave.
#define BOOST_TEST_MODULE http_listener
#include "catkinseam/aio/http_listener.h"
#include "catkinseam/aio/testing/raw_client.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr std::uint32_t HeaderBytes = 2048;
constexpr std::uint64_t BodyBytes = 65536;
const std::string Chunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A listener that answers 200 to each request.
struct ListenerFixture {
  explicit ListenerFixture(HttpListener::Options Limits = {}) {
    boost::asio::ip::tcp::acceptor Acceptor(
        m_loop.context(), {boost::asio::ip::address_v4::loopback(), 0});
    m_port = Acceptor.local_endpoint().port();
    Acceptor.close();
    Limits.m_headerBytes = HeaderBytes;
    Limits.m_bodyBytes = BodyBytes;
    auto Opened = attempt([&] {
      return HttpListener::open(
          m_loop, {"127.0.0.1", m_port}, Limits,
          [this](const HttpRequest &Request, const HttpResponder &Respond) {
            m_lastBodyBytes = Request.m_body.size();
            if (m_isHolding)
              m_held.push_back(Respond);
            else
              Respond({200, {}, m_responseBody});
          });
    });
    if (!Opened)
      throw std::runtime_error(Opened.error().m_message);
    m_listener = std::move(Opened.value());
  }

  /// Runs the loop until a condition holds, or for a long time.
  void runUntil(const std::function<bool()> &IsOver) {
    int Polls = 0;
    std::function<void()> Poll = [&] {
      if (IsOver() || ++Polls == MaxPolls)
        m_loop.stop();
      else
        m_loop.schedule(Milliseconds(10), Poll);
    };
    Poll();
    m_loop.run();
    m_loop.context().restart();
  }

  /// Returns the status of the reply to the bytes; empty if there is none.
  std::string statusOf(const std::string &Text) {
    RawClient Client(m_loop, m_port);
    Client.send(Text);
    runUntil([&] { return Client.isClosed() || !Client.status().empty(); });
    return Client.status();
  }

  static constexpr int MaxPolls = 500;

  EventLoop m_loop;
  std::uint16_t m_port = 0;
  std::size_t m_lastBodyBytes = 0;
  std::string m_responseBody;
  /// The handler keeps requests instead of responding.
  bool m_isHolding = false;
  std::vector<HttpResponder> m_held;
  std::unique_ptr<HttpListener> m_listener;
};

std::string chunksOfOneByte(std::size_t Count) {
  std::string Text;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Text += "1\r\nx\r\n";
  return Text + "0\r\n\r\n";
}

/// Size that no socket takes at once while the client does not read.
constexpr std::size_t LongResponseBytes = 64U << 20;
constexpr int SmallReceiveBuffer = 2048;
constexpr Milliseconds ShortTimeout{200};

struct ShortTimeoutFixture : ListenerFixture {
  ShortTimeoutFixture() : ListenerFixture({.m_idleTimeout = ShortTimeout}) {}
};

constexpr std::size_t SmallTable = 4;

struct SmallTableFixture : ListenerFixture {
  SmallTableFixture() : ListenerFixture({.m_maxConnections = SmallTable}) {}

  /// Opens more connections than the table holds.
  void openCrowd(const std::string &Text, int ReceiveBuffer = 0) {
    for (std::size_t Each = 0; Each <= SmallTable; ++Each) {
      m_crowd.push_back(
          std::make_unique<RawClient>(m_loop, m_port, ReceiveBuffer));
      m_crowd.back()->send(Text);
    }
  }

  std::vector<std::unique_ptr<RawClient>> m_crowd;
};

constexpr std::size_t SmallBudgetBytes = 4 * BodyBytes;

struct SmallBudgetFixture : ListenerFixture {
  SmallBudgetFixture()
      : ListenerFixture(
            {.m_budget = std::make_shared<RequestMemory>(SmallBudgetBytes)}) {}

  static std::string head(std::size_t Size) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Size) + "\r\n\r\n";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(framing_limits, ListenerFixture)

// Memory grew with trailer fields that never ended.
BOOST_AUTO_TEST_CASE(EndlessTrailersAreRefused) {
  std::string Trailers;
  while (Trailers.size() < 16 * HeaderBytes)
    Trailers += "X-Field: " + std::string(100, 'x') + "\r\n";
  BOOST_TEST(statusOf(Chunked + "0\r\n" + Trailers) == "431");
}

// Memory grew with one trailer field that never ended.
BOOST_AUTO_TEST_CASE(EndlessTrailerFieldIsRefused) {
  BOOST_TEST(statusOf(Chunked + "0\r\nX-Field: " +
                      std::string(16 * HeaderBytes, 'x')) == "431");
}

// Memory grew with a chunk extension that never ended.
BOOST_AUTO_TEST_CASE(EndlessChunkExtensionIsRefused) {
  BOOST_TEST(statusOf(Chunked + "5;extension=" +
                      std::string(16 * HeaderBytes, 'x')) == "431");
}

// Extensions of many chunks were read without a limit.
BOOST_AUTO_TEST_CASE(ManyChunkExtensionsAreRefused) {
  std::string Chunks;
  while (Chunks.size() < 8 * BodyBytes)
    Chunks += "1;extension=" + std::string(1024, 'x') + "\r\nx\r\n";
  RawClient Client(m_loop, m_port);
  Client.send(Chunked + Chunks);
  runUntil([&] { return Client.isClosed(); });
  // The refusal may be lost to the reset that the rest of the chunks causes.
  BOOST_TEST(Client.isClosed());
  BOOST_TEST(m_lastBodyBytes == 0U);
}

// A field above 64 kB ended the process with an exception of the parser.
BOOST_AUTO_TEST_CASE(FieldThatTheParserCannotHoldIsRefused) {
  m_listener->setLimits(1U << 20, BodyBytes, Milliseconds(15000));
  const std::string Field = "X-Field: " + std::string(70000, 'x') + "\r\n\r\n";
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: h\r\n" + Field) == "431");
  BOOST_TEST(statusOf(Chunked + "0\r\n" + Field) == "431");
}

BOOST_AUTO_TEST_CASE(RequestsAtTheLimitsAreServed) {
  BOOST_TEST(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                      std::to_string(BodyBytes) + "\r\n\r\n" +
                      std::string(BodyBytes, 'x')) == "200");
  BOOST_TEST(m_lastBodyBytes == BodyBytes);
  BOOST_TEST(statusOf(Chunked + chunksOfOneByte(BodyBytes)) == "200");
  BOOST_TEST(m_lastBodyBytes == BodyBytes);
  const std::string Trailer =
      "X-Field: " + std::string(HeaderBytes - 16, 'x') + "\r\n\r\n";
  BOOST_TEST(statusOf(Chunked + "1\r\nx\r\n0\r\n" + Trailer) == "200");
  std::string Header = "GET / HTTP/1.1\r\nHost: h\r\nX-Field: ";
  Header += std::string(HeaderBytes - Header.size() - 4, 'x') + "\r\n\r\n";
  BOOST_TEST(Header.size() == HeaderBytes);
  BOOST_TEST(statusOf(Header) == "200");
}

BOOST_AUTO_TEST_CASE(RequestsOverTheLimitsAreRefused) {
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: h\r\nX-Field: " +
                      std::string(HeaderBytes, 'x') + "\r\n\r\n") == "431");
  BOOST_TEST(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                      std::to_string(BodyBytes + 1) + "\r\n\r\n") == "413");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(deadlines, ShortTimeoutFixture)

// A client that did not read its response kept its connection for good.
BOOST_AUTO_TEST_CASE(ResponseThatIsNotTakenEndsTheConnection) {
  m_responseBody = std::string(LongResponseBytes, 'x');
  RawClient Client(m_loop, m_port, SmallReceiveBuffer);
  Client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return m_listener->requestsInProgress() == 1; });
  BOOST_TEST(m_listener->requestsInProgress() == 1U);
  runUntil([&] { return m_listener->requestsInProgress() == 0; });
  BOOST_TEST(m_listener->requestsInProgress() == 0U);
  Client.read();
  runUntil([&] { return Client.isClosed(); });
  BOOST_TEST(Client.isClosed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(connection_table, SmallTableFixture)

// Connections that sent nothing locked other clients out.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeRoom) {
  openCrowd("");
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == "200");
  runUntil([&] { return m_crowd.front()->isClosed(); });
  BOOST_TEST(m_crowd.front()->isClosed());
  BOOST_TEST(!m_crowd.back()->isClosed());
}

// Connections whose responses were not read locked other clients out.
BOOST_AUTO_TEST_CASE(UnreadResponsesMakeRoom) {
  m_responseBody = std::string(LongResponseBytes, 'x');
  openCrowd("GET / HTTP/1.1\r\nHost: h\r\n\r\n", SmallReceiveBuffer);
  runUntil([&] { return m_listener->requestsInProgress() == SmallTable; });
  m_responseBody.clear();
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == "200");
}

// Connections beyond the table were closed without a response.
BOOST_AUTO_TEST_CASE(FullTableOfWaitingRequestsRefusesWith503) {
  m_isHolding = true;
  openCrowd("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return m_crowd.back()->isClosed(); });
  BOOST_TEST(m_listener->requestsInProgress() == SmallTable);
  RawClient Late(m_loop, m_port);
  runUntil([&] { return Late.isClosed(); });
  BOOST_TEST(Late.status() == "503");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(memory_budget, SmallBudgetFixture)

// Memory grew with the number of bodies of which a byte was missing.
BOOST_AUTO_TEST_CASE(PartialBodiesGiveUpForAnOrdinaryRequest) {
  std::vector<std::unique_ptr<RawClient>> Crowd;
  for (int Each = 0; Each < 16; ++Each) {
    Crowd.push_back(std::make_unique<RawClient>(m_loop, m_port));
    Crowd.back()->send(head(BodyBytes) + std::string(BodyBytes - 1, 'x'));
  }
  const auto Closed = [&] {
    return std::count_if(Crowd.begin(), Crowd.end(),
                         [](const auto &Each) { return Each->isClosed(); });
  };
  runUntil([&] { return Closed() >= 13; });
  BOOST_TEST(Closed() >= 13);
  BOOST_TEST(Closed() < 16);
  BOOST_TEST(statusOf(head(1) + "x") == "200");
}

// Requests with the handler held memory without a limit.
BOOST_AUTO_TEST_CASE(RequestsBeyondThoseWithTheHandlerAreRefused) {
  m_isHolding = true;
  std::vector<std::unique_ptr<RawClient>> Crowd;
  for (int Each = 0; Each < 8; ++Each) {
    Crowd.push_back(std::make_unique<RawClient>(m_loop, m_port));
    Crowd.back()->send(head(BodyBytes) + std::string(BodyBytes, 'x'));
  }
  const auto Closed = [&] {
    return std::count_if(Crowd.begin(), Crowd.end(),
                         [](const auto &Each) { return Each->isClosed(); });
  };
  runUntil([&] { return Closed() >= 5; });
  BOOST_TEST(Closed() >= 5);
  BOOST_TEST(m_held.size() <= 3U);
  BOOST_TEST(!m_held.empty());
  m_isHolding = false;
  for (const HttpResponder &Each : m_held)
    Each({200, {}, ""});
  runUntil([&] { return m_listener->requestsInProgress() == 0; });
  BOOST_TEST(statusOf(head(BodyBytes) + std::string(BodyBytes, 'x')) == "200");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace catkinseam
