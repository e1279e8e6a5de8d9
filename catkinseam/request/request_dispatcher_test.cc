// RequestDispatcher against a reference model: every request is decided exactly
// once, slot limits are never exceeded, leaving workers get no new requests,
// and no request is dispatched after its deadline.
#define BOOST_TEST_MODULE request_dispatcher
#include "catkinseam/request/request_dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

KindPolicy shortKind() { return {"short", true, false, 50ms, 1s}; }
KindPolicy longKind() { return {"long", true, true, 1500ms, 10s}; }
KindPolicy onceKind() { return {"once", false, false, 50ms, 1s}; }

/// A RequestDispatcher whose entry is the only ready one, with a manual clock.
struct CoreFixture {
  explicit CoreFixture(const std::string &Strategy,
                       RequestDispatcher::Options Opts = {})
      : m_dispatcher(m_clock, makeSlotSharing(Strategy), Opts) {
    m_dispatcher.setPeers(1, {1}, {});
  }

  RequestSpec spec(const KindPolicy &Kind, Duration Deadline) {
    RequestSpec Spec;
    Spec.m_id = ++m_lastId;
    Spec.m_kind = Kind;
    Spec.m_deadline = m_clock.now() + Deadline;
    return Spec;
  }

  /// Submits a request and returns the immediate decision, if any.
  std::optional<Decision> submit(const KindPolicy &Kind,
                                 Duration Deadline = 1s) {
    const std::vector<Decision> Decisions =
        m_dispatcher.submit(spec(Kind, Deadline));
    return Decisions.empty() ? std::nullopt : std::optional(Decisions.front());
  }

  ManualClock m_clock;
  RequestDispatcher m_dispatcher;
  RequestId m_lastId = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(RefusesAtOnceWithoutWorkers) {
  CoreFixture Fixture("static");
  const std::optional<Decision> Outcome = Fixture.submit(shortKind());
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(!Outcome->m_isDispatched);
  BOOST_TEST((Outcome->m_reason == RefusalReason::NoWorker));
  BOOST_TEST((Outcome->m_retryAfter >= 1s));
}

BOOST_AUTO_TEST_CASE(QueuesOnlyWhatCanStartSoon) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 2}});
  BOOST_TEST(Fixture.submit(shortKind())->m_isDispatched);
  BOOST_TEST(Fixture.submit(shortKind())->m_isDispatched);
  BOOST_TEST(!Fixture.submit(shortKind()).has_value());
  const std::optional<Decision> Third = Fixture.submit(shortKind());
  BOOST_REQUIRE(Third.has_value());
  BOOST_TEST((Third->m_reason == RefusalReason::Overloaded));
  const std::vector<Decision> Next =
      Fixture.m_dispatcher.complete(1, CallResultKind::Answered);
  BOOST_REQUIRE(Next.size() == 1U);
  BOOST_TEST(Next.front().m_id == 3U);
}

// A process that was held up for some milliseconds finds the requests of that
// time at once. They could wait for 10 s; refusing them for a wait of 9 ms, as
// process_request_faults saw once, serves nobody.
BOOST_AUTO_TEST_CASE(QueuesABurstOfQuickRequests) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 8}, {"w2", 8}});
  const KindPolicy Quick{"quick", true, false, 10ms, 10s};
  int Refused = 0;
  for (int Index = 0; Index < 36; ++Index) {
    const std::optional<Decision> Outcome = Fixture.submit(Quick, 10s);
    Refused += Outcome && !Outcome->m_isDispatched;
  }
  BOOST_TEST(Refused == 0);
}

// A refusal carries what it was based on, for the log.
BOOST_AUTO_TEST_CASE(RefusalNamesItsInputs) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 2}});
  for (int Index = 0; Index < 3; ++Index)
    Fixture.submit(shortKind());
  const std::optional<Decision> Outcome = Fixture.submit(shortKind());
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST(Outcome->m_inputs.m_waitingRequests == 1U);
  BOOST_TEST(Outcome->m_inputs.m_usableSlots == 2U);
  BOOST_TEST((Outcome->m_inputs.m_estimatedWait == 50ms));
  BOOST_TEST((Outcome->m_inputs.m_maxWait == 37500us));
  BOOST_TEST((Outcome->m_inputs.m_slack == 950ms));
}

BOOST_AUTO_TEST_CASE(RefusesAtTheLatestStartNotAtTheDeadline) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 1}});
  Fixture.submit(shortKind());
  BOOST_TEST(!Fixture.submit(shortKind(), 100ms).has_value());
  Fixture.m_clock.advance(51ms);
  const std::vector<Decision> Decisions = Fixture.m_dispatcher.tick();
  BOOST_REQUIRE(Decisions.size() == 1U);
  BOOST_TEST((Decisions.front().m_reason == RefusalReason::TooLate));
}

BOOST_AUTO_TEST_CASE(LongKindsLeaveSlotsForShortKinds) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 8}});
  for (int Index = 0; Index < 8; ++Index)
    Fixture.submit(longKind(), 10s);
  BOOST_TEST(Fixture.m_dispatcher.upstreams().at("w1").m_longInFlight == 4U);
  for (int Index = 0; Index < 4; ++Index)
    BOOST_TEST(Fixture.submit(shortKind())->m_isDispatched);
}

BOOST_AUTO_TEST_CASE(FailingWorkerIsEjectedAndProbed) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 8}, {"w2", 8}});
  // w1 fails immediately. The low latency and load of failed requests must not
  // attract more requests.
  int SentToFailing = 0;
  for (int Index = 0; Index < 15; ++Index) {
    const Decision Outcome = *Fixture.submit(shortKind());
    SentToFailing += Outcome.m_worker == "w1" ? 1 : 0;
    Fixture.m_clock.advance(Outcome.m_worker == "w1" ? 0ms : 50ms);
    Fixture.m_dispatcher.complete(Outcome.m_id, Outcome.m_worker == "w1"
                                                    ? CallResultKind::Failed
                                                    : CallResultKind::Answered);
  }
  BOOST_TEST(SentToFailing == 3);
  Fixture.m_clock.advance(1100ms);
  for (int Index = 0; Index < 40; ++Index) {
    const Decision Outcome = *Fixture.submit(shortKind());
    Fixture.m_dispatcher.complete(Outcome.m_id, CallResultKind::Answered);
  }
  BOOST_TEST(Fixture.m_dispatcher.upstreams().at("w1").m_consecutiveFailures ==
             0U);
}

BOOST_AUTO_TEST_CASE(EjectedWorkerIsNotProbedWithNonIdempotentRequests) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 8}});
  for (int Index = 0; Index < 3; ++Index)
    Fixture.m_dispatcher.complete(Fixture.submit(shortKind())->m_id,
                                  CallResultKind::Failed);
  Fixture.m_clock.advance(1100ms);
  BOOST_TEST(!Fixture.submit(onceKind()).has_value());
  BOOST_TEST(Fixture.submit(shortKind())->m_isDispatched);
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheirBudget) {
  CoreFixture Fixture("static");
  Fixture.m_dispatcher.setWorkers({{"w1", 100}});
  int Allowed = 0;
  for (int Index = 0; Index < 100; ++Index) {
    RequestSpec Spec = Fixture.spec(shortKind(), 1s);
    Spec.m_isRetry = true;
    const std::vector<Decision> Decisions = Fixture.m_dispatcher.submit(Spec);
    Allowed += Decisions.front().m_isDispatched ? 1 : 0;
    Fixture.m_dispatcher.complete(Spec.m_id, CallResultKind::Answered);
  }
  BOOST_TEST(Allowed == 10);
}

BOOST_AUTO_TEST_CASE(AbandonedCallStillHoldsItsSlot) {
  RequestDispatcher::Options Opts;
  CoreFixture Fixture("static", Opts);
  Fixture.m_dispatcher.setWorkers({{"w1", 1}});
  const Decision First = *Fixture.submit(shortKind());
  Fixture.m_dispatcher.complete(First.m_id, CallResultKind::Abandoned);
  BOOST_TEST(!Fixture.submit(shortKind()).has_value());
  Fixture.m_clock.advance(51ms);
  BOOST_TEST(Fixture.m_dispatcher.tick().size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaticSharesAddUpToTheSlots) {
  for (const Seat Seats : {1U, 3U, 7U}) {
    std::vector<Seat> Ready;
    for (Seat SeatNumber = 1; SeatNumber <= Seats; ++SeatNumber)
      Ready.push_back(SeatNumber);
    std::map<std::string, std::uint32_t> Sum;
    for (const Seat Own : Ready) {
      const std::unique_ptr<SlotSharing> Strategy = makeSlotSharing("static");
      SharingView View{Own, Ready, {}, {}};
      for (int Index = 0; Index < 50; ++Index)
        View.m_slots["w" + std::to_string(Index)] = 8;
      Strategy->refresh(View);
      for (const auto &[Worker, Slots] : View.m_slots)
        Sum[Worker] += Strategy->limitFor(Worker, {});
    }
    for (const auto &[Worker, Slots] : Sum)
      BOOST_TEST(Slots == 8U);
  }
}

BOOST_AUTO_TEST_CASE(LentSlotIsNotUsedByTheLender) {
  ManualClock Clock;
  const std::unique_ptr<SlotSharing> Lender = makeSlotSharing("lending");
  const std::unique_ptr<SlotSharing> Borrower = makeSlotSharing("lending");
  Lender->refresh({1, {1, 2}, {{"w1", 8}}, {}});
  Borrower->refresh({2, {1, 2}, {{"w1", 8}}, {}});
  const SlotLoan Loan = Lender->lend({{"w1", 4}}, 3, Clock.now());
  Borrower->borrow(Loan, Clock.now());
  BOOST_TEST(Lender->limitFor("w1", Clock.now()) == 1U);
  BOOST_TEST(Borrower->limitFor("w1", Clock.now()) == 7U);
  Clock.advance(150ms);
  BOOST_TEST(Borrower->limitFor("w1", Clock.now()) == 4U);
  BOOST_TEST(Lender->limitFor("w1", Clock.now()) == 1U);
  Clock.advance(100ms);
  BOOST_TEST(Lender->limitFor("w1", Clock.now()) == 4U);
}

namespace {

/// State of one request in the reference model.
struct ModelRequest {
  RequestSpec m_spec;
  std::string m_worker;
  bool m_isDecided = false;
  bool m_isFinished = false;
};

/// Checks decisions against the invariants named at the head of this file.
class ReferenceModel {
public:
  void submit(const RequestSpec &Spec) { m_requests[Spec.m_id].m_spec = Spec; }

  void check(const std::vector<Decision> &Decisions, TimePoint Now,
             const std::map<std::string, std::uint32_t> &Slots,
             const std::set<std::string> &Leaving) {
    for (const Decision &Decided : Decisions) {
      RC_ASSERT(m_requests.count(Decided.m_id) == 1U);
      ModelRequest &Request = m_requests[Decided.m_id];
      RC_ASSERT(!Request.m_isDecided);
      Request.m_isDecided = true;
      Request.m_isFinished = !Decided.m_isDispatched;
      if (!Decided.m_isDispatched) {
        RC_ASSERT(Decided.m_retryAfter >= 1s);
        continue;
      }
      Request.m_worker = Decided.m_worker;
      RC_ASSERT(Leaving.count(Decided.m_worker) == 0U);
      RC_ASSERT(Now < Request.m_spec.m_deadline);
      RC_ASSERT(inFlight(Decided.m_worker) <= Slots.at(Decided.m_worker));
    }
  }

  /// Returns a dispatched request that has not ended, or 0 if there is none.
  RequestId running(std::size_t Index) const {
    std::vector<RequestId> Found;
    for (const auto &[Id, Request] : m_requests)
      if (Request.m_isDecided && !Request.m_isFinished)
        Found.push_back(Id);
    return Found.empty() ? 0 : Found[Index % Found.size()];
  }

  void end(RequestId Id) { m_requests[Id].m_isFinished = true; }

  /// Returns whether a request is still waiting after its deadline.
  bool hasOverdue(TimePoint Now) const {
    for (const auto &[Id, Request] : m_requests)
      if (!Request.m_isDecided && Now > Request.m_spec.m_deadline)
        return true;
    return false;
  }

  std::size_t undecided() const {
    std::size_t Count = 0;
    for (const auto &[Id, Request] : m_requests)
      Count += Request.m_isDecided ? 0 : 1;
    return Count;
  }

private:
  std::uint32_t inFlight(const std::string &Worker) const {
    std::uint32_t Count = 0;
    for (const auto &[Id, Request] : m_requests)
      if (Request.m_isDecided && !Request.m_isFinished &&
          Request.m_worker == Worker)
        ++Count;
    return Count;
  }

  std::map<RequestId, ModelRequest> m_requests;
};

} // namespace

RC_BOOST_PROP(DecidesEveryRequestOnceWithinTheSlots, ()) {
  CoreFixture Fixture(
      *rc::gen::element<std::string>("local", "static", "lending"));
  ReferenceModel Model;
  const std::map<std::string, std::uint32_t> Slots = {
      {"w1", 2}, {"w2", 1}, {"w3", 3}};
  std::set<std::string> Leaving;
  Fixture.m_dispatcher.setWorkers(Slots);
  const int Steps = *rc::gen::inRange(1, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    std::vector<Decision> Decisions;
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
    case 2: {
      const KindPolicy Kind =
          *rc::gen::element(shortKind(), longKind(), onceKind());
      RequestSpec Spec =
          Fixture.spec(Kind, Milliseconds(*rc::gen::inRange(1, 3000)));
      Spec.m_isRetry = *rc::gen::inRange(0, 5) == 0;
      Model.submit(Spec);
      Decisions = Fixture.m_dispatcher.submit(Spec);
      break;
    }
    case 3:
    case 4:
      if (const RequestId Id =
              Model.running(*rc::gen::arbitrary<std::uint8_t>())) {
        Model.end(Id);
        Decisions = Fixture.m_dispatcher.complete(
            Id, *rc::gen::element(
                    CallResultKind::Answered, CallResultKind::Answered,
                    CallResultKind::Failed, CallResultKind::Abandoned,
                    CallResultKind::NotSent));
      }
      break;
    case 5:
      Fixture.m_clock.advance(Milliseconds(*rc::gen::inRange(0, 400)));
      break;
    case 6: {
      const std::string Worker =
          *rc::gen::element<std::string>("w1", "w2", "w3");
      if (!Leaving.erase(Worker))
        Leaving.insert(Worker);
      Fixture.m_dispatcher.setLeaving(Leaving);
      break;
    }
    case 7:
      Decisions = Fixture.m_dispatcher.tick();
      break;
    }
    Model.check(Decisions, Fixture.m_clock.now(), Slots, Leaving);
    RC_ASSERT(Fixture.m_dispatcher.waitingRequests() == Model.undecided());
  }
  // In any state, a tick after the last deadline leaves no request waiting.
  Fixture.m_clock.advance(1h);
  Model.check(Fixture.m_dispatcher.tick(), Fixture.m_clock.now(), Slots,
              Leaving);
  RC_ASSERT(!Model.hasOverdue(Fixture.m_clock.now()));
  RC_ASSERT(Fixture.m_dispatcher.waitingRequests() == 0U);
}
