// Keeps fillers from harming the services beside them.
//
//   Pacing Control({});
//   Control.adjust(Worker, Learned, Now);   // sets the pace of its fillers
//
// Workers report each service's tail latency over the last half second. While
// one is above its target, the fillers that are known to raise it are slowed,
// or all while none is known to: near the target little is enough;
// when it is well below, they come back by as much as the model says that it
// bears.
#ifndef CATKINSEAM_SCHEDULER_PACING_H
#define CATKINSEAM_SCHEDULER_PACING_H

#include "catkinseam/scheduler/interference.h"
#include "catkinseam/scheduler/tables.h"

namespace catkinseam {

class Pacing {
public:
  struct Options {
    /// Tail over target from which fillers are slowed, and up to which they
    /// are let go faster.
    double m_slowAbove = 0.9;
    double m_raiseBelow = 0.8;
    /// Share of the pace that is left by one slowing.
    double m_slowFactor = 0.3;
    int m_raiseStep = 25;
    /// Below this pace fillers stand still.
    int m_leastPace = 10;
    /// The figures cover the last half second, so a change shows by then.
    Milliseconds m_settleTime{600};
    /// A filler that adds less than this to a tail over target is no cause.
    double m_leastShare = 0.08;
  };

  explicit Pacing(const Options &Values) : m_options(Values) {}

  /// Reads the worker's figures and sets the pace wanted of its fillers.
  void adjust(WorkerRow &Worker, const Interference &Learned,
              TimePoint Now) const;

private:
  bool slow(WorkerRow &Worker, const Interference &Learned,
            TimePoint Now) const;
  bool raise(WorkerRow &Worker, const Interference &Learned) const;

  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PACING_H
