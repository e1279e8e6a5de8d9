// The request core against a plain oracle: one decision for each request,
// slots never exceeded, nothing new to leaving workers, nothing dispatched that
// cannot make its deadline.
#define BOOST_TEST_MODULE request_core
#include "catkinseam/request/request_core.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

KindPolicy shortKind() { return {"short", true, false, 50ms, 1s}; }
KindPolicy longKind() { return {"long", true, true, 1500ms, 10s}; }
KindPolicy onceKind() { return {"once", false, false, 50ms, 1s}; }

/// A core that knows one ready entry, itself.
struct Bench {
  explicit Bench(const std::string &Way, RequestCore::Options Limits = {})
      : m_core(m_clock, makeSlotSharing(Way), Limits) {
    m_core.setPeers(1, {1}, {});
  }

  RequestSpec spec(const KindPolicy &Kind, Duration Deadline) {
    RequestSpec Spec;
    Spec.m_id = ++m_lastId;
    Spec.m_kind = Kind;
    Spec.m_deadline = m_clock.now() + Deadline;
    return Spec;
  }

  /// Arrives and returns the decision, if there is one at once.
  std::optional<Decision> arrive(const KindPolicy &Kind,
                                 Duration Deadline = 1s) {
    const std::vector<Decision> Made = m_core.arrive(spec(Kind, Deadline));
    return Made.empty() ? std::nullopt : std::optional(Made.front());
  }

  ManualClock m_clock;
  RequestCore m_core;
  RequestId m_lastId = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(RefusesAtOnceWithoutWorkers) {
  Bench Test("static");
  const std::optional<Decision> Made = Test.arrive(shortKind());
  BOOST_REQUIRE(Made.has_value());
  BOOST_TEST(!Made->m_isDispatched);
  BOOST_TEST((Made->m_reason == RefusalReason::NoWorker));
  BOOST_TEST((Made->m_retryAfter >= 1s));
}

BOOST_AUTO_TEST_CASE(QueuesOnlyWhatCanStartSoon) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 2}});
  BOOST_TEST(Test.arrive(shortKind())->m_isDispatched);
  BOOST_TEST(Test.arrive(shortKind())->m_isDispatched);
  BOOST_TEST(!Test.arrive(shortKind()).has_value());
  const std::optional<Decision> Third = Test.arrive(shortKind());
  BOOST_REQUIRE(Third.has_value());
  BOOST_TEST((Third->m_reason == RefusalReason::Overloaded));
  const std::vector<Decision> Next = Test.m_core.finish(1, CallEnd::Answered);
  BOOST_REQUIRE(Next.size() == 1U);
  BOOST_TEST(Next.front().m_id == 3U);
}

BOOST_AUTO_TEST_CASE(GivesUpAtTheLatestStartNotAtTheDeadline) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 1}});
  Test.arrive(shortKind());
  BOOST_TEST(!Test.arrive(shortKind(), 100ms).has_value());
  Test.m_clock.advance(51ms);
  const std::vector<Decision> Made = Test.m_core.tick();
  BOOST_REQUIRE(Made.size() == 1U);
  BOOST_TEST((Made.front().m_reason == RefusalReason::TooLate));
}

BOOST_AUTO_TEST_CASE(LongKindsLeaveSlotsToShortOnes) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 8}});
  for (int Index = 0; Index < 8; ++Index)
    Test.arrive(longKind(), 10s);
  BOOST_TEST(Test.m_core.upstreams().at("w1").m_longInFlight == 4U);
  for (int Index = 0; Index < 4; ++Index)
    BOOST_TEST(Test.arrive(shortKind())->m_isDispatched);
}

BOOST_AUTO_TEST_CASE(FailingWorkerIsEjectedAndTriedAgain) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 8}, {"w2", 8}});
  // w1 fails at once, which must not make it attractive.
  int OnFailing = 0;
  for (int Index = 0; Index < 15; ++Index) {
    const Decision Made = *Test.arrive(shortKind());
    OnFailing += Made.m_worker == "w1" ? 1 : 0;
    Test.m_clock.advance(Made.m_worker == "w1" ? 0ms : 50ms);
    Test.m_core.finish(Made.m_id, Made.m_worker == "w1" ? CallEnd::Failed
                                                        : CallEnd::Answered);
  }
  BOOST_TEST(OnFailing == 3);
  Test.m_clock.advance(1100ms);
  for (int Index = 0; Index < 40; ++Index) {
    const Decision Made = *Test.arrive(shortKind());
    Test.m_core.finish(Made.m_id, CallEnd::Answered);
  }
  BOOST_TEST(Test.m_core.upstreams().at("w1").m_failStreak == 0U);
}

BOOST_AUTO_TEST_CASE(EjectedWorkerIsNotTriedWithNonIdempotentRequests) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 8}});
  for (int Index = 0; Index < 3; ++Index)
    Test.m_core.finish(Test.arrive(shortKind())->m_id, CallEnd::Failed);
  Test.m_clock.advance(1100ms);
  BOOST_TEST(!Test.arrive(onceKind()).has_value());
  BOOST_TEST(Test.arrive(shortKind())->m_isDispatched);
}

BOOST_AUTO_TEST_CASE(RetriesStayInTheirBudget) {
  Bench Test("static");
  Test.m_core.setWorkers({{"w1", 100}});
  int Allowed = 0;
  for (int Index = 0; Index < 100; ++Index) {
    RequestSpec Spec = Test.spec(shortKind(), 1s);
    Spec.m_isRetry = true;
    const std::vector<Decision> Made = Test.m_core.arrive(Spec);
    Allowed += Made.front().m_isDispatched ? 1 : 0;
    Test.m_core.finish(Spec.m_id, CallEnd::Answered);
  }
  BOOST_TEST(Allowed == 10);
}

BOOST_AUTO_TEST_CASE(AbandonedCallStillHoldsItsSlot) {
  RequestCore::Options Limits;
  Bench Test("static", Limits);
  Test.m_core.setWorkers({{"w1", 1}});
  const Decision First = *Test.arrive(shortKind());
  Test.m_core.finish(First.m_id, CallEnd::Abandoned);
  BOOST_TEST(!Test.arrive(shortKind()).has_value());
  Test.m_clock.advance(51ms);
  BOOST_TEST(Test.m_core.tick().size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaticSharesAddUpToTheSlots) {
  for (const Seat Seats : {1U, 3U, 7U}) {
    std::vector<Seat> Ready;
    for (Seat Place = 1; Place <= Seats; ++Place)
      Ready.push_back(Place);
    std::map<std::string, std::uint32_t> Sum;
    for (const Seat Own : Ready) {
      const std::unique_ptr<SlotSharing> Way = makeSlotSharing("static");
      SharingView View{Own, Ready, {}, {}};
      for (int Index = 0; Index < 50; ++Index)
        View.m_slots["w" + std::to_string(Index)] = 8;
      Way->refresh(View);
      for (const auto &[Worker, Slots] : View.m_slots)
        Sum[Worker] += Way->limitOf(Worker, {});
    }
    for (const auto &[Worker, Slots] : Sum)
      BOOST_TEST(Slots == 8U);
  }
}

BOOST_AUTO_TEST_CASE(LentSlotIsNotUsedByItsLender) {
  ManualClock Clock;
  const std::unique_ptr<SlotSharing> Lender = makeSlotSharing("lending");
  const std::unique_ptr<SlotSharing> Borrower = makeSlotSharing("lending");
  Lender->refresh({1, {1, 2}, {{"w1", 8}}, {}});
  Borrower->refresh({2, {1, 2}, {{"w1", 8}}, {}});
  const SlotLoan Loan = Lender->lend({{"w1", 4}}, 3, Clock.now());
  Borrower->borrow(Loan, Clock.now());
  BOOST_TEST(Lender->limitOf("w1", Clock.now()) == 1U);
  BOOST_TEST(Borrower->limitOf("w1", Clock.now()) == 7U);
  Clock.advance(150ms);
  BOOST_TEST(Borrower->limitOf("w1", Clock.now()) == 4U);
  BOOST_TEST(Lender->limitOf("w1", Clock.now()) == 1U);
  Clock.advance(100ms);
  BOOST_TEST(Lender->limitOf("w1", Clock.now()) == 4U);
}

namespace {

/// What the oracle knows of a request that has arrived.
struct OracleRequest {
  RequestSpec m_spec;
  std::string m_worker;
  bool m_isDecided = false;
  bool m_isOver = false;
};

class Oracle {
public:
  void arrive(const RequestSpec &Spec) { m_requests[Spec.m_id].m_spec = Spec; }

  void check(const std::vector<Decision> &Made, TimePoint Now,
             const std::map<std::string, std::uint32_t> &Slots,
             const std::set<std::string> &Leaving) {
    for (const Decision &Each : Made) {
      RC_ASSERT(m_requests.count(Each.m_id) == 1U);
      OracleRequest &Known = m_requests[Each.m_id];
      RC_ASSERT(!Known.m_isDecided);
      Known.m_isDecided = true;
      Known.m_isOver = !Each.m_isDispatched;
      if (!Each.m_isDispatched) {
        RC_ASSERT(Each.m_retryAfter >= 1s);
        continue;
      }
      Known.m_worker = Each.m_worker;
      RC_ASSERT(Leaving.count(Each.m_worker) == 0U);
      RC_ASSERT(Now < Known.m_spec.m_deadline);
      RC_ASSERT(inFlight(Each.m_worker) <= Slots.at(Each.m_worker));
    }
  }

  /// A request that is dispatched and not over, or 0.
  RequestId running(std::size_t Which) const {
    std::vector<RequestId> Found;
    for (const auto &[Id, Known] : m_requests)
      if (Known.m_isDecided && !Known.m_isOver)
        Found.push_back(Id);
    return Found.empty() ? 0 : Found[Which % Found.size()];
  }

  void end(RequestId Id) { m_requests[Id].m_isOver = true; }

  /// Requests that wait although their deadline has passed.
  bool hasOverdue(TimePoint Now) const {
    for (const auto &[Id, Known] : m_requests)
      if (!Known.m_isDecided && Now > Known.m_spec.m_deadline)
        return true;
    return false;
  }

  std::size_t undecided() const {
    std::size_t Count = 0;
    for (const auto &[Id, Known] : m_requests)
      Count += Known.m_isDecided ? 0 : 1;
    return Count;
  }

private:
  std::uint32_t inFlight(const std::string &Worker) const {
    std::uint32_t Count = 0;
    for (const auto &[Id, Known] : m_requests)
      if (Known.m_isDecided && !Known.m_isOver && Known.m_worker == Worker)
        ++Count;
    return Count;
  }

  std::map<RequestId, OracleRequest> m_requests;
};

} // namespace

RC_BOOST_PROP(DecidesEveryRequestOnceWithinTheSlots, ()) {
  Bench Test(*rc::gen::element<std::string>("local", "static", "lending"));
  Oracle Plain;
  const std::map<std::string, std::uint32_t> Slots = {
      {"w1", 2}, {"w2", 1}, {"w3", 3}};
  std::set<std::string> Leaving;
  Test.m_core.setWorkers(Slots);
  const int Steps = *rc::gen::inRange(1, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    std::vector<Decision> Made;
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
    case 2: {
      const KindPolicy Kind =
          *rc::gen::element(shortKind(), longKind(), onceKind());
      RequestSpec Spec =
          Test.spec(Kind, Milliseconds(*rc::gen::inRange(1, 3000)));
      Spec.m_isRetry = *rc::gen::inRange(0, 5) == 0;
      Plain.arrive(Spec);
      Made = Test.m_core.arrive(Spec);
      break;
    }
    case 3:
    case 4:
      if (const RequestId Id =
              Plain.running(*rc::gen::arbitrary<std::uint8_t>())) {
        Plain.end(Id);
        Made = Test.m_core.finish(
            Id, *rc::gen::element(CallEnd::Answered, CallEnd::Answered,
                                  CallEnd::Failed, CallEnd::Abandoned,
                                  CallEnd::NotSent));
      }
      break;
    case 5:
      Test.m_clock.advance(Milliseconds(*rc::gen::inRange(0, 400)));
      break;
    case 6: {
      const std::string Worker =
          *rc::gen::element<std::string>("w1", "w2", "w3");
      if (!Leaving.erase(Worker))
        Leaving.insert(Worker);
      Test.m_core.setLeaving(Leaving);
      break;
    }
    case 7:
      Made = Test.m_core.tick();
      break;
    }
    Plain.check(Made, Test.m_clock.now(), Slots, Leaving);
    RC_ASSERT(Test.m_core.waiting() == Plain.undecided());
  }
  // Whatever happened, a tick after the last deadline leaves nothing waiting.
  Test.m_clock.advance(1h);
  Plain.check(Test.m_core.tick(), Test.m_clock.now(), Slots, Leaving);
  RC_ASSERT(!Plain.hasOverdue(Test.m_clock.now()));
  RC_ASSERT(Test.m_core.waiting() == 0U);
}
