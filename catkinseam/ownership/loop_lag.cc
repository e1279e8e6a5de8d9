// Smoothing of delays.
#include "catkinseam/ownership/loop_lag.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Lag at which half of the share is left.
constexpr Milliseconds HalvingLag{200};

} // namespace

void LoopLag::record(Duration Late) {
  constexpr int Memory = 8;
  m_lag = ((Memory - 1) * m_lag + std::max(Duration::zero(), Late)) / Memory;
}

double effectiveShare(double ProcessorShare, Duration Lag) {
  return ProcessorShare / (1.0 + std::chrono::duration<double>(Lag) /
                                     std::chrono::duration<double>(HalvingLag));
}

} // namespace catkinseam
