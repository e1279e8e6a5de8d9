// Pool of HTTP connections to the services on workers.
//
//   UpstreamPool Pool(Clock, {});
//   CallResult Reply = Pool.call("w7", Address, Request, Timeout,
//                                /*RequiresFresh=*/true);
#ifndef CATKINSEAM_SERVER_UPSTREAM_POOL_H
#define CATKINSEAM_SERVER_UPSTREAM_POOL_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/http_client.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// Thread-safe.
class UpstreamPool {
public:
  struct Options {
    Duration m_connectTimeout = std::chrono::milliseconds(250);
    /// An idle connection whose last response is older than this may be dead,
    /// so it is not used for requests whose outcome must not become unknown.
    Duration m_freshnessLimit = std::chrono::milliseconds(500);
    /// Idle connections are discarded after this time.
    Duration m_maxIdleTime = std::chrono::seconds(10);
    std::size_t m_idlePerWorker = 8;
  };

  UpstreamPool(const Clock &TimeSource, const Options &Opts)
      : m_clock(TimeSource), m_options(Opts) {}

  /// Sends a request to `Worker` and waits up to `Timeout`. With
  /// `RequiresFresh`, uses only a new connection or one whose last response is
  /// no older than m_freshnessLimit.
  CallResult call(const std::string &Worker, const Endpoint &Address,
                  const HttpRequest &Request, Duration Timeout,
                  bool RequiresFresh);

  /// Closes the idle connections of a worker. Called after a call timed out:
  /// the worker's other connections may be dead too.
  void closeIdleConnections(const std::string &Worker);

  /// Returns the number of idle connections to all workers.
  std::size_t idle() const;

private:
  struct IdleConnection {
    HttpConnection m_connection;
    Endpoint m_address;
    TimePoint m_lastResponseAt;
  };

  std::optional<HttpConnection> takeIdle(const std::string &Worker,
                                         const Endpoint &Address,
                                         bool RequiresFresh);

  const Clock &m_clock;
  const Options m_options;
  mutable std::mutex m_mutex;
  /// By worker, ordered by last response. Invariant: no connection in this map
  /// has a request in progress.
  std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_UPSTREAM_POOL_H
