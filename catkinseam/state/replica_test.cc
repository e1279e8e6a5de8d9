// Writers and replicas over a log that loses answers, delays writes and lets
// records expire.
#define BOOST_TEST_MODULE replica
#include "catkinseam/state/replica.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/state/testing/fake_log.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace catkinseam::testing;
using namespace std::chrono_literals;

namespace {

/// What a submitter was told of its patch.
enum class Told { Nothing, Refused, Accepted, Stale, Unknown };

struct Node {
  Node(const Clock &Time, const std::string &BootId)
      : m_writer(Time, BootId, {}), m_replica(m_writer) {}

  LogWriter m_writer;
  Replica m_replica;
  std::uint64_t m_highestVersion = 0;
};

class Installation {
public:
  explicit Installation(int Nodes) {
    for (int Index = 0; Index < Nodes; ++Index)
      m_nodes.push_back(boot());
  }

  std::size_t size() const { return m_nodes.size(); }

  void submitPatch(std::size_t Which) {
    const std::string Id = "p" + std::to_string(m_told.size());
    Told &Answer = *m_told.emplace(Id, std::make_unique<Told>(Told::Nothing))
                        .first->second;
    ConfigPatch Patch;
    Patch.m_id = Id;
    Patch.m_author = "ops";
    Patch.m_base = version(*m_nodes[Which]);
    Patch.m_changes = {{"kinds/k/estimate_ms", std::to_string(m_told.size())}};
    const bool IsQueued = m_nodes[Which]->m_writer.submit(
        ConfigPatchRecord{Patch},
        [&Answer](const Outcome<RecordOutcome> &Done) {
          RC_ASSERT(Answer == Told::Nothing);
          Answer = !Done                       ? Told::Unknown
                   : Done.value().m_isAccepted ? Told::Accepted
                                               : Told::Stale;
        });
    if (!IsQueued)
      Answer = Told::Refused;
  }

  void pump(std::size_t Which, FakeLog::Fate Fate) {
    if (const auto Bytes = m_nodes[Which]->m_writer.nextAppend())
      m_log.append(*Bytes, Fate);
  }

  void read(std::size_t Which, std::size_t Most) {
    Node &Reader = *m_nodes[Which];
    Reader.m_replica.applyPage(m_log.read(Reader.m_replica.readFrom(), Most));
    checkVersion(Reader);
  }

  void restart(std::size_t Which) { m_nodes[Which] = boot(); }

  void copy(std::size_t To, std::size_t From) {
    if (To == From)
      return;
    const StateCopy Copy = m_nodes[From]->m_replica.copy();
    RC_ASSERT(
        bool(attempt([&] { return m_nodes[To]->m_replica.install(Copy); })));
    checkVersion(*m_nodes[To]);
  }

  void mark(std::size_t Which) {
    m_nodes[Which]->m_writer.submit(
        SnapshotMarkRecord{"s" + std::to_string(++m_marks)}, nullptr);
  }

  void appendSnapshot(std::size_t Which) {
    for (Record &Part : m_nodes[Which]->m_replica.takeSnapshotRecords())
      m_nodes[Which]->m_writer.submit(std::move(Part), nullptr);
  }

  /// Lets everything expire that the last whole snapshot covers.
  void expire() {
    State Reference = reference();
    m_log.expireBefore(Reference.snapshot().m_nextOffset);
  }

  void takeEffect(std::size_t Which) { m_log.takeEffect(Which); }

  ManualClock &clock() { return m_clock; }

  /// Lets the log heal and everyone catch up, then checks the whole history.
  void settleAndCheck() {
    for (int Round = 0; Round < 200; ++Round) {
      m_clock.advance(6s);
      for (std::size_t Which = 0; Which < size(); ++Which) {
        pump(Which, FakeLog::Fate::Done);
        read(Which, 1000);
      }
    }
    const State Truth = reference();
    for (const auto &Each : m_nodes) {
      RC_ASSERT(Each->m_writer.queued() == 0U);
      RC_ASSERT(Each->m_replica.nextOffset() == Truth.nextOffset());
      RC_ASSERT(Each->m_replica.read([](const State &Now) {
        return Now.hash();
      }) == Truth.hash());
      RC_ASSERT(Each->m_replica.divergences() == 0U);
    }
    checkPatches(Truth);
  }

private:
  std::unique_ptr<Node> boot() {
    return std::make_unique<Node>(m_clock, "boot" + std::to_string(++m_boots));
  }

  static std::uint64_t version(const Node &Of) {
    return Of.m_replica.read(
        [](const State &Now) { return Now.config().version(); });
  }

  static void checkVersion(Node &Of) {
    const std::uint64_t Now = version(Of);
    RC_ASSERT(Now >= Of.m_highestVersion);
    Of.m_highestVersion = Now;
  }

  /// The plain oracle: every entry ever appended, applied in order.
  State reference() const {
    State Truth;
    for (const std::string &Bytes : m_log.everything()) {
      const Outcome<RecordBatch> Batch =
          attempt([&] { return decode<RecordBatch>(Bytes); });
      Truth.apply(Truth.nextOffset(), Batch.value());
    }
    return Truth;
  }

  void checkPatches(const State &Truth) const {
    std::map<std::string, int> Versions;
    for (const ConfigVersion &Each : Truth.config().history())
      ++Versions[Each.m_patchId];
    for (const auto &[Id, Answer] : m_told) {
      const int Count = Versions.count(Id) > 0 ? Versions.at(Id) : 0;
      RC_ASSERT(Count <= 1);
      if (*Answer == Told::Accepted)
        RC_ASSERT(Count == 1);
      if (*Answer == Told::Refused || *Answer == Told::Stale)
        RC_ASSERT(Count == 0);
    }
  }

  ManualClock m_clock;
  FakeLog m_log;
  int m_boots = 0;
  int m_marks = 0;
  std::map<std::string, std::unique_ptr<Told>> m_told;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace

BOOST_AUTO_TEST_CASE(SendsAgainUntilReadBack) {
  ManualClock Clock;
  LogWriter Writer(Clock, "boot", {});
  Writer.submit(CancelRecord{{"j"}}, nullptr);
  const std::optional<std::string> First = Writer.nextAppend();
  BOOST_TEST(First.has_value());
  BOOST_TEST(!Writer.nextAppend().has_value());
  Clock.advance(250ms);
  BOOST_TEST((Writer.nextAppend() == First));
  Writer.onApplied(1, {{true, ""}});
  Clock.advance(10s);
  BOOST_TEST(!Writer.nextAppend().has_value());
}

BOOST_AUTO_TEST_CASE(OpenCircuitRefusesAtOnce) {
  ManualClock Clock;
  LogWriter Writer(Clock, "boot", {});
  bool IsTold = false;
  Writer.submit(CancelRecord{{"j"}},
                [&](const Outcome<RecordOutcome> &) { IsTold = true; });
  Writer.nextAppend();
  Clock.advance(1100ms);
  BOOST_TEST(Writer.isCircuitOpen());
  BOOST_TEST(!Writer.submit(CancelRecord{{"k"}}, nullptr));
  BOOST_TEST(!IsTold);
  Writer.onApplied(1, {{true, ""}});
  BOOST_TEST(IsTold);
  BOOST_TEST(!Writer.isCircuitOpen());
}

BOOST_AUTO_TEST_CASE(CopyWithWrongHashIsRefused) {
  ManualClock Clock;
  LogWriter Writer(Clock, "boot", {});
  Replica Own(Writer);
  StateCopy Copy = Own.copy();
  Copy.m_bytes += "x";
  const Outcome<bool> Taken = attempt([&] { return Own.install(Copy); });
  BOOST_REQUIRE(!Taken);
  BOOST_TEST(Taken.error().m_message == "state copy does not match its hash");
}

BOOST_AUTO_TEST_CASE(NewcomerStartsFromSnapshotAndTail) {
  Installation Whole(2);
  for (int Count = 0; Count < 20; ++Count) {
    Whole.submitPatch(0);
    Whole.pump(0, FakeLog::Fate::Done);
    Whole.read(0, 100);
  }
  Whole.mark(0);
  for (int Count = 0; Count < 3; ++Count) {
    Whole.pump(0, FakeLog::Fate::Done);
    Whole.read(0, 100);
    Whole.appendSnapshot(0);
  }
  Whole.expire();
  Whole.restart(1);
  Whole.settleAndCheck();
}

RC_BOOST_PROP(EveryPatchHasOneOutcomeAndNoVersionFalls, ()) {
  Installation Whole(3);
  const int Steps = *rc::gen::inRange(5, 120);
  for (int Step = 0; Step < Steps; ++Step) {
    const std::size_t Which = *rc::gen::inRange<std::size_t>(0, Whole.size());
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      Whole.submitPatch(Which);
      break;
    case 2:
    case 3:
      Whole.pump(Which,
                 *rc::gen::element(FakeLog::Fate::Done, FakeLog::Fate::Done,
                                   FakeLog::Fate::Lost, FakeLog::Fate::Late,
                                   FakeLog::Fate::Twice));
      break;
    case 4:
    case 5:
      Whole.read(Which, *rc::gen::inRange<std::size_t>(1, 6));
      break;
    case 6:
      Whole.clock().advance(Milliseconds(*rc::gen::inRange(0, 900)));
      break;
    case 7:
      Whole.takeEffect(*rc::gen::arbitrary<std::uint8_t>());
      break;
    case 8:
      if (*rc::gen::inRange(0, 4) == 0)
        Whole.restart(Which);
      break;
    case 9:
      Whole.copy(Which, *rc::gen::inRange<std::size_t>(0, Whole.size()));
      break;
    case 10:
      Whole.mark(Which);
      break;
    case 11:
      Whole.appendSnapshot(Which);
      if (*rc::gen::arbitrary<bool>())
        Whole.expire();
      break;
    }
  }
  Whole.settleAndCheck();
}
