// The stand-in worker's task side.
#include "standin/task_runner.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/platform/worker_wire.h"

#include <cmath>

namespace standin {

using namespace catkinseam;

namespace {

constexpr double ThrottledSpeed = 0.1;
/// A longer gap between two looks means that this process was paused: no work
/// was done in it.
constexpr WorkerTime LongestStep{200};

double programNumber(const std::string &Program, const std::string &Key,
                     double Fallback) {
  const std::size_t Place = Program.find(Key + "=");
  return Place == std::string::npos
             ? Fallback
             : std::strtod(Program.c_str() + Place + Key.size() + 1, nullptr);
}

} // namespace

void TaskHistoryFile::started(const std::string &Worker, const TaskId &Task,
                              std::uint32_t Attempt,
                              const std::string &Checkpoint) {
  m_file.write("task_start",
               {Worker, toString(Task), std::to_string(Attempt), Checkpoint});
}

void TaskHistoryFile::ended(const std::string &Worker, const TaskId &Task,
                            std::uint32_t Attempt, AttemptState State,
                            std::int64_t DoneMs, TimePoint At) {
  const auto Micros = std::chrono::duration_cast<std::chrono::microseconds>(
      At.time_since_epoch());
  m_file.write("task_end", {Worker, toString(Task), std::to_string(Attempt),
                            attemptStateName(State), std::to_string(DoneMs),
                            std::to_string(Micros.count())});
}

void TaskHistoryFile::overcommitted(const std::string &Worker,
                                    const TaskId &Task) {
  m_file.write("task_overcommit", {Worker, toString(Task)});
}

TaskRunner::TaskRunner(const Clock &Time, std::string Worker,
                       const Resources &Capacity, TaskHistory &History)
    : m_worker(std::move(Worker)), m_capacity(Capacity), m_history(History),
      m_clock(Time), m_boot(randomId()), m_booted(Time.now()) {}

WorkerTime TaskRunner::workerNow() const {
  return toMilliseconds(m_clock.now() - m_booted);
}

bool TaskRunner::isAlive(const Attempt &Known) {
  return Known.m_state == AttemptState::Running ||
         Known.m_state == AttemptState::Throttled;
}

void TaskRunner::end(const TaskId &Task, Attempt &Known, AttemptState State) {
  Known.m_state = State;
  const TimePoint At = m_booted + std::min<Duration>(Known.m_leaseUntil,
                                                     m_clock.now() - m_booted);
  m_history.ended(m_worker, Task, Known.m_number, State,
                  std::llround(Known.m_doneMs), At);
}

void TaskRunner::advance(const TaskId &Task, Attempt &Known) {
  // A lease that ran out while this process was paused ends the attempt at the
  // moment it ran out, before any work after it.
  const WorkerTime Until = std::min(workerNow(), Known.m_leaseUntil);
  const double Share =
      Known.m_useMilli <= Known.m_limit.m_milliProcessors
          ? 1
          : static_cast<double>(Known.m_limit.m_milliProcessors) /
                static_cast<double>(Known.m_useMilli);
  const double Speed =
      Known.m_state == AttemptState::Throttled ? Share * ThrottledSpeed : Share;
  const WorkerTime Passed =
      std::clamp(Until - Known.m_lastProgress, WorkerTime(0), LongestStep);
  Known.m_doneMs += Speed * static_cast<double>(Passed.count());
  Known.m_ran += Passed;
  Known.m_lastProgress = std::max(Until, Known.m_lastProgress);
  if (Known.m_doneMs >= Known.m_totalMs)
    end(Task, Known,
        Known.m_willFail ? AttemptState::Failed : AttemptState::Finished);
  else if (workerNow() >= Known.m_leaseUntil)
    end(Task, Known, AttemptState::Stopped);
}

void TaskRunner::advanceAll() {
  for (auto &[Task, Known] : m_attempts)
    if (isAlive(Known))
      advance(Task, Known);
}

void TaskRunner::tick() {
  const std::lock_guard Lock(m_mutex);
  advanceAll();
}

Resources TaskRunner::limitsInUse() const {
  Resources Sum;
  for (const auto &[Task, Known] : m_attempts)
    if (isAlive(Known))
      Sum += Known.m_limit;
  return Sum;
}

std::int64_t TaskRunner::usageMilli() {
  const std::lock_guard Lock(m_mutex);
  std::int64_t Sum = 0;
  for (const auto &[Task, Known] : m_attempts)
    if (isAlive(Known))
      Sum += std::min(Known.m_useMilli, Known.m_limit.m_milliProcessors);
  return Sum;
}

TaskRunner::Attempt *TaskRunner::find(const AttemptRef &Ref) {
  const auto Place = m_attempts.find(Ref.m_task);
  const bool IsKnown =
      Place != m_attempts.end() && Place->second.m_number == Ref.m_attempt;
  return IsKnown ? &Place->second : nullptr;
}

void TaskRunner::start(const StartCommand &Command) {
  const auto Place = m_attempts.find(Command.m_task);
  if (Place != m_attempts.end() && Place->second.m_number >= Command.m_attempt)
    return; // Known, ended or barred: the same start again changes nothing.
  Attempt Next;
  Next.m_number = Command.m_attempt;
  Next.m_leaseUntil = Command.m_leaseUntil;
  Next.m_lastProgress = workerNow();
  Next.m_limit = Command.m_limit;
  Next.m_doneMs = std::strtod(Command.m_checkpoint.c_str(), nullptr);
  Next.m_totalMs = programNumber(Command.m_program, "run_ms", 100);
  Next.m_useMilli = static_cast<std::int64_t>(
      programNumber(Command.m_program, "use_milli", 0));
  Next.m_willFail = programNumber(Command.m_program, "fail", 0) > 0;
  if (Command.m_leaseUntil <= workerNow())
    Next.m_reason = "lease is over";
  else if (Place != m_attempts.end() && isAlive(Place->second))
    Next.m_reason = "an earlier attempt runs";
  else if (!(limitsInUse() + Command.m_limit).fitsIn(m_capacity)) {
    Next.m_reason = "no capacity";
    m_history.overcommitted(m_worker, Command.m_task);
  }
  if (!Next.m_reason.empty()) {
    Next.m_state = AttemptState::Refused;
    m_attempts[Command.m_task] = Next;
    return;
  }
  m_history.started(m_worker, Command.m_task, Command.m_attempt,
                    Command.m_checkpoint);
  Attempt &Stored = m_attempts[Command.m_task] = Next;
  if (m_isFailing) {
    Stored.m_reason = "the worker fails everything";
    end(Command.m_task, Stored, AttemptState::Failed);
  }
}

void TaskRunner::stop(const AttemptRef &Ref) {
  Attempt *Known = find(Ref);
  if (Known != nullptr && isAlive(*Known)) {
    advance(Ref.m_task, *Known);
    if (isAlive(*Known))
      end(Ref.m_task, *Known, AttemptState::Stopped);
    return;
  }
  const auto Place = m_attempts.find(Ref.m_task);
  const bool IsLater =
      Place != m_attempts.end() && Place->second.m_number >= Ref.m_attempt;
  if (IsLater)
    return;
  // Bars the start that may still be on its way.
  Attempt Barred;
  Barred.m_number = Ref.m_attempt;
  Barred.m_state = AttemptState::Refused;
  Barred.m_reason = "stopped before its start";
  m_attempts[Ref.m_task] = Barred;
}

WorkerStatus TaskRunner::sync(const WorkerCommands &Commands) {
  const std::lock_guard Lock(m_mutex);
  advanceAll();
  const bool IsMeant = Commands.m_boot == m_boot;
  if (IsMeant)
    for (const StartCommand &Start : Commands.m_starts)
      start(Start);
  if (IsMeant)
    for (const RenewCommand &Renewal : Commands.m_renewals)
      if (Attempt *Known = find(Renewal.m_attempt);
          Known != nullptr && isAlive(*Known))
        Known->m_leaseUntil =
            std::max(Known->m_leaseUntil, Renewal.m_leaseUntil);
  for (const AttemptRef &Ref : Commands.m_throttles)
    if (Attempt *Known = find(Ref); Known != nullptr && isAlive(*Known))
      Known->m_state = AttemptState::Throttled;
  for (const AttemptRef &Ref : Commands.m_stops)
    stop(Ref);
  for (const AttemptRef &Ref : Commands.m_forgets)
    if (Attempt *Known = find(Ref); Known != nullptr && !isAlive(*Known))
      m_attempts.erase(Ref.m_task);
  return status();
}

WorkerStatus TaskRunner::status() const {
  WorkerStatus Status;
  Status.m_boot = m_boot;
  Status.m_now = workerNow();
  Status.m_serviceMilli = m_serviceMilli;
  for (const auto &[Task, Known] : m_attempts) {
    AttemptStatus Item;
    Item.m_task = Task;
    Item.m_attempt = Known.m_number;
    Item.m_state = Known.m_state;
    if (Known.m_state != AttemptState::Refused && Known.m_doneMs > 0)
      Item.m_checkpoint = std::to_string(std::llround(Known.m_doneMs));
    Item.m_peak = {std::min(Known.m_useMilli, Known.m_limit.m_milliProcessors),
                   Known.m_limit.m_memoryMb, Known.m_limit.m_accelerators};
    Item.m_ran = Known.m_ran;
    Item.m_reason = Known.m_reason;
    Status.m_batchMilli += isAlive(Known) ? Item.m_peak.m_milliProcessors : 0;
    Status.m_attempts.push_back(std::move(Item));
  }
  return Status;
}

} // namespace standin
