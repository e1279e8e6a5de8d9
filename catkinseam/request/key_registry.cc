// Claims on idempotency keys by majority.
#include "catkinseam/request/key_registry.h"

#include <algorithm>

namespace catkinseam {

KeyRegistry::KeyRegistry(const Clock &Time, MembershipView InitialMembership,
                         const Options &Opts)
    : m_clock(Time), m_membership(std::move(InitialMembership)),
      m_options(Opts), m_startedAt(Time.now()) {}

ClaimStart KeyRegistry::begin(const std::string &Key,
                              const std::vector<ClaimId> &Replaces) {
  ClaimStart Start;
  if (!m_isSynced) {
    Start.m_progress.m_status = KeyStatus::NotSynced;
    return Start;
  }
  const Seat OwnSeat = m_membership.m_ownSeat;
  Start.m_claim.m_key = Key;
  Start.m_claim.m_id = {m_membership.at(OwnSeat).m_bootId, m_nextNumber++};
  Start.m_claim.m_seat = OwnSeat;
  Start.m_claim.m_replaces = Replaces;
  Start.m_claim.m_view = m_membership.m_incarnations;
  const auto Existing = m_table.find(Key);
  if (!tryGrant(Start.m_claim)) {
    Start.m_progress.m_status = KeyStatus::Held;
    Start.m_progress.m_holder = Existing->second.m_id;
    Start.m_progress.m_holderSeat = Existing->second.m_seat;
    return Start;
  }
  OwnClaim &Claim = m_ownClaims[Start.m_claim.m_id];
  Claim.m_claim = Start.m_claim;
  Claim.m_grants[OwnSeat] = m_membership.m_incarnations;
  updateStatus(Claim);
  Start.m_progress = Claim.m_progress;
  return Start;
}

bool KeyRegistry::tryGrant(const KeyClaim &Claim) {
  const auto [It, IsInserted] =
      m_table.try_emplace(Claim.m_key, TableRow{Claim.m_id, Claim.m_seat, {}});
  TableRow &Existing = It->second;
  const bool IsAllowed =
      IsInserted || Existing.m_id == Claim.m_id ||
      std::find(Claim.m_replaces.begin(), Claim.m_replaces.end(),
                Existing.m_id) != Claim.m_replaces.end();
  if (!IsAllowed)
    return false;
  Existing = {Claim.m_id, Claim.m_seat, m_clock.now()};
  return true;
}

KeyAck KeyRegistry::onClaim(const KeyClaim &Claim) {
  KeyAck Ack;
  Ack.m_key = Claim.m_key;
  Ack.m_id = Claim.m_id;
  Ack.m_from = m_membership.m_ownSeat;
  Ack.m_view = m_membership.m_incarnations;
  const bool IsSenderCurrent =
      m_membership.isSeat(Claim.m_seat) &&
      m_membership.at(Claim.m_seat).m_bootId == Claim.m_id.m_bootId;
  if (!m_isSynced || m_membership.m_isSuperseded || !IsSenderCurrent)
    return Ack;
  if (tryGrant(Claim)) {
    Ack.m_verdict = AckVerdict::Granted;
    return Ack;
  }
  const TableRow &Existing = m_table.at(Claim.m_key);
  Ack.m_verdict = AckVerdict::Held;
  Ack.m_holder = Existing.m_id;
  Ack.m_holderSeat = Existing.m_seat;
  return Ack;
}

void KeyRegistry::onAck(const KeyAck &Ack) {
  const auto It = m_ownClaims.find(Ack.m_id);
  if (It == m_ownClaims.end())
    return;
  OwnClaim &Claim = It->second;
  if (Claim.m_progress.m_status != KeyStatus::Claiming)
    return;
  if (Ack.m_verdict == AckVerdict::Held) {
    Claim.m_progress = {KeyStatus::Held, Ack.m_holder, Ack.m_holderSeat};
    return;
  }
  if (Ack.m_verdict != AckVerdict::Granted)
    return;
  Claim.m_grants[Ack.m_from] = Ack.m_view;
  updateStatus(Claim);
}

void KeyRegistry::updateStatus(OwnClaim &Claim) const {
  // A grant does not count if any granting entry knows a later incarnation of
  // the seat than the one that granted: the later one may not have the claim.
  Seat ValidGrants = 0;
  for (const auto &[GranterSeat, View] : Claim.m_grants) {
    const std::uint64_t GrantedNumber = View[GranterSeat - 1].m_number;
    std::uint64_t LatestNumber = m_membership.at(GranterSeat).m_number;
    for (const auto &[Other, OtherView] : Claim.m_grants)
      LatestNumber =
          std::max(LatestNumber, OtherView[GranterSeat - 1].m_number);
    if (GrantedNumber >= LatestNumber)
      ++ValidGrants;
  }
  if (ValidGrants >= m_membership.majority() && !m_membership.m_isSuperseded)
    Claim.m_progress.m_status = KeyStatus::Granted;
}

KeyProgress KeyRegistry::progress(const ClaimId &Id) const {
  const auto It = m_ownClaims.find(Id);
  if (It == m_ownClaims.end())
    return {KeyStatus::NotSynced, {}, 0};
  return It->second.m_progress;
}

void KeyRegistry::forgetProgress(const ClaimId &Id) { m_ownClaims.erase(Id); }

KeyTableCopy KeyRegistry::syncReply() const {
  KeyTableCopy Answer;
  Answer.m_isSynced = m_isSynced && !m_membership.m_isSuperseded;
  Answer.m_from = m_membership.m_ownSeat;
  Answer.m_view = m_membership.m_incarnations;
  for (const auto &[Key, Existing] : m_table)
    Answer.m_entries.push_back(
        {Key, Existing.m_id, Existing.m_seat,
         toMilliseconds(m_clock.now() - Existing.m_claimedAt).count()});
  return Answer;
}

void KeyRegistry::onSync(const KeyTableCopy &Answer) {
  // The answer must come from an entry that knows this incarnation. Its later
  // grants then include this incarnation in their view, which invalidates
  // grants of earlier processes on this seat.
  const bool IsUsable =
      Answer.m_isSynced && m_membership.isSeat(Answer.m_from) &&
      Answer.m_from != m_membership.m_ownSeat &&
      Answer.m_view.size() == m_membership.seats() &&
      Answer.m_view[m_membership.m_ownSeat - 1] ==
          m_membership.at(m_membership.m_ownSeat) &&
      Answer.m_view[Answer.m_from - 1] == m_membership.at(Answer.m_from);
  if (!IsUsable)
    return;
  for (const KeyEntry &Entry : Answer.m_entries)
    m_table.try_emplace(Entry.m_key,
                        TableRow{Entry.m_id, Entry.m_seat,
                                 m_clock.now() - Milliseconds(Entry.m_ageMs)});
  m_syncedFrom[Answer.m_from] = true;
  // Every majority that included an earlier process on this seat contains at
  // least one of this many other seats.
  const Seat Needed = m_membership.seats() - m_membership.majority() + 1;
  if (m_syncedFrom.size() >= Needed)
    m_isSynced = true;
}

Duration KeyRegistry::unsyncedFor() const {
  return m_isSynced ? Duration::zero() : m_clock.now() - m_startedAt;
}

void KeyRegistry::tick() {
  const TimePoint Oldest = m_clock.now() - m_options.m_retention;
  std::erase_if(m_table, [&](const auto &Entry) {
    return Entry.second.m_claimedAt < Oldest;
  });
  // Claims made before this entry started have expired everywhere once it has
  // run for m_retention, so there is nothing left to copy.
  if (unsyncedFor() > m_options.m_retention)
    m_isSynced = true;
}

} // namespace catkinseam
