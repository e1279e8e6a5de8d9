// Deadlines of request headers, by connection.
#include "catkinseam/net/internal/header_deadlines.h"

#include <Poco/Exception.h>
#include <vector>

namespace catkinseam {

void HeaderDeadlines::onAccepted(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_deadlines[Socket] = m_clock.now() + m_options.m_readTimeout;
}

void HeaderDeadlines::onHeaderRead(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_deadlines.erase(Socket);
}

void HeaderDeadlines::onResponseSent(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_deadlines[Socket] =
      m_clock.now() + m_options.m_idleTimeout + m_options.m_readTimeout;
}

void HeaderDeadlines::closeExpired() {
  std::vector<Poco::Net::StreamSocket> Expired;
  {
    const std::lock_guard Lock(m_mutex);
    const TimePoint Now = m_clock.now();
    for (auto Next = m_deadlines.begin(); Next != m_deadlines.end();) {
      if (Next->second > Now) {
        ++Next;
        continue;
      }
      Expired.push_back(Next->first);
      Next = m_deadlines.erase(Next);
    }
  }
  for (Poco::Net::StreamSocket &Socket : Expired) {
    try {
      Socket.shutdown();
    } catch (const Poco::Exception &) {
      // The connection is already closed.
    }
  }
}

} // namespace catkinseam
