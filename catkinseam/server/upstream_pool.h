// Connections to the workers' services, and what is known of their liveness.
//
//   UpstreamPool Pool(Clock, {});
//   CallResult Answer = Pool.call("w7", Where, Request, Policy);
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
    /// A kept connection older in its last answer than this carries no
    /// request that must not be in doubt: it may have gone silent.
    Duration m_freshnessLimit = std::chrono::milliseconds(500);
    /// Kept connections are not trusted for anything after this.
    Duration m_maxIdleTime = std::chrono::seconds(10);
    std::size_t m_idlePerWorker = 8;
  };

  UpstreamPool(const Clock &TimeSource, const Options &Opts)
      : m_clock(TimeSource), m_options(Opts) {}

  /// Sends a request to `Worker` and waits up to `Timeout`. With
  /// `NeedsProven`, only on a connection that answered moments ago or is new.
  CallResult call(const std::string &Worker, const Endpoint &Address,
                  const HttpRequest &Request, Duration Timeout,
                  bool RequiresFresh);

  /// Closes the kept connections of a worker: one of them went silent, and
  /// those of its age may have too.
  void closeIdleConnections(const std::string &Worker);

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
  /// Invariant: no connection in here has a request in progress.
  std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_UPSTREAM_POOL_H
