// The history of runs as recorded by the workers, and the invariants that it
// must satisfy.
//
//   RunHistory History;
//   History.started("w1", Task, 1, Now);
//   for (const std::string &Each : checkHistory(History, Jobs, Bounds)) ...
#ifndef CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H
#define CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H

#include "catkinseam/scheduler/model.h"

#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// One run as recorded by its worker.
struct RecordedRun {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  TimePoint m_startedAt;
  TimePoint m_endedAt = TimePoint::max();
  /// False for active runs and for runs that ended when their worker crashed.
  bool m_hasEnd = false;
  RunEnd m_end = RunEnd::Failed;
  /// The owner has acknowledged the end to the worker.
  bool m_isObserved = false;
  TimePoint m_observedAt;
  /// The worker executed the start order more than a second after it was sent.
  bool m_wasDelayed = false;
};

class RunHistory {
public:
  void started(const std::string &Worker, const TaskKey &Task, RunNumber Run,
               TimePoint Now, bool WasDelayed = false);
  void ended(const std::string &Worker, const TaskKey &Task, RunNumber Run,
             RunEnd End, TimePoint Now);
  void crashed(const std::string &Worker, const TaskKey &Task, RunNumber Run,
               TimePoint Now);
  void observed(const std::string &Worker, const TaskKey &Task, RunNumber Run,
                TimePoint Now);
  /// Records that the worker's lease expired. Ends that the owner had not
  /// acknowledged by then do not count.
  void leaseExpired(const std::string &Worker, TimePoint Now);

  void evacuationRequested(const std::string &DataCentre, TimePoint Now);
  void evacuationWithdrawn(const std::string &DataCentre, TimePoint Now);

  /// Records a change of a worker's registered capacity.
  void capacityChanged(const std::string &Worker, const Resources &Capacity,
                       TimePoint Now);

  std::vector<RecordedRun> m_runs;
  std::map<std::string, std::vector<TimePoint>> m_leaseExpiries;
  struct CapacityChange {
    TimePoint m_at;
    Resources m_capacity;
  };
  std::map<std::string, std::vector<CapacityChange>> m_capacityChanges;
  /// A request to evacuate a data centre, until it was withdrawn.
  struct Evacuation {
    std::string m_dataCentre;
    TimePoint m_requestedAt;
    TimePoint m_withdrawnAt = TimePoint::max();
  };
  std::vector<Evacuation> m_evacuations;

private:
  RecordedRun *find(const std::string &Worker, const TaskKey &Task,
                    RunNumber Run);
};

/// A submitted job, as input of the check.
struct SubmittedJob {
  Submission m_job;
  /// When the cancellation was stored; TimePoint::max() for jobs that were not
  /// cancelled.
  TimePoint m_cancelledAt = TimePoint::max();
};

struct HistoryBounds {
  /// Capacities before the first change.
  std::map<std::string, Resources> m_capacities;
  std::map<std::string, std::string> m_dataCentres{};
  /// A task may start in a data centre up to this long after a request to
  /// evacuate it.
  Milliseconds m_maxStartAfterEvacuation{5000};
  /// A reduced capacity counts after this time, and this much later for starts
  /// that a worker executed late.
  Milliseconds m_capacityNotice{4500};
  Milliseconds m_maxStartDelay{8000};
  /// A copy of a speculative task may start up to this long after the owner has
  /// acknowledged that the task is done.
  Milliseconds m_maxCopyAfterDone{1000};
  /// A task may start up to this long after its job's cancellation was stored.
  Milliseconds m_maxStartAfterCancel{3000};
};

/// Returns a line for each violated invariant; empty if there are none.
std::vector<std::string> checkHistory(const RunHistory &History,
                                      const std::vector<SubmittedJob> &Jobs,
                                      const HistoryBounds &Bounds);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H
