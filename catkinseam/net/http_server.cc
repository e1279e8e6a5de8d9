// HTTP server: adapts POCO's server to HttpHandler and enforces the limits.
#include "catkinseam/net/http_server.h"

#include "catkinseam/base/ticker.h"
#include "catkinseam/net/internal/connection_deadlines.h"
#include "catkinseam/net/internal/request_body.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <exception>

namespace catkinseam {

struct HttpServer::Shared {
  explicit Shared(const Options &Limits)
      : m_options(Limits),
        m_deadlines({Limits.m_readTimeout, Limits.m_idleTimeout,
                     Limits.m_writeTimeout}) {
    if (!m_options.m_bodyBudget)
      m_options.m_bodyBudget =
          std::make_shared<ByteBudget>(DefaultUnfinishedBytes);
  }

  Options m_options;
  HttpHandler m_handler;
  std::atomic<bool> m_isClosing{false};
  Poco::Net::HTTPServer *m_server = nullptr;
  ConnectionDeadlines m_deadlines;
};

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Threads reserved for connections that only get a 503 response.
constexpr int RejectionThreads = 16;
constexpr int AcceptBacklog = 1024;
constexpr Duration DeadlineCheckInterval = std::chrono::milliseconds(200);
constexpr int MaxKeepAliveRequests = 0; // No limit.

Poco::Timespan toTimespan(Duration Span) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(Span).count());
}

std::size_t headerBytes(const HTTPServerRequest &Source) {
  std::size_t Bytes = Source.getURI().size();
  for (const auto &[Name, Value] : Source)
    Bytes += Name.size() + Value.size() + 4;
  return Bytes;
}

Error headerTooLarge(std::size_t Limit) {
  return {ErrorCode::TooLarge,
          "request header exceeds " + std::to_string(Limit) + " bytes"};
}

Error bodyTooLarge(std::size_t Limit) {
  return {ErrorCode::TooLarge,
          "request body exceeds " + std::to_string(Limit) + " bytes"};
}

Error framingTooLarge(std::size_t Limit) {
  return {ErrorCode::TooLarge, "chunk extensions and trailers exceed " +
                                   std::to_string(Limit) + " bytes"};
}

Error budgetUsedUp(std::size_t Limit) {
  return {ErrorCode::Unavailable,
          "unfinished requests exceed " + std::to_string(Limit) + " bytes"};
}

Poco::Net::HTTPServerRequestImpl &implOf(HTTPServerRequest &Request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
}

Poco::Net::StreamSocket socketOf(HTTPServerRequest &Request) {
  return implOf(Request).socket();
}

class RequestAdapter final : public Poco::Net::HTTPRequestHandler {
public:
  explicit RequestAdapter(std::shared_ptr<HttpServer::Shared> Shared)
      : m_shared(std::move(Shared)) {}

  void handleRequest(HTTPServerRequest &Source,
                     HTTPServerResponse &Target) override {
    const Poco::Net::StreamSocket Socket = socketOf(Source);
    ConnectionDeadlines &Deadlines = m_shared->m_deadlines;
    Deadlines.onHeaderRead(Socket);
    bool MustClose = m_shared->m_isClosing;
    const HttpResponse Response = respond(Source, MustClose);
    MustClose = MustClose || m_shared->m_isClosing;
    Deadlines.onResponseReady(Socket);
    send(Response, Target, MustClose);
    if (MustClose)
      Deadlines.onClosing(Socket);
    else
      Deadlines.onResponseSent(Socket);
  }

private:
  HttpResponse respond(HTTPServerRequest &Source, bool &MustClose) const {
    const HttpServer::Options &Limits = m_shared->m_options;
    if (isOverConnectionLimit()) {
      MustClose = true;
      return problemResponse(
          {ErrorCode::Unavailable, "connection limit reached"});
    }
    if (headerBytes(Source) > Limits.m_maxHeaderBytes) {
      MustClose = true;
      HttpResponse Rejection =
          problemResponse(headerTooLarge(Limits.m_maxHeaderBytes));
      Rejection.m_status = 431;
      return Rejection;
    }
    RequestBody Body({Limits.m_maxBodyBytes, Limits.m_maxHeaderBytes},
                     *Limits.m_bodyBudget);
    const RequestBody::Outcome Read = Body.read(implOf(Source));
    if (Read != RequestBody::Outcome::Complete) {
      MustClose = true;
      return rejection(Read);
    }
    m_shared->m_deadlines.onRequestRead(socketOf(Source));
    return callHandler(Source, Body.take());
  }

  HttpResponse rejection(RequestBody::Outcome Read) const {
    const HttpServer::Options &Limits = m_shared->m_options;
    switch (Read) {
    case RequestBody::Outcome::TooLarge:
      return problemResponse(bodyTooLarge(Limits.m_maxBodyBytes));
    case RequestBody::Outcome::FramingTooLarge: {
      HttpResponse Rejection =
          problemResponse(framingTooLarge(Limits.m_maxHeaderBytes));
      Rejection.m_status = 431;
      return Rejection;
    }
    case RequestBody::Outcome::OverBudget:
      return problemResponse(budgetUsedUp(Limits.m_bodyBudget->limit()));
    case RequestBody::Outcome::Truncated:
      return problemResponse({ErrorCode::Invalid, "request body is truncated"});
    case RequestBody::Outcome::Complete:
    case RequestBody::Outcome::Invalid:
      break;
    }
    return problemResponse(
        {ErrorCode::Invalid, "request body is not encoded correctly"});
  }

  bool isOverConnectionLimit() const {
    const int Open = m_shared->m_server->currentConnections();
    return Open > static_cast<int>(m_shared->m_options.m_maxConnections);
  }

  HttpResponse callHandler(const HTTPServerRequest &Source,
                           std::string Body) const {
    HttpRequest Request;
    Request.m_method = Source.getMethod();
    const std::string &Uri = Source.getURI();
    const std::size_t QueryMark = Uri.find('?');
    Request.m_path = Uri.substr(0, QueryMark);
    if (QueryMark != std::string::npos)
      Request.m_query = Uri.substr(QueryMark + 1);
    for (const auto &[Name, Value] : Source)
      Request.m_headers.emplace_back(Name, Value);
    Request.m_body = std::move(Body);
    return m_shared->m_handler(Request);
  }

  static void send(const HttpResponse &Response, HTTPServerResponse &Target,
                   bool MustClose) {
    Target.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Response.m_status));
    for (const auto &[Name, Value] : Response.m_headers)
      Target.add(Name, Value);
    if (MustClose)
      Target.setKeepAlive(false);
    Target.sendBuffer(Response.m_body.data(), Response.m_body.size());
  }

  std::shared_ptr<HttpServer::Shared> m_shared;
};

/// Registers every new connection with the deadlines.
class DeadlineFilter final : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit DeadlineFilter(ConnectionDeadlines &Deadlines)
      : m_deadlines(Deadlines) {}

  bool accept(const Poco::Net::StreamSocket &Socket) override {
    m_deadlines.onAccepted(Socket);
    return true;
  }

private:
  ConnectionDeadlines &m_deadlines;
};

class RequestAdapterFactory final
    : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit RequestAdapterFactory(std::shared_ptr<HttpServer::Shared> Shared)
      : m_shared(std::move(Shared)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &Request) override {
    // The socket of a request is only accessible through a mutable reference.
    socketOf(const_cast<HTTPServerRequest &>(Request)).setNoDelay(true);
    return new RequestAdapter(m_shared);
  }

private:
  std::shared_ptr<HttpServer::Shared> m_shared;
};

} // namespace

HttpServer::HttpServer(const Options &Limits, HttpHandler Handler)
    : m_shared(std::make_shared<Shared>(Limits)) {
  m_shared->m_handler = std::move(Handler);

  const int Connections = static_cast<int>(Limits.m_maxConnections);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Connections + RejectionThreads);
  Params->setMaxQueued(RejectionThreads);
  Params->setTimeout(toTimespan(Limits.m_readTimeout));
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(toTimespan(Limits.m_idleTimeout));
  Params->setMaxKeepAliveRequests(MaxKeepAliveRequests);

  m_threads =
      std::make_unique<Poco::ThreadPool>(2, Connections + RejectionThreads);
  Poco::Net::ServerSocket Socket;
  const Poco::Net::SocketAddress Address(Limits.m_listen.m_host,
                                         Limits.m_listen.m_port);
  Socket.bind(Address, /*reuseAddress=*/true, /*reusePort=*/false);
  Socket.listen(AcceptBacklog);
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new RequestAdapterFactory(m_shared), *m_threads, Socket, Params);
  m_shared->m_server = m_server.get();
  m_server->setConnectionFilter(new DeadlineFilter(m_shared->m_deadlines));
  m_server->start();
  m_deadlineTicker = std::make_unique<Ticker>(
      DeadlineCheckInterval, [this] { m_shared->m_deadlines.closeExpired(); });
}

HttpServer::~HttpServer() {
  m_deadlineTicker.reset();
  try {
    m_server->stopAll(true);
    m_threads->joinAll();
  } catch (const Poco::Exception &) {
    // A destructor cannot report errors; the sockets close with the process.
  }
}

void HttpServer::closeAfterResponses() { m_shared->m_isClosing = true; }

void HttpServer::stop() {
  closeAfterResponses();
  // Waits for the request in progress on each connection.
  m_server->stopAll(false);
  m_threads->joinAll();
}

} // namespace catkinseam
