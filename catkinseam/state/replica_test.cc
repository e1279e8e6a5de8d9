// Writers and replicas must agree although the log loses, delays and duplicates
// appends and its records expire.
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

/// Outcome that the submitter of a patch was given.
enum class PatchReply { None, Rejected, Accepted, Stale, Unknown };

struct Node {
  Node(const Clock &Time, const std::string &BootId)
      : m_writer(Time, BootId, {}), m_replica(m_writer) {}

  LogWriter m_writer;
  Replica m_replica;
  std::uint64_t m_highestVersion = 0;
};

class Cluster {
public:
  explicit Cluster(int Nodes) {
    for (int Index = 0; Index < Nodes; ++Index)
      m_nodes.push_back(startNode());
  }

  std::size_t size() const { return m_nodes.size(); }

  void submitPatch(std::size_t Which) {
    const std::string Id = "p" + std::to_string(m_replies.size());
    PatchReply &Reply =
        *m_replies.emplace(Id, std::make_unique<PatchReply>(PatchReply::None))
             .first->second;
    ConfigPatch Patch;
    Patch.m_id = Id;
    Patch.m_author = "ops";
    Patch.m_baseVersion = version(*m_nodes[Which]);
    Patch.m_changes = {
        {"kinds/k/estimate_ms", std::to_string(m_replies.size())}};
    const bool IsQueued = m_nodes[Which]->m_writer.submit(
        ConfigPatchRecord{Patch}, [&Reply](const Outcome<RecordOutcome> &Done) {
          RC_ASSERT(Reply == PatchReply::None);
          Reply = !Done                       ? PatchReply::Unknown
                  : Done.value().m_isAccepted ? PatchReply::Accepted
                                              : PatchReply::Stale;
        });
    if (!IsQueued)
      Reply = PatchReply::Rejected;
  }

  void append(std::size_t Which, FakeLog::AppendEffect Effect) {
    if (const auto Bytes = m_nodes[Which]->m_writer.nextAppend())
      m_log.append(*Bytes, Effect);
  }

  void read(std::size_t Which, std::size_t MaxEntries) {
    Node &Reader = *m_nodes[Which];
    Reader.m_replica.applyPage(
        m_log.read(Reader.m_replica.nextReadOffset(), MaxEntries));
    checkVersionHasNotDecreased(Reader);
  }

  void restart(std::size_t Which) { m_nodes[Which] = startNode(); }

  void copy(std::size_t To, std::size_t From) {
    if (To == From)
      return;
    const StateCopy Copy = m_nodes[From]->m_replica.copy();
    RC_ASSERT(
        bool(attempt([&] { return m_nodes[To]->m_replica.install(Copy); })));
    checkVersionHasNotDecreased(*m_nodes[To]);
  }

  void appendMarker(std::size_t Which) {
    m_nodes[Which]->m_writer.submit(
        SnapshotMarkerRecord{"s" + std::to_string(++m_markers)}, nullptr);
  }

  void appendSnapshot(std::size_t Which) {
    for (Record &Part : m_nodes[Which]->m_replica.takeSnapshotRecords())
      m_nodes[Which]->m_writer.submit(std::move(Part), nullptr);
  }

  /// Expires all records covered by the last complete snapshot.
  void expire() {
    ReplicatedState Reference = expectedState();
    m_log.expireBefore(Reference.snapshot().m_nextOffset);
  }

  void appendDelayed(std::size_t Which) { m_log.appendDelayed(Which); }

  ManualClock &clock() { return m_clock; }

  /// Appends without faults until all nodes have caught up, then checks the
  /// state of each node and the outcome of each patch.
  void convergeAndCheck() {
    for (int Round = 0; Round < 200; ++Round) {
      m_clock.advance(6s);
      for (std::size_t Which = 0; Which < size(); ++Which) {
        append(Which, FakeLog::AppendEffect::Immediate);
        read(Which, 1000);
      }
    }
    const ReplicatedState Expected = expectedState();
    for (const auto &Each : m_nodes) {
      RC_ASSERT(Each->m_writer.queued() == 0U);
      RC_ASSERT(Each->m_replica.nextOffset() == Expected.nextOffset());
      RC_ASSERT(Each->m_replica.read([](const ReplicatedState &Now) {
        return Now.hash();
      }) == Expected.hash());
      RC_ASSERT(Each->m_replica.divergences() == 0U);
    }
    checkPatches(Expected);
  }

private:
  std::unique_ptr<Node> startNode() {
    return std::make_unique<Node>(m_clock,
                                  "boot" + std::to_string(++m_startedNodes));
  }

  static std::uint64_t version(const Node &Checked) {
    return Checked.m_replica.read(
        [](const ReplicatedState &Now) { return Now.config().version(); });
  }

  static void checkVersionHasNotDecreased(Node &Checked) {
    const std::uint64_t Now = version(Checked);
    RC_ASSERT(Now >= Checked.m_highestVersion);
    Checked.m_highestVersion = Now;
  }

  /// Returns the expected state: all entries ever appended, applied in
  /// order.
  ReplicatedState expectedState() const {
    ReplicatedState Expected;
    for (const std::string &Bytes : m_log.allEntries()) {
      const Outcome<RecordBatch> Batch =
          attempt([&] { return decode<RecordBatch>(Bytes); });
      Expected.apply(Expected.nextOffset(), Batch.value());
    }
    return Expected;
  }

  void checkPatches(const ReplicatedState &Expected) const {
    std::map<std::string, int> Versions;
    for (const ConfigVersion &Each : Expected.config().history())
      ++Versions[Each.m_patchId];
    for (const auto &[Id, Reply] : m_replies) {
      const int Count = Versions.count(Id) > 0 ? Versions.at(Id) : 0;
      RC_ASSERT(Count <= 1);
      if (*Reply == PatchReply::Accepted)
        RC_ASSERT(Count == 1);
      if (*Reply == PatchReply::Rejected || *Reply == PatchReply::Stale)
        RC_ASSERT(Count == 0);
    }
  }

  ManualClock m_clock;
  FakeLog m_log;
  int m_startedNodes = 0;
  int m_markers = 0;
  std::map<std::string, std::unique_ptr<PatchReply>> m_replies;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace

BOOST_AUTO_TEST_CASE(RetriesAppendUntilApplied) {
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

BOOST_AUTO_TEST_CASE(OpenCircuitRejectsRecordsAtOnce) {
  ManualClock Clock;
  LogWriter Writer(Clock, "boot", {});
  bool IsCalled = false;
  Writer.submit(CancelRecord{{"j"}},
                [&](const Outcome<RecordOutcome> &) { IsCalled = true; });
  Writer.nextAppend();
  Clock.advance(1100ms);
  BOOST_TEST(Writer.isCircuitOpen());
  BOOST_TEST(!Writer.submit(CancelRecord{{"k"}}, nullptr));
  BOOST_TEST(!IsCalled);
  Writer.onApplied(1, {{true, ""}});
  BOOST_TEST(IsCalled);
  BOOST_TEST(!Writer.isCircuitOpen());
}

BOOST_AUTO_TEST_CASE(CopyWithWrongHashIsRejected) {
  ManualClock Clock;
  LogWriter Writer(Clock, "boot", {});
  Replica Own(Writer);
  StateCopy Copy = Own.copy();
  Copy.m_bytes += "x";
  const Outcome<bool> Taken = attempt([&] { return Own.install(Copy); });
  BOOST_REQUIRE(!Taken);
  BOOST_TEST(Taken.error().m_message == "state copy does not match its hash");
}

BOOST_AUTO_TEST_CASE(NewNodeRestoresFromSnapshotAndLaterRecords) {
  Cluster Nodes(2);
  for (int Count = 0; Count < 20; ++Count) {
    Nodes.submitPatch(0);
    Nodes.append(0, FakeLog::AppendEffect::Immediate);
    Nodes.read(0, 100);
  }
  Nodes.appendMarker(0);
  for (int Count = 0; Count < 3; ++Count) {
    Nodes.append(0, FakeLog::AppendEffect::Immediate);
    Nodes.read(0, 100);
    Nodes.appendSnapshot(0);
  }
  Nodes.expire();
  Nodes.restart(1);
  Nodes.convergeAndCheck();
}

RC_BOOST_PROP(PatchesHaveOneOutcomeAndVersionsNeverDecrease, ()) {
  Cluster Nodes(3);
  const int Steps = *rc::gen::inRange(5, 120);
  for (int Step = 0; Step < Steps; ++Step) {
    const std::size_t Which = *rc::gen::inRange<std::size_t>(0, Nodes.size());
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      Nodes.submitPatch(Which);
      break;
    case 2:
    case 3:
      Nodes.append(Which, *rc::gen::element(FakeLog::AppendEffect::Immediate,
                                            FakeLog::AppendEffect::Immediate,
                                            FakeLog::AppendEffect::Lost,
                                            FakeLog::AppendEffect::Delayed,
                                            FakeLog::AppendEffect::Duplicated));
      break;
    case 4:
    case 5:
      Nodes.read(Which, *rc::gen::inRange<std::size_t>(1, 6));
      break;
    case 6:
      Nodes.clock().advance(Milliseconds(*rc::gen::inRange(0, 900)));
      break;
    case 7:
      Nodes.appendDelayed(*rc::gen::arbitrary<std::uint8_t>());
      break;
    case 8:
      if (*rc::gen::inRange(0, 4) == 0)
        Nodes.restart(Which);
      break;
    case 9:
      Nodes.copy(Which, *rc::gen::inRange<std::size_t>(0, Nodes.size()));
      break;
    case 10:
      Nodes.appendMarker(Which);
      break;
    case 11:
      Nodes.appendSnapshot(Which);
      if (*rc::gen::arbitrary<bool>())
        Nodes.expire();
      break;
    }
  }
  Nodes.convergeAndCheck();
}
