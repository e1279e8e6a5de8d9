// Stand-in of a worker's task side: attempts under leases, checkpoints, lies.
//
//   TaskRunner Tasks("w1", Capacity, History);
//   WorkerStatus Status = Tasks.sync(Commands);
//
// A program is text like "run_ms=1000;use_milli=500;fail=1". An attempt's
// checkpoint is the milliseconds of work done.
#ifndef STANDIN_TASK_RUNNER_H
#define STANDIN_TASK_RUNNER_H

#include "catkinseam/platform/worker_service.h"
#include "standin/history.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standin {

/// What a runner reports of its attempts, in order.
class TaskHistory {
public:
  virtual ~TaskHistory() = default;
  virtual void started(const std::string &Worker,
                       const catkinseam::TaskId &Task, std::uint32_t Attempt,
                       const std::string &Checkpoint) = 0;
  /// `At` is when it ended, which may be before now: a lease that ran out
  /// while the worker was paused.
  virtual void ended(const std::string &Worker, const catkinseam::TaskId &Task,
                     std::uint32_t Attempt, catkinseam::AttemptState State,
                     std::int64_t DoneMs, catkinseam::TimePoint At) = 0;
  virtual void overcommitted(const std::string &Worker,
                             const catkinseam::TaskId &Task) = 0;
};

/// Writes the events into a history file.
class TaskHistoryFile final : public TaskHistory {
public:
  explicit TaskHistoryFile(HistoryFile &File) : m_file(File) {}
  void started(const std::string &Worker, const catkinseam::TaskId &Task,
               std::uint32_t Attempt, const std::string &Checkpoint) override;
  void ended(const std::string &Worker, const catkinseam::TaskId &Task,
             std::uint32_t Attempt, catkinseam::AttemptState State,
             std::int64_t DoneMs, catkinseam::TimePoint At) override;
  void overcommitted(const std::string &Worker,
                     const catkinseam::TaskId &Task) override;

private:
  HistoryFile &m_file;
};

/// Thread-safe.
class TaskRunner {
public:
  TaskRunner(const catkinseam::Clock &Time, std::string Worker,
             const catkinseam::Resources &Capacity, TaskHistory &History);

  /// Carries out commands and reports, as a worker does.
  catkinseam::WorkerStatus sync(const catkinseam::WorkerCommands &Commands);

  /// Ends attempts that are done or whose lease has run out.
  void tick();

  /// Every start from now on fails at once.
  void setFailing(bool IsFailing) { m_isFailing = IsFailing; }

  /// Processors in use by tasks, in thousandths.
  std::int64_t usageMilli();

  /// Service usage shown in the next status.
  void setServiceMilli(std::int64_t Milli) { m_serviceMilli = Milli; }

private:
  struct Attempt {
    std::uint32_t m_number = 0;
    catkinseam::AttemptState m_state = catkinseam::AttemptState::Running;
    catkinseam::WorkerTime m_leaseUntil{0};
    catkinseam::WorkerTime m_lastProgress{0};
    double m_doneMs = 0;
    double m_totalMs = 0;
    std::int64_t m_useMilli = 0;
    catkinseam::Resources m_limit;
    bool m_willFail = false;
    catkinseam::Milliseconds m_ran{0};
    std::string m_reason;
  };

  static bool isAlive(const Attempt &Known);
  catkinseam::WorkerTime workerNow() const;
  void advanceAll();
  void advance(const catkinseam::TaskId &Task, Attempt &Known);
  void end(const catkinseam::TaskId &Task, Attempt &Known,
           catkinseam::AttemptState State);
  void start(const catkinseam::StartCommand &Command);
  void stop(const catkinseam::AttemptRef &Ref);
  Attempt *find(const catkinseam::AttemptRef &Ref);
  catkinseam::Resources limitsInUse() const;
  catkinseam::WorkerStatus status() const;

  const std::string m_worker;
  const catkinseam::Resources m_capacity;
  TaskHistory &m_history;
  const catkinseam::Clock &m_clock;
  const std::string m_boot;
  const catkinseam::TimePoint m_booted;
  std::atomic<bool> m_isFailing{false};
  std::atomic<std::int64_t> m_serviceMilli{0};
  std::mutex m_mutex;
  /// Latest attempt of each task; ended ones stay until told to be forgotten.
  std::map<catkinseam::TaskId, Attempt> m_attempts;
};

} // namespace standin

#endif // STANDIN_TASK_RUNNER_H
