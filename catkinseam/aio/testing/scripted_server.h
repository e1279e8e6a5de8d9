// Test support: a server that sends prepared replies, however odd.
//
//   ScriptedServer Server(Loop, {{.m_reply = replyText(200, "first")}});
//   AsyncHttpClient Client(Loop, Server.endpoint(), {});
#ifndef CATKINSEAM_AIO_TESTING_SCRIPTED_SERVER_H
#define CATKINSEAM_AIO_TESTING_SCRIPTED_SERVER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/net/endpoint.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

inline std::string replyText(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Answers each request with the next of its replies, on any connection.
class ScriptedServer {
public:
  static constexpr Milliseconds IdleTime{50};

  struct Answer {
    std::string m_reply;
    /// Sent IdleTime / 2 after the reply, once the connection is idle.
    std::string m_later{};
    bool m_closesLater = false;
    Milliseconds m_delay{0};
  };

  ScriptedServer(EventLoop &Loop, std::vector<Answer> Answers)
      : m_loop(Loop),
        m_acceptor(Loop.context(), {boost::asio::ip::tcp::v4(), 0}),
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
    explicit Session(boost::asio::ip::tcp::socket Accepted)
        : m_socket(std::move(Accepted)) {}
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::streambuf m_request;
  };

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code &Ec,
                                   boost::asio::ip::tcp::socket Accepted) {
      if (Ec)
        return;
      read(std::make_shared<Session>(std::move(Accepted)));
      accept();
    });
  }

  void read(const std::shared_ptr<Session> &Peer) {
    boost::asio::async_read_until(
        Peer->m_socket, Peer->m_request, "\r\n\r\n",
        [this, Peer](const boost::system::error_code &Ec, std::size_t Bytes) {
          if (Ec)
            return;
          const auto Start = boost::asio::buffers_begin(Peer->m_request.data());
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
      boost::system::error_code Ignored;
      if (Next.m_closesLater)
        Peer->m_socket.close(Ignored);
    });
    read(Peer);
  }

  static void send(const std::shared_ptr<Session> &Peer,
                   const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Peer->m_socket, boost::asio::buffer(Text), Ignored);
  }

  EventLoop &m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<Answer> m_answers;
  std::size_t m_next = 0;
  std::string m_lastHead;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_TESTING_SCRIPTED_SERVER_H
