// The checker of attempts.
#include "catkinseam/batch/testing/place_checker.h"

#include <algorithm>

namespace catkinseam::testing {

namespace {

std::string named(const TaskId &Task, std::uint32_t Attempt,
                  const std::string &Worker) {
  return "task " + toString(Task) + " attempt " + std::to_string(Attempt) +
         " on " + Worker;
}

} // namespace

void PlaceChecker::started(const std::string &Worker, const TaskId &Task,
                           std::uint32_t Attempt,
                           const std::string &Checkpoint) {
  ++m_starts;
  const std::string Name = named(Task, Attempt, Worker);
  if (!m_startedAttempts.insert({Task, Attempt}).second)
    m_faults.push_back(Name + " was started twice");
  const auto Finished = m_finishedBy.find(Task);
  if (Finished != m_finishedBy.end() &&
      m_lapsed.count({Task, Finished->second.m_attempt}) == 0)
    m_faults.push_back(Name + " started after the task had finished");
  const std::int64_t From = Checkpoint.empty() ? 0 : std::stoll(Checkpoint);
  if (From > 0 && m_checkpoints[Task].count(From) == 0)
    m_faults.push_back(Name + " resumes from an unknown checkpoint");
  for (const Place &Open : m_running[Task])
    m_overlaps.push_back({Task, Open.m_worker, Open.m_attempt, m_clock.now()});
  m_running[Task].push_back({Worker, Attempt, From});
}

void PlaceChecker::ended(const std::string &Worker, const TaskId &Task,
                         std::uint32_t Attempt, AttemptState State,
                         std::int64_t DoneMs, TimePoint At) {
  std::vector<Place> &Places = m_running[Task];
  const auto Place =
      std::find_if(Places.begin(), Places.end(), [&](const auto &Open) {
        return Open.m_worker == Worker && Open.m_attempt == Attempt;
      });
  if (Place == Places.end()) {
    m_faults.push_back(named(Task, Attempt, Worker) + " ended unstarted");
    return;
  }
  for (const Overlap &Found : m_overlaps)
    if (Found.m_task == Task && Found.m_oldWorker == Worker &&
        Found.m_oldAttempt == Attempt && At > Found.m_newStart)
      m_faults.push_back(named(Task, Attempt, Worker) +
                         " ran on beside its successor");
  m_workDoneMs += DoneMs - Place->m_fromMs;
  Places.erase(Place);
  if (Places.empty())
    m_running.erase(Task);
  m_checkpoints[Task].insert(DoneMs);
  if (State == AttemptState::Finished)
    m_finishedBy[Task] = {Worker, Attempt, 0};
  if (State == AttemptState::Failed)
    ++m_failures[Worker];
}

bool PlaceChecker::isOpen(const Overlap &Found) const {
  const auto Open = m_running.find(Found.m_task);
  return Open != m_running.end() &&
         std::any_of(Open->second.begin(), Open->second.end(),
                     [&](const Place &Each) {
                       return Each.m_worker == Found.m_oldWorker &&
                              Each.m_attempt == Found.m_oldAttempt;
                     });
}

void PlaceChecker::judgeOverlaps(const std::set<std::string> &PausedWorkers) {
  for (const Overlap &Found : m_overlaps)
    if (PausedWorkers.count(Found.m_oldWorker) == 0 && isOpen(Found))
      m_faults.push_back(
          named(Found.m_task, Found.m_oldAttempt, Found.m_oldWorker) +
          " still runs beside its successor");
  std::erase_if(m_overlaps,
                [this](const Overlap &Found) { return !isOpen(Found); });
}

void PlaceChecker::overcommitted(const std::string &Worker,
                                 const TaskId &Task) {
  m_faults.push_back("worker " + Worker + " was given more than it has with " +
                     toString(Task));
}

void PlaceChecker::crashed(const std::string &Worker,
                           const std::function<bool(const TaskId &)> &IsInLog) {
  for (const auto &[Task, Where] : m_finishedBy)
    if (Where.m_worker == Worker && !IsInLog(Task))
      m_lapsed.insert({Task, Where.m_attempt});
  for (auto &[Task, Places] : m_running)
    std::erase_if(Places,
                  [&](const Place &Open) { return Open.m_worker == Worker; });
  std::erase_if(m_running,
                [](const auto &Known) { return Known.second.empty(); });
}

std::size_t PlaceChecker::runningOn(const std::string &Worker) const {
  std::size_t Count = 0;
  for (const auto &[Task, Places] : m_running)
    for (const Place &Open : Places)
      Count += Open.m_worker == Worker ? 1 : 0;
  return Count;
}

std::size_t PlaceChecker::failuresOn(const std::string &Worker) const {
  const auto Place = m_failures.find(Worker);
  return Place == m_failures.end() ? 0 : Place->second;
}

} // namespace catkinseam::testing
