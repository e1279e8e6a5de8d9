// Bounds the time in which a connection must have sent a whole request header.
//
//   HeaderWatch Watch({ReadTimeout, IdleTimeout});
//   Watch.accepted(Socket);    // then headerRead(), answered(), ...
//   Watch.closeLate();         // again and again
//
// POCO bounds each read, not their sum: a stranger who sends a byte now and
// then would hold a connection for ever.
#ifndef CATKINSEAM_NET_INTERNAL_HEADER_WATCH_H
#define CATKINSEAM_NET_INTERNAL_HEADER_WATCH_H

#include "catkinseam/base/clock.h"

#include <Poco/Net/StreamSocket.h>
#include <map>
#include <mutex>

namespace catkinseam {

/// Thread-safe.
class HeaderWatch {
public:
  struct Options {
    /// From connecting to the end of the first header.
    Duration m_readTimeout;
    /// Added from an answer to the end of the next header.
    Duration m_idleTimeout;
  };

  explicit HeaderWatch(const Options &Limits) : m_options(Limits) {}

  void accepted(const Poco::Net::StreamSocket &Socket);
  void headerRead(const Poco::Net::StreamSocket &Socket);
  void answered(const Poco::Net::StreamSocket &Socket);

  /// Shuts down every connection whose header is overdue.
  void closeLate();

private:
  const Options m_options;
  const SystemClock m_clock;
  std::mutex m_mutex;
  /// When the header must be there. A connection that is being served is not
  /// in here; one that has ended leaves when its time comes.
  std::map<Poco::Net::StreamSocket, TimePoint> m_due;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_INTERNAL_HEADER_WATCH_H
