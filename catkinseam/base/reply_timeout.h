// Adaptive reply timeout, derived from recent reply times.
//
//   ReplyTimeout Timeout({});
//   call(..., Timeout.value());
//   Timeout.onReply(ReplyTime);   // or Timeout.onTimeout()
//
// Retrying too early adds load to a server that is merely slow, so each missed
// reply doubles the timeout until a reply arrives.
#ifndef CATKINSEAM_BASE_REPLY_TIMEOUT_H
#define CATKINSEAM_BASE_REPLY_TIMEOUT_H

#include "catkinseam/base/clock.h"

#include <algorithm>

namespace catkinseam {

/// Not thread-safe.
class ReplyTimeout {
public:
  struct Options {
    Milliseconds m_minTimeout{400};
    Milliseconds m_maxTimeout{2500};
    /// The timeout is the minimum plus this multiple of the smoothed reply
    /// time, up to the maximum.
    int m_multiplier = 4;
  };

  explicit ReplyTimeout(const Options &Values) : m_options(Values) {}

  /// Records a reply that arrived after `ReplyTime` and resets the backoff.
  void onReply(Duration ReplyTime) {
    m_backoffFactor = 1;
    m_smoothedReplyTime = m_smoothedReplyTime == Duration::zero()
                              ? ReplyTime
                              : (7 * m_smoothedReplyTime + ReplyTime) / 8;
    // Follows an increase at once: too short a timeout costs more than too
    // long a one.
    m_smoothedReplyTime = std::max(m_smoothedReplyTime, ReplyTime / 2);
  }

  /// Records a call without a reply.
  void onTimeout() {
    m_backoffFactor = std::min(2 * m_backoffFactor, MaxBackoffFactor);
  }

  /// Returns how long to wait for the next reply.
  Milliseconds value() const {
    const Milliseconds BaseTimeout =
        m_options.m_minTimeout +
        toMilliseconds(m_options.m_multiplier * m_smoothedReplyTime);
    return std::min(m_options.m_maxTimeout, BaseTimeout * m_backoffFactor);
  }

  /// Returns the smoothed reply time; zero before the first reply.
  Duration smoothedReplyTime() const { return m_smoothedReplyTime; }

private:
  static constexpr int MaxBackoffFactor = 8;

  const Options m_options;
  Duration m_smoothedReplyTime{0};
  int m_backoffFactor = 1;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_REPLY_TIMEOUT_H
