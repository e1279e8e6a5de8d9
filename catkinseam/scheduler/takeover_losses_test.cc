// Losses of workers that several owners learn of.
#define BOOST_TEST_MODULE takeover_losses
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

struct Fixture : SchedulerFixture {
  JobProgress m_stored;

  // A time of zero means that something has not happened.
  Fixture() { m_clock.advance(Milliseconds(1000)); }

  void registerWorker(const std::string &Name, std::int64_t StartedMs) {
    WorkerRegistration Next = registration(Name, {4000, 8000, 0});
    Next.m_startedMs = StartedMs;
    m_scheduler.updateWorker(Next);
  }

  /// Takes over a job of one task.
  void takeOver(const TaskRecord &Task) {
    JobProgress Progress;
    Progress.m_state = JobState::InProgress;
    Progress.m_occurrences.push_back({0, {StepRecord{{Task}}}});
    m_scheduler.addJob(makeJob(Id, 1), &Progress);
    m_stored = Progress;
  }

  std::vector<StartOrder> start() {
    const Decisions Next = m_scheduler.decide();
    for (const auto &[Job, Progress] : Next.m_progress)
      m_stored = Progress;
    return m_scheduler.release(Next, false);
  }

  /// The task's record after the changes so far, as the next owner reads it.
  TaskRecord task() {
    start();
    BOOST_REQUIRE(m_stored.m_occurrences.size() == 1U);
    return m_stored.m_occurrences.front().m_steps.front().m_tasks.front();
  }
};

TaskRecord sparedTask() {
  TaskRecord Task;
  Task.m_wasSpared = true;
  Task.m_lastRun = 1;
  return Task;
}

} // namespace

// A run was counted as two lost workers: once when the new owner found that its
// worker had restarted, and once more when the worker, still silent, restarted
// again.
BOOST_FIXTURE_TEST_CASE(RunOfWorkerThatKeepsRestartingCountsOnce, Fixture) {
  registerWorker("w1", 2);
  TaskRecord Task = sparedTask();
  Task.m_runs.push_back({1, "w1", 1});
  takeOver(Task);
  registerWorker("w1", 3);
  BOOST_TEST(task().m_lostWorkers == 1U);
}

// A run was counted again by each new owner that found its worker restarted
// once more, so that a job failed after a single start.
BOOST_FIXTURE_TEST_CASE(LossCountedByEarlierOwnerIsNotCountedAgain, Fixture) {
  addWorker("w1");
  takeOver(sparedTask());
  const std::vector<StartOrder> Starts = start();
  BOOST_REQUIRE(Starts.size() == 1U);
  m_scheduler.onStart(Starts.front(), {OrderOutcome::Unknown, std::nullopt});
  registerWorker("w1", 2);
  const TaskRecord Stored = task();
  BOOST_REQUIRE(Stored.m_lostWorkers == 1U);
  BOOST_REQUIRE(Stored.m_runs.size() == 1U);
  Fixture Successor;
  Successor.registerWorker("w1", 3);
  Successor.takeOver(Stored);
  Successor.registerWorker("w1", 4);
  BOOST_TEST(Successor.task().m_lostWorkers == 1U);
}

} // namespace catkinseam
