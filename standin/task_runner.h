// Stand-in for a worker's task execution: task attempts with leases and
// checkpoints. Execution is simulated from elapsed time; injected faults are
// possible.
//
//   TaskRunner Tasks("w1", Capacity, Listener);
//   WorkerStatus Status = Tasks.sync(Commands);
//
// A program is text such as "run_ms=1000;use_milli=500;fail=1": milliseconds of
// work, processor demand in thousandths, and whether the attempt fails at its
// end. A checkpoint is the number of milliseconds of work done.
#ifndef STANDIN_TASK_RUNNER_H
#define STANDIN_TASK_RUNNER_H

#include "catkinseam/platform/worker_service.h"
#include "standin/history.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standin {

/// Receives the events of a TaskRunner's attempts, in order.
class TaskEventListener {
public:
  virtual ~TaskEventListener() = default;
  virtual void started(const std::string &Worker,
                       const catkinseam::TaskId &Task, std::uint32_t Attempt,
                       const std::string &Checkpoint) = 0;
  /// `DoneMs` is the work done in milliseconds. `At` is when the attempt ended,
  /// which is in the past if its lease expired while the worker was paused.
  virtual void ended(const std::string &Worker, const catkinseam::TaskId &Task,
                     std::uint32_t Attempt, catkinseam::AttemptState State,
                     std::int64_t DoneMs, catkinseam::TimePoint At) = 0;
  /// A start was refused because the worker lacked the capacity for it.
  virtual void startExceededCapacity(const std::string &Worker,
                                     const catkinseam::TaskId &Task) = 0;
};

/// Writes the events to a history file.
class HistoryFileListener final : public TaskEventListener {
public:
  explicit HistoryFileListener(HistoryFile &File) : m_file(File) {}
  void started(const std::string &Worker, const catkinseam::TaskId &Task,
               std::uint32_t Attempt, const std::string &Checkpoint) override;
  void ended(const std::string &Worker, const catkinseam::TaskId &Task,
             std::uint32_t Attempt, catkinseam::AttemptState State,
             std::int64_t DoneMs, catkinseam::TimePoint At) override;
  void startExceededCapacity(const std::string &Worker,
                             const catkinseam::TaskId &Task) override;

private:
  HistoryFile &m_file;
};

/// Runs the attempts of one worker. Thread-safe.
class TaskRunner {
public:
  TaskRunner(const catkinseam::Clock &Time, std::string Worker,
             const catkinseam::Resources &Capacity,
             TaskEventListener &Listener);

  /// Executes `Commands` and returns the worker's status. Starts and renewals
  /// for another boot of the worker are ignored.
  catkinseam::WorkerStatus sync(const catkinseam::WorkerCommands &Commands);

  /// Ends attempts that have completed or whose lease has expired.
  void tick();

  /// While set, every attempt that starts fails immediately.
  void setFailingStarts(bool IsFailing) { m_isFailing = IsFailing; }

  /// Returns the processor usage of active attempts, in thousandths.
  std::int64_t usageMilli();

  /// Sets the service's processor usage, in thousandths, that status reports.
  void setServiceMilli(std::int64_t Milli) { m_serviceMilli = Milli; }

private:
  struct Attempt {
    std::uint32_t m_number = 0;
    catkinseam::AttemptState m_state = catkinseam::AttemptState::Running;
    catkinseam::WorkerTime m_leaseUntil{0};
    catkinseam::WorkerTime m_lastAdvance{0};
    double m_doneMs = 0;
    double m_totalMs = 0;
    std::int64_t m_cpuDemandMilli = 0;
    catkinseam::Resources m_limit;
    bool m_willFail = false;
    catkinseam::Milliseconds m_ran{0};
    std::string m_reason;
  };

  static bool isActive(const Attempt &Current);
  catkinseam::WorkerTime workerNow() const;
  void advanceAllAttempts();
  void advanceAttempt(const catkinseam::TaskId &Task, Attempt &Current);
  void endAttempt(const catkinseam::TaskId &Task, Attempt &Current,
                  catkinseam::AttemptState State);
  void startAttempt(const catkinseam::StartCommand &Command);
  void stopAttempt(const catkinseam::AttemptRef &Ref);
  Attempt *findAttempt(const catkinseam::AttemptRef &Ref);
  catkinseam::Resources reservedResources() const;
  catkinseam::WorkerStatus status() const;

  const std::string m_worker;
  const catkinseam::Resources m_capacity;
  TaskEventListener &m_listener;
  const catkinseam::Clock &m_clock;
  const std::string m_bootId;
  const catkinseam::TimePoint m_bootTime;
  std::atomic<bool> m_isFailing{false};
  std::atomic<std::int64_t> m_serviceMilli{0};
  std::mutex m_mutex;
  /// Latest attempt of each task. An ended attempt is kept until a forget
  /// command names it.
  std::map<catkinseam::TaskId, Attempt> m_attempts;
};

} // namespace standin

#endif // STANDIN_TASK_RUNNER_H
