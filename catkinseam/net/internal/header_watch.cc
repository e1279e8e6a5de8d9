// Deadlines of request headers by connection.
#include "catkinseam/net/internal/header_watch.h"

#include <Poco/Exception.h>
#include <vector>

namespace catkinseam {

void HeaderWatch::accepted(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_due[Socket] = m_clock.now() + m_options.m_readTimeout;
}

void HeaderWatch::headerRead(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_due.erase(Socket);
}

void HeaderWatch::answered(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_due[Socket] =
      m_clock.now() + m_options.m_idleTimeout + m_options.m_readTimeout;
}

void HeaderWatch::closeLate() {
  std::vector<Poco::Net::StreamSocket> Late;
  {
    const std::lock_guard Lock(m_mutex);
    const TimePoint Now = m_clock.now();
    for (auto Next = m_due.begin(); Next != m_due.end();) {
      if (Next->second > Now) {
        ++Next;
        continue;
      }
      Late.push_back(Next->first);
      Next = m_due.erase(Next);
    }
  }
  for (Poco::Net::StreamSocket &Socket : Late) {
    try {
      Socket.shutdown();
    } catch (const Poco::Exception &) {
      // It had ended already.
    }
  }
}

} // namespace catkinseam
