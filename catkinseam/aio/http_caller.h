// Calls one HTTP server over kept connections, without threads.
//
//   HttpCaller Store(Loop, Address, {.m_maxConnections = 4});
//   Store.call({.m_target = "/records", .m_timeout = Milliseconds(800)},
//              [](const HttpReply &Reply) { ... });
//
// A connection carries one call at a time, so a reply can only belong to the
// call it came for. A call whose time runs out takes its connection with it.
#ifndef CATKINSEAM_AIO_HTTP_CALLER_H
#define CATKINSEAM_AIO_HTTP_CALLER_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

/// A call to a server.
struct HttpCall {
  std::string m_method = "GET";
  /// Path and query.
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;
  /// From the call to its whole reply.
  Milliseconds m_timeout{1000};
};

/// How far a call got.
enum class CallOutcome {
  Answered,   ///< A whole reply came.
  NotSent,    ///< No byte of the call left; the server has not seen it.
  NoResponse, ///< Sent, and no whole reply came; it may have been executed.
};

struct HttpReply {
  CallOutcome m_outcome = CallOutcome::NotSent;
  int m_status = 0;
  std::string m_body;

  bool isAnswered(int Status) const {
    return m_outcome == CallOutcome::Answered && m_status == Status;
  }
};

using HttpReplyHandler = std::function<void(const HttpReply &)>;

/// Not thread-safe. Destroying it drops calls under way without calling back.
class AsyncHttpClient {
public:
  struct Options {
    std::size_t m_maxConnections = 2;
    /// A connection idle for longer is closed in place of used: what stands
    /// between may have forgotten it.
    Milliseconds m_maxIdleTime{8000};
    Milliseconds m_connectTimeout{500};
  };

  AsyncHttpClient(EventLoop &Loop, Endpoint Server, const Options &Limits);
  ~AsyncHttpClient();

  /// Starts a call, or queues it while all connections are busy. `Handler` is
  /// called once, never from within call().
  void call(HttpCall Call, HttpReplyHandler Handler);

  const Endpoint &server() const { return m_server; }

  /// Connections opened since the start.
  std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
  class Connection;
  struct QueuedCall {
    HttpCall m_call;
    HttpReplyHandler m_handler;
    TimePoint m_deadline;
  };

  void startNext();
  void release(const std::shared_ptr<Connection> &Done, bool IsReusable);

  EventLoop &m_loop;
  const Endpoint m_server;
  const Options m_options;
  std::vector<std::shared_ptr<Connection>> m_idle;
  std::vector<std::shared_ptr<Connection>> m_busy;
  std::deque<QueuedCall> m_queue;
  Timer m_queueTimer;
  std::uint64_t m_connectionsOpened = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_HTTP_CALLER_H
