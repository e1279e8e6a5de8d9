// Implementation of the history checker.
#include "tests/history_checker.h"

#include <algorithm>
#include <istream>
#include <sstream>

namespace catkinseam::testing {

void HistoryChecker::read(std::istream &Stream) {
  for (std::string Line; std::getline(Stream, Line);)
    readLine(Line);
}

void HistoryChecker::readLine(const std::string &Line) {
  std::istringstream Text(Line);
  std::int64_t Micros = 0;
  std::string Event;
  std::vector<std::string> Fields;
  Text >> Micros >> Event;
  for (std::string Field; Text >> Field;)
    Fields.push_back(Field);
  const auto HasFieldCount = [&](std::size_t Count) {
    if (Fields.size() == Count)
      return true;
    m_malformedLines.push_back("malformed line: " + Line);
    return false;
  };
  if (Event == "request_start" && HasFieldCount(2))
    m_requestStarts[Fields[1]].push_back({Micros, Fields[0]});
  else if (Event == "told" && HasFieldCount(3))
    m_callerReports[Fields[0]] = {Fields[1] == "once", Fields[2]};
  else if (Event == "leaving" && HasFieldCount(1))
    m_leavingSince[Fields[0]] = Micros;
  else if (Event == "task_start" && HasFieldCount(4))
    m_taskStarts.emplace(Fields[1],
                         TaskStart{Micros, Fields[0], Fields[2], Fields[3]});
  else if (Event == "task_end" && HasFieldCount(6))
    m_taskEnds[{Fields[1], Fields[2]}] = {std::stoll(Fields[5]), Fields[3],
                                          Fields[4]};
  else if (Event == "task_overcommit" && HasFieldCount(2))
    m_overcommits.push_back(Fields[0] + " with " + Fields[1]);
  else if (Event.empty())
    m_malformedLines.push_back("malformed line: " + Line);
}

std::vector<std::string> HistoryChecker::violations() const {
  std::vector<std::string> Violations = m_malformedLines;
  for (const std::string &Each : m_overcommits)
    Violations.push_back("worker capacity exceeded: " + Each);
  checkRequests(Violations);
  checkLeavingWorkers(Violations);
  checkTasks(Violations);
  return Violations;
}

void HistoryChecker::checkRequests(std::vector<std::string> &Violations) const {
  for (const auto &[Id, Report] : m_callerReports) {
    const auto StartEvents = m_requestStarts.find(Id);
    const std::size_t Runs =
        StartEvents == m_requestStarts.end() ? 0 : StartEvents->second.size();
    if (Report.m_outcome == "wrong")
      Violations.push_back("request " + Id +
                           " received a response that does not match it");
    if (Report.m_outcome == "no_answer")
      Violations.push_back("request " + Id + " was cut off");
    if (Report.m_outcome == "not_run" && Runs > 0)
      Violations.push_back("request " + Id +
                           " was reported as not_run but ran");
    if (Report.m_outcome == "answered" && Runs == 0)
      Violations.push_back("request " + Id + " was answered but never ran");
    if (Report.m_isAtMostOnce && Runs > 1)
      Violations.push_back("request " + Id + " ran " + std::to_string(Runs) +
                           " times");
  }
}

void HistoryChecker::checkLeavingWorkers(
    std::vector<std::string> &Violations) const {
  for (const auto &[Id, Starts] : m_requestStarts)
    for (const Event &Start : Starts) {
      const auto LeavingEntry = m_leavingSince.find(Start.m_worker);
      if (LeavingEntry != m_leavingSince.end() &&
          Start.m_micros > LeavingEntry->second + LeavingGraceMicros)
        Violations.push_back("leaving worker " + Start.m_worker +
                             " received request " + Id);
    }
}

void HistoryChecker::checkTasks(std::vector<std::string> &Violations) const {
  std::string CurrentTask;
  std::set<std::string> Attempts;
  std::int64_t LastEndMicros = 0;
  bool IsRunning = false;
  bool IsFinished = false;
  std::set<std::string> Checkpoints;
  std::vector<std::pair<std::string, TaskStart>> SortedStarts(
      m_taskStarts.begin(), m_taskStarts.end());
  std::sort(SortedStarts.begin(), SortedStarts.end(),
            [](const auto &Left, const auto &Right) {
              return std::pair(Left.first, Left.second.m_micros) <
                     std::pair(Right.first, Right.second.m_micros);
            });
  for (const auto &[TaskName, Start] : SortedStarts) {
    if (TaskName != CurrentTask) {
      CurrentTask = TaskName;
      Attempts.clear();
      Checkpoints.clear();
      LastEndMicros = 0;
      IsRunning = IsFinished = false;
    }
    const std::string Label =
        "task " + TaskName + " attempt " + Start.m_attempt;
    if (!Attempts.insert(Start.m_attempt).second)
      Violations.push_back(Label + " was started twice");
    if (IsRunning || Start.m_micros < LastEndMicros)
      Violations.push_back(Label + " started while another attempt ran");
    if (IsFinished)
      Violations.push_back(Label + " started after the task had finished");
    if (Start.m_checkpoint != "-" && Checkpoints.count(Start.m_checkpoint) == 0)
      Violations.push_back(Label + " resumes from an unknown checkpoint");
    const auto End = m_taskEnds.find({TaskName, Start.m_attempt});
    IsRunning = End == m_taskEnds.end();
    if (IsRunning)
      continue;
    LastEndMicros = End->second.m_micros;
    Checkpoints.insert(End->second.m_doneMs);
    IsFinished = IsFinished || End->second.m_state == "finished";
  }
}

} // namespace catkinseam::testing
