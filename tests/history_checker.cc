// The history checker.
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
  const auto Has = [&](std::size_t Count) {
    if (Fields.size() == Count)
      return true;
    m_broken.push_back("unreadable line: " + Line);
    return false;
  };
  if (Event == "request_start" && Has(2))
    m_requestStarts[Fields[1]].push_back({Micros, Fields[0]});
  else if (Event == "told" && Has(3))
    m_told[Fields[0]] = {Fields[1] == "once", Fields[2]};
  else if (Event == "leaving" && Has(1))
    m_leaving[Fields[0]] = Micros;
  else if (Event == "task_start" && Has(4))
    m_taskStarts.emplace(Fields[1],
                         TaskStart{Micros, Fields[0], Fields[2], Fields[3]});
  else if (Event == "task_end" && Has(6))
    m_taskEnds[{Fields[1], Fields[2]}] = {std::stoll(Fields[5]), Fields[3],
                                          Fields[4]};
  else if (Event == "task_overcommit" && Has(2))
    m_overcommits.push_back(Fields[0] + " with " + Fields[1]);
  else if (Event.empty())
    m_broken.push_back("unreadable line: " + Line);
}

std::vector<std::string> HistoryChecker::faults() const {
  std::vector<std::string> Found = m_broken;
  for (const std::string &Each : m_overcommits)
    Found.push_back("worker was given more than it has: " + Each);
  checkRequests(Found);
  checkLeaving(Found);
  checkTasks(Found);
  return Found;
}

void HistoryChecker::checkRequests(std::vector<std::string> &Found) const {
  for (const auto &[Id, Answer] : m_told) {
    const auto Place = m_requestStarts.find(Id);
    const std::size_t Runs =
        Place == m_requestStarts.end() ? 0 : Place->second.size();
    if (Answer.m_outcome == "wrong")
      Found.push_back("request " + Id + " got an answer that is not its own");
    if (Answer.m_outcome == "no_answer")
      Found.push_back("request " + Id + " was cut off");
    if (Answer.m_outcome == "not_run" && Runs > 0)
      Found.push_back("request " + Id + " was told not_run and ran");
    if (Answer.m_outcome == "answered" && Runs == 0)
      Found.push_back("request " + Id + " was answered and never ran");
    if (Answer.m_isOnce && Runs > 1)
      Found.push_back("request " + Id + " ran " + std::to_string(Runs) +
                      " times");
  }
}

void HistoryChecker::checkLeaving(std::vector<std::string> &Found) const {
  for (const auto &[Id, Starts] : m_requestStarts)
    for (const Event &Start : Starts) {
      const auto Left = m_leaving.find(Start.m_worker);
      if (Left != m_leaving.end() &&
          Start.m_micros > Left->second + LeavingGraceMicros)
        Found.push_back("leaving worker " + Start.m_worker + " got request " +
                        Id);
    }
}

void HistoryChecker::checkTasks(std::vector<std::string> &Found) const {
  std::string Task;
  std::set<std::string> Attempts;
  std::int64_t LastEnd = 0;
  bool IsOpen = false;
  bool IsFinished = false;
  std::set<std::string> Checkpoints;
  std::vector<std::pair<std::string, TaskStart>> Ordered(m_taskStarts.begin(),
                                                         m_taskStarts.end());
  std::sort(Ordered.begin(), Ordered.end(),
            [](const auto &Left, const auto &Right) {
              return std::pair(Left.first, Left.second.m_micros) <
                     std::pair(Right.first, Right.second.m_micros);
            });
  for (const auto &[Name, Start] : Ordered) {
    if (Name != Task) {
      Task = Name;
      Attempts.clear();
      Checkpoints.clear();
      LastEnd = 0;
      IsOpen = IsFinished = false;
    }
    const std::string Label = "task " + Name + " attempt " + Start.m_attempt;
    if (!Attempts.insert(Start.m_attempt).second)
      Found.push_back(Label + " was started twice");
    if (IsOpen || Start.m_micros < LastEnd)
      Found.push_back(Label + " started while another attempt ran");
    if (IsFinished)
      Found.push_back(Label + " started after the task had finished");
    if (Start.m_checkpoint != "-" && Checkpoints.count(Start.m_checkpoint) == 0)
      Found.push_back(Label + " resumes from an unknown checkpoint");
    const auto End = m_taskEnds.find({Name, Start.m_attempt});
    IsOpen = End == m_taskEnds.end();
    if (IsOpen)
      continue;
    LastEnd = End->second.m_micros;
    Checkpoints.insert(End->second.m_doneMs);
    IsFinished = IsFinished || End->second.m_state == "finished";
  }
}

} // namespace catkinseam::testing
