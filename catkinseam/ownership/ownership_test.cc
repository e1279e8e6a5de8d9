// Tests when a node starts an election, depending on the owner's last record
// and on processor shares.
#define BOOST_TEST_MODULE ownership
#include "catkinseam/ownership/ownership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

namespace {

/// A node that reads the jobs topic and finds no records of an owner.
struct TestNode {
  const ManualClock &m_clock;
  Ownership m_ownership;

  TestNode(const ManualClock &Time, const std::string &Name,
           double ProcessorShare)
      : m_clock(Time),
        m_ownership(Time, {.m_processorShare = ProcessorShare}, Name) {}

  bool startsElection() {
    m_ownership.onRead(m_clock.now(), Milliseconds(4));
    return m_ownership.shouldStartElection();
  }
};

Milliseconds timeUntilElection(ManualClock &Time, TestNode &Each) {
  const TimePoint Begin = Time.now();
  while (!Each.startsElection() && Time.now() - Begin < Milliseconds(10000))
    Time.advance(Milliseconds(10));
  return toMilliseconds(Time.now() - Begin);
}

} // namespace

// Nodes with different processor shares start together. Scheduling uses one
// processor, so the node with the largest share must start its election first.
BOOST_AUTO_TEST_CASE(LargestProcessorShareStartsElectionFirst) {
  ManualClock Time;
  TestNode SmallNode(Time, "edge-1", 0.07);
  TestNode LargeNode(Time, "edge-2", 0.5);
  const Milliseconds LargeNodeTime = timeUntilElection(Time, LargeNode);
  BOOST_TEST(!SmallNode.startsElection());
  BOOST_TEST(LargeNodeTime <= Milliseconds(900));
  BOOST_TEST(timeUntilElection(Time, SmallNode) > Milliseconds(100));
}

// A node with the same processor share as the last owner starts its election
// without additional delay, so that starts resume within 1.5 s of the owner's
// crash.
BOOST_AUTO_TEST_CASE(NodeEqualToLastOwnerStartsElectionWithoutDelay) {
  ManualClock Time;
  TestNode Equal(Time, "edge-1", 0.1);
  Equal.m_ownership.onOwnerProcessorShare(0.1);
  Equal.m_ownership.onOwnerActivity();
  BOOST_TEST(timeUntilElection(Time, Equal) <= Milliseconds(850));
  TestNode Smaller(Time, "edge-1", 0.07);
  Smaller.m_ownership.onOwnerProcessorShare(0.1);
  Smaller.m_ownership.onOwnerActivity();
  BOOST_TEST(timeUntilElection(Time, Smaller) >= Milliseconds(800));
}

BOOST_AUTO_TEST_CASE(NoElectionWhileOwnerIsActive) {
  ManualClock Time;
  TestNode Each(Time, "edge-1", 0.1);
  for (int Heartbeat = 0; Heartbeat < 20; ++Heartbeat) {
    Each.m_ownership.onOwnerActivity();
    Time.advance(Milliseconds(400));
    BOOST_TEST(!Each.startsElection());
  }
}

// The node's reads have failed since it last saw a record of the owner. That is
// no silence of the owner, however short the gap.
BOOST_AUTO_TEST_CASE(OwnFailedReadsAreNoSilence) {
  for (int Number = 0; Number < 50; ++Number) {
    ManualClock Time;
    TestNode Each(Time, "edge-" + std::to_string(Number), 0.1);
    Each.m_ownership.onOwnerProcessorShare(0.1);
    Each.m_ownership.onOwnerActivity();
    BOOST_TEST(!Each.startsElection());
    for (int Elapsed = 0; Elapsed < 3000; Elapsed += 10) {
      Time.advance(Milliseconds(10));
      BOOST_TEST(!Each.m_ownership.shouldStartElection());
    }
  }
}

// The log does not answer for some seconds, to any node. The owner must get
// time to append once it answers again.
BOOST_AUTO_TEST_CASE(OutageOfTheLogIsNoSilenceOfTheOwner) {
  ManualClock Time;
  TestNode Each(Time, "edge-1", 0.1);
  Each.m_ownership.onOwnerActivity();
  BOOST_TEST(!Each.startsElection());
  Time.advance(Milliseconds(4200));
  BOOST_TEST(timeUntilElection(Time, Each) >= Milliseconds(1500));
}

// Hundreds of nodes miss the owner while the log is slow. Each claim that they
// append occupies the log for longer than the owner's own appends may wait.
BOOST_AUTO_TEST_CASE(ElectionsAreSpreadWhileTheLogIsSlow) {
  constexpr Milliseconds Latency{300};
  // Until a claim has been appended and read by the other nodes.
  constexpr Milliseconds ClaimTime = 3 * Latency;
  ManualClock Time;
  std::vector<std::unique_ptr<Ownership>> Nodes;
  for (int Number = 0; Number < 300; ++Number) {
    // One node in five is as strong as the owner.
    const double Share = Number % 5 == 0 ? 0.5 : 0.07;
    Nodes.push_back(std::make_unique<Ownership>(
        Time, Ownership::Options{.m_processorShare = Share},
        "edge-" + std::to_string(Number)));
    Nodes.back()->onOwnerProcessorShare(0.5);
    Nodes.back()->onOwnerActivity();
  }
  std::vector<TimePoint> Claims;
  for (int Step = 0; Step < 3000; ++Step) {
    Time.advance(Milliseconds(10));
    for (std::unique_ptr<Ownership> &Each : Nodes) {
      if (!Each)
        continue;
      Each->onRead(Time.now(), Latency);
      if (!Each->shouldStartElection())
        continue;
      Claims.push_back(Time.now());
      Each.reset();
    }
  }
  BOOST_REQUIRE(Claims.size() == 300U);
  const auto Early =
      std::count_if(Claims.begin(), Claims.end(), [&](TimePoint Each) {
        return Each < Claims.front() + ClaimTime;
      });
  // The log refuses appends once 2 s are waiting.
  BOOST_TEST(Early <= 14);
}

// The owner's appends take long while the log is slow, so its records come at
// long intervals.
BOOST_AUTO_TEST_CASE(LongIntervalsBetweenRecordsAreNoSilence) {
  ManualClock Time;
  TestNode Each(Time, "edge-1", 0.1);
  Each.m_ownership.onOwnerProcessorShare(0.1);
  for (const int Interval : {200, 200, 500, 900, 900, 1400, 1400, 1400}) {
    for (int Elapsed = 0; Elapsed < Interval; Elapsed += 100) {
      Time.advance(Milliseconds(100));
      BOOST_TEST(!Each.startsElection());
    }
    Each.m_ownership.onOwnerActivity();
  }
  // A successor's records come in time again.
  Each.m_ownership.onOwnerChanged();
  BOOST_TEST(timeUntilElection(Time, Each) <= Milliseconds(850));
}

// An outdated read does not show that the owner is inactive.
BOOST_AUTO_TEST_CASE(NoElectionWithoutRecentRead) {
  ManualClock Time;
  TestNode Each(Time, "edge-1", 0.1);
  Each.m_ownership.onRead(Time.now(), Milliseconds(4));
  Time.advance(Milliseconds(3000));
  BOOST_TEST(!Each.m_ownership.shouldStartElection());
}

} // namespace catkinseam
