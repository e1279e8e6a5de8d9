// The order of waiting work under overload.
#define BOOST_TEST_MODULE work_order
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

using Fixture = SchedulerFixture;

Submission jobAcceptedAt(const std::string &Id, WallTime Accepted,
                         std::uint32_t Tasks) {
  Submission Job = SchedulerFixture::makeJob(Id, Tasks);
  Job.m_acceptedMs = Accepted.time_since_epoch().count();
  return Job;
}

Submission serviceAcceptedAt(const std::string &Id, WallTime Accepted,
                             std::uint32_t Tasks) {
  Submission Job = jobAcceptedAt(Id, Accepted, Tasks);
  Job.m_spec.m_steps[0].m_isService = true;
  return Job;
}

} // namespace

// Load: short jobs of one task and services share a worker; services that wait
// take all that becomes free for minutes. A short job that has missed its
// objective by little must not wait behind them.
BOOST_FIXTURE_TEST_CASE(LateShortJobPrecedesServices, Fixture) {
  m_clock.advance(Milliseconds(100000));
  const WallTime Start = m_clock.wallNow();
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(serviceAcceptedAt("00000000000000a1", Start, 1), nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  // Its objective is 1 s after it was accepted.
  m_scheduler.addJob(jobAcceptedAt("00000000000000b1", Start, 1), nullptr);
  m_scheduler.addJob(serviceAcceptedAt("00000000000000c1", Start, 2), nullptr);
  m_clock.advance(Milliseconds(1500));
  BOOST_TEST(scheduleOnce() == 0U);
  m_scheduler.cancelJob("00000000000000a1");
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Stopped);
  m_clock.advance(Milliseconds(100));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000b1");
}

// Load: more short jobs than the worker can run. The one that was handed in
// first is late, but its result is still of use for a shorter time than that
// of a later one; once it is of no use, it comes last.
BOOST_FIXTURE_TEST_CASE(LateJobIsServedWhileItIsOfUse, Fixture) {
  m_clock.advance(Milliseconds(100000));
  const WallTime Start = m_clock.wallNow();
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a0", Start, 1), nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", Start, 2), nullptr);
  m_clock.advance(Milliseconds(2400));
  // Late by 1.45 s, and of use for 0.55 s more.
  m_scheduler.addJob(jobAcceptedAt("00000000000000a2", m_clock.wallNow(), 2),
                     nullptr);
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(50));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000a1");
  m_clock.advance(Milliseconds(700));
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(50));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000a2");
}

// Load: after a burst a standing queue makes every job late by a little. A job
// that has not begun and cannot be in time any more must not delay one that
// can, even if that has more time; it starts when its result would otherwise be
// of no use.
BOOST_FIXTURE_TEST_CASE(JobThatCannotBeInTimeIsDeferred, Fixture) {
  m_clock.advance(Milliseconds(100000));
  const WallTime Start = m_clock.wallNow();
  const auto AddPatientJob = [this](const std::string &Id) {
    Submission Job = jobAcceptedAt(Id, m_clock.wallNow(), 1);
    Job.m_policy.m_slack = Milliseconds(9000);
    m_scheduler.addJob(Job, nullptr);
  };
  const auto StartedNext = [this] {
    endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
    m_clock.advance(Milliseconds(50));
    BOOST_TEST(scheduleOnce() == 1U);
    return m_sentStarts["w1"].front().m_task.m_job;
  };
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a0", Start, 1), nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  // It has one second from its acceptance, needs 0.5 s, and is of use for two
  // seconds after that.
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", Start, 1), nullptr);
  m_clock.advance(Milliseconds(650));
  AddPatientJob("00000000000000a2");
  BOOST_TEST(StartedNext() == "00000000000000a2");
  m_clock.advance(Milliseconds(400));
  AddPatientJob("00000000000000a3");
  BOOST_TEST(StartedNext() == "00000000000000a3");
  // 1.6 s after its acceptance, its last useful start is near.
  m_clock.advance(Milliseconds(300));
  AddPatientJob("00000000000000a4");
  BOOST_TEST(StartedNext() == "00000000000000a1");
}

// Guards against work that is thrown away: a job of which some tasks have run
// goes on by its objective, however late it is.
BOOST_FIXTURE_TEST_CASE(JobThatHasBegunIsNotDeferred, Fixture) {
  m_clock.advance(Milliseconds(100000));
  const WallTime Start = m_clock.wallNow();
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", Start, 2), nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  m_clock.advance(Milliseconds(700));
  m_scheduler.addJob(jobAcceptedAt("00000000000000a2", m_clock.wallNow(), 1),
                     nullptr);
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  m_clock.advance(Milliseconds(50));
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000a1");
}

// Load: more wide jobs than the workers can run, with a new one every second
// whose objective comes earlier than what is left to those that have missed
// theirs. A job of which most tasks have run must not starve behind them.
BOOST_FIXTURE_TEST_CASE(NearlyFinishedJobPrecedesLaterJobs, Fixture) {
  m_clock.advance(Milliseconds(100000));
  addWorker("w1", {3000, 8000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", m_clock.wallNow(), 4),
                     nullptr);
  BOOST_TEST(scheduleOnce() == 3U);
  // It has missed its objective of 1 s, and is of use for 1.9 s more.
  m_clock.advance(Milliseconds(1000));
  m_scheduler.addJob(jobAcceptedAt("00000000000000b1", m_clock.wallNow(), 4),
                     nullptr);
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].back().m_task.m_job == "00000000000000a1");
}

// Load: a job of four tasks has missed its objective, so not all that waits can
// be in time. Of jobs that have not begun, the short one is served first even
// if it came later: it delays the long one by little. While all can be in time,
// the earlier objective decides.
BOOST_FIXTURE_TEST_CASE(ShortJobPrecedesLongJobUnderOverload, Fixture) {
  for (const bool IsOverloaded : {false, true}) {
    SchedulerFixture Each;
    Each.m_clock.advance(Milliseconds(100000));
    Each.addWorker("w1", {1000, 8000, 0});
    Submission Late = jobAcceptedAt("00000000000000a0", Each.m_clock.wallNow(),
                                    IsOverloaded ? 4 : 1);
    Each.m_scheduler.addJob(Late, nullptr);
    BOOST_TEST(Each.scheduleOnce() == 1U);
    Each.m_clock.advance(Milliseconds(1000));
    Each.m_scheduler.addJob(
        jobAcceptedAt("00000000000000a1", Each.m_clock.wallNow(), 8), nullptr);
    Each.m_clock.advance(Milliseconds(100));
    Each.m_scheduler.addJob(
        jobAcceptedAt("00000000000000b1", Each.m_clock.wallNow(), 1), nullptr);
    Each.endRun("w1", Each.m_sentStarts["w1"].front(), RunEnd::Done);
    BOOST_TEST(Each.scheduleOnce() == 1U);
    BOOST_TEST((Each.m_scheduler.summarize().m_overloadedSteps > 0) ==
               IsOverloaded);
    BOOST_TEST(Each.m_sentStarts["w1"].front().m_task.m_job ==
               (IsOverloaded ? "00000000000000b1" : "00000000000000a1"));
  }
}

// Guards against one job that no worker can run: it waits forever, and must not
// count as overload once its result is of no use.
BOOST_FIXTURE_TEST_CASE(HopelessJobIsNoOverload, Fixture) {
  m_clock.advance(Milliseconds(100000));
  addWorker("w1", {1000, 8000, 0});
  Submission Hopeless = jobAcceptedAt("00000000000000a0", m_clock.wallNow(), 1);
  Hopeless.m_spec.m_steps[0].m_request.m_milliProcessors = 9000;
  m_scheduler.addJob(Hopeless, nullptr);
  m_clock.advance(Milliseconds(4000));
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", m_clock.wallNow(), 8),
                     nullptr);
  m_clock.advance(Milliseconds(100));
  m_scheduler.addJob(jobAcceptedAt("00000000000000b1", m_clock.wallNow(), 1),
                     nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].front().m_task.m_job == "00000000000000a1");
}

// Load: the same. Guards against large jobs that starve: one of which most has
// run precedes small ones that have not begun, although it needs more work than
// each of them.
BOOST_FIXTURE_TEST_CASE(LargeJobThatHasRunPrecedesSmallJobs, Fixture) {
  m_clock.advance(Milliseconds(100000));
  addWorker("w1", {15000, 40000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a1", m_clock.wallNow(), 20),
                     nullptr);
  BOOST_TEST(scheduleOnce() == 15U);
  m_clock.advance(Milliseconds(1000));
  for (int Small = 0; Small < 5; ++Small)
    m_scheduler.addJob(jobAcceptedAt("00000000000000b" + std::to_string(Small),
                                     m_clock.wallNow(), 2),
                       nullptr);
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  BOOST_TEST(scheduleOnce() == 1U);
  BOOST_TEST(m_sentStarts["w1"].back().m_task.m_job == "00000000000000a1");
}

// Load: short jobs take all that becomes free. A service whose worker left must
// not be away for longer than a few seconds because of them.
BOOST_FIXTURE_TEST_CASE(ServiceThatHasWaitedComesFirst, Fixture) {
  m_clock.advance(Milliseconds(100000));
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(jobAcceptedAt("00000000000000a0", m_clock.wallNow(), 1),
                     nullptr);
  BOOST_TEST(scheduleOnce() == 1U);
  m_scheduler.addJob(
      serviceAcceptedAt("00000000000000c1", m_clock.wallNow(), 1), nullptr);
  for (int Round = 0; Round < 3; ++Round) {
    m_clock.advance(Milliseconds(750));
    m_scheduler.addJob(jobAcceptedAt("00000000000000b" + std::to_string(Round),
                                     m_clock.wallNow(), 1),
                       nullptr);
    endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
    m_clock.advance(Milliseconds(50));
    BOOST_TEST(scheduleOnce() == 1U);
    const bool IsServiceDue = Round == 2;
    BOOST_TEST((m_sentStarts["w1"].front().m_task.m_job ==
                "00000000000000c1") == IsServiceDue);
  }
}

} // namespace catkinseam
