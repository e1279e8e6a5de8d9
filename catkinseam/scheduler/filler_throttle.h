// Throttles fillers so that services on the same worker meet their targets.
//
//   FillerThrottle Control({});
//   Control.adjust(Worker, Model, Now);   // sets the CPU rates of its fillers
//
// A filler's CPU rate limits its processor use, as a percentage of its use when
// it is not throttled. A service's load headroom is its load limit less the
// intrinsic load predicted until the next status poll. If the fillers that
// affect a service would exceed its load headroom at their full CPU rates, they
// are throttled in proportion. If the intrinsic load alone brings a service to
// its target, only the fillers that affect it are throttled.
#ifndef CATKINSEAM_SCHEDULER_FILLER_THROTTLE_H
#define CATKINSEAM_SCHEDULER_FILLER_THROTTLE_H

#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/tables.h"

namespace catkinseam {

class FillerThrottle {
public:
  struct Options {
    /// Time that a service may exceed its target before all fillers on its
    /// worker are paused, regardless of the model. A violation has to end
    /// within 4 s.
    Milliseconds m_maxViolationTime{1200};
    /// Below this CPU rate a filler is paused.
    int m_minCpuRatePercent = 10;
    /// Smaller changes of the CPU rate, in percentage points, are not worth an
    /// order, except to 0 or 100 percent.
    int m_minIncreasePercent = 10;
    int m_minDecreasePercent = 4;
    /// Time for which loads are predicted: a CPU rate stays in effect until the
    /// next status poll is answered.
    Milliseconds m_horizon{700};
    /// Time after which reports reflect a new CPU rate; they cover the last
    /// 500 ms.
    Milliseconds m_settleTime{550};
  };

  explicit FillerThrottle(const Options &Values) : m_options(Values) {}

  /// Sets the requested CPU rates of a worker's fillers from its latest report.
  void adjust(WorkerInfo &Worker, const InterferenceModel &Model,
              TimePoint Now) const;

private:
  /// A running filler and the CPU rate planned for it.
  struct FillerPlan {
    const StepInfo *m_step = nullptr;
    RunInfo *m_run = nullptr;
    /// Estimated use at the full CPU rate, in thousandths of a processor.
    double m_milliProcessors = 0.0;
    /// Planned fraction of the full CPU rate, 0 to 1.
    double m_cpuRateFraction = 1.0;
  };

  struct FillerGroup {
    /// Sum over the members at their planned CPU rates: the load that they add
    /// to a service, or the thousandths of a processor that they use.
    double m_total = 0.0;
    std::vector<FillerPlan *> m_members;
  };

  /// Throttles the members in proportion so that the group's total falls by
  /// `Excess`, or to zero.
  static void reduce(const FillerGroup &Target, double Excess);
  /// Pauses all running fillers; returns whether any CPU rate changed.
  bool pauseFillers(WorkerInfo &Worker, TimePoint Now) const;
  /// Returns the thousandths of a processor that a filler uses at its full
  /// CPU rate.
  double estimateDemand(const StepSpec &Spec, const RunInfo &Run,
                        TimePoint Now) const;
  /// Throttles the fillers until the load that they add to a service is within
  /// its load headroom.
  void limitAddedLoad(std::vector<FillerPlan> &Fillers,
                      const WorkerInfo &Worker, const RunRef &Service,
                      const InterferenceModel &Model, TimePoint Now) const;
  /// Throttles all fillers until services and fillers together fit into the
  /// worker's processors. On a saturated worker, every filler slows down every
  /// service.
  void limitProcessorUse(std::vector<FillerPlan> &Fillers,
                         const WorkerInfo &Worker,
                         const InterferenceModel &Model, TimePoint Now) const;
  /// Sets the planned CPU rate on the run; returns whether it changed.
  bool applyCpuRate(const FillerPlan &Plan, TimePoint Now) const;

  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_FILLER_THROTTLE_H
