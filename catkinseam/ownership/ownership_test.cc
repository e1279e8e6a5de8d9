// Tests when a node starts an election, depending on the owner's last record
// and on processor shares.
#define BOOST_TEST_MODULE ownership
#include "catkinseam/ownership/ownership.h"

#include <boost/test/unit_test.hpp>

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

// The log does not answer for some seconds, to any node. The owner must get time
// to append once it answers again.
BOOST_AUTO_TEST_CASE(OutageOfTheLogIsNoSilenceOfTheOwner) {
  ManualClock Time;
  TestNode Each(Time, "edge-1", 0.1);
  Each.m_ownership.onOwnerActivity();
  BOOST_TEST(!Each.startsElection());
  Time.advance(Milliseconds(4200));
  BOOST_TEST(timeUntilElection(Time, Each) >= Milliseconds(1500));
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
