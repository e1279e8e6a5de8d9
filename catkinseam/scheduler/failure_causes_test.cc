// What the log and the metrics say about the failure of a job.
#define BOOST_TEST_MODULE failure_causes
#include "catkinseam/scheduler/failure_causes.h"
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

Scheduler::Options countingOptions(std::map<std::string, int> &Failed) {
  Scheduler::Options Opts;
  Opts.m_onJobFailed = [&Failed](const char *Reason) { ++Failed[Reason]; };
  return Opts;
}

struct FailureCounts {
  std::map<std::string, int> m_failed;
};

struct Fixture : FailureCounts, SchedulerFixture {
  Fixture() : SchedulerFixture(countingOptions(m_failed)) {}
};

} // namespace

BOOST_AUTO_TEST_CASE(CountedRunsNameWorkerIncarnationAndSequence) {
  TaskInfo Task;
  noteCountedRun(Task, {.m_run = 1,
                        .m_worker = "w1",
                        .m_workerStartedMs = 70,
                        .m_sequence = 12,
                        .m_cause = "failed"});
  noteCountedRun(Task, {.m_run = 3,
                        .m_worker = "w2",
                        .m_workerStartedMs = 80,
                        .m_cause = "new_life"});
  BOOST_TEST(countedRuns(Task) == "1@w1/70#12:failed 3@w2/80:new_life");
}

BOOST_AUTO_TEST_CASE(CountedRunsAreBounded) {
  TaskInfo Task;
  for (RunNumber Run = 1; Run <= 1000; ++Run)
    noteCountedRun(Task,
                   {.m_run = Run, .m_worker = "w", .m_cause = "replaced"});
  BOOST_TEST(Task.m_countedRuns.size() == 8U);
  BOOST_TEST(Task.m_countedRuns.back().m_run == 1000U);
}

BOOST_AUTO_TEST_CASE(RestoredCountsNameTasksThatHaveAny) {
  JobInfo Job;
  StepInfo &Step = Job.m_occurrences.emplace_back().m_steps.emplace_back();
  Step.m_tasks.resize(20);
  for (std::uint32_t Index = 0; Index < 20; ++Index)
    Step.m_tasks[Index].m_index = Index;
  BOOST_TEST(restoredCounts(Job).empty());
  Step.m_tasks[2].m_failures = 1;
  Step.m_tasks[5].m_lostWorkers = 3;
  Step.m_tasks[5].m_crashedWorkers = 2;
  BOOST_TEST(restoredCounts(Job) == "0.0.2:1/0/0 0.0.5:0/3/2");
  for (TaskInfo &Each : Step.m_tasks)
    Each.m_failures = 1;
  BOOST_TEST(restoredCounts(Job).ends_with("0.0.7:1/0/0 ..."));
}

BOOST_FIXTURE_TEST_CASE(FailedJobsAreCountedByReason, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    BOOST_TEST(m_failed.empty());
    BOOST_REQUIRE(scheduleOnce() == 1U);
    const StartOrder Run = m_sentStarts["w1"].front();
    endRun("w1", Run, RunEnd::Failed);
  }
  BOOST_TEST(m_failed["attempts_exhausted"] == 1);
  m_scheduler.failJob(Id);
  BOOST_TEST(m_failed.count("progress_rejected") == 0U);
  const std::string Other = "00000000000000a2";
  m_scheduler.addJob(makeJob(Other, 1), nullptr);
  m_scheduler.failJob(Other);
  BOOST_TEST(m_failed["progress_rejected"] == 1);
  BOOST_TEST(m_failed.size() == 2U);
}

} // namespace catkinseam
