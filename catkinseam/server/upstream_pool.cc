// Reuses idle connections to workers and opens new ones.
#include "catkinseam/server/upstream_pool.h"

namespace catkinseam {

std::optional<HttpConnection> UpstreamPool::takeIdle(const std::string &Worker,
                                                     const Endpoint &Address,
                                                     bool RequiresFresh) {
  const std::lock_guard Lock(m_mutex);
  std::vector<IdleConnection> &Idle = m_idle[Worker];
  const TimePoint Now = m_clock.now();
  // The connection at the back has the most recent response.
  while (!Idle.empty()) {
    const Duration Age = Now - Idle.back().m_lastResponseAt;
    const bool IsExpired = Age > m_options.m_maxIdleTime;
    const bool IsMoved = Idle.back().m_address != Address;
    if (IsExpired || IsMoved) {
      Idle.pop_back();
      continue;
    }
    if (RequiresFresh && Age > m_options.m_freshnessLimit)
      return std::nullopt;
    HttpConnection Connection = std::move(Idle.back().m_connection);
    Idle.pop_back();
    if (Connection.isUsable())
      return Connection;
  }
  return std::nullopt;
}

CallResult UpstreamPool::call(const std::string &Worker,
                              const Endpoint &Address,
                              const HttpRequest &Request, Duration Timeout,
                              bool RequiresFresh) {
  std::optional<HttpConnection> Connection =
      takeIdle(Worker, Address, RequiresFresh);
  const TimePoint Start = m_clock.now();
  if (!Connection) {
    Connection.emplace(Address);
    const Outcome<bool> Opened = attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(
          Connection->connect(std::min(Timeout, m_options.m_connectTimeout)));
      return true;
    });
    if (!Opened) {
      CallResult Failed;
      Failed.m_failure = CallFailure::NotSent;
      Failed.m_reason = Opened.error().m_message;
      return Failed;
    }
  }
  const Duration Remaining = Timeout - (m_clock.now() - Start);
  CallResult Reply = Connection->call(Request, Remaining);
  if (Reply.m_response && Connection->isUsable()) {
    const std::lock_guard Lock(m_mutex);
    std::vector<IdleConnection> &Idle = m_idle[Worker];
    if (Idle.size() < m_options.m_idlePerWorker)
      Idle.push_back({std::move(*Connection), Address, m_clock.now()});
  }
  return Reply;
}

void UpstreamPool::closeIdleConnections(const std::string &Worker) {
  const std::lock_guard Lock(m_mutex);
  m_idle.erase(Worker);
}

std::size_t UpstreamPool::idle() const {
  const std::lock_guard Lock(m_mutex);
  std::size_t Count = 0;
  for (const auto &[Worker, Connections] : m_idle)
    Count += Connections.size();
  return Count;
}

} // namespace catkinseam
