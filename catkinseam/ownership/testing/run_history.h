// What workers saw, and the promises that it must keep.
//
//   RunHistory Past;
//   Past.started("w1", Task, 1, Now);
//   for (const std::string &Broken : checkHistory(Past, Jobs)) ...
#ifndef CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H
#define CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H

#include "catkinseam/scheduler/model.h"

#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// One run as its worker saw it.
struct SeenRun {
  std::string m_worker;
  TaskKey m_task;
  RunNumber m_run = 0;
  TimePoint m_began;
  TimePoint m_ended = TimePoint::max();
  /// None while it runs, and for runs that died with their worker.
  bool m_hasEnd = false;
  RunEnd m_end = RunEnd::Failed;
  /// The worker was told that its end is taken note of.
  bool m_isObserved = false;
  TimePoint m_observedAt;
  /// The worker carried the order out seconds after it was sent.
  bool m_wasLate = false;
};

class RunHistory {
public:
  void started(const std::string &Worker, const TaskKey &Task, RunNumber Run,
               TimePoint Now, bool WasLate = false);
  void ended(const std::string &Worker, const TaskKey &Task, RunNumber Run,
             RunEnd End, TimePoint Now);
  void died(const std::string &Worker, const TaskKey &Task, RunNumber Run,
            TimePoint Now);
  void observed(const std::string &Worker, const TaskKey &Task, RunNumber Run,
                TimePoint Now);
  /// The worker's lease ran out; ends that were not taken note of before
  /// stand for nothing.
  void lapsed(const std::string &Worker, TimePoint Now);

  std::vector<SeenRun> m_runs;
  std::map<std::string, std::vector<TimePoint>> m_lapses;

private:
  SeenRun *find(const std::string &Worker, const TaskKey &Task, RunNumber Run);
};

/// What was asked, for the check.
struct AskedJob {
  Submission m_job;
  /// When the cancel was stored; none for jobs that were not cancelled.
  TimePoint m_cancelledAt = TimePoint::max();
};

struct HistoryBounds {
  std::map<std::string, Resources> m_capacities;
  /// A task may begin so long after its job's cancel was stored.
  Milliseconds m_cancelTime{3000};
};

/// Returns a line for each broken promise; empty when all are kept.
std::vector<std::string> checkHistory(const RunHistory &Past,
                                      const std::vector<AskedJob> &Jobs,
                                      const HistoryBounds &Bounds);

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_RUN_HISTORY_H
