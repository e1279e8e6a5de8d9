// Seats, incarnations, and contact that is proven rather than assumed.
#define BOOST_TEST_MODULE membership
#include "catkinseam/membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

struct Trio {
  Trio() {
    for (Seat Place = 1; Place <= 3; ++Place)
      m_members.push_back(join(Place, "boot" + std::to_string(Place)));
  }

  std::unique_ptr<Membership> join(Seat Place, const std::string &BootId) {
    Membership::Options Own;
    Own.m_seat = Place;
    Own.m_seats = 3;
    Own.m_bootId = BootId;
    return std::make_unique<Membership>(m_clock, Own);
  }

  Membership &at(Seat Place) { return *m_members[Place - 1]; }

  /// Everyone hears everyone once.
  void exchange() {
    std::vector<Heartbeat> Sent;
    for (auto &Each : m_members)
      Sent.push_back(Each->nextHeartbeat());
    for (auto &Each : m_members)
      for (const Heartbeat &Message : Sent)
        Each->onHeartbeat(Message);
  }

  ManualClock m_clock;
  std::vector<std::unique_ptr<Membership>> m_members;
};

} // namespace

BOOST_AUTO_TEST_CASE(ContactIsProvenByAnEchoOnly) {
  Trio Net;
  Net.exchange();
  BOOST_TEST(!Net.at(1).isInMajority()); // Heard, but not echoed yet.
  BOOST_TEST(Net.at(1).aliveSeats().size() == 3U);
  Net.exchange();
  BOOST_TEST(Net.at(1).isInMajority());
  Net.m_clock.advance(1001ms);
  BOOST_TEST(!Net.at(1).isInMajority());
}

BOOST_AUTO_TEST_CASE(HeartbeatsThatWaitedProveNothing) {
  Trio Net;
  Net.exchange();
  Net.exchange();
  const Heartbeat Waiting = Net.at(2).nextHeartbeat();
  Net.m_clock.advance(5s); // Entry 1 was paused; now it reads its socket.
  Net.at(1).onHeartbeat(Waiting);
  BOOST_TEST(!Net.at(1).isInMajority());
  BOOST_TEST(Net.at(1).aliveSeats().size() == 2U);
}

BOOST_AUTO_TEST_CASE(LaterProcessSupersedesTheOneBefore) {
  Trio Net;
  Net.at(1).setState(EntryState::Ready);
  Net.exchange();
  Net.m_clock.advance(10ms);
  const std::unique_ptr<Membership> Successor = Net.join(1, "later");
  Net.at(2).onHeartbeat(Successor->nextHeartbeat());
  BOOST_TEST(!Net.at(2).onHeartbeat(Net.at(1).nextHeartbeat()));
  Net.at(1).onHeartbeat(Net.at(2).nextHeartbeat());
  BOOST_TEST(Net.at(1).isSuperseded());
  BOOST_TEST(!Successor->isSuperseded());
}

BOOST_AUTO_TEST_CASE(JoiningProcessPassesAPredecessorWhoseClockRanAhead) {
  Trio Net;
  const std::unique_ptr<Membership> Successor = Net.join(1, "later");
  SeatView View(3);
  View[0] = {Successor->seating().at(1).m_number + 1000, "boot1"};
  Successor->mergeView(View);
  BOOST_TEST(!Successor->isSuperseded());
  BOOST_TEST(Successor->seating().at(1).m_number == View[0].m_number + 1);
}

BOOST_AUTO_TEST_CASE(MajorityOffsetCountsProvenContactsOnly) {
  Trio Net;
  Net.exchange();
  Net.exchange();
  Heartbeat Ahead = Net.at(2).nextHeartbeat();
  Ahead.m_appliedOffset = 50;
  Net.at(1).onHeartbeat(Ahead);
  BOOST_TEST(Net.at(1).majorityOffset(100) == 50U);
  BOOST_TEST(Net.at(1).highestOffsetHeard() == 50U);
  Net.m_clock.advance(1001ms);
  BOOST_TEST(Net.at(1).majorityOffset(100) == 0U);
}

BOOST_AUTO_TEST_CASE(OldAndMalformedHeartbeatsAreIgnored) {
  Trio Net;
  const Heartbeat First = Net.at(2).nextHeartbeat();
  const Heartbeat Second = Net.at(2).nextHeartbeat();
  BOOST_TEST(Net.at(1).onHeartbeat(Second));
  BOOST_TEST(!Net.at(1).onHeartbeat(First));
  Heartbeat Odd = Net.at(2).nextHeartbeat();
  Odd.m_seat = 9;
  BOOST_TEST(!Net.at(1).onHeartbeat(Odd));
}
