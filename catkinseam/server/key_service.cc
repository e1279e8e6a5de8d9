// Claims, queries and synchronisation of idempotency keys between entries.
#include "catkinseam/server/key_service.h"

namespace catkinseam {

KeyService::KeyService(const Clock &TimeSource,
                       Guarded<Membership> &SharedMembership,
                       KeyTransport Transport, const Options &Opts)
    : m_clock(TimeSource), m_membership(SharedMembership),
      m_transport(std::move(Transport)), m_options(Opts),
      m_registry(TimeSource,
                 SharedMembership.with(
                     [](const Membership &Members) { return Members.view(); }),
                 Opts.m_registry) {}

void KeyService::refreshMembershipView() {
  m_registry.setMembershipView(m_membership.with(
      [](const Membership &Members) { return Members.view(); }));
}

KeyTicket KeyService::claim(const std::string &Key, TimePoint Deadline) {
  std::set<ClaimId> Replaces;
  if (std::optional<KeyTicket> Decided =
          checkOwnRecord(Key, Deadline, Replaces))
    return *Decided;
  KeyTicket Ticket = claimWithRetry(Key, Deadline, std::move(Replaces));
  {
    const std::lock_guard Lock(m_mutex);
    const bool MayRun = Ticket.m_verdict == KeyClaimResult::MayRun;
    m_records[Key].m_phase = MayRun ? Phase::Running : Phase::NotRun;
  }
  m_changed.notify_all();
  return Ticket;
}

KeyTicket KeyService::claimWithRetry(const std::string &Key, TimePoint Deadline,
                                     std::set<ClaimId> Replaces) {
  KeyTicket Ticket;
  Ticket.m_key = Key;
  // The second attempt replaces a claim that its holder has abandoned.
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    const KeyProgress Progress = claimAtMajority(Key, Replaces, Ticket.m_id);
    if (Progress.m_status == KeyStatus::Granted) {
      Ticket.m_verdict = KeyClaimResult::MayRun;
      return Ticket;
    }
    if (Progress.m_status != KeyStatus::Held)
      return Ticket;
    bool IsAbandoned = false;
    KeyTicket HolderTicket = queryHolder(Key, Progress, Deadline, IsAbandoned);
    if (!IsAbandoned)
      return HolderTicket;
    Replaces.insert(Ticket.m_id);
    Replaces.insert(Progress.m_holder);
  }
  return Ticket;
}

/// Returns a final ticket if this entry's earlier request with the key decides
/// the claim. Otherwise marks the key as being claimed, sets `Replaces` to this
/// entry's claims that did not run and returns nullopt.
std::optional<KeyTicket>
KeyService::checkOwnRecord(const std::string &Key, TimePoint Deadline,
                           std::set<ClaimId> &Replaces) {
  std::unique_lock Lock(m_mutex);
  KeyTicket Ticket;
  Ticket.m_key = Key;
  while (true) {
    const auto It = m_records.find(Key);
    if (It == m_records.end())
      break;
    RequestRecord &Existing = It->second;
    if (Existing.m_phase == Phase::NotRun) {
      Existing.m_abandoned.insert(Existing.m_id);
      Replaces = Existing.m_abandoned;
      break;
    }
    if (Existing.m_phase == Phase::Answered) {
      Ticket.m_verdict = KeyClaimResult::Replay;
      Ticket.m_response = Existing.m_response;
      return Ticket;
    }
    const Duration Remaining = Deadline - m_clock.now();
    if (Existing.m_phase == Phase::Unknown || Remaining <= Duration::zero()) {
      Ticket.m_verdict = KeyClaimResult::OutcomeUnknown;
      return Ticket;
    }
    m_changed.wait_for(Lock, Remaining);
  }
  // A later request with this key now waits for this one.
  RequestRecord &OwnRecord = m_records[Key];
  OwnRecord.m_phase = Phase::Claiming;
  OwnRecord.m_updatedAt = m_clock.now();
  return std::nullopt;
}

KeyProgress KeyService::claimAtMajority(const std::string &Key,
                                        const std::set<ClaimId> &Replaces,
                                        ClaimId &Id) {
  const TimePoint ClaimDeadline = m_clock.now() + m_options.m_claimTimeout;
  std::unique_lock Lock(m_mutex);
  refreshMembershipView();
  const ClaimStart Start =
      m_registry.begin(Key, {Replaces.begin(), Replaces.end()});
  Id = Start.m_claim.m_id;
  m_records[Key].m_id = Id;
  KeyProgress Progress = Start.m_progress;
  while (Progress.m_status == KeyStatus::Claiming &&
         m_clock.now() < ClaimDeadline) {
    Lock.unlock();
    m_transport.m_sendToAll(Start.m_claim);
    Lock.lock();
    m_changed.wait_for(Lock, m_options.m_resendInterval, [&] {
      Progress = m_registry.progress(Id);
      return Progress.m_status != KeyStatus::Claiming;
    });
  }
  m_registry.forgetProgress(Id);
  if (Progress.m_status != KeyStatus::Granted)
    m_records[Key].m_abandoned.insert(Id);
  return Progress;
}

/// Polls the holder of the key for the outcome of its request. The returned
/// ticket is final unless `IsAbandoned` is set: the holder abandoned its claim.
KeyTicket KeyService::queryHolder(const std::string &Key,
                                  const KeyProgress &Progress,
                                  TimePoint Deadline, bool &IsAbandoned) {
  KeyTicket Ticket;
  Ticket.m_key = Key;
  Ticket.m_verdict = KeyClaimResult::OutcomeUnknown;
  while (true) {
    const Duration Remaining = Deadline - m_clock.now();
    if (Remaining <= Duration::zero())
      return Ticket;
    const std::optional<PeerResponse> Response = m_transport.m_call(
        Progress.m_holderSeat, KeyQuery{Key, Progress.m_holder},
        std::min(Remaining, m_options.m_queryTimeout));
    const auto *QueryResponse =
        Response ? std::get_if<KeyQueryResponse>(&*Response) : nullptr;
    if (QueryResponse == nullptr ||
        QueryResponse->m_outcome == KeyQueryOutcome::Unknown)
      return Ticket;
    if (QueryResponse->m_outcome == KeyQueryOutcome::Answered) {
      Ticket.m_verdict = KeyClaimResult::Replay;
      Ticket.m_response = {QueryResponse->m_status, QueryResponse->m_headers,
                           QueryResponse->m_body};
      return Ticket;
    }
    if (QueryResponse->m_outcome == KeyQueryOutcome::Abandoned) {
      IsAbandoned = true;
      return Ticket;
    }
    std::unique_lock Lock(m_mutex);
    m_changed.wait_for(Lock, std::min(Remaining, m_options.m_queryInterval));
  }
}

void KeyService::recordOutcome(const KeyTicket &Ticket, Phase Ended,
                               HttpResponse Response) {
  {
    const std::lock_guard Lock(m_mutex);
    const auto It = m_records.find(Ticket.m_key);
    if (It == m_records.end() || It->second.m_id != Ticket.m_id)
      return;
    It->second.m_phase = Ended;
    It->second.m_response = std::move(Response);
    It->second.m_updatedAt = m_clock.now();
  }
  m_changed.notify_all();
}

void KeyService::recordAnswered(const KeyTicket &Ticket,
                                const HttpResponse &Response) {
  const bool IsStored = Response.m_body.size() <= m_options.m_maxResponseBytes;
  recordOutcome(Ticket, IsStored ? Phase::Answered : Phase::Unknown,
                IsStored ? Response : HttpResponse{});
}

void KeyService::recordNotRun(const KeyTicket &Ticket) {
  recordOutcome(Ticket, Phase::NotRun, {});
}

void KeyService::recordUnknown(const KeyTicket &Ticket) {
  recordOutcome(Ticket, Phase::Unknown, {});
}

void KeyService::onClaim(const KeyClaim &Claim) {
  m_membership.with(
      [&](Membership &Members) { Members.mergeView(Claim.m_view); });
  KeyAck Ack;
  {
    const std::lock_guard Lock(m_mutex);
    refreshMembershipView();
    Ack = m_registry.onClaim(Claim);
  }
  m_transport.m_send(Claim.m_seat, Ack);
}

void KeyService::onAck(const KeyAck &Ack) {
  {
    const std::lock_guard Lock(m_mutex);
    m_registry.onAck(Ack);
  }
  m_changed.notify_all();
}

KeyTableCopy KeyService::onSyncRequest(const KeySyncRequest &Request) {
  m_membership.with(
      [&](Membership &Members) { Members.mergeView(Request.m_view); });
  const std::lock_guard Lock(m_mutex);
  refreshMembershipView();
  return m_registry.syncReply();
}

KeyQueryResponse KeyService::onQuery(const KeyQuery &Query) {
  const std::lock_guard Lock(m_mutex);
  KeyQueryResponse Response;
  const auto It = m_records.find(Query.m_key);
  if (It == m_records.end())
    return Response;
  RequestRecord &Existing = It->second;
  const bool IsCurrent = Existing.m_id == Query.m_id;
  if (IsCurrent && Existing.m_phase == Phase::NotRun)
    Existing.m_abandoned.insert(Existing.m_id);
  if (Existing.m_abandoned.count(Query.m_id) > 0)
    Response.m_outcome = KeyQueryOutcome::Abandoned;
  else if (IsCurrent && Existing.m_phase == Phase::Answered)
    Response = {KeyQueryOutcome::Answered, Existing.m_response.m_status,
                Existing.m_response.m_headers, Existing.m_response.m_body};
  else if (IsCurrent && Existing.m_phase != Phase::Unknown)
    Response.m_outcome = KeyQueryOutcome::InProgress;
  return Response;
}

void KeyService::tick() {
  KeySyncRequest Request;
  Seat OwnSeat = 0;
  {
    const std::lock_guard Lock(m_mutex);
    refreshMembershipView();
    m_registry.tick();
    const TimePoint Oldest = m_clock.now() - m_options.m_registry.m_retention;
    std::erase_if(m_records, [&](const auto &Existing) {
      const Phase CurrentPhase = Existing.second.m_phase;
      return Existing.second.m_updatedAt < Oldest &&
             CurrentPhase != Phase::Claiming && CurrentPhase != Phase::Running;
    });
    if (m_registry.isSynced())
      return;
    const MembershipView Seats = m_membership.with(
        [](const Membership &Members) { return Members.view(); });
    Request.m_view = Seats.m_incarnations;
    OwnSeat = Seats.m_ownSeat;
  }
  for (Seat PeerSeat = 1; PeerSeat <= Request.m_view.size(); ++PeerSeat)
    if (PeerSeat != OwnSeat)
      syncFrom(PeerSeat, Request);
}

void KeyService::syncFrom(Seat PeerSeat, const KeySyncRequest &Request) {
  const std::optional<PeerResponse> Response =
      m_transport.m_call(PeerSeat, Request, m_options.m_queryTimeout);
  const auto *PeerTable =
      Response ? std::get_if<KeyTableCopy>(&*Response) : nullptr;
  if (PeerTable == nullptr)
    return;
  m_membership.with(
      [&](Membership &Members) { Members.mergeView(PeerTable->m_view); });
  const std::lock_guard Lock(m_mutex);
  refreshMembershipView();
  m_registry.onSync(*PeerTable);
}

void KeyService::syncWithoutPeers() {
  const std::lock_guard Lock(m_mutex);
  m_registry.syncWithoutPeers();
}

bool KeyService::isSynced() const {
  const std::lock_guard Lock(m_mutex);
  return m_registry.isSynced();
}

std::size_t KeyService::size() const {
  const std::lock_guard Lock(m_mutex);
  return m_registry.size();
}

} // namespace catkinseam
