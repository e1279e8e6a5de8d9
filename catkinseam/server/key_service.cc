// Network side of the key register.
#include "catkinseam/server/key_service.h"

namespace catkinseam {

KeyService::KeyService(const Clock &Time, Guarded<Membership> &Members,
                       KeyTransport Transport, const Options &Limits)
    : m_clock(Time), m_members(Members), m_transport(std::move(Transport)),
      m_options(Limits),
      m_register(Time, Members.with([](const Membership &Now) {
        return Now.seating();
      }),
                 Limits.m_register) {}

void KeyService::refreshSeating() {
  m_register.setSeating(
      m_members.with([](const Membership &Now) { return Now.seating(); }));
}

KeyTicket KeyService::claim(const std::string &Key, TimePoint Deadline) {
  std::set<ClaimId> Replaces;
  if (std::optional<KeyTicket> Own = takeOwn(Key, Deadline, Replaces))
    return *Own;
  KeyTicket Ticket = claimInRounds(Key, Deadline, std::move(Replaces));
  {
    const std::lock_guard Lock(m_mutex);
    const bool MayRun = Ticket.m_verdict == KeyVerdict::MayRun;
    m_records[Key].m_phase = MayRun ? Phase::Running : Phase::NotRun;
  }
  m_changed.notify_all();
  return Ticket;
}

KeyTicket KeyService::claimInRounds(const std::string &Key, TimePoint Deadline,
                                    std::set<ClaimId> Replaces) {
  KeyTicket Ticket;
  Ticket.m_key = Key;
  // The second round follows a holder that gave its claim up.
  for (int Round = 0; Round < 2; ++Round) {
    const KeyProgress Progress = claimAtMajority(Key, Replaces, Ticket.m_id);
    if (Progress.m_status == KeyStatus::Granted) {
      Ticket.m_verdict = KeyVerdict::MayRun;
      return Ticket;
    }
    if (Progress.m_status != KeyStatus::Held)
      return Ticket;
    bool IsGivenUp = false;
    KeyTicket Asked = askHolder(Key, Progress, Deadline, IsGivenUp);
    if (!IsGivenUp)
      return Asked;
    Replaces.insert(Ticket.m_id);
    Replaces.insert(Progress.m_holder);
  }
  return Ticket;
}

/// Looks at what this entry did with the key before. Collects its claims that
/// did not run in `Replaces`.
std::optional<KeyTicket> KeyService::takeOwn(const std::string &Key,
                                             TimePoint Deadline,
                                             std::set<ClaimId> &Replaces) {
  std::unique_lock Lock(m_mutex);
  KeyTicket Ticket;
  Ticket.m_key = Key;
  while (true) {
    const auto Place = m_records.find(Key);
    if (Place == m_records.end())
      break;
    Record &Known = Place->second;
    if (Known.m_phase == Phase::NotRun) {
      Known.m_dead.insert(Known.m_id);
      Replaces = Known.m_dead;
      break;
    }
    if (Known.m_phase == Phase::Answered) {
      Ticket.m_verdict = KeyVerdict::Replay;
      Ticket.m_answer = Known.m_answer;
      return Ticket;
    }
    const Duration Left = Deadline - m_clock.now();
    if (Known.m_phase == Phase::Unknown || Left <= Duration::zero()) {
      Ticket.m_verdict = KeyVerdict::InDoubt;
      return Ticket;
    }
    m_changed.wait_for(Lock, Left);
  }
  // From here on a second request with this key waits for the first.
  Record &Own = m_records[Key];
  Own.m_phase = Phase::Claiming;
  Own.m_since = m_clock.now();
  return std::nullopt;
}

KeyProgress KeyService::claimAtMajority(const std::string &Key,
                                        const std::set<ClaimId> &Replaces,
                                        ClaimId &Id) {
  const TimePoint GiveUpAt = m_clock.now() + m_options.m_claimTimeout;
  std::unique_lock Lock(m_mutex);
  refreshSeating();
  const KeyStart Start =
      m_register.begin(Key, {Replaces.begin(), Replaces.end()});
  Id = Start.m_claim.m_id;
  m_records[Key].m_id = Id;
  KeyProgress Progress = Start.m_progress;
  while (Progress.m_status == KeyStatus::Claiming && m_clock.now() < GiveUpAt) {
    Lock.unlock();
    m_transport.m_sendToAll(Start.m_claim);
    Lock.lock();
    m_changed.wait_for(Lock, m_options.m_resendEvery, [&] {
      Progress = m_register.progress(Id);
      return Progress.m_status != KeyStatus::Claiming;
    });
  }
  m_register.forgetProgress(Id);
  if (Progress.m_status != KeyStatus::Granted)
    m_records[Key].m_dead.insert(Id);
  return Progress;
}

/// Learns from the holder what became of the key. The returned ticket is final
/// unless the holder gave its claim up.
KeyTicket KeyService::askHolder(const std::string &Key, const KeyProgress &Held,
                                TimePoint Deadline, bool &IsGivenUp) {
  KeyTicket Ticket;
  Ticket.m_key = Key;
  Ticket.m_verdict = KeyVerdict::InDoubt;
  while (true) {
    const Duration Left = Deadline - m_clock.now();
    if (Left <= Duration::zero())
      return Ticket;
    const std::optional<PeerAnswer> Answer =
        m_transport.m_call(Held.m_holderSeat, KeyQuery{Key, Held.m_holder},
                           std::min(Left, m_options.m_queryTimeout));
    const auto *Known =
        Answer ? std::get_if<KeyQueryAnswer>(&*Answer) : nullptr;
    if (Known == nullptr || Known->m_fate == KeyFate::Unknown)
      return Ticket;
    if (Known->m_fate == KeyFate::Answered) {
      Ticket.m_verdict = KeyVerdict::Replay;
      Ticket.m_answer = {Known->m_status, Known->m_headers, Known->m_body};
      return Ticket;
    }
    if (Known->m_fate == KeyFate::GivenUp) {
      IsGivenUp = true;
      return Ticket;
    }
    std::unique_lock Lock(m_mutex);
    m_changed.wait_for(Lock, std::min(Left, m_options.m_queryEvery));
  }
}

void KeyService::settle(const KeyTicket &Ticket, Phase Ended,
                        HttpResponse Answer) {
  {
    const std::lock_guard Lock(m_mutex);
    const auto Place = m_records.find(Ticket.m_key);
    if (Place == m_records.end() || Place->second.m_id != Ticket.m_id)
      return;
    Place->second.m_phase = Ended;
    Place->second.m_answer = std::move(Answer);
    Place->second.m_since = m_clock.now();
  }
  m_changed.notify_all();
}

void KeyService::settleAnswered(const KeyTicket &Ticket,
                                const HttpResponse &Answer) {
  const bool IsKept = Answer.m_body.size() <= m_options.m_maxAnswerBytes;
  settle(Ticket, IsKept ? Phase::Answered : Phase::Unknown,
         IsKept ? Answer : HttpResponse{});
}

void KeyService::settleNotRun(const KeyTicket &Ticket) {
  settle(Ticket, Phase::NotRun, {});
}

void KeyService::settleUnknown(const KeyTicket &Ticket) {
  settle(Ticket, Phase::Unknown, {});
}

void KeyService::onClaim(const KeyClaim &Claim) {
  m_members.with([&](Membership &Now) { Now.mergeView(Claim.m_view); });
  KeyAck Ack;
  {
    const std::lock_guard Lock(m_mutex);
    refreshSeating();
    Ack = m_register.onClaim(Claim);
  }
  m_transport.m_send(Claim.m_seat, Ack);
}

void KeyService::onAck(const KeyAck &Ack) {
  {
    const std::lock_guard Lock(m_mutex);
    m_register.onAck(Ack);
  }
  m_changed.notify_all();
}

KeySync KeyService::syncAnswer(const KeySyncPull &Pull) {
  m_members.with([&](Membership &Now) { Now.mergeView(Pull.m_view); });
  const std::lock_guard Lock(m_mutex);
  refreshSeating();
  return m_register.syncAnswer();
}

KeyQueryAnswer KeyService::queryAnswer(const KeyQuery &Query) {
  const std::lock_guard Lock(m_mutex);
  KeyQueryAnswer Answer;
  const auto Place = m_records.find(Query.m_key);
  if (Place == m_records.end())
    return Answer;
  Record &Known = Place->second;
  const bool IsCurrent = Known.m_id == Query.m_id;
  if (IsCurrent && Known.m_phase == Phase::NotRun)
    Known.m_dead.insert(Known.m_id);
  if (Known.m_dead.count(Query.m_id) > 0)
    Answer.m_fate = KeyFate::GivenUp;
  else if (IsCurrent && Known.m_phase == Phase::Answered)
    Answer = {KeyFate::Answered, Known.m_answer.m_status,
              Known.m_answer.m_headers, Known.m_answer.m_body};
  else if (IsCurrent && Known.m_phase != Phase::Unknown)
    Answer.m_fate = KeyFate::Running;
  return Answer;
}

void KeyService::tick() {
  KeySyncPull Pull;
  Seat Own = 0;
  {
    const std::lock_guard Lock(m_mutex);
    refreshSeating();
    m_register.tick();
    const TimePoint Oldest = m_clock.now() - m_options.m_register.m_memory;
    std::erase_if(m_records, [&](const auto &Known) {
      const Phase Now = Known.second.m_phase;
      return Known.second.m_since < Oldest && Now != Phase::Claiming &&
             Now != Phase::Running;
    });
    if (m_register.isSynced())
      return;
    const Seating Seats =
        m_members.with([](const Membership &Now) { return Now.seating(); });
    Pull.m_view = Seats.m_view;
    Own = Seats.m_own;
  }
  for (Seat Place = 1; Place <= Pull.m_view.size(); ++Place)
    if (Place != Own)
      syncFrom(Place, Pull);
}

void KeyService::syncFrom(Seat Place, const KeySyncPull &Pull) {
  const std::optional<PeerAnswer> Answer =
      m_transport.m_call(Place, Pull, m_options.m_queryTimeout);
  const auto *Table = Answer ? std::get_if<KeySync>(&*Answer) : nullptr;
  if (Table == nullptr)
    return;
  m_members.with([&](Membership &Now) { Now.mergeView(Table->m_view); });
  const std::lock_guard Lock(m_mutex);
  refreshSeating();
  m_register.onSync(*Table);
}

void KeyService::syncWithoutPeers() {
  const std::lock_guard Lock(m_mutex);
  m_register.syncWithoutPeers();
}

bool KeyService::isSynced() const {
  const std::lock_guard Lock(m_mutex);
  return m_register.isSynced();
}

std::size_t KeyService::size() const {
  const std::lock_guard Lock(m_mutex);
  return m_register.size();
}

} // namespace catkinseam
