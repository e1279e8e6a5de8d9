// Keeps, proves and distrusts connections to workers.
#include "catkinseam/server/upstream_pool.h"

namespace catkinseam {

std::optional<HttpConnection> UpstreamPool::take(const std::string &Worker,
                                                 const Endpoint &Where,
                                                 bool NeedsProven) {
  const std::lock_guard Lock(m_mutex);
  std::vector<Kept> &Idle = m_idle[Worker];
  const TimePoint Now = m_clock.now();
  // The last one answered most recently.
  while (!Idle.empty()) {
    const Duration Age = Now - Idle.back().m_provenAt;
    const bool IsStale = Age > m_options.m_keepFor;
    const bool IsMoved = Idle.back().m_where != Where;
    if (IsStale || IsMoved) {
      Idle.pop_back();
      continue;
    }
    if (NeedsProven && Age > m_options.m_provenFor)
      return std::nullopt;
    HttpConnection Connection = std::move(Idle.back().m_connection);
    Idle.pop_back();
    if (Connection.isUsable())
      return Connection;
  }
  return std::nullopt;
}

CallResult UpstreamPool::call(const std::string &Worker, const Endpoint &Where,
                              const HttpRequest &Request, Duration Timeout,
                              bool NeedsProven) {
  std::optional<HttpConnection> Connection = take(Worker, Where, NeedsProven);
  const TimePoint Start = m_clock.now();
  if (!Connection) {
    Connection.emplace(Where);
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
  const Duration Left = Timeout - (m_clock.now() - Start);
  CallResult Answer = Connection->call(Request, Left);
  if (Answer.m_response && Connection->isUsable()) {
    const std::lock_guard Lock(m_mutex);
    std::vector<Kept> &Idle = m_idle[Worker];
    if (Idle.size() < m_options.m_idlePerWorker)
      Idle.push_back({std::move(*Connection), Where, m_clock.now()});
  }
  return Answer;
}

void UpstreamPool::distrust(const std::string &Worker) {
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
