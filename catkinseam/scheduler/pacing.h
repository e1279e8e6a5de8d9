// Keeps fillers from harming the services beside them.
//
//   Pacing Control({});
//   Control.adjust(Worker, Learned, Now);   // sets the pace of its fillers
//
// Each service bears so much load from fillers as lies between its own, over
// the time until the next look, and what is safe. Where the fillers that press
// on it would add more at full pace, they are slowed in proportion. A service
// whose own load brings it to its target slows only those that press on it.
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
    /// A change of less than this is not worth an order.
    int m_leastRaise = 10;
    int m_leastFall = 4;
    /// A pace holds until the next look and its answer.
    Milliseconds m_ahead{700};
    /// The figures cover the last half second, so a pace shows by then.
    Milliseconds m_settleTime{550};
  };

  explicit Pacing(const Options &Values) : m_options(Values) {}

  /// Reads the worker's figures and sets the pace wanted of its fillers.
  void adjust(PlannedWorker &Worker, const Interference &Learned,
              TimePoint Now) const;

private:
  /// A filler that presses on some service, and the pace planned for it.
  struct Pressing {
    const PlannedStep *m_step = nullptr;
    PlannedRun *m_run = nullptr;
    /// Thousandths of a processor that it uses at full pace.
    double m_demand = 0.0;
    double m_pace = 1.0;
  };

  struct Group {
    double m_pressed = 0.0;
    std::vector<Pressing *> m_members;
  };

  /// Takes this much load off, or all that the group adds.
  static void slow(const Group &Of, double Excess);
  bool halt(PlannedWorker &Worker, TimePoint Now) const;
  double demandOf(const StepSpec &Spec, const PlannedRun &Run,
                  TimePoint Now) const;
  /// Slows all that press on this service until it bears them.
  void fit(std::vector<Pressing> &Fillers, const PlannedWorker &Worker,
           const RunRef &Service, const Interference &Learned,
           TimePoint Now) const;
  /// Slows all until services and fillers together leave processors idle: as a
  /// worker runs full, every filler presses on every service.
  void fitProcessors(std::vector<Pressing> &Fillers,
                     const PlannedWorker &Worker, const Interference &Learned,
                     TimePoint Now) const;
  bool take(const Pressing &Planned, TimePoint Now) const;

  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_PACING_H
