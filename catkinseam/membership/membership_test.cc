// Seats and incarnations, and contact that counts only by acknowledged
// heartbeats: a paused process must not take heartbeats that waited in its
// socket for a sign that it is still in contact.
#define BOOST_TEST_MODULE membership
#include "catkinseam/membership/membership.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace catkinseam;
using namespace std::chrono_literals;

namespace {

struct Cluster {
  Cluster() {
    for (Seat Number = 1; Number <= 3; ++Number)
      m_members.push_back(join(Number, "boot" + std::to_string(Number)));
  }

  std::unique_ptr<Membership> join(Seat Number, const std::string &BootId) {
    Membership::Options Own;
    Own.m_seat = Number;
    Own.m_seats = 3;
    Own.m_bootId = BootId;
    return std::make_unique<Membership>(m_clock, Own);
  }

  Membership &at(Seat Number) { return *m_members[Number - 1]; }

  /// Delivers one heartbeat of each member to all members.
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

BOOST_AUTO_TEST_CASE(ContactRequiresAnAcknowledgement) {
  Cluster Members;
  Members.exchange();
  // Received, but not acknowledged yet.
  BOOST_TEST(!Members.at(1).isInMajority());
  BOOST_TEST(Members.at(1).aliveSeats().size() == 3U);
  Members.exchange();
  BOOST_TEST(Members.at(1).isInMajority());
  Members.m_clock.advance(1001ms);
  BOOST_TEST(!Members.at(1).isInMajority());
}

BOOST_AUTO_TEST_CASE(DelayedHeartbeatsDoNotCountAsContact) {
  Cluster Members;
  Members.exchange();
  Members.exchange();
  const Heartbeat Delayed = Members.at(2).nextHeartbeat();
  Members.m_clock.advance(5s); // Entry 1 was paused and now reads its socket.
  Members.at(1).onHeartbeat(Delayed);
  BOOST_TEST(!Members.at(1).isInMajority());
  BOOST_TEST(Members.at(1).aliveSeats().size() == 2U);
}

BOOST_AUTO_TEST_CASE(LaterProcessSupersedesItsPredecessor) {
  Cluster Members;
  Members.at(1).setState(EntryState::Ready);
  Members.exchange();
  Members.m_clock.advance(10ms);
  const std::unique_ptr<Membership> Successor = Members.join(1, "later");
  Members.at(2).onHeartbeat(Successor->nextHeartbeat());
  BOOST_TEST(!Members.at(2).onHeartbeat(Members.at(1).nextHeartbeat()));
  Members.at(1).onHeartbeat(Members.at(2).nextHeartbeat());
  BOOST_TEST(Members.at(1).isSuperseded());
  BOOST_TEST(!Successor->isSuperseded());
}

BOOST_AUTO_TEST_CASE(JoiningProcessOutranksPredecessorWithFastClock) {
  Cluster Members;
  const std::unique_ptr<Membership> Successor = Members.join(1, "later");
  IncarnationView View(3);
  View[0] = {Successor->view().at(1).m_number + 1000, "boot1"};
  Successor->mergeView(View);
  BOOST_TEST(!Successor->isSuperseded());
  BOOST_TEST(Successor->view().at(1).m_number == View[0].m_number + 1);
}

BOOST_AUTO_TEST_CASE(MajorityOffsetCountsOnlyPeersInContact) {
  Cluster Members;
  Members.exchange();
  Members.exchange();
  Heartbeat Ahead = Members.at(2).nextHeartbeat();
  Ahead.m_appliedOffset = 50;
  Members.at(1).onHeartbeat(Ahead);
  BOOST_TEST(Members.at(1).majorityOffset(100) == 50U);
  BOOST_TEST(Members.at(1).highestReportedOffset() == 50U);
  Members.m_clock.advance(1001ms);
  BOOST_TEST(Members.at(1).majorityOffset(100) == 0U);
}

BOOST_AUTO_TEST_CASE(OldAndMalformedHeartbeatsAreIgnored) {
  Cluster Members;
  const Heartbeat First = Members.at(2).nextHeartbeat();
  const Heartbeat Second = Members.at(2).nextHeartbeat();
  BOOST_TEST(Members.at(1).onHeartbeat(Second));
  BOOST_TEST(!Members.at(1).onHeartbeat(First));
  Heartbeat Malformed = Members.at(2).nextHeartbeat();
  Malformed.m_seat = 9;
  BOOST_TEST(!Members.at(1).onHeartbeat(Malformed));
}
