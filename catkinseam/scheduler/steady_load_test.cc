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

// Large tasks reserved all workers for as long as runs there were overdue, and
// kept off a service that fitted on each of them beside these runs.
BOOST_AUTO_TEST_CASE(OverdueRunsDoNotKeepOthersWaiting) {
  constexpr int Workers = 4;
  for (const bool IsService : {false, true}) {
    Scheduler::Options Values;
    Values.m_maxReservations = 16;
    SteadyLoad Load({Milliseconds(100), Milliseconds(300), 10}, Values);
    Load.addBusyWorkers(Workers);
    const auto Submit = [&](const std::string &Id, std::uint32_t Tasks,
                            std::int64_t MilliProcessors, bool IsLasting) {
      Submission Job = SchedulerFixture::makeJob(Id, Tasks);
      Job.m_acceptedMs = Load.m_clock.wallNow().time_since_epoch().count();
      Job.m_policy.m_slack = Milliseconds(100000);
      Job.m_spec.m_steps.front().m_request = {MilliProcessors, 100, 0};
      Job.m_spec.m_steps.front().m_isService = IsLasting;
      Job.m_spec.m_steps.front().m_maxPerWorker = 1;
      Load.m_scheduler.addJob(Job, nullptr);
    };
    // One on each worker; they run for far longer than estimated.
    Submit(One, Workers, 1900, false);
    BOOST_REQUIRE(Load.timeUntilActive(One, Workers) <= MaxWait);
    Load.pass(Milliseconds(3000));
    for (const char *Id : {"00000000000000b1", "00000000000000b2",
                           "00000000000000b3", "00000000000000b4"})
      Submit(Id, 1, 3000, false);
    Load.pass(Milliseconds(500));
    const std::string Two = "00000000000000c1";
    Submit(Two, 1, 1800, IsService);
    BOOST_TEST_CONTEXT("service " << IsService) {
      BOOST_TEST(Load.timeUntilActive(Two, 1).count() <= MaxWait.count());
    }
  }
}

} // namespace catkinseam
