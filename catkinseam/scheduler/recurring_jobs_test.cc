// Recurring jobs whose occurrences are due all at once.
#define BOOST_TEST_MODULE recurring_jobs
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <set>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";
/// What one job may occupy in the scheduler's tables: 20 bytes of a body must
/// not become more rows than those of a few jobs of the largest size.
constexpr std::size_t MaxRows = 20000;

/// A job all of whose occurrences were due long ago.
Submission overdueJob(std::uint32_t Occurrences, std::uint32_t Tasks) {
  Submission Job = SchedulerFixture::makeJob(Id, Tasks);
  Job.m_spec.m_occurrences = Occurrences;
  Job.m_spec.m_firstDueMs = 1;
  Job.m_spec.m_interval = Milliseconds(1);
  return Job;
}

std::size_t taskCount(const JobProgress &Progress) {
  std::size_t Tasks = 0;
  for (const OccurrenceRecord &Occurrence : Progress.m_occurrences)
    for (const StepRecord &Step : Occurrence.m_steps)
      Tasks += Step.m_tasks.size();
  return Tasks;
}

} // namespace

// Guards against a small job that expands to millions of tasks in the owner.
BOOST_FIXTURE_TEST_CASE(OverdueOccurrencesDoNotOpenAllAtOnce,
                        SchedulerFixture) {
  addWorker("w1");
  m_scheduler.addJob(overdueJob(200, 1000), nullptr);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST(taskCount(Next.m_progress[0].second) > 0U);
  BOOST_TEST(taskCount(Next.m_progress[0].second) <= MaxRows);
  // Nor do they in the next owner.
  SchedulerFixture Successor;
  Successor.addWorker("w1");
  Successor.m_scheduler.addJob(overdueJob(200, 1000),
                               &Next.m_progress[0].second);
  for (const auto &[Name, Progress] : Successor.m_scheduler.decide().m_progress)
    BOOST_TEST(taskCount(Progress) <= MaxRows);
}

// Guards against overdue occurrences that never open, or open twice.
BOOST_FIXTURE_TEST_CASE(OverdueOccurrencesAllRunOnce, SchedulerFixture) {
  constexpr std::uint32_t Occurrences = 30;
  constexpr std::uint32_t Tasks = 2000;
  addWorker("w1", {1000 * Tasks, 1000 * Tasks, 0});
  m_scheduler.addJob(overdueJob(Occurrences, Tasks), nullptr);
  std::set<TaskKey> Started;
  std::size_t Starts = 0;
  bool IsCompleted = false;
  for (int Round = 0; Round < 1000 && !IsCompleted; ++Round) {
    const Decisions Next = m_scheduler.decide();
    for (const auto &[Name, Progress] : Next.m_progress)
      IsCompleted = IsCompleted || Progress.m_state == JobState::Completed;
    std::vector<EndedRun> Ended;
    for (const StartOrder &Each : m_scheduler.release(Next, false)) {
      m_scheduler.onStart(Each, {OrderOutcome::Done, Milliseconds(1000)});
      Started.insert(Each.m_task);
      ++Starts;
      Ended.push_back(
          {++m_endCounts["w1"], Each.m_task, Each.m_run, RunEnd::Done, ""});
    }
    m_clock.advance(Milliseconds(50));
    answerPoll("w1", {}, Ended);
  }
  BOOST_TEST(IsCompleted);
  BOOST_TEST(Started.size() == std::size_t{Occurrences} * Tasks);
  BOOST_TEST(Starts == Started.size());
}

} // namespace catkinseam
