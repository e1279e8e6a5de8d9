// Absences of tasks that should last.
#include "standin/absence_monitor.h"

#include <algorithm>

namespace catkinseam {

void AbsenceMonitor::onFault(TimePoint End) {
  m_lastFaultEnd = std::max(m_lastFaultEnd, End);
}

void AbsenceMonitor::check(const std::map<TaskKey, TimePoint> &LastEnds,
                           TimePoint Now) {
  m_away = LastEnds.size();
  std::erase_if(m_reported,
                [&](const TaskKey &Each) { return !LastEnds.contains(Each); });
  for (const auto &[Task, End] : LastEnds) {
    m_longest = std::max(m_longest, toMilliseconds(Now - End));
    const TimePoint From = std::max<TimePoint>(
        End + m_options.m_grace, m_lastFaultEnd + m_options.m_calm);
    if (Now - From < m_options.m_window || !m_reported.insert(Task).second)
      continue;
    m_violations.push_back(
        "task " + toString(Task) + " lasts and has been away for " +
        std::to_string(toMilliseconds(Now - End).count()) + " ms");
  }
}

} // namespace catkinseam
