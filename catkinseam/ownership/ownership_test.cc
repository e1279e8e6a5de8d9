// Tests when an entry campaigns, depending on the owner's last record and on
// processor shares.
#define BOOST_TEST_MODULE ownership
#include "catkinseam/ownership/ownership.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

/// An entry that reads the jobs topic and finds no records of an owner.
struct Entry {
  const ManualClock &m_clock;
  Ownership m_ownership;

  Entry(const ManualClock &Time, const std::string &Name, double ProcessorShare)
      : m_clock(Time), m_ownership(Time, {.m_strength = ProcessorShare}, Name) {
  }

  bool campaigns() {
    m_ownership.onRead(m_clock.now(), Milliseconds(4));
    return m_ownership.shouldCampaign();
  }
};

Milliseconds timeUntilCampaign(ManualClock &Time, Entry &Each) {
  const TimePoint Begin = Time.now();
  while (!Each.campaigns() && Time.now() - Begin < Milliseconds(10000))
    Time.advance(Milliseconds(10));
  return toMilliseconds(Time.now() - Begin);
}

} // namespace

// Entries with different processor shares start together. Scheduling uses one
// processor, so the entry with the largest share must campaign first.
BOOST_AUTO_TEST_CASE(LargestProcessorShareCampaignsFirst) {
  ManualClock Time;
  Entry Weak(Time, "edge-1", 0.07);
  Entry Strong(Time, "edge-2", 0.5);
  const Milliseconds StrongTime = timeUntilCampaign(Time, Strong);
  BOOST_TEST(!Weak.campaigns());
  BOOST_TEST(StrongTime <= Milliseconds(900));
  BOOST_TEST(timeUntilCampaign(Time, Weak) > Milliseconds(100));
}

// An entry with the same processor share as the last owner campaigns without
// additional delay, so that starts resume within 1.5 s of the owner's crash.
BOOST_AUTO_TEST_CASE(EntryEqualToLastOwnerCampaignsWithoutDelay) {
  ManualClock Time;
  Entry Equal(Time, "edge-1", 0.1);
  Equal.m_ownership.onOwnerProcessorShare(0.1);
  Equal.m_ownership.onOwnerActivity();
  BOOST_TEST(timeUntilCampaign(Time, Equal) <= Milliseconds(850));
  Entry Weaker(Time, "edge-1", 0.07);
  Weaker.m_ownership.onOwnerProcessorShare(0.1);
  Weaker.m_ownership.onOwnerActivity();
  BOOST_TEST(timeUntilCampaign(Time, Weaker) >= Milliseconds(800));
}

BOOST_AUTO_TEST_CASE(NoCampaignWhileOwnerIsActive) {
  ManualClock Time;
  Entry Each(Time, "edge-1", 0.1);
  for (int Heartbeat = 0; Heartbeat < 20; ++Heartbeat) {
    Each.m_ownership.onOwnerActivity();
    Time.advance(Milliseconds(400));
    BOOST_TEST(!Each.campaigns());
  }
}

// An outdated read does not show that the owner is inactive.
BOOST_AUTO_TEST_CASE(NoCampaignWithoutRecentRead) {
  ManualClock Time;
  Entry Each(Time, "edge-1", 0.1);
  Each.m_ownership.onRead(Time.now(), Milliseconds(4));
  Time.advance(Milliseconds(3000));
  BOOST_TEST(!Each.m_ownership.shouldCampaign());
}

} // namespace catkinseam
