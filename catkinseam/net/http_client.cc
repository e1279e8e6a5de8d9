// HTTP client based on POCO Net that leaves reconnecting to the caller.
#include "catkinseam/net/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <chrono>
#include <istream>

namespace catkinseam {

namespace {

constexpr Duration SessionKeepAliveTimeout = std::chrono::hours(24);
constexpr std::size_t MaxResponseBytes = 64 * 1024 * 1024;

Poco::Timespan toTimespan(Duration Span) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Span).count();
  return Poco::Timespan(std::max<std::int64_t>(Micros, 1));
}

/// Socket timeouts use real time, even if the caller's clock is a ManualClock.
TimePoint socketNow() { return SystemClock().now(); }

bool hasDelimitedBody(const Poco::Net::HTTPResponse &PocoResponse) {
  return PocoResponse.hasContentLength() ||
         PocoResponse.getChunkedTransferEncoding();
}

bool hasNoBody(const std::string &Method, int Status) {
  return Method == "HEAD" || Status == 204 || Status == 304 || Status < 200;
}

} // namespace

/// A POCO session that never reconnects or repeats a write by itself: POCO's
/// own session would resend a request whose first write failed.
class HttpConnection::Session final : public Poco::Net::HTTPClientSession {
public:
  explicit Session(const Endpoint &Peer)
      : HTTPClientSession(Peer.m_host, Peer.m_port) {
    setKeepAlive(true);
    setKeepAliveTimeout(toTimespan(SessionKeepAliveTimeout));
  }

  void open(Duration Timeout) {
    const Poco::Net::SocketAddress Address(getHost(), getPort());
    setTimeout(toTimespan(Timeout));
    connect(Address);
    socket().setNoDelay(true);
    m_isOpen = true;
  }

  bool isOpen() const { return m_isOpen; }
  bool hasWritten() const { return m_hasWritten; }
  void startRequest() { m_hasWritten = false; }

  /// Whether the session has read more than the response.
  bool hasSurplusInput() const { return buffered() > 0; }

  bool hasNoPendingInput() {
    return !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  void setReadTimeout(Duration Remaining) {
    socket().setReceiveTimeout(toTimespan(Remaining));
  }

protected:
  int write(const char *Buffer, std::streamsize Length) override {
    m_hasWritten = true;
    // Bypasses HTTPClientSession::write, which reconnects and writes again.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    return HTTPSession::write(Buffer, Length);
  }

  bool mustReconnect() const override { return false; }

private:
  bool m_isOpen = false;
  bool m_hasWritten = false;
};

HttpConnection::HttpConnection(const Endpoint &Peer) : m_peer(Peer) {}
HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection &&) noexcept = default;
HttpConnection &HttpConnection::operator=(HttpConnection &&) noexcept = default;

Result<void> HttpConnection::connect(Duration Timeout) {
  try {
    m_session = std::make_unique<Session>(m_peer);
    m_session->open(Timeout);
    return {};
  } catch (const Poco::Exception &Exception) {
    m_session.reset();
    return makeError(ErrorCode::Unavailable, "cannot connect to " +
                                                 toString(m_peer) + ": " +
                                                 Exception.displayText());
  }
}

bool HttpConnection::isUsable() const {
  try {
    return m_session && m_session->isOpen() && !m_session->hasSurplusInput() &&
           m_session->hasNoPendingInput();
  } catch (const Poco::Exception &) {
    return false;
  }
}

void HttpConnection::close() { m_session.reset(); }

namespace {

Poco::Net::HTTPRequest toPocoRequest(const HttpRequest &Request,
                                     const Endpoint &Peer) {
  const std::string Uri = Request.m_query.empty()
                              ? Request.m_path
                              : Request.m_path + "?" + Request.m_query;
  Poco::Net::HTTPRequest PocoRequest(Request.m_method, Uri,
                                     Poco::Net::HTTPMessage::HTTP_1_1);
  PocoRequest.setHost(toString(Peer));
  for (const auto &[Name, Value] : Request.m_headers)
    PocoRequest.add(Name, Value);
  PocoRequest.setContentLength64(
      static_cast<Poco::Int64>(Request.m_body.size()));
  PocoRequest.setKeepAlive(true);
  return PocoRequest;
}

CallResult failedCall(CallFailure Failure, std::string Reason) {
  CallResult Failed;
  Failed.m_failure = Failure;
  Failed.m_reason = std::move(Reason);
  return Failed;
}

} // namespace

CallResult HttpConnection::call(const HttpRequest &Request, Duration Timeout) {
  if (!m_session)
    return failedCall(CallFailure::NotSent,
                      toString(m_peer) + " not connected");
  const TimePoint Deadline = socketNow() + Timeout;
  auto TimeLeft = [&] { return Deadline - socketNow(); };
  // The session is moved out of this object while in use, so that every early
  // return closes it.
  std::unique_ptr<Session> Active = std::move(m_session);
  Active->startRequest();
  auto Fail = [&](CallFailure FailureIfSent, const std::string &Reason) {
    return failedCall(Active->hasWritten() ? FailureIfSent
                                           : CallFailure::NotSent,
                      toString(m_peer) + ": " + Reason);
  };
  try {
    Active->setReadTimeout(Timeout);
    Poco::Net::HTTPRequest PocoRequest = toPocoRequest(Request, m_peer);
    std::ostream &Body = Active->sendRequest(PocoRequest);
    Body.write(Request.m_body.data(),
               static_cast<std::streamsize>(Request.m_body.size()));
    Body.flush();
    if (!Body.good())
      return Fail(CallFailure::Broken,
                  "request could not be written completely");

    Poco::Net::HTTPResponse PocoResponse;
    Active->setReadTimeout(TimeLeft());
    std::istream &Stream = Active->receiveResponse(PocoResponse);
    HttpResponse Response;
    Response.m_status = PocoResponse.getStatus();
    for (const auto &[Name, Value] : PocoResponse)
      Response.m_headers.emplace_back(Name, Value);

    if (!hasNoBody(Request.m_method, Response.m_status)) {
      if (!hasDelimitedBody(PocoResponse))
        return Fail(CallFailure::Broken,
                    "response has neither Content-Length nor chunked encoding");
      char Buffer[16384];
      do {
        if (TimeLeft() <= Duration::zero())
          return Fail(CallFailure::TimedOut,
                      "timed out while reading the response body");
        Active->setReadTimeout(TimeLeft());
        Stream.read(Buffer, sizeof Buffer);
        Response.m_body.append(Buffer,
                               static_cast<std::size_t>(Stream.gcount()));
      } while (Stream.gcount() > 0 &&
               Response.m_body.size() <= MaxResponseBytes);
      const bool IsTruncated =
          PocoResponse.hasContentLength()
              ? PocoResponse.getContentLength64() !=
                    static_cast<Poco::Int64>(Response.m_body.size())
              // A chunked response that ends with its connection may lack
              // its last chunk: POCO does not distinguish the two.
              : !Active->hasNoPendingInput();
      // The stream hides a read timeout and reports its end instead.
      if (IsTruncated && TimeLeft() <= Duration::zero())
        return Fail(CallFailure::TimedOut,
                    "response body incomplete at the timeout");
      if (IsTruncated)
        return Fail(CallFailure::Broken, "response is truncated");
    }
    if (PocoResponse.getKeepAlive())
      m_session = std::move(Active);
    CallResult Exchange;
    Exchange.m_response = std::move(Response);
    return Exchange;
  } catch (const Poco::TimeoutException &) {
    return Fail(CallFailure::TimedOut, "no response before the timeout");
  } catch (const Poco::Net::MessageException &Exception) {
    return Fail(CallFailure::Malformed, Exception.displayText());
  } catch (const Poco::Exception &Exception) {
    return Fail(CallFailure::Broken, Exception.displayText());
  }
}

std::optional<HttpConnection> HttpClient::takeIdle(const Endpoint &Peer) {
  const std::lock_guard Lock(m_mutex);
  std::vector<HttpConnection> &Idle = m_idle[Peer];
  while (!Idle.empty()) {
    HttpConnection Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Connection.isUsable())
      return Connection;
  }
  return std::nullopt;
}

void HttpClient::returnIdle(const Endpoint &Peer, HttpConnection Connection) {
  const std::lock_guard Lock(m_mutex);
  std::vector<HttpConnection> &Idle = m_idle[Peer];
  if (Idle.size() < m_options.m_maxIdlePerPeer)
    Idle.push_back(std::move(Connection));
}

CallResult HttpClient::call(const Endpoint &Peer, const HttpRequest &Request,
                            Duration Timeout) {
  std::optional<HttpConnection> Connection = takeIdle(Peer);
  if (!Connection) {
    Connection.emplace(Peer);
    const Duration Limit = std::min(Timeout, m_options.m_connectTimeout);
    Outcome<bool> Opened = attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(Connection->connect(Limit));
      return true;
    });
    if (!Opened)
      return failedCall(CallFailure::NotSent, Opened.error().m_message);
  }
  CallResult Exchange = Connection->call(Request, Timeout);
  if (Exchange.m_response && Connection->isUsable())
    returnIdle(Peer, std::move(*Connection));
  return Exchange;
}

} // namespace catkinseam
