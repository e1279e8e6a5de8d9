// What keeps a task waiting for as long as other callers keep sending.
#define BOOST_TEST_MODULE steady_load
#include "catkinseam/scheduler/testing/steady_load.h"

namespace catkinseam {

namespace {

const std::string One = "00000000000000a1";

} // namespace

// A task waited while all workers were quarantined for jobs that failed by
// their own fault: each run that ended so renewed the quarantine, also if it
// had started long before.
BOOST_AUTO_TEST_CASE(FailingJobsDoNotKeepOthersWaiting) {
  for (const Milliseconds RunTime : {Milliseconds(300), Milliseconds(1000),
                                     Milliseconds(2000), Milliseconds(5000)})
    for (const int Workers : {2, 8}) {
      SteadyLoad Load({Milliseconds(100), RunTime, 5, RunEnd::Failed});
      Load.addBusyWorkers(Workers);
      Load.pass(Milliseconds(5000));
      BOOST_TEST_CONTEXT("runs of " << RunTime.count() << " ms, " << Workers
                                    << " workers") {
        for (int Round = 0; Round < 40; ++Round) {
          Submission Job =
              SchedulerFixture::makeJob(One + std::to_string(Round), 1);
          Job.m_policy.m_priority = 1;
          Job.m_spec.m_steps.front().m_isService = true;
          Job.m_spec.m_steps.front().m_request = {10, 10, 0};
          Load.m_scheduler.addJob(Job, nullptr);
          BOOST_TEST(Load.timeUntilActive(Job.m_id, 1).count() <=
                     MaxWait.count());
          Load.pass(Milliseconds(130));
        }
      }
    }
}

} // namespace catkinseam
