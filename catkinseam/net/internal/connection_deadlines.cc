// Deadlines of requests and responses, by connection.
#include "catkinseam/net/internal/connection_deadlines.h"

#include <Poco/Exception.h>
#include <vector>

namespace catkinseam {

void ConnectionDeadlines::onAccepted(const Poco::Net::StreamSocket &Socket) {
  set(Socket, m_options.m_readTimeout);
}

void ConnectionDeadlines::onHeaderRead(const Poco::Net::StreamSocket &Socket) {
  set(Socket, m_options.m_readTimeout);
}

void ConnectionDeadlines::onRequestRead(const Poco::Net::StreamSocket &Socket) {
  remove(Socket);
}

void ConnectionDeadlines::onResponseReady(
    const Poco::Net::StreamSocket &Socket) {
  set(Socket, m_options.m_writeTimeout);
}

void ConnectionDeadlines::onResponseSent(
    const Poco::Net::StreamSocket &Socket) {
  set(Socket, m_options.m_idleTimeout + m_options.m_readTimeout);
}

void ConnectionDeadlines::onClosing(const Poco::Net::StreamSocket &Socket) {
  remove(Socket);
}

void ConnectionDeadlines::set(const Poco::Net::StreamSocket &Socket,
                              Duration Remaining) {
  const std::lock_guard Lock(m_mutex);
  m_deadlines[Socket] = m_clock.now() + Remaining;
}

void ConnectionDeadlines::remove(const Poco::Net::StreamSocket &Socket) {
  const std::lock_guard Lock(m_mutex);
  m_deadlines.erase(Socket);
}

void ConnectionDeadlines::closeExpired() {
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
      // Drops what the client has not read, instead of keeping it in the
      // kernel.
      Socket.setLinger(true, 0);
      Socket.shutdown();
    } catch (const Poco::Exception &) {
      // The connection is already closed.
    }
  }
}

} // namespace catkinseam
