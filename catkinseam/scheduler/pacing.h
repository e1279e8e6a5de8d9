// Keeps fillers from harming the services beside them.
//
//   Pacing Control({});
//   Control.adjust(Worker, Now);   // sets the pace of the worker's fillers
//
// Workers report each service's tail latency over the last half second. While
// one is above its target, fillers of that worker are slowed at once; when all
// are well below theirs, the pace comes back by steps.
#ifndef CATKINSEAM_SCHEDULER_PACING_H
#define CATKINSEAM_SCHEDULER_PACING_H

#include "catkinseam/scheduler/tables.h"

namespace catkinseam {

class Pacing {
public:
  struct Options {
    /// Tail over target from which fillers are slowed, and below which they
    /// are let go faster.
    double m_slowAbove = 1.0;
    double m_raiseBelow = 0.8;
    /// Share of the pace that is left by one slowing.
    double m_slowFactor = 0.4;
    int m_raiseStep = 25;
    /// Below this pace fillers stand still.
    int m_leastPace = 10;
    /// The figures cover the last half second, so a change shows by then.
    Milliseconds m_settleTime{600};
  };

  explicit Pacing(const Options &Values) : m_options(Values) {}

  /// Reads the worker's figures and sets the pace wanted of its fillers.
  void adjust(WorkerRow &Worker, TimePoint Now) const;

private:
  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PACING_H
