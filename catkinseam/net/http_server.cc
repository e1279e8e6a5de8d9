// HTTP listener: adapts POCO's server to HttpHandler and applies the limits.
#include "catkinseam/net/http_server.h"

#include "catkinseam/base/ticker.h"
#include "catkinseam/net/internal/header_watch.h"

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
#include <optional>

namespace catkinseam {

struct HttpServer::Shared {
  explicit Shared(const Options &Limits)
      : m_watch({Limits.m_readTimeout, Limits.m_idleTimeout}) {}

  Options m_options;
  HttpHandler m_handler;
  std::atomic<bool> m_closing{false};
  Poco::Net::HTTPServer *m_server = nullptr;
  HeaderWatch m_watch;
};

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Threads kept for connections that are only told 503.
constexpr int RefusalThreads = 16;
constexpr int AcceptBacklog = 1024;
constexpr Duration ReapEvery = std::chrono::milliseconds(200);
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

/// Reads at most `Limit` bytes; empty when there is more. Reading ends, and the
/// body is cut short, once `LongestTime` has passed.
std::optional<std::string> readBody(std::istream &Stream, std::size_t Limit,
                                    Duration LongestTime) {
  const SystemClock Clock;
  const TimePoint End = Clock.now() + LongestTime;
  std::string Body;
  char Buffer[8192];
  while (Clock.now() < End &&
         (Stream.read(Buffer, sizeof Buffer), Stream.gcount() > 0)) {
    Body.append(Buffer, static_cast<std::size_t>(Stream.gcount()));
    if (Body.size() > Limit)
      return std::nullopt;
  }
  return Body;
}

Error headerTooLarge(std::size_t Limit) {
  return {ErrorCode::TooLarge,
          "request header exceeds " + std::to_string(Limit) + " bytes"};
}

Error bodyTooLarge(std::size_t Limit) {
  return {ErrorCode::TooLarge,
          "request body exceeds " + std::to_string(Limit) + " bytes"};
}

bool isBodyTruncated(const HTTPServerRequest &Source, const std::string &Body) {
  return Source.hasContentLength() &&
         Source.getContentLength64() != static_cast<Poco::Int64>(Body.size());
}

Poco::Net::StreamSocket socketOf(HTTPServerRequest &Request) {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
}

class Adapter final : public Poco::Net::HTTPRequestHandler {
public:
  explicit Adapter(std::shared_ptr<HttpServer::Shared> Shared)
      : m_shared(std::move(Shared)) {}

  void handleRequest(HTTPServerRequest &Source,
                     HTTPServerResponse &Target) override {
    const Poco::Net::StreamSocket Socket = socketOf(Source);
    m_shared->m_watch.headerRead(Socket);
    bool MustClose = m_shared->m_closing;
    const HttpResponse Response = answer(Source, MustClose);
    send(Response, Target, MustClose || m_shared->m_closing);
    m_shared->m_watch.answered(Socket);
  }

private:
  HttpResponse answer(HTTPServerRequest &Source, bool &MustClose) const {
    const HttpServer::Options &Limits = m_shared->m_options;
    if (isOverConnectionLimit()) {
      MustClose = true;
      return problemResponse(
          {ErrorCode::Unavailable, "connection limit reached"});
    }
    if (headerBytes(Source) > Limits.m_maxHeaderBytes) {
      MustClose = true;
      HttpResponse Refusal =
          problemResponse(headerTooLarge(Limits.m_maxHeaderBytes));
      Refusal.m_status = 431;
      return Refusal;
    }
    if (Source.hasContentLength() &&
        Source.getContentLength64() >
            static_cast<Poco::Int64>(Limits.m_maxBodyBytes)) {
      MustClose = true;
      return problemResponse(bodyTooLarge(Limits.m_maxBodyBytes));
    }
    std::optional<std::string> Body =
        readBody(Source.stream(), Limits.m_maxBodyBytes, Limits.m_readTimeout);
    if (!Body) {
      MustClose = true;
      return problemResponse(bodyTooLarge(Limits.m_maxBodyBytes));
    }
    if (isBodyTruncated(Source, *Body)) {
      MustClose = true;
      return problemResponse({ErrorCode::Invalid, "request body is cut short"});
    }
    return callHandler(Source, std::move(*Body));
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
    const std::size_t Mark = Uri.find('?');
    Request.m_path = Uri.substr(0, Mark);
    if (Mark != std::string::npos)
      Request.m_query = Uri.substr(Mark + 1);
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

/// Lets the watch know of every new connection.
class WatchFilter final : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit WatchFilter(HeaderWatch &Watch) : m_watch(Watch) {}

  bool accept(const Poco::Net::StreamSocket &Socket) override {
    m_watch.accepted(Socket);
    return true;
  }

private:
  HeaderWatch &m_watch;
};

class AdapterFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit AdapterFactory(std::shared_ptr<HttpServer::Shared> Shared)
      : m_shared(std::move(Shared)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &Request) override {
    // The request object only hands out its socket on a mutable reference.
    socketOf(const_cast<HTTPServerRequest &>(Request)).setNoDelay(true);
    return new Adapter(m_shared);
  }

private:
  std::shared_ptr<HttpServer::Shared> m_shared;
};

} // namespace

HttpServer::HttpServer(const Options &Limits, HttpHandler Handler)
    : m_shared(std::make_shared<Shared>(Limits)) {
  m_shared->m_options = Limits;
  m_shared->m_handler = std::move(Handler);

  const int Connections = static_cast<int>(Limits.m_maxConnections);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Connections + RefusalThreads);
  Params->setMaxQueued(RefusalThreads);
  Params->setTimeout(toTimespan(Limits.m_readTimeout));
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(toTimespan(Limits.m_idleTimeout));
  Params->setMaxKeepAliveRequests(MaxKeepAliveRequests);

  m_threads =
      std::make_unique<Poco::ThreadPool>(2, Connections + RefusalThreads);
  Poco::Net::ServerSocket Socket;
  const Poco::Net::SocketAddress Address(Limits.m_listen.m_host,
                                         Limits.m_listen.m_port);
  Socket.bind(Address, /*reuseAddress=*/true, /*reusePort=*/false);
  Socket.listen(AcceptBacklog);
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new AdapterFactory(m_shared), *m_threads, Socket, Params);
  m_shared->m_server = m_server.get();
  m_server->setConnectionFilter(new WatchFilter(m_shared->m_watch));
  m_server->start();
  m_reaper = std::make_unique<Ticker>(
      ReapEvery, [this] { m_shared->m_watch.closeLate(); });
}

HttpServer::~HttpServer() {
  m_reaper.reset();
  try {
    m_server->stopAll(true);
    m_threads->joinAll();
  } catch (const Poco::Exception &) {
    // A destructor has nobody to tell; the sockets close with the process.
  }
}

void HttpServer::closeAfterAnswers() { m_shared->m_closing = true; }

void HttpServer::stop() {
  closeAfterAnswers();
  // Waits for the request in progress on each connection.
  m_server->stopAll(false);
  m_threads->joinAll();
}

} // namespace catkinseam
