// When an entry campaigns, by the owner's silence and its own strength.
#define BOOST_TEST_MODULE ownership
#include "catkinseam/ownership/ownership.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

/// One entry that reads the jobs' topic and sees nothing of an owner.
struct Entry {
  const ManualClock &m_clock;
  Ownership m_seat;

  Entry(const ManualClock &Time, const std::string &Name, double Strength)
      : m_clock(Time), m_seat(Time, {.m_strength = Strength}, Name) {}

  bool campaigns() {
    m_seat.onRead(m_clock.now(), Milliseconds(4));
    return m_seat.shouldCampaign();
  }
};

Milliseconds silenceUntilCampaign(ManualClock &Time, Entry &Each) {
  const TimePoint Begin = Time.now();
  while (!Each.campaigns() && Time.now() - Begin < Milliseconds(10000))
    Time.advance(Milliseconds(10));
  return toMilliseconds(Time.now() - Begin);
}

} // namespace

// Pattern: machines of unequal size start together. The scheduling is the work
// of one processor, so the strongest takes it up.
BOOST_AUTO_TEST_CASE(TheStrongestOwnsFirst) {
  ManualClock Time;
  Entry Weak(Time, "edge-1", 0.07);
  Entry Strong(Time, "edge-2", 0.5);
  const Milliseconds StrongTime = silenceUntilCampaign(Time, Strong);
  BOOST_TEST(!Weak.campaigns());
  BOOST_TEST(StrongTime <= Milliseconds(900));
  BOOST_TEST(silenceUntilCampaign(Time, Weak) > Milliseconds(100));
}

// Equals lose no time: starts go on within 1.5 s of the owner's death.
BOOST_AUTO_TEST_CASE(AnEqualOfTheLastOwnerWaitsForNobody) {
  ManualClock Time;
  Entry Equal(Time, "edge-1", 0.1);
  Equal.m_seat.onOwnerStrength(0.1);
  Equal.m_seat.onOwnerActivity();
  BOOST_TEST(silenceUntilCampaign(Time, Equal) <= Milliseconds(850));
  Entry Weaker(Time, "edge-1", 0.07);
  Weaker.m_seat.onOwnerStrength(0.1);
  Weaker.m_seat.onOwnerActivity();
  BOOST_TEST(silenceUntilCampaign(Time, Weaker) >= Milliseconds(800));
}

BOOST_AUTO_TEST_CASE(NobodyCampaignsWhileTheOwnerIsHeard) {
  ManualClock Time;
  Entry Each(Time, "edge-1", 0.1);
  for (int Beat = 0; Beat < 20; ++Beat) {
    Each.m_seat.onOwnerActivity();
    Time.advance(Milliseconds(400));
    BOOST_TEST(!Each.campaigns());
  }
}

// What has not been read for a while says nothing of the owner.
BOOST_AUTO_TEST_CASE(AnEntryThatCannotReadDoesNotCampaign) {
  ManualClock Time;
  Entry Each(Time, "edge-1", 0.1);
  Each.m_seat.onRead(Time.now(), Milliseconds(4));
  Time.advance(Milliseconds(3000));
  BOOST_TEST(!Each.m_seat.shouldCampaign());
}

} // namespace catkinseam
