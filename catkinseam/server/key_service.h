// Idempotency keys end to end: claims over the network, remembered answers,
// questions to other holders.
//
//   KeyTicket Ticket = Keys.claim("bill-77", Deadline);
//   if (Ticket.m_fate == KeyVerdict::MayRun) { ... Keys.settle(Ticket, Answer);
//   }
#ifndef CATKINSEAM_SERVER_KEY_SERVICE_H
#define CATKINSEAM_SERVER_KEY_SERVICE_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/net/http.h"
#include "catkinseam/request/key_register.h"
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
  MayRun,         ///< This entry, and no other, may run the request; settle it.
  Replay,         ///< It ran before; m_answer is its answer.
  NotClaimed,     ///< It did not run in this call; come back.
  OutcomeUnknown, ///< It may have run before and nobody can tell.
};

struct KeyTicket {
  KeyClaimResult m_verdict = KeyClaimResult::NotClaimed;
  std::string m_key;
  ClaimId m_id;
  HttpResponse m_response;
};

/// How the service reaches other entries.
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
    KeyRegister::Options m_register;
    /// A claim without a majority by then is given up.
    Duration m_claimTimeout = std::chrono::milliseconds(400);
    Duration m_resendInterval = std::chrono::milliseconds(25);
    Duration m_queryTimeout = std::chrono::milliseconds(300);
    Duration m_queryInterval = std::chrono::milliseconds(30);
    std::size_t m_maxResponseBytes = 64 * 1024;
  };

  KeyService(const Clock &TimeSource, Guarded<Membership> &SharedMembership,
             KeyTransport Transport, const Options &Opts);

  /// Claims a key for one request, waiting for peers until `Deadline` at most.
  KeyTicket claim(const std::string &Key, TimePoint Deadline);

  /// Ends a MayRun ticket with the request's answer.
  void recordAnswered(const KeyTicket &Ticket, const HttpResponse &Response);
  /// Ends a MayRun ticket whose request provably did not run.
  void recordNotRun(const KeyTicket &Ticket);
  /// Ends a MayRun ticket whose outcome is not known.
  void recordUnknown(const KeyTicket &Ticket);

  void onClaim(const KeyClaim &Claim);
  void onAck(const KeyAck &Ack);
  KeySync syncAnswer(const KeySyncRequest &Request);
  KeyQueryResponse onQuery(const KeyQuery &Query);

  /// Copies the claims of other entries until synced, and drops old ones.
  void tick();
  void syncWithoutPeers();
  bool isSynced() const;
  std::size_t size() const;

private:
  enum class Phase { Claiming, Running, NotRun, Answered, Unknown };

  /// What this entry knows of a request that it claimed.
  struct RequestRecord {
    /// The latest claim.
    ClaimId m_id;
    Phase m_phase = Phase::Claiming;
    HttpResponse m_response;
    TimePoint m_updatedAt;
    /// Claims under which nothing ran and nothing will: anybody may replace
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
  void refreshSeating();
  void syncFrom(Seat PeerSeat, const KeySyncRequest &Request);

  const Clock &m_clock;
  Guarded<Membership> &m_membership;
  const KeyTransport m_transport;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  KeyRegister m_register;
  std::map<std::string, RequestRecord> m_records;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_KEY_SERVICE_H
