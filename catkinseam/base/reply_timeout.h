// How long to wait for a reply, from how long replies took lately.
//
//   ReplyTimeout Patience({});
//   call(..., Patience.value());
//   Patience.onReply(Took);   // or Patience.onSilence()
//
// Repeating a call too soon loads a server that is merely slow, so each silence
// doubles the wait until a reply comes.
#ifndef CATKINSEAM_BASE_REPLY_TIMEOUT_H
#define CATKINSEAM_BASE_REPLY_TIMEOUT_H

#include "catkinseam/base/clock.h"

#include <algorithm>

namespace catkinseam {

class ReplyTimeout {
public:
  struct Options {
    Milliseconds m_least{400};
    Milliseconds m_most{2500};
    /// The wait is so many times the usual time of a reply, and the least.
    int m_multiple = 4;
  };

  explicit ReplyTimeout(const Options &Values) : m_options(Values) {}

  void onReply(Duration Took) {
    m_backoff = 1;
    m_usual = m_usual == Duration::zero() ? Took : (7 * m_usual + Took) / 8;
    // A rise shows at once; waiting too briefly costs more than too long.
    m_usual = std::max(m_usual, Took / 2);
  }

  void onSilence() { m_backoff = std::min(2 * m_backoff, MostBackoff); }

  Milliseconds value() const {
    const Milliseconds Wait =
        m_options.m_least + toMilliseconds(m_options.m_multiple * m_usual);
    return std::min(m_options.m_most, Wait * m_backoff);
  }

  /// The usual time of a reply; zero before the first.
  Duration usual() const { return m_usual; }

private:
  static constexpr int MostBackoff = 8;

  const Options m_options;
  Duration m_usual{0};
  int m_backoff = 1;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_REPLY_TIMEOUT_H
