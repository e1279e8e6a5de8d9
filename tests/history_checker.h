// Checks the merged event history of a test run for violated guarantees: what
// the workers executed against what the callers were told.
//
//   HistoryChecker Checker;
//   Checker.read(Stream);   // once per history file, in any order
//   for (const std::string &Violation : Checker.violations()) ...
//
// standin/history.h describes the line format. Events checked: request_start,
// task_start, task_end and task_overcommit from workers, told from callers, and
// leaving from the test that marks a worker as leaving. Other events are
// ignored.
#ifndef TESTS_HISTORY_CHECKER_H
#define TESTS_HISTORY_CHECKER_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam::testing {

/// Collects events and reports violations. Not thread-safe.
class HistoryChecker {
public:
  /// Microseconds after which a leaving worker must not receive new requests.
  static constexpr std::int64_t LeavingGraceMicros = 2'000'000;

  /// Reads events until the end of `Stream`. A malformed line is a violation.
  void read(std::istream &Stream);

  /// Returns a description of each violation; empty if there is none.
  std::vector<std::string> violations() const;

  /// Number of requests that callers reported.
  std::size_t requests() const { return m_callerReports.size(); }
  /// Number of task attempts started.
  std::size_t taskStarts() const { return m_taskStarts.size(); }

private:
  struct Event {
    std::int64_t m_micros = 0;
    std::string m_worker;
  };
  struct CallerReport {
    bool m_isAtMostOnce = false;
    std::string m_outcome;
  };
  struct TaskStart {
    std::int64_t m_micros = 0;
    std::string m_worker;
    std::string m_attempt;
    std::string m_checkpoint;
  };
  struct TaskEnd {
    std::int64_t m_micros = 0;
    std::string m_state;
    std::string m_doneMs;
  };
  using AttemptKey = std::pair<std::string, std::string>;

  void readLine(const std::string &Line);
  void checkRequests(std::vector<std::string> &Violations) const;
  void checkLeavingWorkers(std::vector<std::string> &Violations) const;
  void checkTasks(std::vector<std::string> &Violations) const;

  std::vector<std::string> m_malformedLines;
  std::map<std::string, std::vector<Event>> m_requestStarts;
  std::map<std::string, CallerReport> m_callerReports;
  std::map<std::string, std::int64_t> m_leavingSince;
  std::multimap<std::string, TaskStart> m_taskStarts;
  std::map<AttemptKey, TaskEnd> m_taskEnds;
  std::vector<std::string> m_overcommits;
};

} // namespace catkinseam::testing

#endif // TESTS_HISTORY_CHECKER_H
