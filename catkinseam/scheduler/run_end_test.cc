// Ends of runs that the scheduler had given up.
#define BOOST_TEST_MODULE run_end
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

struct Fixture : SchedulerFixture {
  /// Lets the leases of a worker expire while its polls remain unanswered.
  void loseWorker(const std::string &Name) {
    const auto Order = m_scheduler.nextPoll(Name);
    BOOST_REQUIRE(Order.has_value());
    m_scheduler.onPoll(*Order, m_clock.now(), PollReply{});
    m_clock.advance(Milliseconds(10000));
    m_scheduler.control();
  }

  /// Lets the lost worker report that it had completed its run.
  void reportDone(const StartOrder &Run) {
    answerPoll(Run.m_worker, {},
               {{1, Run.m_task, Run.m_run, RunEnd::Done, ""}});
  }

  std::size_t waitingTasks() const {
    return m_scheduler.summarize().m_waitingTasks;
  }
};

} // namespace

// A task ran a second time after its end had been acknowledged: its worker was
// given up, and reported the end while the next run was planned but not sent.
BOOST_FIXTURE_TEST_CASE(CompletedTaskWithPlannedRunIsNotStarted, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  // The other task of the step runs on, so the job does not end.
  m_scheduler.addJob(makeJob(Id, 2), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 2U);
  const StartOrder Lost = m_sentStarts["w1"].front();
  loseWorker("w1");
  addWorker("w3", {1000, 8000, 0});
  const Decisions Planned = m_scheduler.decide();
  reportDone(Lost);
  BOOST_TEST(m_scheduler.release(Planned, false).empty());
  BOOST_TEST(waitingTasks() == 0U);
  BOOST_TEST(scheduleOnce() == 0U);
}

// A start without an answer kept its task from starting again for 6 to 8 s:
// each repetition of the acknowledged stop moved the time after which a status
// poll has to begin.
BOOST_FIXTURE_TEST_CASE(RepeatedStopDoesNotDelayNextRun, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  const Decisions Next = m_scheduler.decide();
  const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  m_scheduler.onStart(Starts.front(), {OrderOutcome::Unknown, std::nullopt});
  // Not listed, so it is stopped.
  answerPoll("w1", {}, {});
  const auto Stop = [&] {
    const ImmediateOrders Orders = m_scheduler.control();
    for (const StopOrder &Each : Orders.m_stops)
      m_scheduler.onStop(Each, {OrderOutcome::Done, Milliseconds(1000)});
    return Orders.m_stops.size();
  };
  const auto First = m_scheduler.nextPoll("w1");
  const TimePoint FirstSentAt = m_clock.now();
  m_clock.advance(Milliseconds(10));
  BOOST_REQUIRE(Stop() == 1U);
  PollReply Empty;
  Empty.m_outcome = OrderOutcome::Done;
  Empty.m_snapshot.m_startedMs = 1;
  Empty.m_snapshot.m_clock = Milliseconds(1000);
  m_clock.advance(Milliseconds(1500));
  m_scheduler.onPoll(*First, FirstSentAt, Empty);
  BOOST_TEST(m_scheduler.summarize().m_runs == 1U);
  const auto Second = m_scheduler.nextPoll("w1");
  // Sent after the acknowledgement, it resolves the doubt and need not wait.
  BOOST_TEST(Second->m_maxWait.count() == 0);
  const TimePoint SecondSentAt = m_clock.now();
  m_clock.advance(Milliseconds(600));
  BOOST_REQUIRE(Stop() == 1U);
  m_clock.advance(Milliseconds(10));
  m_scheduler.onPoll(*Second, SecondSentAt, Empty);
  BOOST_TEST(m_scheduler.summarize().m_runs == 0U);
  BOOST_TEST(scheduleOnce() == 1U);
}

// A job failed although its task had completed: the only attempt that the queue
// allows completed on a worker that was given up, and a second run then failed.
BOOST_FIXTURE_TEST_CASE(FailureAfterLateSuccessDoesNotFailJob, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  Submission Job = makeJob(Id, 2);
  Job.m_policy.m_maxAttempts = 1;
  m_scheduler.addJob(Job, nullptr);
  BOOST_REQUIRE(scheduleOnce() == 2U);
  const StartOrder Lost = m_sentStarts["w1"].front();
  loseWorker("w1");
  addWorker("w3", {1000, 8000, 0});
  BOOST_REQUIRE(scheduleOnce() == 1U);
  reportDone(Lost);
  endRun("w3", m_sentStarts["w3"].front(), RunEnd::Failed);
  for (const auto &[Name, Progress] : m_scheduler.decide().m_progress)
    BOOST_TEST((Progress.m_state == JobState::InProgress));
}

// The same as the first for a gang, of which one end completes all members.
BOOST_FIXTURE_TEST_CASE(CompletedGangWithPlannedRunIsNotStarted, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  addWorker("w2", {1000, 8000, 0});
  addWorker("w3", {2000, 8000, 0});
  Submission Job = makeJob(Id, 2);
  Job.m_spec.m_steps[0].m_isGang = true;
  Job.m_spec.m_steps[0].m_maxPerWorker = 1;
  Job.m_spec.m_steps.push_back(makeJob(Id, 1).m_spec.m_steps[0]);
  m_scheduler.addJob(Job, nullptr);
  scheduleOnce();
  std::vector<StartOrder> Lost;
  for (const auto &[Name, Starts] : m_sentStarts)
    for (const StartOrder &Each : Starts)
      if (Each.m_task.m_step == 0)
        Lost.push_back(Each);
  BOOST_REQUIRE(Lost.size() == 2U);
  for (const StartOrder &Each : Lost)
    loseWorker(Each.m_worker);
  addWorker("w4", {1000, 8000, 0});
  addWorker("w5", {1000, 8000, 0});
  const Decisions Planned = m_scheduler.decide();
  reportDone(Lost.front());
  for (const StartOrder &Each : m_scheduler.release(Planned, false))
    BOOST_TEST(Each.m_task.m_step != 0U);
  BOOST_TEST(waitingTasks() == 0U);
}

// Guards against jobs that are shown as begun and are not: their planned starts
// were withdrawn, by this owner or by one that handed over, and they wait
// again.
BOOST_FIXTURE_TEST_CASE(JobWithoutRunsIsShownAsQueued, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 2), nullptr);
  const Decisions Planned = m_scheduler.decide();
  BOOST_REQUIRE(Planned.m_progress.size() == 1U);
  BOOST_TEST((Planned.m_progress[0].second.m_state == JobState::InProgress));
  BOOST_TEST(m_scheduler.release(Planned, true).empty());
  m_scheduler.setPlacementInputsCurrent(false);
  const Decisions Next = m_scheduler.decide();
  BOOST_REQUIRE(Next.m_progress.size() == 1U);
  BOOST_TEST((Next.m_progress[0].second.m_state == JobState::Queued));

  // A successor that finds the planned runs on no worker.
  Fixture Later;
  Later.addWorker("w1", {0, 0, 0});
  Later.m_scheduler.addJob(makeJob(Id, 2), &Planned.m_progress[0].second);
  Later.answerPoll("w1", {}, {});
  BOOST_TEST(Later.sendStops() == 2U);
  Later.answerPoll("w1", {}, {});
  const Decisions Taken = Later.m_scheduler.decide();
  BOOST_REQUIRE(Taken.m_progress.size() == 1U);
  BOOST_TEST((Taken.m_progress[0].second.m_state == JobState::Queued));
}

// An end is listed until it is acknowledged, and a copy of it may be listed by
// the worker's successor at the address. It counts once, for its own run.
BOOST_FIXTURE_TEST_CASE(EndIsCountedOnceForItsRun, Fixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  BOOST_REQUIRE(scheduleOnce() == 1U);
  const StartOrder First = m_sentStarts["w1"].front();
  endRun("w1", First, RunEnd::Failed);
  BOOST_REQUIRE(scheduleOnce() == 1U);
  const StartOrder Second = m_sentStarts["w1"].front();
  const ActiveRun Active{Second.m_task, Second.m_run, "", 50, 0};
  const EndedRun End{1, First.m_task, First.m_run, RunEnd::Failed, ""};
  // Listed again, as it is not acknowledged; by another worker, too.
  answerPoll("w1", {Active}, {End});
  addWorker("w2");
  answerPoll("w2", {}, {End});
  BOOST_TEST(m_scheduler.liveJobs() == 1U);
  BOOST_TEST(m_scheduler.summarize().m_runs == 1U);
  endRun("w1", Second, RunEnd::Done);
  BOOST_TEST(m_scheduler.liveJobs() == 0U);
}

} // namespace catkinseam
