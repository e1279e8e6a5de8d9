// Server on raw sockets.
#include "standin/raw_listener.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <string>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr const char *TooManyRequests =
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
constexpr const char *BadRequest =
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view EndOfHead = "\r\n\r\n";

bool isStartOfRequest(const std::string &Bytes) {
  return Bytes.starts_with("POST /") || Bytes.starts_with("GET /");
}

} // namespace

struct RawListener::Shared {
  Shared(EventLoop &Loop, Kind How) : m_kind(How), m_acceptor(Loop.context()) {}

  const Kind m_kind;
  asio::ip::tcp::acceptor m_acceptor;
  std::set<Session *> m_sessions;
  bool m_isClosed = false;
};

class RawListener::Session
    : public std::enable_shared_from_this<RawListener::Session> {
public:
  Session(std::shared_ptr<Shared> State, asio::ip::tcp::socket Socket)
      : m_shared(std::move(State)), m_socket(std::move(Socket)) {
    m_shared->m_sessions.insert(this);
  }
  ~Session() { m_shared->m_sessions.erase(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void close() {
    error_code Ignored;
    m_socket.close(Ignored);
  }

  void read() {
    m_socket.async_read_some(
        asio::buffer(m_chunk),
        [Self = shared_from_this()](const error_code &Ec, std::size_t Size) {
          if (!Ec)
            Self->onRead(Size);
        });
  }

private:
  void onRead(std::size_t Size) {
    if (m_shared->m_kind == Kind::Reset) {
      error_code Ignored;
      m_socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      return close();
    }
    m_received.append(m_chunk.data(), Size);
    write(takeReplies());
  }

  /// Removes all heads and bodies that were received, and returns the replies
  /// to them.
  std::string takeReplies() {
    std::string Replies;
    while (isStartOfRequest(m_received)) {
      const std::size_t End = m_received.find(EndOfHead);
      if (End == std::string::npos)
        return Replies;
      m_received.erase(0, End + EndOfHead.size());
      Replies.append(TooManyRequests);
    }
    if (!m_received.empty())
      Replies.append(BadRequest);
    m_received.clear();
    return Replies;
  }

  void write(std::string Replies) {
    m_replies = std::move(Replies);
    asio::async_write(
        m_socket, asio::buffer(m_replies),
        [Self = shared_from_this()](const error_code &Ec, std::size_t) {
          if (!Ec)
            Self->read();
        });
  }

  std::shared_ptr<Shared> m_shared;
  asio::ip::tcp::socket m_socket;
  std::array<char, 16384> m_chunk{};
  std::string m_received;
  std::string m_replies;
};

RawListener::RawListener(std::shared_ptr<Shared> State)
    : m_shared(std::move(State)) {}

RawListener::~RawListener() {
  m_shared->m_isClosed = true;
  error_code Ignored;
  m_shared->m_acceptor.close(Ignored);
  for (Session *Each : m_shared->m_sessions)
    Each->close();
}

Result<std::unique_ptr<RawListener>>
RawListener::open(EventLoop &Loop, const Endpoint &Address, Kind How) {
  auto State = std::make_shared<Shared>(Loop, How);
  error_code Ec;
  const asio::ip::tcp::endpoint BindAddress(
      asio::ip::make_address(Address.m_host, Ec), Address.m_port);
  if (!Ec)
    State->m_acceptor.open(BindAddress.protocol(), Ec);
  if (!Ec)
    State->m_acceptor.set_option(asio::socket_base::reuse_address(true), Ec);
  if (!Ec)
    State->m_acceptor.bind(BindAddress, Ec);
  if (!Ec)
    State->m_acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Address) + ": " +
                                                 Ec.message());
  accept(State);
  return std::unique_ptr<RawListener>(new RawListener(std::move(State)));
}

void RawListener::accept(const std::shared_ptr<Shared> &State) {
  State->m_acceptor.async_accept(
      [State](const error_code &Ec, asio::ip::tcp::socket Socket) {
        if (State->m_isClosed || Ec)
          return;
        error_code Ignored;
        Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        std::make_shared<Session>(State, std::move(Socket))->read();
        accept(State);
      });
}

} // namespace catkinseam
