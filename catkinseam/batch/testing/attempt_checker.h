// Checks a history of task attempts: a task runs on at most one worker at a
// time, each attempt starts at most once, no worker exceeds its capacity, a
// finished task does not start again unless its result was lost, and attempts
// resume only from checkpoints that were written.
//
//   AttemptChecker Checker(Clock);
//   Checker.started("w1", {"j", 0}, 1, "");
//   BOOST_TEST(Checker.violations().empty());
#ifndef CATKINSEAM_BATCH_TESTING_ATTEMPT_CHECKER_H
#define CATKINSEAM_BATCH_TESTING_ATTEMPT_CHECKER_H

#include "standin/task_runner.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam::testing {

/// Checks the events that the workers report, in order. Not thread-safe.
class AttemptChecker final : public standin::TaskEventListener {
public:
  explicit AttemptChecker(const Clock &Time) : m_clock(Time) {}

  void started(const std::string &Worker, const TaskId &Task,
               std::uint32_t Attempt, const std::string &Checkpoint) override;
  void ended(const std::string &Worker, const TaskId &Task,
             std::uint32_t Attempt, AttemptState State, std::int64_t DoneMs,
             TimePoint At) override;
  void startExceededCapacity(const std::string &Worker,
                             const TaskId &Task) override;

  /// Records that the worker crashed: it lost all running attempts and every
  /// result that is not in the log. `IsInLog` returns whether the log has a
  /// task as finished.
  void recordCrash(const std::string &Worker,
                   const std::function<bool(const TaskId &)> &IsInLog);

  /// Checks attempts that started before an earlier attempt of the task had
  /// ended. A paused worker runs nothing and reports only after it resumes when
  /// its lease ended, so its attempts are checked once it has resumed.
  void checkOverlaps(const std::set<std::string> &PausedWorkers);

  /// Records that the log released an attempt because its lease expired. Its
  /// worker may have finished it without reporting so; only then may a finished
  /// task run again.
  void recordExpiry(const TaskId &Task, std::uint32_t Attempt) {
    m_lostResults.insert({Task, Attempt});
  }

  /// Returns the violations found so far, one message each.
  const std::vector<std::string> &violations() const { return m_violations; }
  std::size_t startCount() const { return m_startCount; }
  std::size_t runningCount() const { return m_running.size(); }
  std::size_t runningCountOn(const std::string &Worker) const;
  std::size_t failureCountOn(const std::string &Worker) const;
  /// Returns the milliseconds of work done by all ended attempts.
  std::int64_t workDoneMs() const { return m_workDoneMs; }

private:
  struct RunningAttempt {
    std::string m_worker;
    std::uint32_t m_attempt = 0;
    std::int64_t m_resumedFromMs = 0;
  };
  /// A start of an attempt while an earlier one had not ended yet.
  struct Overlap {
    TaskId m_task;
    std::string m_oldWorker;
    std::uint32_t m_oldAttempt = 0;
    TimePoint m_newStart;
  };

  bool isOldAttemptRunning(const Overlap &Conflict) const;

  const Clock &m_clock;
  std::vector<std::string> m_violations;
  /// Running attempts of each task.
  std::map<TaskId, std::vector<RunningAttempt>> m_running;
  std::set<std::pair<TaskId, std::uint32_t>> m_startedAttempts;
  std::map<TaskId, RunningAttempt> m_finishedAttempts;
  /// Attempts whose result is lost, or would be lost if they had finished.
  std::set<std::pair<TaskId, std::uint32_t>> m_lostResults;
  /// Work in milliseconds that attempts of each task had done when they ended.
  std::map<TaskId, std::set<std::int64_t>> m_checkpoints;
  std::vector<Overlap> m_overlaps;
  std::map<std::string, std::size_t> m_failures;
  std::size_t m_startCount = 0;
  std::int64_t m_workDoneMs = 0;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_BATCH_TESTING_ATTEMPT_CHECKER_H
