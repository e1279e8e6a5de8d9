// Finds tasks that should last and are away for too long.
//
//   AbsenceMonitor Monitor({});
//   Monitor.onFault(Now + Milliseconds(2000));
//   Monitor.update(Lasting, History, Now);    // at intervals
//   for (const std::string &Each : Monitor.violations()) ...
#ifndef CATKINSEAM_STANDIN_ABSENCE_MONITOR_H
#define CATKINSEAM_STANDIN_ABSENCE_MONITOR_H

#include "catkinseam/ownership/testing/run_history.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// A task that has run must not be away for `m_window` on end, from `m_grace`
/// after its last run, and from `m_calm` after the last fault.
class AbsenceMonitor {
public:
  struct Options {
    Milliseconds m_grace{6000};
    Milliseconds m_window{3000};
    Milliseconds m_calm{4000};
  };

  explicit AbsenceMonitor(const Options &Values) : m_options(Values) {}

  /// Reports a fault that lasts until `End`.
  void onFault(TimePoint End);

  /// Checks the tasks for which `IsLasting` holds; tasks that have not run yet
  /// do not count. To be called several times a second, in the order of time.
  template <class Predicate>
  void update(const RunHistory &History, Predicate IsLasting, TimePoint Now) {
    std::map<TaskKey, TimePoint> LastEnds;
    for (const RecordedRun &Each : History.m_runs) {
      TimePoint &End = LastEnds[Each.m_task];
      End = std::max(End, Each.m_endedAt);
    }
    std::erase_if(LastEnds, [&](const auto &Each) {
      return Each.second == TimePoint::max() || !IsLasting(Each.first);
    });
    check(LastEnds, Now);
  }

  const std::vector<std::string> &violations() const { return m_violations; }
  /// Number of tasks that were away at the last update, and the longest time
  /// that any has been away since its last run.
  std::size_t away() const { return m_away; }
  Milliseconds longest() const { return m_longest; }

private:
  void check(const std::map<TaskKey, TimePoint> &LastEnds, TimePoint Now);

  const Options m_options;
  TimePoint m_lastFaultEnd;
  std::size_t m_away = 0;
  Milliseconds m_longest{0};
  /// Tasks that are away and have been reported.
  std::set<TaskKey> m_reported;
  std::vector<std::string> m_violations;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_ABSENCE_MONITOR_H
