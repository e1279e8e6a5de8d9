// Heartbeat bookkeeping and majorities of seats.
#include "catkinseam/membership/membership.h"

#include "catkinseam/base/hash.h"

#include <algorithm>

namespace catkinseam {

namespace {

constexpr std::size_t SentTimesKept = 256;

} // namespace

Membership::Membership(const Clock &Time, const Options &Own)
    : m_clock(Time), m_options(Own) {
  m_seating.m_own = Own.m_seat;
  m_seating.m_view.resize(Own.m_seats);
  Incarnation &Self = m_seating.m_view[Own.m_seat - 1];
  Self.m_number =
      static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count());
  Self.m_bootId = Own.m_bootId;
}

Heartbeat Membership::nextHeartbeat() {
  Heartbeat Own;
  Own.m_sequence = ++m_sequence;
  m_sent[m_sequence] = m_clock.now();
  if (m_sent.size() > SentTimesKept)
    m_sent.erase(m_sent.begin());
  Own.m_echoes.resize(m_options.m_seats);
  for (const auto &[Place, Peer] : m_peers)
    Own.m_echoes[Place - 1] = Peer.m_last.m_sequence;
  Own.m_seat = m_options.m_seat;
  Own.m_name = m_options.m_name;
  Own.m_dataCentre = m_options.m_dataCentre;
  Own.m_state = m_state;
  Own.m_view = m_seating.m_view;
  return Own;
}

void Membership::mergeView(const SeatView &View) {
  const std::size_t Known = std::min(View.size(), m_seating.m_view.size());
  for (std::size_t Index = 0; Index < Known; ++Index) {
    const Incarnation &Other = View[Index];
    Incarnation &Mine = m_seating.m_view[Index];
    const bool IsOwnSeat = Index + 1 == m_options.m_seat;
    if (IsOwnSeat && Other.m_bootId != m_options.m_bootId &&
        Other.m_number >= Mine.m_number) {
      // While joining, a higher number is the predecessor's, by a clock that
      // ran ahead of ours; later, it is a successor.
      if (m_state == EntryState::Joining)
        Mine.m_number = Other.m_number + 1;
      else
        m_seating.m_isSuperseded = true;
      continue;
    }
    if (!IsOwnSeat && Other.m_number > Mine.m_number) {
      Mine = Other;
      m_peers.erase(static_cast<Seat>(Index + 1));
    }
  }
}

bool Membership::onHeartbeat(const Heartbeat &Received) {
  const bool IsSeat = Received.m_seat >= 1 &&
                      Received.m_seat <= m_options.m_seats &&
                      Received.m_view.size() == m_options.m_seats;
  if (!IsSeat)
    return false;
  mergeView(Received.m_view);
  if (Received.m_seat == m_options.m_seat)
    return false;
  const Incarnation &Sender = Received.m_view[Received.m_seat - 1];
  if (Sender != m_seating.at(Received.m_seat))
    return false;
  PeerRow &Peer = m_peers[Received.m_seat];
  const bool IsOld = Received.m_sequence <= Peer.m_last.m_sequence;
  if (IsOld)
    return false;
  Peer.m_last = Received;
  Peer.m_lastHeard = m_clock.now();
  if (Received.m_echoes.size() == m_options.m_seats)
    Peer.m_provenAt = std::max(Peer.m_provenAt,
                               sentAt(Received.m_echoes[m_options.m_seat - 1]));
  return true;
}

bool Membership::isBeatDue(Duration Interval) const {
  return m_sent.empty() || m_clock.now() - m_sent.rbegin()->second >= Interval;
}

TimePoint Membership::sentAt(std::uint64_t Sequence) const {
  const auto Place = m_sent.find(Sequence);
  return Place == m_sent.end() ? TimePoint() : Place->second;
}

bool Membership::isFresh(const PeerRow &Peer, Duration Window) const {
  return m_clock.now() - Peer.m_lastHeard <= Window;
}

bool Membership::isProven(const PeerRow &Peer) const {
  return m_clock.now() - Peer.m_provenAt <= m_options.m_contactFor;
}

std::vector<Seat> Membership::aliveSeats() const {
  std::vector<Seat> Alive = {m_options.m_seat};
  for (const auto &[Place, Peer] : m_peers)
    if (isFresh(Peer, m_options.m_deadAfter))
      Alive.push_back(Place);
  std::sort(Alive.begin(), Alive.end());
  return Alive;
}

std::vector<Seat> Membership::readySeats() const {
  std::vector<Seat> Ready;
  if (m_state == EntryState::Ready)
    Ready.push_back(m_options.m_seat);
  for (const auto &[Place, Peer] : m_peers)
    if (isFresh(Peer, m_options.m_deadAfter) &&
        Peer.m_last.m_state == EntryState::Ready)
      Ready.push_back(Place);
  std::sort(Ready.begin(), Ready.end());
  return Ready;
}

bool Membership::isInMajority() const {
  Seat InContact = 1;
  for (const auto &[Place, Peer] : m_peers)
    if (isProven(Peer))
      ++InContact;
  return InContact >= m_seating.majority() && !isSuperseded();
}

std::uint64_t Membership::highestOffsetHeard() const {
  std::uint64_t Highest = 0;
  for (const auto &[Place, Peer] : m_peers)
    Highest = std::max(Highest, Peer.m_last.m_appliedOffset);
  return Highest;
}

std::uint64_t Membership::majorityOffset(std::uint64_t OwnOffset) const {
  std::vector<std::uint64_t> Reached = {OwnOffset};
  for (const auto &[Place, Peer] : m_peers)
    if (isProven(Peer))
      Reached.push_back(Peer.m_last.m_appliedOffset);
  if (Reached.size() < m_seating.majority())
    return 0;
  std::sort(Reached.rbegin(), Reached.rend());
  return Reached[m_seating.majority() - 1];
}

Seat homeOf(const std::string &Name, const std::vector<Seat> &Seats) {
  Seat Best = 0;
  std::uint64_t BestScore = 0;
  for (const Seat Place : Seats) {
    const std::uint64_t Score = hashPair(Name, std::to_string(Place));
    if (Best == 0 || Score > BestScore) {
      Best = Place;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace catkinseam
