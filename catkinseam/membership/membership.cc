// Heartbeat processing and majority checks.
#include "catkinseam/membership/membership.h"

#include "catkinseam/base/hash.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr std::size_t MaxSendTimes = 256;

} // namespace

Membership::Membership(const Clock &Time, const Options &Own)
    : m_clock(Time), m_options(Own) {
  m_view.m_ownSeat = Own.m_seat;
  m_view.m_incarnations.resize(Own.m_seats);
  Incarnation &Self = m_view.m_incarnations[Own.m_seat - 1];
  Self.m_number =
      static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count());
  Self.m_bootId = Own.m_bootId;
}

Heartbeat Membership::nextHeartbeat() {
  Heartbeat Own;
  Own.m_sequence = ++m_sequence;
  m_sendTimes[m_sequence] = m_clock.now();
  if (m_sendTimes.size() > MaxSendTimes)
    m_sendTimes.erase(m_sendTimes.begin());
  Own.m_acknowledgedSequences.resize(m_options.m_seats);
  for (const auto &[PeerSeat, Peer] : m_peers)
    Own.m_acknowledgedSequences[PeerSeat - 1] = Peer.m_lastHeartbeat.m_sequence;
  Own.m_seat = m_options.m_seat;
  Own.m_name = m_options.m_name;
  Own.m_dataCentre = m_options.m_dataCentre;
  Own.m_state = m_state;
  Own.m_incarnations = m_view.m_incarnations;
  return Own;
}

void Membership::mergeView(const IncarnationView &View) {
  const std::size_t Known = std::min(View.size(), m_view.m_incarnations.size());
  for (std::size_t Index = 0; Index < Known; ++Index) {
    const Incarnation &Reported = View[Index];
    Incarnation &Local = m_view.m_incarnations[Index];
    const bool IsOwnSeat = Index + 1 == m_options.m_seat;
    if (IsOwnSeat && Reported.m_bootId != m_options.m_bootId &&
        Reported.m_number >= Local.m_number) {
      // While this process is joining, a higher number belongs to a predecessor
      // whose clock ran ahead; afterwards it belongs to a successor.
      if (m_state == EntryState::Joining)
        Local.m_number = Reported.m_number + 1;
      else
        m_view.m_isSuperseded = true;
      continue;
    }
    if (!IsOwnSeat && Reported.m_number > Local.m_number) {
      Local = Reported;
      m_peers.erase(static_cast<Seat>(Index + 1));
    }
  }
}

bool Membership::onHeartbeat(const Heartbeat &Received) {
  const bool IsSeat = Received.m_seat >= 1 &&
                      Received.m_seat <= m_options.m_seats &&
                      Received.m_incarnations.size() == m_options.m_seats;
  if (!IsSeat)
    return false;
  mergeView(Received.m_incarnations);
  if (Received.m_seat == m_options.m_seat)
    return false;
  const Incarnation &Sender = Received.m_incarnations[Received.m_seat - 1];
  if (Sender != m_view.at(Received.m_seat))
    return false;
  PeerState &Peer = m_peers[Received.m_seat];
  const bool IsOld = Received.m_sequence <= Peer.m_lastHeartbeat.m_sequence;
  if (IsOld)
    return false;
  Peer.m_lastHeartbeat = Received;
  Peer.m_lastReceivedAt = m_clock.now();
  if (Received.m_acknowledgedSequences.size() == m_options.m_seats)
    Peer.m_lastAckedSendTime = std::max(
        Peer.m_lastAckedSendTime,
        sendTime(Received.m_acknowledgedSequences[m_options.m_seat - 1]));
  return true;
}

bool Membership::isHeartbeatDue(Duration Interval) const {
  return m_sendTimes.empty() ||
         m_clock.now() - m_sendTimes.rbegin()->second >= Interval;
}

TimePoint Membership::sendTime(std::uint64_t Sequence) const {
  const auto Found = m_sendTimes.find(Sequence);
  return Found == m_sendTimes.end() ? TimePoint() : Found->second;
}

bool Membership::isHeardWithin(const PeerState &Peer, Duration Window) const {
  return m_clock.now() - Peer.m_lastReceivedAt <= Window;
}

bool Membership::isInContact(const PeerState &Peer) const {
  return m_clock.now() - Peer.m_lastAckedSendTime <= m_options.m_contactTimeout;
}

std::vector<Seat> Membership::aliveSeats() const {
  std::vector<Seat> Alive = {m_options.m_seat};
  for (const auto &[PeerSeat, Peer] : m_peers)
    if (isHeardWithin(Peer, m_options.m_failureTimeout))
      Alive.push_back(PeerSeat);
  std::sort(Alive.begin(), Alive.end());
  return Alive;
}

std::vector<Seat> Membership::readySeats() const {
  std::vector<Seat> Ready;
  if (m_state == EntryState::Ready)
    Ready.push_back(m_options.m_seat);
  for (const auto &[PeerSeat, Peer] : m_peers)
    if (isHeardWithin(Peer, m_options.m_failureTimeout) &&
        Peer.m_lastHeartbeat.m_state == EntryState::Ready)
      Ready.push_back(PeerSeat);
  std::sort(Ready.begin(), Ready.end());
  return Ready;
}

bool Membership::isInMajority() const {
  Seat InContact = 1;
  for (const auto &[PeerSeat, Peer] : m_peers)
    if (isInContact(Peer))
      ++InContact;
  return InContact >= m_view.majority() && !isSuperseded();
}

std::uint64_t Membership::highestReportedOffset() const {
  std::uint64_t Highest = 0;
  for (const auto &[PeerSeat, Peer] : m_peers)
    Highest = std::max(Highest, Peer.m_lastHeartbeat.m_appliedOffset);
  return Highest;
}

std::uint64_t Membership::majorityOffset(std::uint64_t OwnOffset) const {
  std::vector<std::uint64_t> Reached = {OwnOffset};
  for (const auto &[PeerSeat, Peer] : m_peers)
    if (isInContact(Peer))
      Reached.push_back(Peer.m_lastHeartbeat.m_appliedOffset);
  if (Reached.size() < m_view.majority())
    return 0;
  std::sort(Reached.rbegin(), Reached.rend());
  return Reached[m_view.majority() - 1];
}

Seat preferredSeat(const std::string &Name, const std::vector<Seat> &Seats) {
  Seat Best = 0;
  std::uint64_t BestScore = 0;
  for (const Seat Candidate : Seats) {
    const std::uint64_t Score = hashPair(Name, std::to_string(Candidate));
    if (Best == 0 || Score > BestScore) {
      Best = Candidate;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace catkinseam
