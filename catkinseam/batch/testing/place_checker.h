// Checks a history of attempts: one place at any moment, one start of each
// attempt, no worker over its capacity, resumes from what was done.
//
//   PlaceChecker Checker;
//   Checker.started("w1", {"j", 0}, 1, "");
//   BOOST_TEST(Checker.faults().empty());
#ifndef CATKINSEAM_BATCH_TESTING_PLACE_CHECKER_H
#define CATKINSEAM_BATCH_TESTING_PLACE_CHECKER_H

#include "standin/task_runner.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam::testing {

/// Fed with what the workers themselves saw, in order.
class PlaceChecker final : public standin::TaskHistory {
public:
  explicit PlaceChecker(const Clock &Time) : m_clock(Time) {}

  void started(const std::string &Worker, const TaskId &Task,
               std::uint32_t Attempt, const std::string &Checkpoint) override;
  void ended(const std::string &Worker, const TaskId &Task,
             std::uint32_t Attempt, AttemptState State, std::int64_t DoneMs,
             TimePoint At) override;
  void overcommitted(const std::string &Worker, const TaskId &Task) override;

  /// The worker lost all it ran, at once, and every result that the log does
  /// not have: `IsInLog` tells whether it has a task as finished.
  void crashed(const std::string &Worker,
               const std::function<bool(const TaskId &)> &IsInLog);

  /// Judges starts that met an attempt elsewhere that had not ended yet. A
  /// paused worker runs nothing and reports late, when its lease ended: it is
  /// judged once it has woken.
  void judgeOverlaps(const std::set<std::string> &PausedWorkers);

  /// Notes that the log gave an attempt up as lapsed. Its worker may have
  /// finished it unheard; then, and only then, the task may run again.
  void lapsed(const TaskId &Task, std::uint32_t Attempt) {
    m_lapsed.insert({Task, Attempt});
  }

  const std::vector<std::string> &faults() const { return m_faults; }
  std::size_t starts() const { return m_starts; }
  std::size_t running() const { return m_running.size(); }
  std::size_t runningOn(const std::string &Worker) const;
  std::size_t failuresOn(const std::string &Worker) const;
  std::int64_t workDoneMs() const { return m_workDoneMs; }

private:
  struct Place {
    std::string m_worker;
    std::uint32_t m_attempt = 0;
    std::int64_t m_fromMs = 0;
  };
  /// A start while an earlier place was still open.
  struct Overlap {
    TaskId m_task;
    std::string m_oldWorker;
    std::uint32_t m_oldAttempt = 0;
    TimePoint m_newStart;
  };

  bool isOpen(const Overlap &Found) const;

  const Clock &m_clock;
  std::vector<std::string> m_faults;
  /// Where each task runs.
  std::map<TaskId, std::vector<Place>> m_running;
  std::set<std::pair<TaskId, std::uint32_t>> m_startedAttempts;
  std::map<TaskId, Place> m_finishedBy;
  /// Attempts whose result is lost for good.
  std::set<std::pair<TaskId, std::uint32_t>> m_lapsed;
  /// Work that attempts of a task had done when they ended.
  std::map<TaskId, std::set<std::int64_t>> m_checkpoints;
  std::vector<Overlap> m_overlaps;
  std::map<std::string, std::size_t> m_failures;
  std::size_t m_starts = 0;
  std::int64_t m_workDoneMs = 0;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_BATCH_TESTING_PLACE_CHECKER_H
