// Server on raw sockets.
#include "standin/raw_listener.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr const char *TooManyRequests =
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
constexpr const char *BadRequest =
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view EndOfHead = "\r\n\r\n";

using RequestParser = http::request_parser<http::string_body>;

HttpRequest toRequest(http::request<http::string_body> &Parsed) {
  HttpRequest Request;
  Request.m_method = std::string(Parsed.method_string());
  const std::string Target(Parsed.target());
  const std::size_t QueryStart = Target.find('?');
  Request.m_path = Target.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.m_query = Target.substr(QueryStart + 1);
  Request.m_body = std::move(Parsed.body());
  return Request;
}

std::string responseText(const HttpResponse &Response) {
  return "HTTP/1.1 " + std::to_string(Response.m_status) +
         " X\r\nContent-Length: " + std::to_string(Response.m_body.size()) +
         "\r\n\r\n" + Response.m_body;
}

bool isStartOfRequest(const std::string &Bytes) {
  return Bytes.starts_with("POST /") || Bytes.starts_with("GET /");
}

} // namespace

struct RawListener::Shared {
  Shared(EventLoop &Loop, const Options &Values, AsyncHttpHandler Handler)
      : m_options(Values), m_handler(std::move(Handler)),
        m_acceptor(Loop.context()) {}

  bool refusesNext() {
    return std::uniform_real_distribution<double>(0, 1)(m_random) <
           m_options.m_share;
  }

  const Options m_options;
  const AsyncHttpHandler m_handler;
  asio::ip::tcp::acceptor m_acceptor;
  std::mt19937_64 m_random{1};
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
    if (m_shared->m_options.m_kind == Kind::Reset) {
      error_code Ignored;
      m_socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      return close();
    }
    m_received.append(m_chunk.data(), Size);
    proceed();
  }

  /// Replies to what was received, and reads on unless a request is served.
  void proceed() {
    std::string Replies;
    while (!m_received.empty()) {
      if (!m_parser && !isStartOfRequest(m_received)) {
        Replies.append(BadRequest);
        m_received.clear();
        break;
      }
      const std::size_t End = m_received.find(EndOfHead);
      if (!m_parser && End == std::string::npos)
        break;
      if (!m_parser && m_shared->refusesNext()) {
        Replies.append(TooManyRequests);
        m_received.erase(0, End + EndOfHead.size());
        continue;
      }
      // A served request is not mixed with replies to refused ones.
      if (!Replies.empty())
        break;
      return serve();
    }
    if (Replies.empty())
      return read();
    write(std::move(Replies));
  }

  void serve() {
    if (!m_parser) {
      m_parser.emplace();
      m_parser->eager(true);
      m_parser->body_limit(boost::none);
    }
    error_code Ec;
    m_received.erase(0, m_parser->put(asio::buffer(m_received), Ec));
    if (Ec && Ec != http::error::need_more)
      return close();
    if (!m_parser->is_done())
      return read();
    const HttpRequest Request = toRequest(m_parser->get());
    m_parser.reset();
    m_shared->m_handler(Request, [Self = shared_from_this(),
                                  IsOpen = std::make_shared<bool>(true)](
                                     const HttpResponse &Response) {
      if (std::exchange(*IsOpen, false))
        Self->write(responseText(Response));
    });
  }

  void write(std::string Replies) {
    m_replies = std::move(Replies);
    asio::async_write(
        m_socket, asio::buffer(m_replies),
        [Self = shared_from_this()](const error_code &Ec, std::size_t) {
          if (Ec)
            return;
          if (Self->m_received.empty())
            return Self->read();
          Self->proceed();
        });
  }

  std::shared_ptr<Shared> m_shared;
  asio::ip::tcp::socket m_socket;
  std::array<char, 16384> m_chunk{};
  std::string m_received;
  /// Of the request that is being received to be served.
  std::optional<RequestParser> m_parser;
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
RawListener::open(EventLoop &Loop, const Endpoint &Address,
                  const Options &Values, AsyncHttpHandler Handler) {
  auto State = std::make_shared<Shared>(Loop, Values, std::move(Handler));
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
