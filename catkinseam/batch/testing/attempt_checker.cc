// Checks on the history of task attempts.
#include "catkinseam/batch/testing/attempt_checker.h"

#include <algorithm>

namespace catkinseam::testing {

namespace {

std::string describeAttempt(const TaskId &Task, std::uint32_t Attempt,
                            const std::string &Worker) {
  return "task " + toString(Task) + " attempt " + std::to_string(Attempt) +
         " on " + Worker;
}

} // namespace

void AttemptChecker::started(const std::string &Worker, const TaskId &Task,
                             std::uint32_t Attempt,
                             const std::string &Checkpoint) {
  ++m_startCount;
  const std::string Label = describeAttempt(Task, Attempt, Worker);
  if (!m_startedAttempts.insert({Task, Attempt}).second)
    m_violations.push_back(Label + " was started twice");
  const auto Finished = m_finishedAttempts.find(Task);
  if (Finished != m_finishedAttempts.end() &&
      m_lostResults.count({Task, Finished->second.m_attempt}) == 0)
    m_violations.push_back(Label + " started after the task had finished");
  const std::int64_t ResumedFrom =
      Checkpoint.empty() ? 0 : std::stoll(Checkpoint);
  if (ResumedFrom > 0 && m_checkpoints[Task].count(ResumedFrom) == 0)
    m_violations.push_back(Label + " resumes from an unknown checkpoint");
  for (const RunningAttempt &Running : m_running[Task])
    m_overlaps.push_back(
        {Task, Running.m_worker, Running.m_attempt, m_clock.now()});
  m_running[Task].push_back({Worker, Attempt, ResumedFrom});
}

void AttemptChecker::ended(const std::string &Worker, const TaskId &Task,
                           std::uint32_t Attempt, AttemptState State,
                           std::int64_t DoneMs, TimePoint At) {
  std::vector<RunningAttempt> &Attempts = m_running[Task];
  const auto Found =
      std::find_if(Attempts.begin(), Attempts.end(), [&](const auto &Running) {
        return Running.m_worker == Worker && Running.m_attempt == Attempt;
      });
  if (Found == Attempts.end()) {
    m_violations.push_back(describeAttempt(Task, Attempt, Worker) +
                           " ended without having started");
    return;
  }
  for (const Overlap &Conflict : m_overlaps)
    if (Conflict.m_task == Task && Conflict.m_oldWorker == Worker &&
        Conflict.m_oldAttempt == Attempt && At > Conflict.m_newStart)
      m_violations.push_back(
          describeAttempt(Task, Attempt, Worker) +
          " kept running after the next attempt had started");
  m_workDoneMs += DoneMs - Found->m_resumedFromMs;
  Attempts.erase(Found);
  if (Attempts.empty())
    m_running.erase(Task);
  m_checkpoints[Task].insert(DoneMs);
  if (State == AttemptState::Finished)
    m_finishedAttempts[Task] = {Worker, Attempt, 0};
  if (State == AttemptState::Failed)
    ++m_failures[Worker];
}

bool AttemptChecker::isOldAttemptRunning(const Overlap &Conflict) const {
  const auto Found = m_running.find(Conflict.m_task);
  return Found != m_running.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const RunningAttempt &Each) {
                       return Each.m_worker == Conflict.m_oldWorker &&
                              Each.m_attempt == Conflict.m_oldAttempt;
                     });
}

void AttemptChecker::checkOverlaps(const std::set<std::string> &PausedWorkers) {
  for (const Overlap &Conflict : m_overlaps)
    if (PausedWorkers.count(Conflict.m_oldWorker) == 0 &&
        isOldAttemptRunning(Conflict))
      m_violations.push_back(
          describeAttempt(Conflict.m_task, Conflict.m_oldAttempt,
                          Conflict.m_oldWorker) +
          " still runs although the next attempt has started");
  std::erase_if(m_overlaps, [this](const Overlap &Conflict) {
    return !isOldAttemptRunning(Conflict);
  });
}

void AttemptChecker::startExceededCapacity(const std::string &Worker,
                                           const TaskId &Task) {
  m_violations.push_back("worker " + Worker +
                         " exceeds its capacity with task " + toString(Task));
}

void AttemptChecker::recordCrash(
    const std::string &Worker,
    const std::function<bool(const TaskId &)> &IsInLog) {
  for (const auto &[Task, Finished] : m_finishedAttempts)
    if (Finished.m_worker == Worker && !IsInLog(Task))
      m_lostResults.insert({Task, Finished.m_attempt});
  for (auto &[Task, Attempts] : m_running)
    std::erase_if(Attempts, [&](const RunningAttempt &Running) {
      return Running.m_worker == Worker;
    });
  std::erase_if(m_running,
                [](const auto &Known) { return Known.second.empty(); });
}

std::size_t AttemptChecker::runningCountOn(const std::string &Worker) const {
  std::size_t Count = 0;
  for (const auto &[Task, Attempts] : m_running)
    for (const RunningAttempt &Running : Attempts)
      Count += Running.m_worker == Worker ? 1 : 0;
  return Count;
}

std::size_t AttemptChecker::failureCountOn(const std::string &Worker) const {
  const auto Found = m_failures.find(Worker);
  return Found == m_failures.end() ? 0 : Found->second;
}

} // namespace catkinseam::testing
