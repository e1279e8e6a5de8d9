// Asynchronous HTTP client implementation on Boost.Beast.
#include "catkinseam/aio/async_http_client.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

namespace catkinseam {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Fits the largest replies of the log service: a page of 1 MB encoded as
/// base64, and a read of 2 MB of records.
constexpr std::uint64_t MaxReplyBytes = 4ULL << 20;
/// Limits the header, the trailer section and each chunk's extensions.
constexpr std::size_t MaxBufferBytes = 32768;

constexpr int StatusOk = 200;

/// Whether a server may reply with this status before it has read the body of
/// the request. It may take the rest of the body for another request, and
/// reply to that too.
bool mayPrecedeBody(int Status, bool MayConflict) {
  constexpr int FirstError = 400;
  constexpr int Conflict = 409;
  constexpr int PreconditionFailed = 412;
  if (Status == Conflict || Status == PreconditionFailed)
    return MayConflict;
  return Status >= FirstError;
}

std::string requestText(const HttpCall &Call, const std::string &Host) {
  std::string Text;
  Text.reserve(192 + Call.m_body.size());
  Text += Call.m_method;
  Text += ' ';
  Text += Call.m_target;
  Text += " HTTP/1.1\r\n";
  if (!findHeader(Call.m_headers, "Host")) {
    Text += "Host: ";
    Text += Host;
    Text += "\r\n";
  }
  for (const auto &[Name, Value] : Call.m_headers) {
    Text += Name;
    Text += ": ";
    Text += Value;
    Text += "\r\n";
  }
  if (Call.m_method != "GET") {
    Text += "Content-Length: ";
    Text += std::to_string(Call.m_body.size());
    Text += "\r\n";
  }
  Text += "\r\n";
  Text += Call.m_body;
  return Text;
}

} // namespace

/// One connection. Pending operations keep it alive.
class AsyncHttpClient::Connection
    : public std::enable_shared_from_this<AsyncHttpClient::Connection> {
public:
  Connection(AsyncHttpClient &Client, EventLoop &Loop)
      : m_client(&Client), m_loop(Loop), m_socket(Loop.context()),
        m_deadline(Loop.context()) {}

  /// Whether the connection may lead to the process that the call is for.
  bool mayCarry(const HttpCall &Call) const {
    return !Call.m_check || Call.m_check->m_process == UnknownProcess ||
           m_process == UnknownProcess || Call.m_check->m_process == m_process;
  }

  void run(HttpCall Call, HttpReplyHandler Handler, TimePoint Deadline) {
    const std::string Host = toString(m_client->m_server);
    m_handler = std::move(Handler);
    m_requestText = requestText(Call, Host);
    m_isHeadRequest = Call.m_method == "HEAD";
    m_hasRequestBody = !Call.m_body.empty();
    m_isAskingProcess = Call.m_check &&
                        Call.m_check->m_process != UnknownProcess &&
                        Call.m_check->m_process != m_process;
    if (m_isAskingProcess) {
      m_checkedRequestText = std::move(m_requestText);
      Call.m_target = Call.m_check->m_target;
      Call.m_body = Call.m_check->m_body;
      m_requestText = requestText(Call, Host);
    }
    m_check = std::move(Call.m_check);
    m_mayConflictPrecedeBody = m_client->m_options.m_mayConflictPrecedeBody;
    m_outcome = CallOutcome::NotSent;
    armDeadline(Deadline);
    if (m_socket.is_open())
      write();
    else
      connect();
  }

  /// Detaches from the client; pending operations end without running the
  /// handler.
  void detach() {
    m_client = nullptr;
    m_handler = nullptr;
    close();
  }

  void close() {
    closeSocket();
    m_deadline.cancel();
  }

  TimePoint idleSince() const { return m_idleSince; }

  /// Whether an idle connection can carry another call: the server has neither
  /// closed it nor sent anything that would be taken for the reply.
  bool isReusable() {
    error_code Ec;
    m_socket.non_blocking(true, Ec);
    char Byte = 0;
    m_socket.receive(asio::buffer(&Byte, 1),
                     asio::ip::tcp::socket::message_peek, Ec);
    return Ec == asio::error::would_block;
  }

private:
  static constexpr std::int64_t UnknownProcess = 0;

  void closeSocket() {
    error_code Ignored;
    m_socket.close(Ignored);
  }

  void armDeadline(TimePoint Deadline) {
    m_deadline.expires_after(Deadline - m_loop.now());
    m_deadline.async_wait([Self = shared_from_this(),
                           Call = ++m_callGeneration](const error_code &Ec) {
      if (!Ec && Call == Self->m_callGeneration)
        Self->fail();
    });
  }

  void connect() {
    error_code Ec;
    const auto Address = asio::ip::make_address(m_client->m_server.m_host, Ec);
    if (Ec)
      return asio::post(m_loop.context(),
                        [Self = shared_from_this()] { Self->fail(); });
    ++m_client->m_connectionsOpened;
    m_socket.async_connect(
        asio::ip::tcp::endpoint(Address, m_client->m_server.m_port),
        [Self = shared_from_this(),
         Call = m_callGeneration](const error_code &ConnectEc) {
          if (!Self->m_handler || Call != Self->m_callGeneration)
            return;
          if (ConnectEc)
            return Self->fail();
          error_code Ignored;
          Self->m_socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  void write() {
    if (!m_isAskingProcess)
      m_outcome = CallOutcome::NoResponse;
    asio::async_write(m_socket, asio::buffer(m_requestText),
                      [Self = shared_from_this(), Call = m_callGeneration](
                          const error_code &Ec, std::size_t) {
                        if (!Self->m_handler || Call != Self->m_callGeneration)
                          return;
                        if (Ec)
                          return Self->fail();
                        Self->read();
                      });
  }

  void read() {
    m_parser.emplace();
    m_parser->body_limit(MaxReplyBytes);
    if (m_isHeadRequest)
      m_parser->skip(true);
    http::async_read(m_socket, m_buffer, *m_parser,
                     [Self = shared_from_this(), Call = m_callGeneration](
                         const error_code &Ec, std::size_t) {
                       if (!Self->m_handler || Call != Self->m_callGeneration)
                         return;
                       if (Ec)
                         return Self->fail();
                       Self->finish();
                     });
  }

  void finish() {
    HttpReply Reply;
    Reply.m_outcome = CallOutcome::Answered;
    Reply.m_status = static_cast<int>(m_parser->get().result_int());
    Reply.m_body = std::move(m_parser->get().body());
    const bool IsReusable =
        m_parser->get().keep_alive() && m_buffer.size() == 0 &&
        !(m_hasRequestBody &&
          mayPrecedeBody(Reply.m_status, m_mayConflictPrecedeBody));
    if (!m_check || !applyCheck(Reply, IsReusable))
      end(Reply, IsReusable);
  }

  /// Learns which process the connection leads to. Returns whether the call
  /// goes on: the reply was that to the request that asks for the process.
  bool applyCheck(HttpReply &Reply, bool IsReusable) {
    const bool WasAsking = std::exchange(m_isAskingProcess, false);
    if (Reply.m_status != StatusOk ||
        (!WasAsking && m_check->m_process != UnknownProcess))
      return false;
    m_process = m_check->m_parse(Reply).value_or(UnknownProcess);
    if (!WasAsking || m_check->m_doesReplySuffice)
      return false;
    if (m_process == m_check->m_process) {
      sendChecked(IsReusable);
      return true;
    }
    const bool IsKnown = m_process != UnknownProcess;
    Reply = {.m_outcome =
                 IsKnown ? CallOutcome::OtherProcess : CallOutcome::NotSent,
             .m_body = "",
             .m_process = m_process};
    return false;
  }

  /// Sends the call after the process was found to be the one it is for.
  void sendChecked(bool IsReusable) {
    m_requestText = std::move(m_checkedRequestText);
    if (IsReusable)
      return write();
    // A server that ends each connection after a reply cannot be told from its
    // next process.
    closeSocket();
    m_process = UnknownProcess;
    connect();
  }

  void end(const HttpReply &Reply, bool IsReusable) {
    ++m_callGeneration;
    m_deadline.cancel();
    if (!IsReusable)
      close();
    m_idleSince = m_loop.now();
    deliver(Reply, IsReusable);
  }

  void fail() {
    ++m_callGeneration;
    close();
    m_buffer.clear();
    HttpReply Reply;
    Reply.m_outcome = m_outcome;
    deliver(Reply, false);
  }

  void deliver(const HttpReply &Reply, bool IsReusable) {
    HttpReplyHandler Handler = std::move(m_handler);
    m_handler = nullptr;
    if (m_client)
      m_client->release(shared_from_this(), IsReusable);
    if (Handler)
      Handler(Reply);
  }

  AsyncHttpClient *m_client;
  EventLoop &m_loop;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_deadline;
  HttpReplyHandler m_handler;
  std::string m_requestText;
  /// Of the call, while its process is asked for its number.
  std::string m_checkedRequestText;
  std::optional<ProcessCheck> m_check;
  /// The request in progress asks for the number of the process.
  bool m_isAskingProcess = false;
  /// Process that the connection leads to, as far as it has told.
  std::int64_t m_process = UnknownProcess;
  boost::beast::flat_buffer m_buffer{MaxBufferBytes};
  std::optional<http::response_parser<http::string_body>> m_parser;
  CallOutcome m_outcome = CallOutcome::NotSent;
  TimePoint m_idleSince;
  /// Incremented when a call starts and when it ends, so that a completion
  /// handler can detect that its call is over.
  std::uint64_t m_callGeneration = 0;
  bool m_isHeadRequest = false;
  bool m_hasRequestBody = false;
  bool m_mayConflictPrecedeBody = false;
};

AsyncHttpClient::AsyncHttpClient(EventLoop &Loop, Endpoint Server,
                                 const Options &Limits)
    : m_loop(Loop), m_server(std::move(Server)), m_options(Limits),
      m_queueTimer(Loop) {}

AsyncHttpClient::~AsyncHttpClient() {
  *m_isAlive = false;
  for (const auto &Each : m_idle)
    Each->detach();
  for (const auto &Each : m_busy)
    Each->detach();
}

void AsyncHttpClient::call(HttpCall Call, HttpReplyHandler Handler) {
  const TimePoint Deadline = m_loop.now() + Call.m_timeout;
  m_queue.push_back({std::move(Call), std::move(Handler), Deadline});
  startNext();
}

void AsyncHttpClient::startNext() {
  while (!m_queue.empty() && m_busy.size() < m_options.m_maxConnections) {
    QueuedCall Next = std::move(m_queue.front());
    m_queue.pop_front();
    std::shared_ptr<Connection> Chosen;
    while (!m_idle.empty() && !Chosen) {
      std::shared_ptr<Connection> Candidate = m_idle.back();
      m_idle.pop_back();
      if (m_loop.now() - Candidate->idleSince() < m_options.m_maxIdleTime &&
          Candidate->mayCarry(Next.m_call) && Candidate->isReusable())
        Chosen = std::move(Candidate);
      else
        Candidate->close();
    }
    if (!Chosen)
      Chosen = std::make_shared<Connection>(*this, m_loop);
    m_busy.push_back(Chosen);
    Chosen->run(std::move(Next.m_call), std::move(Next.m_handler),
                Next.m_deadline);
  }
  if (m_queue.empty())
    return m_queueTimer.cancel();
  const Duration Remaining = m_queue.front().m_deadline - m_loop.now();
  m_queueTimer.start(std::max(Remaining, Duration::zero()), [this] {
    const TimePoint Now = m_loop.now();
    std::vector<HttpReplyHandler> Expired;
    for (auto Each = m_queue.begin(); Each != m_queue.end();) {
      if (Each->m_deadline <= Now) {
        Expired.push_back(std::move(Each->m_handler));
        Each = m_queue.erase(Each);
      } else {
        ++Each;
      }
    }
    m_expiredCalls += Expired.size();
    for (const HttpReplyHandler &Each : Expired)
      m_loop.post([this, Each, IsAlive = m_isAlive] {
        if (!*IsAlive)
          return;
        --m_expiredCalls;
        Each(HttpReply{});
      });
    startNext();
  });
}

void AsyncHttpClient::release(const std::shared_ptr<Connection> &Released,
                              bool IsReusable) {
  std::erase(m_busy, Released);
  if (IsReusable)
    m_idle.push_back(Released);
  if (!m_queue.empty())
    startNext();
}

} // namespace catkinseam
