// Lists of the runs and counts that a task's failure is due to.
#include "catkinseam/scheduler/failure_causes.h"

namespace catkinseam {

namespace {

constexpr std::size_t MaxCountedRuns = 8;
constexpr std::size_t MaxRestoredTasks = 8;

void appendItem(std::string &Text, const std::string &Item) {
  if (!Text.empty())
    Text += ' ';
  Text += Item;
}

} // namespace

void noteCountedRun(TaskInfo &Task, CountedRun Run) {
  if (Task.m_countedRuns.size() >= MaxCountedRuns)
    Task.m_countedRuns.erase(Task.m_countedRuns.begin());
  Task.m_countedRuns.push_back(std::move(Run));
}

std::string countedRuns(const TaskInfo &Task) {
  std::string Text;
  for (const CountedRun &Each : Task.m_countedRuns) {
    std::string Item = std::to_string(Each.m_run) + "@" + Each.m_worker + "/" +
                       std::to_string(Each.m_workerStartedMs);
    if (Each.m_sequence > 0)
      Item.append("#").append(std::to_string(Each.m_sequence));
    Item.append(":").append(Each.m_cause);
    appendItem(Text, Item);
  }
  return Text;
}

std::string restoredCounts(const JobInfo &Job) {
  std::string Text;
  std::size_t Left = MaxRestoredTasks;
  for (const OccurrenceInfo &Occurrence : Job.m_occurrences)
    for (const StepInfo &Step : Occurrence.m_steps)
      for (const TaskInfo &Each : Step.m_tasks) {
        if (Each.m_isDone || (Each.m_failures == 0 && Each.m_lostWorkers == 0))
          continue;
        if (Left-- == 0)
          return Text + " ...";
        appendItem(Text, std::to_string(Occurrence.m_number) + "." +
                             std::to_string(Step.m_number) + "." +
                             std::to_string(Each.m_index) + ":" +
                             std::to_string(Each.m_failures) + "/" +
                             std::to_string(Each.m_lostWorkers) + "/" +
                             std::to_string(Each.m_crashedWorkers));
      }
  return Text;
}

} // namespace catkinseam
