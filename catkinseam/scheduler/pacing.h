// Keeps fillers from harming the services beside them.
//
//   Pacing Control({});
//   Control.adjust(Worker, Learned, Now);   // sets the pace of its fillers
//
// Workers report each service's tail latency over the last half second. While
// one is too close to its target, the fillers that press on it are slowed by as
// much as the model says is needed; while all have room, they are let go faster
// by as much as it bears. A service whose own load brings it to its target
// slows nobody.
#ifndef CATKINSEAM_SCHEDULER_PACING_H
#define CATKINSEAM_SCHEDULER_PACING_H

#include "catkinseam/scheduler/interference.h"
#include "catkinseam/scheduler/tables.h"

namespace catkinseam {

class Pacing {
public:
  struct Options {
    /// A service may be over its target for so long before all fillers beside
    /// it stand still, whatever has been learned; harm has to end within 4 s.
    Milliseconds m_harmTime{1200};
    /// Below this pace a filler stands still.
    int m_leastPace = 10;
    /// A raise of less than this is not worth an order.
    int m_leastRaise = 15;
    /// The figures cover the last half second, so a change shows by then.
    Milliseconds m_settleTime{550};
  };

  explicit Pacing(const Options &Values) : m_options(Values) {}

  /// Reads the worker's figures and sets the pace wanted of its fillers.
  void adjust(PlannedWorker &Worker, const Interference &Learned,
              TimePoint Now) const;

private:
  bool halt(PlannedWorker &Worker, TimePoint Now) const;
  bool slow(PlannedWorker &Worker, const Interference &Learned,
            TimePoint Now) const;
  bool raise(PlannedWorker &Worker, const Interference &Learned) const;

  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PACING_H
