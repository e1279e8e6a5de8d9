// Limits the time that a connection may take for each part of an exchange.
//
//   ConnectionDeadlines Deadlines({ReadTimeout, IdleTimeout, WriteTimeout});
//   Deadlines.onAccepted(Socket);
//   Deadlines.onHeaderRead(Socket);
//   Deadlines.onRequestRead(Socket);
//   Deadlines.onResponseReady(Socket);
//   Deadlines.onResponseSent(Socket);
//   Deadlines.closeExpired();   // periodically
//
// POCO limits the time of each read, not their sum: a client that sends a byte
// now and then could hold a connection, and its thread, indefinitely. POCO does
// not limit the time of a write.
#ifndef CATKINSEAM_NET_INTERNAL_CONNECTION_DEADLINES_H
#define CATKINSEAM_NET_INTERNAL_CONNECTION_DEADLINES_H

#include "catkinseam/base/clock.h"

#include <Poco/Net/StreamSocket.h>
#include <map>
#include <mutex>

namespace catkinseam {

/// The deadline of each connection. Thread-safe.
class ConnectionDeadlines {
public:
  struct Options {
    /// Time from the accepted connection to the end of the first header, and
    /// from there to the end of the body and its trailers.
    Duration m_readTimeout;
    /// Added to m_readTimeout between a response and the end of the next
    /// header.
    Duration m_idleTimeout;
    /// Time to send a response.
    Duration m_writeTimeout;
  };

  explicit ConnectionDeadlines(const Options &Limits) : m_options(Limits) {}

  void onAccepted(const Poco::Net::StreamSocket &Socket);
  void onHeaderRead(const Poco::Net::StreamSocket &Socket);
  void onRequestRead(const Poco::Net::StreamSocket &Socket);
  void onResponseReady(const Poco::Net::StreamSocket &Socket);
  void onResponseSent(const Poco::Net::StreamSocket &Socket);
  void onClosing(const Poco::Net::StreamSocket &Socket);

  /// Shuts down every connection that is overdue, which ends the read or write
  /// that its thread waits for.
  void closeExpired();

private:
  void set(const Poco::Net::StreamSocket &Socket, Duration Remaining);
  void remove(const Poco::Net::StreamSocket &Socket);

  const Options m_options;
  const SystemClock m_clock;
  std::mutex m_mutex;
  /// Contains no connection whose request is being handled; a connection that
  /// its client has closed is removed at its deadline.
  std::map<Poco::Net::StreamSocket, TimePoint> m_deadlines;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_INTERNAL_CONNECTION_DEADLINES_H
