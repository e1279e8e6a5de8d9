// Asynchronous HTTP client for one server, with persistent connections.
//
//   AsyncHttpClient Store(Loop, Address, {.m_maxConnections = 4});
//   Store.call({.m_target = "/records", .m_timeout = Milliseconds(800)},
//              [](const HttpReply &Reply) { ... });
//
// A connection carries one call at a time, and a reply is taken for that to the
// call in progress. So that a server that sends more than one reply to a call
// is not misunderstood, a connection is closed after a timeout, after bytes
// that follow the reply, and after a refusal that the server may have sent
// before it read the request's body. A connection that the server has closed or
// written to while it was idle carries no further call. A surplus reply that
// arrives once the next call is on its way cannot be told.
//
// A connection leads to one process of the server for as long as it lasts, so a
// call with a ProcessCheck is sent only on a connection on which that process
// has told its number.
#ifndef CATKINSEAM_AIO_ASYNC_HTTP_CLIENT_H
#define CATKINSEAM_AIO_ASYNC_HTTP_CLIENT_H

#include "catkinseam/aio/event_loop.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/net/http.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

struct HttpReply;

/// Restricts a call to one process of the server: another one that was started
/// at the same address since does not receive it.
struct ProcessCheck {
  /// Number of the process that the call is for; zero for any, if the reply to
  /// the call itself tells the number.
  std::int64_t m_process = 0;
  /// Request that asks for the number of the process; sent as the call is, and
  /// before it, on a connection whose process is not known.
  std::string m_target;
  std::string m_body;
  /// Returns the number in a reply with status 200; none if there is none.
  std::optional<std::int64_t> (*m_parse)(const HttpReply &) = nullptr;
  /// The reply to that request also answers the call, which is not sent then.
  bool m_doesReplySuffice = false;
};

/// A request to a server, with its timeout.
struct HttpCall {
  std::string m_method = "GET";
  /// Path and query.
  std::string m_target = "/";
  /// A Host field replaces the server's address.
  HttpHeaders m_headers;
  std::string m_body;
  /// From call() to the complete reply, including the time in the queue.
  Milliseconds m_timeout{1000};
  std::optional<ProcessCheck> m_check{};
};

/// Result of a call at the transport level.
enum class CallOutcome {
  Answered,     ///< A complete reply was received.
  NotSent,      ///< No byte was sent; the server has not seen the call.
  NoResponse,   ///< Sent without a complete reply; may have been executed.
  OtherProcess, ///< Not sent, as the server is not the process it is for.
};

struct HttpReply {
  CallOutcome m_outcome = CallOutcome::NotSent;
  int m_status = 0;
  std::string m_body;
  /// Set if the outcome is OtherProcess: the number of the server's process.
  std::int64_t m_process = 0;

  bool isAnswered(int Status) const {
    return m_outcome == CallOutcome::Answered && m_status == Status;
  }
};

using HttpReplyHandler = std::function<void(const HttpReply &)>;

/// Not thread-safe. The destructor drops pending calls without running their
/// handlers.
class AsyncHttpClient {
public:
  struct Options {
    std::size_t m_maxConnections = 2;
    /// A connection that has been idle for longer is closed instead of reused,
    /// because a middlebox may have dropped its state.
    Milliseconds m_maxIdleTime{8000};
    Milliseconds m_connectTimeout{500};
    /// The server decides on a 409 or 412 by the head of the request, and may
    /// send it before it has read the body, like other refusals.
    bool m_mayConflictPrecedeBody = false;
  };

  AsyncHttpClient(EventLoop &Loop, Endpoint Server, const Options &Limits);
  ~AsyncHttpClient();

  /// Starts a call, or queues it while all connections are busy. `Handler` runs
  /// exactly once, never from within call().
  void call(HttpCall Call, HttpReplyHandler Handler);

  const Endpoint &server() const { return m_server; }

  /// Whether no call is queued or in progress. While this is false, destroying
  /// the client would drop handlers.
  bool isIdle() const {
    return m_queue.empty() && m_busy.empty() && m_expiredCalls == 0;
  }

  /// Number of connection attempts since construction.
  std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
  class Connection;
  struct QueuedCall {
    HttpCall m_call;
    HttpReplyHandler m_handler;
    TimePoint m_deadline;
  };

  void startNext();
  void release(const std::shared_ptr<Connection> &Released, bool IsReusable);

  EventLoop &m_loop;
  const Endpoint m_server;
  const Options m_options;
  std::vector<std::shared_ptr<Connection>> m_idle;
  std::vector<std::shared_ptr<Connection>> m_busy;
  std::deque<QueuedCall> m_queue;
  Timer m_queueTimer;
  /// Calls that have left the queue at their deadline, and whose handlers are
  /// about to run.
  std::size_t m_expiredCalls = 0;
  std::uint64_t m_connectionsOpened = 0;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_ASYNC_HTTP_CLIENT_H
