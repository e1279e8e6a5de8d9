// Workers that restart under the id that they had. Orders name only the id, so
// one that was sent to the earlier incarnation may reach the next.
#define BOOST_TEST_MODULE worker_restart
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

struct Fixture : SchedulerFixture {
  /// Lets the registry show the worker's next incarnation.
  void registerRestart(const std::string &Name) {
    WorkerRegistration Next = registration(Name, {1000, 8000, 0});
    Next.m_startedMs = 2;
    m_scheduler.updateWorker(Next);
  }

  /// Lets the next incarnation answer a status poll.
  void answerAfterRestart(const std::string &Name,
                          std::vector<ActiveRun> Active) {
    const auto Order = m_scheduler.nextPoll(Name);
    BOOST_REQUIRE(Order.has_value());
    PollReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_snapshot.m_startedMs = 2;
    Reply.m_snapshot.m_clock = Milliseconds(100);
    Reply.m_snapshot.m_active = std::move(Active);
    m_scheduler.onPoll(*Order, m_clock.now(), Reply);
  }

  /// Starts a task on "w1", without a reply to the start.
  StartOrder startWithoutReply() {
    addWorker("w1", {1000, 8000, 0});
    m_scheduler.addJob(makeJob(Id, 1), nullptr);
    const Decisions Next = m_scheduler.decide();
    const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
    BOOST_REQUIRE(Starts.size() == 1U);
    addWorker("w2", {1000, 8000, 0});
    return Starts.front();
  }

  /// Sends the stops that are due; the worker carries them out.
  std::size_t sendStops() {
    const ImmediateOrders Orders = m_scheduler.control();
    for (const StopOrder &Each : Orders.m_stops)
      m_scheduler.onStop(Each, {OrderOutcome::Done, Milliseconds(100)});
    return Orders.m_stops.size();
  }

  static JobProgress oneRunOn(const std::string &Worker) {
    JobProgress Progress;
    Progress.m_state = JobState::InProgress;
    TaskRecord Task;
    Task.m_lastRun = 1;
    Task.m_runs.push_back({1, Worker, 1});
    Progress.m_occurrences.push_back({0, {{{Task}}}});
    return Progress;
  }
};

} // namespace

// A task ran on two workers: the worker restarted while the start was on its
// way, which reached the next incarnation, and the task was started elsewhere.
BOOST_FIXTURE_TEST_CASE(StartInFlightMayReachNextIncarnation, Fixture) {
  startWithoutReply();
  registerRestart("w1");
  BOOST_TEST(scheduleOnce() == 0U);
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 0U);
  // Once the next incarnation has acknowledged a stop, it rejects the start.
  BOOST_TEST(sendStops() == 1U);
  m_clock.advance(Milliseconds(10));
  answerAfterRestart("w1", {});
  // The task is a suspect, which starts where a worker was just heard from.
  answerPoll("w2", {}, {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// The same for a start whose reply was lost.
BOOST_FIXTURE_TEST_CASE(StartInDoubtMayReachNextIncarnation, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 0U);
  BOOST_TEST(sendStops() == 1U);
  m_clock.advance(Milliseconds(10));
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// The same for a start that was confirmed: the reply does not tell by which
// incarnation.
BOOST_FIXTURE_TEST_CASE(NextIncarnationMayHaveConfirmedStart, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {OrderOutcome::Done, Milliseconds(90)});
  answerAfterRestart("w1", {{Sent.m_task, 1, "", 10, 0}});
  BOOST_TEST(scheduleOnce() == 0U);
}

// A stop that the earlier incarnation acknowledged does not bind the next one.
BOOST_FIXTURE_TEST_CASE(StopIsRepeatedToNextIncarnation, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  m_clock.advance(Milliseconds(10));
  answerPoll("w1", {}, {});
  BOOST_TEST(sendStops() == 1U);
  m_clock.advance(Milliseconds(10));
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 0U);
  m_clock.advance(Milliseconds(1000));
  BOOST_TEST(sendStops() == 1U);
}

// A run that the earlier incarnation listed ended with it; its task need not
// wait.
BOOST_FIXTURE_TEST_CASE(ListedRunEndsWithItsIncarnation, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {OrderOutcome::Done, Milliseconds(1000)});
  answerPoll("w1", {{Sent.m_task, 1, "", 10, 0}}, {});
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// Across a change of owner: the earlier owner's start may have reached the next
// incarnation, until that has seen the new owner's token.
BOOST_FIXTURE_TEST_CASE(RecordedRunMayBeInNextIncarnation, Fixture) {
  registerRestart("w1");
  addWorker("w2", {1000, 8000, 0});
  const JobProgress Recorded = oneRunOn("w1");
  m_scheduler.addJob(makeJob(Id, 1), &Recorded);
  BOOST_TEST(scheduleOnce() == 0U);
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// The new incarnation's own ends begin at 1, so the number that the earlier one
// had reached must not be acknowledged to it.
BOOST_FIXTURE_TEST_CASE(EndsOfEarlierIncarnationAreNotAcknowledged, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  scheduleOnce();
  endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
  m_scheduler.release(m_scheduler.decide(), false);
  const auto Order = m_scheduler.nextPoll("w1");
  BOOST_TEST(Order->m_acknowledgedEnd == 1U);
  m_scheduler.onPoll(*Order, m_clock.now(), PollReply{});
  BOOST_TEST(m_scheduler.nextPoll("w1")->m_acknowledgedEnd == 0U);
}

} // namespace catkinseam
