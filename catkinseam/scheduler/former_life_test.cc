// What a worker's former incarnation has left behind: replies that arrive late,
// and orders without a reply that the next incarnation may still carry out.
#define BOOST_TEST_MODULE former_life
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

/// The longest lease that a worker grants, on a clock that is 2% slow.
constexpr Milliseconds LongestLease{6123};
/// Clocks of the former incarnation and of the next.
constexpr Milliseconds FormerClock{500000};
constexpr Milliseconds NextClock{100};

struct Fixture : SchedulerFixture {
  // A time of zero means that something has not happened.
  Fixture() { m_clock.advance(Milliseconds(1000)); }

  void answer(std::int64_t StartedMs, Milliseconds Clock) {
    const auto Order = m_scheduler.nextPoll("w1");
    BOOST_REQUIRE(Order.has_value());
    PollReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_snapshot.m_startedMs = StartedMs;
    Reply.m_snapshot.m_clock = Clock;
    m_scheduler.onPoll(*Order, m_clock.now(), Reply);
  }

  void addFormerIncarnation() {
    m_scheduler.updateWorker(registration("w1", {1000, 8000, 0}));
    answer(1, FormerClock);
  }

  void registerRestart() {
    WorkerRegistration Next = registration("w1", {1000, 8000, 0});
    Next.m_startedMs = 2;
    m_scheduler.updateWorker(Next);
  }

  void missPoll() {
    const auto Order = m_scheduler.nextPoll("w1");
    BOOST_REQUIRE(Order.has_value());
    m_scheduler.onPoll(*Order, m_clock.now(), PollReply{});
  }

  StartOrder startTask(const std::string &Job) {
    m_scheduler.addJob(makeJob(Job, 1), nullptr);
    const Decisions Next = m_scheduler.decide();
    const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
    BOOST_REQUIRE(Starts.size() == 1U);
    BOOST_REQUIRE(Starts[0].m_worker == "w1");
    return Starts.front();
  }

  /// Whether the task starts on another worker after this time.
  bool startsElsewhereAfter(Milliseconds Time) {
    m_clock.advance(Time);
    m_scheduler.control();
    answerPoll("w2", {}, {});
    return scheduleOnce() == 1U;
  }
};

} // namespace

// Guards against leases longer than announced: the clock in a late reply of the
// former incarnation was taken for the next one's, far ahead of it.
BOOST_FIXTURE_TEST_CASE(ClockOfFormerIncarnationIsNotTaken, Fixture) {
  addFormerIncarnation();
  const StartOrder Sent = startTask(Id);
  registerRestart();
  answer(2, NextClock);
  m_scheduler.onStart(Sent, {OrderOutcome::Done, FormerClock});
  const auto Order = m_scheduler.nextPoll("w1");
  BOOST_REQUIRE(Order->m_expires.has_value());
  BOOST_TEST(Order->m_expires->count() < FormerClock.count());
}

// The same for the reply to a stop, and for a stop that the former incarnation
// acknowledged: it does not bar the start from the next one.
BOOST_FIXTURE_TEST_CASE(StopReplyOfFormerIncarnationDoesNotCount, Fixture) {
  addFormerIncarnation();
  const StartOrder Sent = startTask(Id);
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  m_clock.advance(Milliseconds(10));
  answer(1, FormerClock);
  const ImmediateOrders Orders = m_scheduler.control();
  BOOST_REQUIRE(Orders.m_stops.size() == 1U);
  registerRestart();
  answer(2, NextClock);
  addWorker("w2", {1000, 8000, 0});
  m_clock.advance(Milliseconds(10));
  m_scheduler.onStop(Orders.m_stops[0], {OrderOutcome::Done, FormerClock});
  m_clock.advance(Milliseconds(10));
  answer(2, NextClock);
  BOOST_TEST(!startsElsewhereAfter(Milliseconds(10)));
}

// Guards against a task that runs twice: a status poll without a reply was
// carried out by the next incarnation before it answered the owner, and its
// leases were the longest that it grants.
BOOST_FIXTURE_TEST_CASE(UnansweredPollBeforeTheRestartCounts, Fixture) {
  addFormerIncarnation();
  BOOST_REQUIRE(m_scheduler.nextPoll("w1")->m_expires.has_value());
  missPoll();
  m_clock.advance(Milliseconds(100));
  registerRestart();
  answer(2, NextClock);
  answer(2, NextClock);
  const StartOrder Sent = startTask(Id);
  m_scheduler.onStart(Sent, {OrderOutcome::Done, NextClock});
  addWorker("w2", {1000, 8000, 0});
  missPoll();
  BOOST_TEST(!startsElsewhereAfter(LongestLease));
}

} // namespace catkinseam
