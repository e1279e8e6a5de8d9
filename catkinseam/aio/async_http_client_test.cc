// Tests of the HTTP client against a server that misuses its connections.
#define BOOST_TEST_MODULE async_http_client
#include "catkinseam/aio/async_http_client.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Milliseconds IdleTime{50};
constexpr Milliseconds TestTimeout{5000};

std::string replyText(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Answers each request with the next of its replies, on any connection.
class ScriptedServer {
public:
  struct Answer {
    std::string m_reply;
    /// Sent after the reply, once the connection is idle.
    std::string m_later{};
    bool m_closesLater = false;
    Milliseconds m_delay{0};
  };

  ScriptedServer(EventLoop &Loop, std::vector<Answer> Answers)
      : m_loop(Loop), m_acceptor(Loop.context(), {tcp::v4(), 0}),
        m_answers(std::move(Answers)) {
    accept();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }
  /// Request line and headers of the newest request.
  const std::string &lastHead() const { return m_lastHead; }

private:
  struct Session {
    explicit Session(tcp::socket Accepted) : m_socket(std::move(Accepted)) {}
    tcp::socket m_socket;
    asio::streambuf m_request;
  };

  void accept() {
    m_acceptor.async_accept([this](const error_code &Ec, tcp::socket Accepted) {
      if (Ec)
        return;
      read(std::make_shared<Session>(std::move(Accepted)));
      accept();
    });
  }

  void read(const std::shared_ptr<Session> &Peer) {
    asio::async_read_until(
        Peer->m_socket, Peer->m_request, "\r\n\r\n",
        [this, Peer](const error_code &Ec, std::size_t Bytes) {
          if (Ec)
            return;
          const auto Start = asio::buffers_begin(Peer->m_request.data());
          m_lastHead.assign(Start, Start + static_cast<std::ptrdiff_t>(Bytes));
          Peer->m_request.consume(Bytes);
          answer(Peer);
        });
  }

  void answer(const std::shared_ptr<Session> &Peer) {
    if (m_next >= m_answers.size())
      return;
    const Answer &Next = m_answers[m_next++];
    m_loop.schedule(Next.m_delay, [Peer, Next] { send(Peer, Next.m_reply); });
    m_loop.schedule(Next.m_delay + IdleTime / 2, [Peer, Next] {
      send(Peer, Next.m_later);
      error_code Ignored;
      if (Next.m_closesLater)
        Peer->m_socket.close(Ignored);
    });
    read(Peer);
  }

  static void send(const std::shared_ptr<Session> &Peer,
                   const std::string &Text) {
    error_code Ignored;
    asio::write(Peer->m_socket, asio::buffer(Text), Ignored);
  }

  EventLoop &m_loop;
  tcp::acceptor m_acceptor;
  std::vector<Answer> m_answers;
  std::size_t m_next = 0;
  std::string m_lastHead;
};

/// Makes two calls, the second after the connection has been idle, and returns
/// the reply to the second.
HttpReply replyToSecondCall(std::vector<ScriptedServer::Answer> Answers) {
  EventLoop Loop;
  ScriptedServer Server(Loop, std::move(Answers));
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  HttpReply Second;
  Client.call({.m_headers = {}, .m_body = ""}, [&](const HttpReply &First) {
    BOOST_TEST(First.isAnswered(200));
    Loop.schedule(IdleTime, [&] {
      Client.call({.m_headers = {}, .m_body = ""}, [&](const HttpReply &Reply) {
        Second = Reply;
        Loop.stop();
      });
    });
  });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  return Second;
}

} // namespace

// Guards against an answer to another call: a rejected record that was not
// rejected would fail its job.
BOOST_AUTO_TEST_CASE(SurplusReplyAnswersNoLaterCall) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first") + replyText(400, "surplus")},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_status == 200);
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against the same where the surplus reply arrives on an idle
// connection, such as a 408 before the server closes it.
BOOST_AUTO_TEST_CASE(ReplyOnIdleConnectionAnswersNoLaterCall) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first"), .m_later = replyText(408, "late")},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_status == 200);
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against the same where a server refuses a request by its head alone,
// and takes the body for the next request.
BOOST_AUTO_TEST_CASE(ReplyToUnreadBodyAnswersNoLaterCall) {
  EventLoop Loop;
  ScriptedServer Server(
      Loop, {{.m_reply = replyText(429, ""), .m_later = replyText(400, "")},
             {.m_reply = replyText(200, "second"), .m_delay = IdleTime}});
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  HttpReply Second;
  Client.call({.m_method = "POST", .m_headers = {}, .m_body = "records"},
              [&](const HttpReply &First) {
                BOOST_TEST(First.isAnswered(429));
                Client.call({.m_headers = {}, .m_body = ""},
                            [&](const HttpReply &Reply) {
                              Second = Reply;
                              Loop.stop();
                            });
              });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Second.m_status == 200);
}

// Guards against calls of unknown outcome: a connection that the server closed
// while it was idle carries no further call.
BOOST_AUTO_TEST_CASE(ClosedIdleConnectionIsNotReused) {
  const HttpReply Reply = replyToSecondCall(
      {{.m_reply = replyText(200, "first"), .m_closesLater = true},
       {.m_reply = replyText(200, "second")}});
  BOOST_TEST(Reply.m_body == "second");
}

// Guards against two Host fields, which a server rejects.
BOOST_AUTO_TEST_CASE(HostHeaderReplacesAddress) {
  EventLoop Loop;
  ScriptedServer Server(Loop, {{.m_reply = replyText(200, "")}});
  AsyncHttpClient Client(Loop, Server.endpoint(), {.m_maxConnections = 1});
  Client.call({.m_headers = {{"Host", "tally.example"}}, .m_body = ""},
              [&](const HttpReply &) { Loop.stop(); });
  Loop.schedule(TestTimeout, [&] { Loop.stop(); });
  Loop.run();
  BOOST_TEST(Server.lastHead() ==
             "GET / HTTP/1.1\r\nHost: tally.example\r\n\r\n");
}

} // namespace catkinseam
