// Limits the time in which a connection must send a complete request header.
//
//   HeaderDeadlines Deadlines({ReadTimeout, IdleTimeout});
//   Deadlines.onAccepted(Socket);
//   Deadlines.onHeaderRead(Socket);
//   Deadlines.onResponseSent(Socket);
//   Deadlines.closeExpired();   // periodically
//
// POCO limits the time of each read, not their sum: a client that sends a byte
// now and then could hold a connection indefinitely.
#ifndef CATKINSEAM_NET_INTERNAL_HEADER_DEADLINES_H
#define CATKINSEAM_NET_INTERNAL_HEADER_DEADLINES_H

#include "catkinseam/base/clock.h"

#include <Poco/Net/StreamSocket.h>
#include <map>
#include <mutex>

namespace catkinseam {

/// The header deadline of each connection. Thread-safe.
class HeaderDeadlines {
public:
  struct Options {
    /// Time from the accepted connection to the end of the first header.
    Duration m_readTimeout;
    /// Added to m_readTimeout between a response and the end of the next
    /// header.
    Duration m_idleTimeout;
  };

  explicit HeaderDeadlines(const Options &Limits) : m_options(Limits) {}

  void onAccepted(const Poco::Net::StreamSocket &Socket);
  void onHeaderRead(const Poco::Net::StreamSocket &Socket);
  void onResponseSent(const Poco::Net::StreamSocket &Socket);

  /// Shuts down every connection whose header is overdue.
  void closeExpired();

private:
  const Options m_options;
  const SystemClock m_clock;
  std::mutex m_mutex;
  /// Deadline of the next header. Contains no connection whose request is being
  /// handled; a closed connection is removed at its deadline.
  std::map<Poco::Net::StreamSocket, TimePoint> m_deadlines;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_INTERNAL_HEADER_DEADLINES_H
