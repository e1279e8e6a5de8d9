// Ends that belong to another worker.
#define BOOST_TEST_MODULE foreign_end
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

} // namespace

// An end was applied to a run of the same number that another worker has.
BOOST_FIXTURE_TEST_CASE(EndOfAnotherWorkersRunDoesNotCount, SchedulerFixture) {
  addWorker("w1");
  Submission Job = makeJob(Id, 1);
  Job.m_policy.m_maxAttempts = 1;
  m_scheduler.addJob(Job, nullptr);
  BOOST_REQUIRE(scheduleOnce() == 1U);
  const StartOrder Run = m_sentStarts["w1"].front();
  addWorker("w2");
  answerPoll("w2", {}, {{1, Run.m_task, Run.m_run, RunEnd::Failed, ""}});
  BOOST_TEST(m_scheduler.liveJobs() == 1U);
  BOOST_TEST(m_scheduler.summarize().m_runs == 1U);
}

// The same end still counts if it says that the task is done, as that of a
// discarded run does.
BOOST_FIXTURE_TEST_CASE(SuccessOfAnotherWorkersRunCounts, SchedulerFixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 1U);
  const StartOrder Run = m_sentStarts["w1"].front();
  addWorker("w2");
  answerPoll("w2", {}, {{1, Run.m_task, Run.m_run, RunEnd::Done, ""}});
  BOOST_TEST(m_scheduler.liveJobs() == 0U);
}

} // namespace catkinseam
