// Implementation of the stand-in task execution.
#include "standin/task_runner.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/platform/worker_wire.h"

#include <cmath>

namespace standin {

using namespace catkinseam;

namespace {

/// Speed of a throttled attempt relative to normal.
constexpr double ThrottledSpeedFactor = 0.1;
/// Most work time, in milliseconds, that one advance adds. A longer gap since
/// the last advance means that this process was paused and did no work.
constexpr WorkerTime MaxAdvanceStep{200};

/// Returns the number after `Key`= in a program, or `Fallback` if it is absent.
double programParameter(const std::string &Program, const std::string &Key,
                        double Fallback) {
  const std::size_t Found = Program.find(Key + "=");
  return Found == std::string::npos
             ? Fallback
             : std::strtod(Program.c_str() + Found + Key.size() + 1, nullptr);
}

} // namespace

void HistoryFileListener::started(const std::string &Worker, const TaskId &Task,
                                  std::uint32_t Attempt,
                                  const std::string &Checkpoint) {
  m_file.write("task_start",
               {Worker, toString(Task), std::to_string(Attempt), Checkpoint});
}

void HistoryFileListener::ended(const std::string &Worker, const TaskId &Task,
                                std::uint32_t Attempt, AttemptState State,
                                std::int64_t DoneMs, TimePoint At) {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      At.time_since_epoch());
  m_file.write("task_end", {Worker, toString(Task), std::to_string(Attempt),
                            attemptStateName(State), std::to_string(DoneMs),
                            std::to_string(Micros.count())});
}

void HistoryFileListener::startExceededCapacity(const std::string &Worker,
                                                const TaskId &Task) {
  m_file.write("task_overcommit", {Worker, toString(Task)});
}

TaskRunner::TaskRunner(const Clock &Time, std::string Worker,
                       const Resources &Capacity, TaskEventListener &Listener)
    : m_worker(std::move(Worker)), m_capacity(Capacity), m_listener(Listener),
      m_clock(Time), m_bootId(randomId()), m_bootTime(Time.now()) {}

WorkerTime TaskRunner::workerNow() const {
  return toMilliseconds(m_clock.now() - m_bootTime);
}

bool TaskRunner::isActive(const Attempt &Current) {
  return Current.m_state == AttemptState::Running ||
         Current.m_state == AttemptState::Throttled;
}

void TaskRunner::endAttempt(const TaskId &Task, Attempt &Current,
                            AttemptState State) {
  Current.m_state = State;
  const TimePoint At =
      m_bootTime +
      std::min<Duration>(Current.m_leaseUntil, m_clock.now() - m_bootTime);
  m_listener.ended(m_worker, Task, Current.m_number, State,
                   std::llround(Current.m_doneMs), At);
}

void TaskRunner::advanceAttempt(const TaskId &Task, Attempt &Current) {
  // An attempt whose lease expired while this process was paused does no work
  // past the expiry and ends at that time.
  const WorkerTime Until = std::min(workerNow(), Current.m_leaseUntil);
  const double CpuShare =
      Current.m_cpuDemandMilli <= Current.m_limit.m_milliProcessors
          ? 1
          : static_cast<double>(Current.m_limit.m_milliProcessors) /
                static_cast<double>(Current.m_cpuDemandMilli);
  const double Speed = Current.m_state == AttemptState::Throttled
                           ? CpuShare * ThrottledSpeedFactor
                           : CpuShare;
  const WorkerTime Elapsed =
      std::clamp(Until - Current.m_lastAdvance, WorkerTime(0), MaxAdvanceStep);
  Current.m_doneMs += Speed * static_cast<double>(Elapsed.count());
  Current.m_ran += Elapsed;
  Current.m_lastAdvance = std::max(Until, Current.m_lastAdvance);
  if (Current.m_doneMs >= Current.m_totalMs)
    endAttempt(Task, Current,
               Current.m_willFail ? AttemptState::Failed
                                  : AttemptState::Finished);
  else if (workerNow() >= Current.m_leaseUntil)
    endAttempt(Task, Current, AttemptState::Stopped);
}

void TaskRunner::advanceAllAttempts() {
  for (auto &[Task, Current] : m_attempts)
    if (isActive(Current))
      advanceAttempt(Task, Current);
}

void TaskRunner::tick() {
  const std::lock_guard Lock(m_mutex);
  advanceAllAttempts();
}

Resources TaskRunner::reservedResources() const {
  Resources Total;
  for (const auto &[Task, Current] : m_attempts)
    if (isActive(Current))
      Total += Current.m_limit;
  return Total;
}

std::int64_t TaskRunner::usageMilli() {
  const std::lock_guard Lock(m_mutex);
  std::int64_t Total = 0;
  for (const auto &[Task, Current] : m_attempts)
    if (isActive(Current))
      Total +=
          std::min(Current.m_cpuDemandMilli, Current.m_limit.m_milliProcessors);
  return Total;
}

TaskRunner::Attempt *TaskRunner::findAttempt(const AttemptRef &Ref) {
  const auto Found = m_attempts.find(Ref.m_task);
  const bool IsKnown =
      Found != m_attempts.end() && Found->second.m_number == Ref.m_attempt;
  return IsKnown ? &Found->second : nullptr;
}

void TaskRunner::startAttempt(const StartCommand &Command) {
  const auto Found = m_attempts.find(Command.m_task);
  if (Found != m_attempts.end() && Found->second.m_number >= Command.m_attempt)
    return; // Starts are idempotent: running, ended or barred by a stop.
  Attempt NewAttempt;
  NewAttempt.m_number = Command.m_attempt;
  NewAttempt.m_leaseUntil = Command.m_leaseUntil;
  NewAttempt.m_lastAdvance = workerNow();
  NewAttempt.m_limit = Command.m_limit;
  NewAttempt.m_doneMs = std::strtod(Command.m_checkpoint.c_str(), nullptr);
  NewAttempt.m_totalMs = programParameter(Command.m_program, "run_ms", 100);
  NewAttempt.m_cpuDemandMilli = static_cast<std::int64_t>(
      programParameter(Command.m_program, "use_milli", 0));
  NewAttempt.m_willFail = programParameter(Command.m_program, "fail", 0) > 0;
  if (Command.m_leaseUntil <= workerNow())
    NewAttempt.m_reason = "lease has expired";
  else if (Found != m_attempts.end() && isActive(Found->second))
    NewAttempt.m_reason = "an earlier attempt is still running";
  else if (!(reservedResources() + Command.m_limit).fitsIn(m_capacity)) {
    NewAttempt.m_reason = "insufficient capacity";
    m_listener.startExceededCapacity(m_worker, Command.m_task);
  }
  if (!NewAttempt.m_reason.empty()) {
    NewAttempt.m_state = AttemptState::Refused;
    m_attempts[Command.m_task] = NewAttempt;
    return;
  }
  m_listener.started(m_worker, Command.m_task, Command.m_attempt,
                     Command.m_checkpoint);
  Attempt &Stored = m_attempts[Command.m_task] = NewAttempt;
  if (m_isFailing) {
    Stored.m_reason = "failed by an injected fault";
    endAttempt(Command.m_task, Stored, AttemptState::Failed);
  }
}

void TaskRunner::stopAttempt(const AttemptRef &Ref) {
  Attempt *Current = findAttempt(Ref);
  if (Current != nullptr && isActive(*Current)) {
    advanceAttempt(Ref.m_task, *Current);
    if (isActive(*Current))
      endAttempt(Ref.m_task, *Current, AttemptState::Stopped);
    return;
  }
  const auto Found = m_attempts.find(Ref.m_task);
  const bool IsAlreadyRecorded =
      Found != m_attempts.end() && Found->second.m_number >= Ref.m_attempt;
  if (IsAlreadyRecorded)
    return;
  // The start may still be in transit. The tombstone turns its late arrival
  // into a no-op.
  Attempt Tombstone;
  Tombstone.m_number = Ref.m_attempt;
  Tombstone.m_state = AttemptState::Refused;
  Tombstone.m_reason = "stopped before it started";
  m_attempts[Ref.m_task] = Tombstone;
}

WorkerStatus TaskRunner::sync(const WorkerCommands &Commands) {
  const std::lock_guard Lock(m_mutex);
  advanceAllAttempts();
  const bool IsForThisBoot = Commands.m_boot == m_bootId;
  if (IsForThisBoot)
    for (const StartCommand &Start : Commands.m_starts)
      startAttempt(Start);
  if (IsForThisBoot)
    for (const RenewCommand &Renewal : Commands.m_renewals)
      if (Attempt *Current = findAttempt(Renewal.m_attempt);
          Current != nullptr && isActive(*Current))
        Current->m_leaseUntil =
            std::max(Current->m_leaseUntil, Renewal.m_leaseUntil);
  for (const AttemptRef &Ref : Commands.m_throttles)
    if (Attempt *Current = findAttempt(Ref);
        Current != nullptr && isActive(*Current))
      Current->m_state = AttemptState::Throttled;
  for (const AttemptRef &Ref : Commands.m_stops)
    stopAttempt(Ref);
  for (const AttemptRef &Ref : Commands.m_forgets)
    if (Attempt *Current = findAttempt(Ref);
        Current != nullptr && !isActive(*Current))
      m_attempts.erase(Ref.m_task);
  return status();
}

WorkerStatus TaskRunner::status() const {
  WorkerStatus Status;
  Status.m_boot = m_bootId;
  Status.m_now = workerNow();
  Status.m_serviceMilli = m_serviceMilli;
  for (const auto &[Task, Current] : m_attempts) {
    AttemptStatus Item;
    Item.m_task = Task;
    Item.m_attempt = Current.m_number;
    Item.m_state = Current.m_state;
    if (Current.m_state != AttemptState::Refused && Current.m_doneMs > 0)
      Item.m_checkpoint = std::to_string(std::llround(Current.m_doneMs));
    Item.m_peakUsage = {
        std::min(Current.m_cpuDemandMilli, Current.m_limit.m_milliProcessors),
        Current.m_limit.m_memoryMb, Current.m_limit.m_accelerators};
    Item.m_runTime = Current.m_ran;
    Item.m_reason = Current.m_reason;
    Status.m_batchMilli +=
        isActive(Current) ? Item.m_peakUsage.m_milliProcessors : 0;
    Status.m_attempts.push_back(std::move(Item));
  }
  return Status;
}

} // namespace standin
