// Idempotency keys: claims keys at a majority of the entries, stores responses
// for replay and queries other holders of a key.
//
//   KeyTicket Ticket = Keys.claim("bill-77", Deadline);
//   if (Ticket.m_verdict == KeyClaimResult::MayRun)
//     Keys.recordAnswered(Ticket, run(Request));
#ifndef CATKINSEAM_SERVER_KEY_SERVICE_H
#define CATKINSEAM_SERVER_KEY_SERVICE_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/net/http.h"
#include "catkinseam/request/key_registry.h"
#include "catkinseam/server/peer_messages.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace catkinseam {

enum class KeyClaimResult {
  MayRun,         ///< Only this entry may run the request; record its outcome.
  Replay,         ///< The request ran before; m_response is its response.
  NotClaimed,     ///< The request did not run; the caller may retry.
  OutcomeUnknown, ///< The request may have run before.
};

struct KeyTicket {
  KeyClaimResult m_verdict = KeyClaimResult::NotClaimed;
  std::string m_key;
  ClaimId m_id;
  HttpResponse m_response;
};

/// Sends messages to other entries.
struct KeyTransport {
  std::function<void(const PeerDatagram &)> m_sendToAll;
  std::function<void(Seat, const PeerDatagram &)> m_send;
  std::function<std::optional<PeerResponse>(Seat, const PeerRequest &,
                                            Duration)>
      m_call;
};

/// Thread-safe; claim() blocks its calling thread.
class KeyService {
public:
  struct Options {
    KeyRegistry::Options m_registry;
    /// A claim without a majority after this time is abandoned.
    Duration m_claimTimeout = std::chrono::milliseconds(400);
    Duration m_resendInterval = std::chrono::milliseconds(25);
    Duration m_queryTimeout = std::chrono::milliseconds(300);
    Duration m_queryInterval = std::chrono::milliseconds(30);
    /// Larger response bodies are not stored: the key's outcome is then
    /// unknown.
    std::size_t m_maxResponseBytes = 64 * 1024;
  };

  KeyService(const Clock &TimeSource, Guarded<Membership> &SharedMembership,
             KeyTransport Transport, const Options &Opts);

  /// Claims a key for one request. Blocks: waits until `Deadline` for an
  /// earlier request with the same key, and up to m_claimTimeout for each claim
  /// at a majority of the entries.
  KeyTicket claim(const std::string &Key, TimePoint Deadline);

  /// Completes a MayRun ticket with the response to the request.
  void recordAnswered(const KeyTicket &Ticket, const HttpResponse &Response);
  /// Completes a MayRun ticket whose request is known not to have run.
  void recordNotRun(const KeyTicket &Ticket);
  /// Completes a MayRun ticket whose outcome is unknown.
  void recordUnknown(const KeyTicket &Ticket);

  void onClaim(const KeyClaim &Claim);
  void onAck(const KeyAck &Ack);
  KeyTableCopy onSyncRequest(const KeySyncRequest &Request);
  KeyQueryResponse onQuery(const KeyQuery &Query);

  /// Removes expired claims and records and, until synced, copies the claims of
  /// other entries. Called periodically; blocks on calls to peers.
  void tick();
  /// Marks a new installation as synced, since no claim can exist.
  void syncWithoutPeers();
  bool isSynced() const;
  std::size_t size() const;

private:
  enum class Phase { Claiming, Running, NotRun, Answered, Unknown };

  /// State of a key that this entry has claimed.
  struct RequestRecord {
    /// The latest claim.
    ClaimId m_id;
    Phase m_phase = Phase::Claiming;
    HttpResponse m_response;
    TimePoint m_updatedAt;
    /// Claims whose request did not and never will run; any entry may replace
    /// them.
    std::set<ClaimId> m_abandoned;
  };

  std::optional<KeyTicket> checkOwnRecord(const std::string &Key,
                                          TimePoint Deadline,
                                          std::set<ClaimId> &Replaces);
  KeyTicket claimWithRetry(const std::string &Key, TimePoint Deadline,
                           std::set<ClaimId> Replaces);
  KeyProgress claimAtMajority(const std::string &Key,
                              const std::set<ClaimId> &Replaces, ClaimId &Id);
  KeyTicket queryHolder(const std::string &Key, const KeyProgress &Progress,
                        TimePoint Deadline, bool &IsAbandoned);
  void recordOutcome(const KeyTicket &Ticket, Phase Ended,
                     HttpResponse Response);
  void refreshMembershipView();
  void syncFrom(Seat PeerSeat, const KeySyncRequest &Request);

  const Clock &m_clock;
  Guarded<Membership> &m_membership;
  const KeyTransport m_transport;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  KeyRegistry m_registry;
  std::map<std::string, RequestRecord> m_records;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_KEY_SERVICE_H
