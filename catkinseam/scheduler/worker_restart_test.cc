// Workers that restart under the id that they had. Orders name only the id, so
// one that was sent to the earlier incarnation may reach the next.
#define BOOST_TEST_MODULE worker_restart
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

/// The longest lease that a worker grants, on a clock that is 2% slow.
constexpr Milliseconds LongestLease{6123};
/// How long after it was sent an order without a reply may arrive.
constexpr Milliseconds MaxOrderDelay{12000};
/// By when the task must be placed again, after the last order has arrived.
constexpr Milliseconds LongestWait{6600};

struct Fixture : SchedulerFixture {
  // A time of zero means that something has not happened.
  Fixture() { m_clock.advance(Milliseconds(1000)); }

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

  /// The worker does not answer a status poll.
  void missPoll(const std::string &Name) {
    const auto Order = m_scheduler.nextPoll(Name);
    BOOST_REQUIRE(Order.has_value());
    m_scheduler.onPoll(*Order, m_clock.now(), PollReply{});
  }

  /// Takes a task over that was started on "w1", which does not answer, and is
  /// registered as started at `StartedMs`. `IsListed`: the incarnation to which
  /// it was sent had listed the run.
  void takeOver(const EarlierLeases &Earlier, std::int64_t StartedMs,
                bool IsListed) {
    m_scheduler.setEarlierLeases(Earlier);
    WorkerRegistration Lost = registration("w1", {1000, 8000, 0});
    Lost.m_startedMs = StartedMs;
    m_scheduler.updateWorker(Lost);
    addWorker("w2", {1000, 8000, 0});
    JobProgress Recorded = oneRunOn("w1");
    Recorded.m_occurrences[0].m_steps[0].m_tasks[0].m_areRunsListed = IsListed;
    m_scheduler.addJob(makeJob(Id, 1), &Recorded);
    m_scheduler.onRunsRestored();
    missPoll("w1");
  }

  /// Whether the task starts on another worker after this time.
  bool startsAfter(Milliseconds Time) {
    m_clock.advance(Time);
    m_scheduler.control();
    answerPoll("w2", {}, {});
    return scheduleOnce() == 1U;
  }

  TaskRecord storedTask() {
    const Decisions Next = m_scheduler.decide();
    BOOST_REQUIRE(Next.m_progress.size() == 1U);
    return Next.m_progress[0]
        .second.m_occurrences.at(0)
        .m_steps.at(0)
        .m_tasks.at(0);
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
// incarnation, or may still reach it, as not every worker checks tokens. It is
// barred by a stop.
BOOST_FIXTURE_TEST_CASE(RecordedRunMayBeInNextIncarnation, Fixture) {
  registerRestart("w1");
  addWorker("w2", {1000, 8000, 0});
  const JobProgress Recorded = oneRunOn("w1");
  m_scheduler.addJob(makeJob(Id, 1), &Recorded);
  BOOST_TEST(scheduleOnce() == 0U);
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 0U);
  BOOST_TEST(sendStops() == 1U);
  answerAfterRestart("w1", {});
  BOOST_TEST(scheduleOnce() == 1U);
}

// Guards against a task that runs twice after a takeover: the start had reached
// the worker's next incarnation, which granted the longest lease that it grants
// at all, and the successor waited for what the last owner had announced.
BOOST_AUTO_TEST_CASE(SuccessorWaitsForMisdirectedStart) {
  for (const bool IsListed : {false, true}) {
    Fixture Each;
    Each.takeOver({.m_end = Each.m_clock.now() + Milliseconds(1000),
                   .m_extensions = {},
                   .m_silent = {}},
                  2, IsListed);
    BOOST_TEST_CONTEXT("listed " << IsListed) {
      BOOST_TEST(!Each.startsAfter(Milliseconds(900)));
      // A run that the former incarnation had listed ended with it.
      BOOST_TEST(Each.startsAfter(Milliseconds(150)) == IsListed);
      if (IsListed)
        continue;
      BOOST_TEST(
          !Each.startsAfter(MaxOrderDelay + LongestLease - Milliseconds(1150)));
      BOOST_TEST(Each.startsAfter(LongestWait - LongestLease));
    }
  }
}

// The same where the successor has not read the worker's registration, but the
// last owner had named the worker in its record.
BOOST_FIXTURE_TEST_CASE(SuccessorWaitsForNamedWorker, Fixture) {
  takeOver({.m_end = m_clock.now() + Milliseconds(1000),
            .m_extensions = {},
            .m_silent = {},
            .m_longer = {{"w1", m_clock.now() + Milliseconds(4000)}}},
           1, false);
  BOOST_TEST(!startsAfter(Milliseconds(3900)));
  BOOST_TEST(startsAfter(Milliseconds(150)));
}

// Guards against the same without a takeover: the start was still under way
// when the restart was noticed.
BOOST_FIXTURE_TEST_CASE(OwnerWaitsForTheLastOrderToTheFormerIncarnation,
                        Fixture) {
  const StartOrder Sent = startWithoutReply();
  registerRestart("w1");
  missPoll("w1");
  m_clock.advance(Milliseconds(900));
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  BOOST_TEST(!startsAfter(MaxOrderDelay + LongestLease));
  BOOST_TEST(startsAfter(LongestWait - LongestLease));
}

// The next incarnation rejects late orders once it has seen the token that
// follows; what had arrived by then holds the longest lease.
BOOST_FIXTURE_TEST_CASE(NextIncarnationRejectsLateOrders, Fixture) {
  const StartOrder Sent = startWithoutReply();
  const std::uint64_t Token = m_scheduler.fencingToken("w1");
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  registerRestart("w1");
  BOOST_TEST(m_scheduler.fencingToken("w1") == Token + 1);
  BOOST_TEST(m_scheduler.fencingToken("w2") == Token);
  BOOST_TEST(m_scheduler.nextPoll("w1")->m_fencingToken == Token + 1);
  answerAfterRestart("w1", {{Sent.m_task, 1, "", 10, 0}});
  missPoll("w1");
  BOOST_TEST(!startsAfter(LongestLease));
  BOOST_TEST(startsAfter(LongestWait - LongestLease));
}

// A reply to a poll with an earlier token says nothing about late orders.
BOOST_FIXTURE_TEST_CASE(PollWithEarlierTokenBarsNoLateOrder, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {OrderOutcome::Unknown, std::nullopt});
  answerAfterRestart("w1", {{Sent.m_task, 1, "", 10, 0}});
  missPoll("w1");
  BOOST_TEST(!startsAfter(MaxOrderDelay + LongestLease));
  BOOST_TEST(startsAfter(LongestWait - LongestLease));
}

// Tokens rise with each restart and stay below those of the next owner.
BOOST_FIXTURE_TEST_CASE(TokensStayBelowTheNextEpoch, Fixture) {
  addWorker("w1", {1000, 8000, 0});
  for (std::int64_t StartedMs = 2; StartedMs < 1500; ++StartedMs) {
    WorkerRegistration Next = registration("w1", {1000, 8000, 0});
    Next.m_startedMs = StartedMs;
    m_scheduler.updateWorker(Next);
  }
  BOOST_TEST(m_scheduler.fencingToken("w1") == TokensPerOwner - 1);
  BOOST_TEST(nextEpoch(1) == TokensPerOwner + 1);
}

// Such a worker is named in the lease record while its leases may exceed what
// the record announces.
BOOST_FIXTURE_TEST_CASE(MisdirectedLeasesAreAnnounced, Fixture) {
  startWithoutReply();
  BOOST_TEST(m_scheduler.announceLeases().m_longer.empty());
  registerRestart("w1");
  const LeaseRecord Record = m_scheduler.announceLeases();
  BOOST_REQUIRE(Record.m_longer.size() == 1U);
  BOOST_TEST(Record.m_longer[0].m_worker == "w1");
  BOOST_TEST(Record.m_longer[0].m_remaining.count() >=
             (MaxOrderDelay + LongestLease).count());
  m_clock.advance(MaxOrderDelay + Milliseconds(2000));
  BOOST_TEST(m_scheduler.announceLeases().m_longer.empty());
}

// A successor can tell that a run may be in a later incarnation than the one to
// which it was sent.
BOOST_FIXTURE_TEST_CASE(RecordNamesTheIncarnationOfTheRun, Fixture) {
  const StartOrder Sent = startWithoutReply();
  registerRestart("w1");
  TaskRecord Stored = storedTask();
  BOOST_TEST(Stored.m_runs.at(0).m_workerStartedMs == 1);
  BOOST_TEST(!Stored.m_areRunsListed);
  // While it may have the longest lease, the record stays as it is.
  answerAfterRestart("w1", {{Sent.m_task, 1, "", 10, 0}});
  BOOST_TEST(storedTask().m_runs.at(0).m_workerStartedMs == 1);
  m_clock.advance(LongestWait);
  answerAfterRestart("w1", {{Sent.m_task, 1, "", 20, 0}});
  Stored = storedTask();
  BOOST_TEST(Stored.m_runs.at(0).m_workerStartedMs == 2);
  BOOST_TEST(Stored.m_areRunsListed);
}

// A start that was kept from the next incarnation need not be waited for.
BOOST_FIXTURE_TEST_CASE(StartKeptFromNextIncarnationIsRepeated, Fixture) {
  const StartOrder Sent = startWithoutReply();
  m_scheduler.onStart(Sent, {.m_outcome = OrderOutcome::OtherIncarnation,
                             .m_clock = std::nullopt,
                             .m_workerStartedMs = 2});
  BOOST_TEST(m_scheduler.findWorker("w1")->m_registration.m_startedMs == 2);
  BOOST_TEST(scheduleOnce() == 1U);
}

// Orders whose effect depends on the incarnation name it.
BOOST_FIXTURE_TEST_CASE(OrdersNameTheirIncarnation, Fixture) {
  BOOST_TEST(startWithoutReply().m_workerStartedMs == 1);
  const auto Poll = m_scheduler.nextPoll("w1");
  BOOST_TEST(Poll->m_expires.has_value());
  BOOST_TEST(Poll->m_workerStartedMs == 1);
  missPoll("w1");
  const auto Next = m_scheduler.nextPoll("w1");
  BOOST_TEST(!Next->m_expires.has_value());
  BOOST_TEST(Next->m_workerStartedMs == 0);
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
