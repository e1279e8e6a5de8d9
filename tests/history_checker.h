// Checks the merged history of a run: what workers did and what callers were
// told.
//
//   HistoryChecker Checker;
//   Checker.read(Stream);   // workers' file, callers' file, in any order
//   for (const std::string &Fault : Checker.faults()) ...
//
// Lines are those of standin/history.h. Events used: request_start,
// request_end, task_start, task_end, task_overcommit (workers), told (callers),
// leaving (the test, when it marks a worker as leaving).
#ifndef TESTS_HISTORY_CHECKER_H
#define TESTS_HISTORY_CHECKER_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam::testing {

class HistoryChecker {
public:
  /// Time after which a leaving worker must get nothing new.
  static constexpr std::int64_t LeavingGraceMicros = 2'000'000;

  /// Reads lines; a line that cannot be read is a fault.
  void read(std::istream &Stream);

  /// Returns everything wrong, one text each.
  std::vector<std::string> faults() const;

  std::size_t requests() const { return m_told.size(); }
  std::size_t taskStarts() const { return m_taskStarts.size(); }

private:
  struct Event {
    std::int64_t m_micros = 0;
    std::string m_worker;
  };
  struct Told {
    bool m_isOnce = false;
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
  void checkRequests(std::vector<std::string> &Found) const;
  void checkLeaving(std::vector<std::string> &Found) const;
  void checkTasks(std::vector<std::string> &Found) const;

  std::vector<std::string> m_broken;
  std::map<std::string, std::vector<Event>> m_requestStarts;
  std::map<std::string, Told> m_told;
  std::map<std::string, std::int64_t> m_leaving;
  std::multimap<std::string, TaskStart> m_taskStarts;
  std::map<AttemptKey, TaskEnd> m_taskEnds;
  std::vector<std::string> m_overcommits;
};

} // namespace catkinseam::testing

#endif // TESTS_HISTORY_CHECKER_H
