// At most one claim per key is granted when messages are lost, duplicated or
// reordered and entries pause or are replaced.
#define BOOST_TEST_MODULE key_registry
#include "catkinseam/request/key_registry.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace catkinseam;

namespace {

/// How a replacement process becomes able to acknowledge claims. SkipSync is
/// the faulty variant that the tests must detect.
enum class JoinMode { Sync, SkipSync };

/// Simulated entries and the messages in flight between them, which a test
/// delivers, drops, duplicates and reorders.
class Network {
public:
  Network(Seat Seats, JoinMode Mode) : m_joinMode(Mode) {
    for (Seat SeatNumber = 1; SeatNumber <= Seats; ++SeatNumber)
      m_nodes.push_back(makeNode(SeatNumber, Seats));
    for (auto &Own : m_nodes) {
      for (auto &Other : m_nodes)
        Own->m_membership.m_incarnations[Other->m_membership.m_ownSeat - 1] =
            Other->m_membership.at(Other->m_membership.m_ownSeat);
      Own->m_keys->setMembershipView(Own->m_membership);
      Own->m_keys->syncWithoutPeers();
    }
  }

  Seat seats() const { return static_cast<Seat>(m_nodes.size()); }

  void begin(Seat SeatNumber, const std::string &Key) {
    Node &Sender = *m_nodes[SeatNumber - 1];
    const ClaimStart Start = Sender.m_keys->begin(Key);
    recordGrant(Key, Start.m_claim.m_id, Start.m_progress);
    if (Start.m_progress.m_status != KeyStatus::Claiming)
      return;
    Sender.m_claims.push_back(Start.m_claim);
    broadcast(SeatNumber, Start.m_claim);
  }

  /// Resends all claims that an entry started.
  void resend(Seat SeatNumber) {
    for (const KeyClaim &Claim : m_nodes[SeatNumber - 1]->m_claims)
      broadcast(SeatNumber, Claim);
  }

  /// Delivers or drops one message in flight. A duplicated message also stays
  /// in flight.
  void handleMessage(std::size_t Index, bool IsDelivered, bool IsDuplicated) {
    if (m_messages.empty())
      return;
    Index %= m_messages.size();
    const Message Received = m_messages[Index];
    if (!IsDuplicated)
      m_messages.erase(m_messages.begin() + static_cast<long>(Index));
    if (IsDelivered)
      deliver(Received);
  }

  /// Starts a new process on a seat. The old process keeps running and stays
  /// connected.
  void replace(Seat SeatNumber) {
    m_supersededNodes.push_back(std::move(m_nodes[SeatNumber - 1]));
    m_nodes[SeatNumber - 1] = makeNode(SeatNumber, seats());
    Node &Replacement = *m_nodes[SeatNumber - 1];
    if (m_joinMode == JoinMode::SkipSync)
      Replacement.m_keys->syncWithoutPeers();
  }

  /// Copies the table of one other seat to an unsynced process.
  void sync(Seat SeatToSync, Seat From) {
    Node &Replacement = *m_nodes[SeatToSync - 1];
    Node &Source = *m_nodes[From - 1];
    if (SeatToSync == From || Replacement.m_keys->isSynced())
      return;
    merge(Source, Replacement.m_membership.m_incarnations);
    const KeyTableCopy Table = Source.m_keys->syncReply();
    merge(Replacement, Table.m_view);
    Replacement.m_keys->onSync(Table);
  }

  /// Returns the keys for which two claims were granted.
  std::set<std::string> grantedTwice() const { return m_grantedTwice; }
  std::size_t grants() const { return m_granted.size(); }

  ManualClock &clock() { return m_clock; }

private:
  struct Node {
    MembershipView m_membership;
    std::unique_ptr<KeyRegistry> m_keys;
    std::vector<KeyClaim> m_claims;
  };

  struct Message {
    /// The process, not the seat: a superseded process still gets messages.
    Node *m_to = nullptr;
    std::optional<KeyClaim> m_claim;
    std::optional<KeyAck> m_ack;
    Node *m_from = nullptr;
  };

  std::unique_ptr<Node> makeNode(Seat SeatNumber, Seat Seats) {
    auto Created = std::make_unique<Node>();
    Created->m_membership.m_ownSeat = SeatNumber;
    Created->m_membership.m_incarnations.resize(Seats);
    Created->m_membership.m_incarnations[SeatNumber - 1] = {
        ++m_incarnations, "boot" + std::to_string(m_incarnations)};
    Created->m_keys = std::make_unique<KeyRegistry>(
        m_clock, Created->m_membership, KeyRegistry::Options());
    return Created;
  }

  static void merge(Node &Into, const IncarnationView &View) {
    for (std::size_t Index = 0; Index < View.size(); ++Index) {
      Incarnation &Current = Into.m_membership.m_incarnations[Index];
      if (View[Index].m_number <= Current.m_number)
        continue;
      if (Index + 1 == Into.m_membership.m_ownSeat)
        Into.m_membership.m_isSuperseded = true;
      else
        Current = View[Index];
    }
    Into.m_keys->setMembershipView(Into.m_membership);
  }

  Node &sender(Seat SeatNumber) { return *m_nodes[SeatNumber - 1]; }

  void broadcast(Seat From, const KeyClaim &Claim) {
    for (auto &Receiver : m_nodes)
      if (Receiver->m_membership.m_ownSeat != From)
        m_messages.push_back({Receiver.get(), Claim, {}, &sender(From)});
    // Superseded processes keep receiving claims; they may not know of it yet.
    for (auto &Receiver : m_supersededNodes)
      if (Receiver->m_membership.m_ownSeat != From)
        m_messages.push_back({Receiver.get(), Claim, {}, &sender(From)});
  }

  void deliver(const Message &Received) {
    Node &To = *Received.m_to;
    if (Received.m_claim) {
      merge(To, Received.m_claim->m_view);
      m_messages.push_back(
          {Received.m_from, {}, To.m_keys->onClaim(*Received.m_claim), &To});
      return;
    }
    To.m_keys->onAck(*Received.m_ack);
    recordGrant(Received.m_ack->m_key, Received.m_ack->m_id,
                To.m_keys->progress(Received.m_ack->m_id));
  }

  void recordGrant(const std::string &Key, const ClaimId &Id,
                   const KeyProgress &Progress) {
    if (Progress.m_status != KeyStatus::Granted)
      return;
    const auto [It, IsInserted] = m_granted.emplace(Key, Id);
    if (!IsInserted && It->second != Id)
      m_grantedTwice.insert(Key);
  }

  const JoinMode m_joinMode;
  ManualClock m_clock;
  std::uint64_t m_incarnations = 0;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Node>> m_supersededNodes;
  std::vector<Message> m_messages;
  std::map<std::string, ClaimId> m_granted;
  std::set<std::string> m_grantedTwice;
};

/// Runs one random history and returns the final network state.
std::unique_ptr<Network> runHistory(JoinMode Mode) {
  const Seat Seats = *rc::gen::element<Seat>(2, 3, 4, 5, 6, 7);
  auto Net = std::make_unique<Network>(Seats, Mode);
  const int Steps = *rc::gen::inRange(10, 250);
  for (int Step = 0; Step < Steps; ++Step) {
    const Seat SeatNumber = *rc::gen::inRange<Seat>(1, Seats + 1);
    const int Choice = *rc::gen::inRange(0, 100);
    if (Choice < 12)
      Net->begin(SeatNumber, "k" + std::to_string(*rc::gen::inRange(0, 2)));
    else if (Choice < 16)
      Net->replace(SeatNumber);
    else if (Choice < 30)
      Net->sync(SeatNumber, *rc::gen::inRange<Seat>(1, Seats + 1));
    else if (Choice < 36)
      Net->resend(SeatNumber);
    else
      Net->handleMessage(*rc::gen::arbitrary<std::uint16_t>(),
                         Choice<90, Choice> 95);
  }
  return Net;
}

void deliverAll(Network &Net) {
  for (int Step = 0; Step < 100; ++Step)
    Net.handleMessage(0, true, false);
}

} // namespace

BOOST_AUTO_TEST_CASE(GrantsOneOfTwoClaims) {
  Network Net(3, JoinMode::Sync);
  Net.begin(1, "k");
  deliverAll(Net);
  BOOST_TEST(Net.grants() == 1U);
  Net.begin(2, "k");
  deliverAll(Net);
  BOOST_TEST(Net.grantedTwice().empty());
}

BOOST_AUTO_TEST_CASE(ReplacementMustSyncBeforeItGrants) {
  // Seats 1 and 2 grant a claim, then seat 2 is replaced. If the replacement
  // granted without syncing, it and seat 3 would be a majority without
  // knowledge of the claim.
  for (const JoinMode Mode : {JoinMode::Sync, JoinMode::SkipSync}) {
    Network Net(3, Mode);
    Net.begin(1, "k");
    Net.handleMessage(0, true, false); // To seat 2.
    Net.handleMessage(0, false, false);
    Net.handleMessage(0, true, false); // Grant of seat 2.
    BOOST_TEST(Net.grants() == 1U);
    Net.replace(2);
    Net.sync(2, 3);
    Net.begin(3, "k");
    Net.handleMessage(0, false, false); // The claim to seat 1 is lost.
    deliverAll(Net);
    BOOST_TEST(Net.grantedTwice().empty() == (Mode == JoinMode::Sync));
  }
}

BOOST_AUTO_TEST_CASE(GrantOfAReplacedProcessIsVoid) {
  // Seat 2 is replaced by a process that synced from seats 3, 4 and 5. The old
  // process does not know of it and still grants a claim sent to it before.
  // That grant must not count.
  Network Net(5, JoinMode::Sync);
  Net.begin(1, "k"); // In flight to 2 (old), 3, 4 and 5.
  Net.replace(2);
  for (const Seat From : {3U, 4U, 5U})
    Net.sync(2, From);
  Net.handleMessage(0, true, false); // The old process on seat 2 grants.
  Net.handleMessage(3, true, false); // Seat 1 receives that grant.
  Net.handleMessage(0, true, false); // Seat 3 grants, naming the new process.
  Net.handleMessage(2, true, false);
  Net.handleMessage(0, false, false);
  Net.handleMessage(0, false, false);
  BOOST_TEST(Net.grants() == 0U);
  Net.begin(5, "k"); // In flight to 1, 2 (new), 3, 4 and 2 (old).
  Net.handleMessage(0, false, false); // Lost to seat 1.
  Net.handleMessage(0, true, false);
  Net.handleMessage(0, false, false); // Lost to seat 3.
  Net.handleMessage(0, true, false);
  Net.handleMessage(0, false, false); // Lost to the old process.
  deliverAll(Net);
  BOOST_TEST(Net.grants() == 1U);
  BOOST_TEST(Net.grantedTwice().empty());
}

BOOST_AUTO_TEST_CASE(ForgetsKeysAfterTheRetentionTime) {
  ManualClock Clock;
  MembershipView Alone;
  Alone.m_incarnations = {{1, "boot"}};
  KeyRegistry Keys(Clock, Alone, {});
  Keys.syncWithoutPeers();
  Keys.begin("k");
  BOOST_TEST(Keys.size() == 1U);
  Clock.advance(std::chrono::seconds(121));
  Keys.tick();
  BOOST_TEST(Keys.size() == 0U);
}

BOOST_AUTO_TEST_CASE(UnsyncedEntryClaimsNothingUntilTheRetentionTimePasses) {
  ManualClock Clock;
  MembershipView Own;
  Own.m_incarnations = {{1, "a"}, {0, ""}, {0, ""}};
  KeyRegistry Keys(Clock, Own, {});
  BOOST_TEST((Keys.begin("k").m_progress.m_status == KeyStatus::NotSynced));
  Clock.advance(std::chrono::seconds(121));
  Keys.tick();
  BOOST_TEST(Keys.isSynced());
}

RC_BOOST_PROP(NoKeyIsGrantedTwice, ()) {
  const std::unique_ptr<Network> Net = runHistory(JoinMode::Sync);
  RC_CLASSIFY(Net->grants() > 0, "some claim was granted");
  RC_ASSERT(Net->grantedTwice().empty());
}

BOOST_AUTO_TEST_CASE(HistoriesExposeGrantsWithoutSync) {
  // Proves that the random histories can detect a violation: replacements that
  // acknowledge without syncing must lead to a key granted twice.
  BOOST_TEST(!rc::check("planted fault, must be found", [] {
    RC_ASSERT(runHistory(JoinMode::SkipSync)->grantedTwice().empty());
  }));
}
