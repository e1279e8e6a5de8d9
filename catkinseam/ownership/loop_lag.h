// How late a process is, and what that leaves of its share of a processor.
//
//   LoopLag Lag;
//   Lag.record(Clock.now() - Due); // in each timer
//   announce(effectiveShare(0.5, Lag.value()));
#ifndef CATKINSEAM_OWNERSHIP_LOOP_LAG_H
#define CATKINSEAM_OWNERSHIP_LOOP_LAG_H

#include "catkinseam/base/clock.h"

namespace catkinseam {

/// Smoothed delay of timers beyond their time.
class LoopLag {
public:
  /// Records a timer that ran `Late` after its time.
  void record(Duration Late);
  Duration value() const { return m_lag; }

private:
  Duration m_lag{0};
};

/// Returns the share of a processor that a node of `ProcessorShare` has for new
/// work: less, the more its loop lags.
double effectiveShare(double ProcessorShare, Duration Lag);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_LOOP_LAG_H
