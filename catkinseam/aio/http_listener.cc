// Asynchronous HTTP server implementation on Boost.Beast.
#include "catkinseam/aio/http_listener.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <set>
#include <stdexcept>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int ListenBacklog = 256;
/// Delay after a failed accept, for example when out of file descriptors.
constexpr Milliseconds AcceptRetryDelay{50};

/// Room in a connection's buffer beyond a header at its limit.
constexpr std::size_t ExtraBufferBytes = 4096;
constexpr std::size_t DefaultBudgetBytes = 64U << 20;
constexpr std::size_t MaxReadBytes = 65536;
/// Framing of a body in chunks of one byte, for each byte: size, two line ends.
constexpr std::uint64_t FramingPerBodyByte = 5;

const char *reasonPhrase(int Status) {
  const auto Known = http::int_to_status(static_cast<unsigned>(Status));
  return Known == http::status::unknown ? "Unknown"
                                        : http::obsolete_reason(Known).data();
}

std::string responseText(const HttpResponse &Response, bool KeepAlive) {
  std::string Text = "HTTP/1.1 ";
  Text.append(std::to_string(Response.m_status)).append(" ");
  Text.append(reasonPhrase(Response.m_status)).append("\r\n");
  for (const auto &[Name, Value] : Response.m_headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text.append("Content-Length: ");
  Text.append(std::to_string(Response.m_body.size())).append("\r\n");
  if (!KeepAlive)
    Text.append("Connection: close\r\n");
  return Text.append("\r\n").append(Response.m_body);
}

HttpResponse refusal() { return {503, {{"Retry-After", "1"}}, ""}; }

/// Refuses a connection before its request is read, as far as the socket takes
/// the response at once.
void refuse(asio::ip::tcp::socket &Socket) {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  const std::string Text = responseText(refusal(), /*KeepAlive=*/false);
  Socket.write_some(asio::buffer(Text), Ignored);
}

HttpRequest toRequest(http::request<http::string_body> &Parsed) {
  HttpRequest Request;
  Request.m_method = std::string(Parsed.method_string());
  const std::string Target(Parsed.target());
  const std::size_t QueryStart = Target.find('?');
  Request.m_path = Target.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.m_query = Target.substr(QueryStart + 1);
  for (const auto &Field : Parsed)
    Request.m_headers.emplace_back(std::string(Field.name_string()),
                                   std::string(Field.value()));
  Request.m_body = std::move(Parsed.body());
  return Request;
}

} // namespace

struct HttpListener::Shared {
  Shared(EventLoop &Loop, const Options &Limits, AsyncHttpHandler Handler)
      : m_loop(Loop), m_options(Limits), m_handler(std::move(Handler)),
        m_acceptor(Loop.context()), m_retryTimer(Loop) {
    if (!m_options.m_budget)
      m_options.m_budget = std::make_shared<RequestMemory>(DefaultBudgetBytes);
  }

  EventLoop &m_loop;
  Options m_options;
  AsyncHttpHandler m_handler;
  asio::ip::tcp::acceptor m_acceptor;
  Timer m_retryTimer;
  std::set<Session *> m_sessions;
  std::size_t m_inProgress = 0;
  std::uint64_t m_lastWait = 0;
  bool m_isClosed = false;
  bool m_closesAfterResponse = false;

  /// Closes a connection if the table is full, and returns whether there is
  /// room for another one. Connections whose requests are with the handler
  /// stay.
  bool makeRoom();
};

class HttpListener::Session
    : public std::enable_shared_from_this<HttpListener::Session> {
public:
  Session(std::shared_ptr<Shared> State, asio::ip::tcp::socket Socket)
      : m_shared(std::move(State)), m_stream(std::move(Socket)),
        m_memory(*m_shared->m_options.m_budget, [this] { close(); }) {
    m_shared->m_sessions.insert(this);
  }
  ~Session() { m_shared->m_sessions.erase(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void close() {
    m_isClosing = true;
    m_stream.close();
  }

  /// Whether the connection waits for its client, not for the handler.
  bool isWaitingForClient() const {
    return !m_isClosing && m_waitsFor != WaitsFor::Handler;
  }
  /// Whether this connection is to make room before another one: those without
  /// a complete request come first, then those that have waited longer.
  bool makesRoomBefore(const Session &Other) const {
    return std::pair(m_waitsFor, m_waitNumber) <
           std::pair(Other.m_waitsFor, Other.m_waitNumber);
  }

  void read() {
    if (m_shared->m_isClosed)
      return;
    const Options &Limits = m_shared->m_options;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(Limits.m_headerBytes);
    m_parser->body_limit(Limits.m_bodyBytes);
    // The parser needs a header, a chunk's extensions and a trailer section
    // each as a whole in the buffer, and limits only the header.
    m_buffer.max_size(std::max<std::size_t>(
        Limits.m_headerBytes + ExtraBufferBytes, m_buffer.size()));
    m_framingLimit = 2 * std::uint64_t(Limits.m_headerBytes) +
                     ExtraBufferBytes + FramingPerBodyByte * Limits.m_bodyBytes;
    m_parsedBytes = 0;
    beginWait(WaitsFor::Request);
    m_stream.expires_after(Limits.m_idleTimeout);
    if (m_buffer.size() > 0)
      parse();
    else
      receive();
  }

private:
  enum class WaitsFor { Request, ClientToRead, Handler };

  void beginWait(WaitsFor What) {
    m_waitsFor = What;
    m_waitNumber = ++m_shared->m_lastWait;
  }

  /// Parses what has been received, and receives more until the request is
  /// complete.
  void parse() {
    error_code Ec;
    const std::size_t Parsed = put(Ec);
    m_buffer.consume(Parsed);
    m_parsedBytes += Parsed;
    const bool IsIncomplete =
        Ec == http::error::need_more || (!Ec && !m_parser->is_done());
    if (!IsIncomplete)
      return onRead(Ec);
    if (m_parsedBytes - m_parser->get().body().size() > m_framingLimit)
      return onRead(http::error::buffer_overflow);
    receive();
  }

  /// Returns the number of bytes that the parser takes from the buffer.
  std::size_t put(error_code &Ec) {
    try {
      return m_parser->put(m_buffer.data(), Ec);
    } catch (const std::length_error &) {
      // Thrown for a field above 64 kB.
      Ec = http::error::header_limit;
      return 0;
    }
  }

  /// Bytes that the request holds until its response is written.
  std::size_t heldBytes() const {
    return m_buffer.capacity() + m_parser->get().body().capacity() +
           std::min<std::size_t>(m_parsedBytes,
                                 2 * m_shared->m_options.m_headerBytes);
  }

  void receive() {
    if (!m_memory.hold(heldBytes(), RequestMemory::MayGiveUp::Yes))
      return reject(refusal());
    const std::size_t Size = beast::read_size(m_buffer, MaxReadBytes);
    if (Size == 0)
      return onRead(http::error::buffer_overflow);
    m_stream.async_read_some(
        m_buffer.prepare(Size),
        [Self = shared_from_this()](const error_code &Ec, std::size_t Count) {
          if (Ec)
            return Self->onRead(Ec);
          Self->m_buffer.commit(Count);
          Self->parse();
        });
  }

  void onRead(const error_code &Ec) {
    m_stream.expires_never();
    if (Ec == http::error::body_limit)
      return reject({413, {}, ""});
    if (Ec == http::error::header_limit || Ec == http::error::buffer_overflow)
      return reject({431, {}, ""});
    if (Ec || m_isClosing)
      return;
    m_keepAlive = m_parser->keep_alive();
    if (!m_memory.hold(heldBytes(), RequestMemory::MayGiveUp::No))
      return reject(refusal());
    ++m_shared->m_inProgress;
    beginWait(WaitsFor::Handler);
    auto Responder = [Self = shared_from_this(),
                      IsOpen =
                          std::make_shared<bool>(true)](HttpResponse Response) {
      if (!*IsOpen)
        return;
      *IsOpen = false;
      Self->write(Response);
    };
    m_shared->m_handler(toRequest(m_parser->get()), std::move(Responder));
  }

  void reject(const HttpResponse &Response) {
    m_keepAlive = false;
    m_parser.reset();
    ++m_shared->m_inProgress;
    write(Response);
  }

  void write(const HttpResponse &Response) {
    m_keepAlive = m_keepAlive && !m_shared->m_closesAfterResponse;
    m_responseText = responseText(Response, m_keepAlive);
    m_parser.reset();
    // Other responses give up first; this one is sent in any case.
    m_memory.hold(m_buffer.capacity() + m_responseText.capacity(),
                  RequestMemory::MayGiveUp::Yes);
    beginWait(WaitsFor::ClientToRead);
    m_stream.expires_after(m_shared->m_options.m_idleTimeout);
    asio::async_write(
        m_stream, asio::buffer(m_responseText),
        [Self = shared_from_this()](const error_code &Ec, std::size_t) {
          Self->m_stream.expires_never();
          --Self->m_shared->m_inProgress;
          Self->m_responseText = {};
          if (!Ec && Self->m_keepAlive)
            Self->read();
        });
  }

  std::shared_ptr<Shared> m_shared;
  beast::tcp_stream m_stream;
  RequestMemory::Account m_memory;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  /// Bytes of the request in progress, and its maximum without the body.
  std::uint64_t m_parsedBytes = 0;
  std::uint64_t m_framingLimit = 0;
  std::string m_responseText;
  WaitsFor m_waitsFor = WaitsFor::Request;
  /// Ascending in the order in which the waits of all connections began.
  std::uint64_t m_waitNumber = 0;
  bool m_isClosing = false;
  bool m_keepAlive = true;
};

bool HttpListener::Shared::makeRoom() {
  if (m_sessions.size() < m_options.m_maxConnections)
    return true;
  Session *Chosen = nullptr;
  for (Session *Each : m_sessions)
    if (Each->isWaitingForClient() &&
        (!Chosen || Each->makesRoomBefore(*Chosen)))
      Chosen = Each;
  if (!Chosen)
    return false;
  Chosen->close();
  return true;
}

HttpListener::HttpListener(std::shared_ptr<Shared> State)
    : m_shared(std::move(State)) {}

HttpListener::~HttpListener() {
  m_shared->m_isClosed = true;
  error_code Ignored;
  m_shared->m_acceptor.close(Ignored);
  m_shared->m_retryTimer.cancel();
  // Only cancels; the sessions end when their handlers are called.
  for (Session *Each : m_shared->m_sessions)
    Each->close();
}

Result<std::unique_ptr<HttpListener>>
HttpListener::open(EventLoop &Loop, const Endpoint &Address,
                   const Options &Limits, AsyncHttpHandler Handler) {
  auto State = std::make_shared<Shared>(Loop, Limits, std::move(Handler));
  error_code Ec;
  const auto Host = asio::ip::make_address(Address.m_host, Ec);
  const asio::ip::tcp::endpoint BindAddress(Host, Address.m_port);
  if (!Ec)
    State->m_acceptor.open(BindAddress.protocol(), Ec);
  if (!Ec)
    State->m_acceptor.set_option(asio::socket_base::reuse_address(true), Ec);
  if (!Ec)
    State->m_acceptor.bind(BindAddress, Ec);
  if (!Ec)
    State->m_acceptor.listen(ListenBacklog, Ec);
  if (Ec)
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Address) + ": " +
                                                 Ec.message());
  accept(State);
  return std::unique_ptr<HttpListener>(new HttpListener(std::move(State)));
}

void HttpListener::accept(const std::shared_ptr<Shared> &State) {
  State->m_acceptor.async_accept(
      [State](const error_code &Ec, asio::ip::tcp::socket Socket) {
        if (State->m_isClosed)
          return;
        if (Ec)
          return State->m_retryTimer.start(AcceptRetryDelay,
                                           [State] { accept(State); });
        error_code Ignored;
        Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
        if (State->makeRoom())
          std::make_shared<Session>(State, std::move(Socket))->read();
        else
          refuse(Socket);
        accept(State);
      });
}

void HttpListener::setLimits(std::uint32_t HeaderBytes, std::uint64_t BodyBytes,
                             Milliseconds IdleTimeout) {
  m_shared->m_options.m_headerBytes = HeaderBytes;
  m_shared->m_options.m_bodyBytes = BodyBytes;
  m_shared->m_options.m_idleTimeout = IdleTimeout;
}

void HttpListener::closeAfterResponses() {
  m_shared->m_closesAfterResponse = true;
}

std::size_t HttpListener::requestsInProgress() const {
  return m_shared->m_inProgress;
}

} // namespace catkinseam
