// Majority claims on idempotency keys.
#include "catkinseam/request/key_register.h"

#include <algorithm>

namespace catkinseam {

KeyRegister::KeyRegister(const Clock &Time, Seating Seats,
                         const Options &Limits)
    : m_clock(Time), m_seating(std::move(Seats)), m_options(Limits),
      m_started(Time.now()) {}

KeyStart KeyRegister::begin(const std::string &Key,
                            const std::vector<ClaimId> &Replaces) {
  KeyStart Start;
  if (!m_isSynced) {
    Start.m_progress.m_status = KeyStatus::NotSynced;
    return Start;
  }
  const Seat Own = m_seating.m_own;
  Start.m_claim.m_key = Key;
  Start.m_claim.m_id = {m_seating.at(Own).m_bootId, m_nextNumber++};
  Start.m_claim.m_seat = Own;
  Start.m_claim.m_replaces = Replaces;
  Start.m_claim.m_view = m_seating.m_view;
  const auto Known = m_table.find(Key);
  if (!grant(Start.m_claim)) {
    Start.m_progress.m_status = KeyStatus::Held;
    Start.m_progress.m_holder = Known->second.m_id;
    Start.m_progress.m_holderSeat = Known->second.m_seat;
    return Start;
  }
  OwnClaim &Claim = m_own[Start.m_claim.m_id];
  Claim.m_claim = Start.m_claim;
  Claim.m_grants[Own] = m_seating.m_view;
  decide(Claim);
  Start.m_progress = Claim.m_progress;
  return Start;
}

bool KeyRegister::grant(const KeyClaim &Claim) {
  const auto [Place, IsNew] =
      m_table.try_emplace(Claim.m_key, Row{Claim.m_id, Claim.m_seat, {}});
  Row &Known = Place->second;
  const bool MayTake =
      IsNew || Known.m_id == Claim.m_id ||
      std::find(Claim.m_replaces.begin(), Claim.m_replaces.end(), Known.m_id) !=
          Claim.m_replaces.end();
  if (!MayTake)
    return false;
  Known = {Claim.m_id, Claim.m_seat, m_clock.now()};
  return true;
}

KeyAck KeyRegister::onClaim(const KeyClaim &Claim) {
  KeyAck Ack;
  Ack.m_key = Claim.m_key;
  Ack.m_id = Claim.m_id;
  Ack.m_from = m_seating.m_own;
  Ack.m_view = m_seating.m_view;
  const bool IsSenderCurrent =
      m_seating.isSeat(Claim.m_seat) &&
      m_seating.at(Claim.m_seat).m_bootId == Claim.m_id.m_bootId;
  if (!m_isSynced || m_seating.m_isSuperseded || !IsSenderCurrent)
    return Ack;
  if (grant(Claim)) {
    Ack.m_verdict = AckVerdict::Granted;
    return Ack;
  }
  const Row &Known = m_table.at(Claim.m_key);
  Ack.m_verdict = AckVerdict::Held;
  Ack.m_holder = Known.m_id;
  Ack.m_holderSeat = Known.m_seat;
  return Ack;
}

void KeyRegister::onAck(const KeyAck &Ack) {
  const auto Place = m_own.find(Ack.m_id);
  if (Place == m_own.end())
    return;
  OwnClaim &Own = Place->second;
  if (Own.m_progress.m_status != KeyStatus::Claiming)
    return;
  if (Ack.m_verdict == AckVerdict::Held) {
    Own.m_progress = {KeyStatus::Held, Ack.m_holder, Ack.m_holderSeat};
    return;
  }
  if (Ack.m_verdict != AckVerdict::Granted)
    return;
  Own.m_grants[Ack.m_from] = Ack.m_view;
  decide(Own);
}

void KeyRegister::decide(OwnClaim &Own) const {
  // A grant of a seat is void once any granter knows a later incarnation of
  // that seat than the one that granted: the later one may not hold the claim.
  Seat Counted = 0;
  for (const auto &[Place, View] : Own.m_grants) {
    const std::uint64_t Granter = View[Place - 1].m_number;
    std::uint64_t Latest = m_seating.at(Place).m_number;
    for (const auto &[Other, OtherView] : Own.m_grants)
      Latest = std::max(Latest, OtherView[Place - 1].m_number);
    if (Granter >= Latest)
      ++Counted;
  }
  if (Counted >= m_seating.majority() && !m_seating.m_isSuperseded)
    Own.m_progress.m_status = KeyStatus::Granted;
}

KeyProgress KeyRegister::progress(const ClaimId &Id) const {
  const auto Place = m_own.find(Id);
  if (Place == m_own.end())
    return {KeyStatus::NotSynced, {}, 0};
  return Place->second.m_progress;
}

void KeyRegister::forgetProgress(const ClaimId &Id) { m_own.erase(Id); }

KeySync KeyRegister::syncAnswer() const {
  KeySync Answer;
  Answer.m_isSynced = m_isSynced && !m_seating.m_isSuperseded;
  Answer.m_from = m_seating.m_own;
  Answer.m_view = m_seating.m_view;
  for (const auto &[Key, Known] : m_table)
    Answer.m_entries.push_back(
        {Key, Known.m_id, Known.m_seat,
         toMilliseconds(m_clock.now() - Known.m_since).count()});
  return Answer;
}

void KeyRegister::onSync(const KeySync &Answer) {
  // The answer must come from an entry that knows of this process: from then
  // on its grants tell of it too.
  const bool Counts =
      Answer.m_isSynced && m_seating.isSeat(Answer.m_from) &&
      Answer.m_from != m_seating.m_own &&
      Answer.m_view.size() == m_seating.seats() &&
      Answer.m_view[m_seating.m_own - 1] == m_seating.at(m_seating.m_own) &&
      Answer.m_view[Answer.m_from - 1] == m_seating.at(Answer.m_from);
  if (!Counts)
    return;
  for (const KeyEntry &Entry : Answer.m_entries)
    m_table.try_emplace(Entry.m_key,
                        Row{Entry.m_id, Entry.m_seat,
                            m_clock.now() - Milliseconds(Entry.m_ageMs)});
  m_syncedFrom[Answer.m_from] = true;
  // Enough other seats that one of them is in any majority that a process on
  // this seat was part of.
  const Seat Needed = m_seating.seats() - m_seating.majority() + 1;
  if (m_syncedFrom.size() >= Needed)
    m_isSynced = true;
}

Duration KeyRegister::unsyncedFor() const {
  return m_isSynced ? Duration::zero() : m_clock.now() - m_started;
}

void KeyRegister::tick() {
  const TimePoint Oldest = m_clock.now() - m_options.m_memory;
  std::erase_if(m_table, [&](const auto &Entry) {
    return Entry.second.m_since < Oldest;
  });
  // Nothing claimed before this entry started can still be remembered by
  // anyone once the memory has passed, so it has nothing left to copy.
  if (unsyncedFor() > m_options.m_memory)
    m_isSynced = true;
}

} // namespace catkinseam
