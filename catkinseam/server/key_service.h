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

enum class KeyVerdict {
  MayRun,  ///< This entry, and no other, may run the request; settle it.
  Replay,  ///< It ran before; m_answer is its answer.
  NotNow,  ///< It did not run in this call; come back.
  InDoubt, ///< It may have run before and nobody can tell.
};

struct KeyTicket {
  KeyVerdict m_verdict = KeyVerdict::NotNow;
  std::string m_key;
  ClaimId m_id;
  HttpResponse m_answer;
};

/// How the service reaches other entries.
struct KeyTransport {
  std::function<void(const PeerDatagram &)> m_sendToAll;
  std::function<void(Seat, const PeerDatagram &)> m_send;
  std::function<std::optional<PeerAnswer>(Seat, const PeerCall &, Duration)>
      m_call;
};

/// Thread-safe; claim() blocks its calling thread.
class KeyService {
public:
  struct Options {
    KeyRegister::Options m_register;
    /// A claim without a majority by then is given up.
    Duration m_claimTimeout = std::chrono::milliseconds(400);
    Duration m_resendEvery = std::chrono::milliseconds(25);
    Duration m_queryTimeout = std::chrono::milliseconds(300);
    Duration m_queryEvery = std::chrono::milliseconds(30);
    std::size_t m_maxAnswerBytes = 64 * 1024;
  };

  KeyService(const Clock &Time, Guarded<Membership> &Members,
             KeyTransport Transport, const Options &Limits);

  /// Claims a key for one request, waiting for peers until `Deadline` at most.
  KeyTicket claim(const std::string &Key, TimePoint Deadline);

  /// Ends a MayRun ticket with the request's answer.
  void settleAnswered(const KeyTicket &Ticket, const HttpResponse &Answer);
  /// Ends a MayRun ticket whose request provably did not run.
  void settleNotRun(const KeyTicket &Ticket);
  /// Ends a MayRun ticket whose outcome is not known.
  void settleUnknown(const KeyTicket &Ticket);

  void onClaim(const KeyClaim &Claim);
  void onAck(const KeyAck &Ack);
  KeySync syncAnswer(const KeySyncPull &Pull);
  KeyQueryAnswer queryAnswer(const KeyQuery &Query);

  /// Copies the claims of other entries until synced, and drops old ones.
  void tick();
  void syncWithoutPeers();
  bool isSynced() const;
  std::size_t size() const;

private:
  enum class Phase { Claiming, Running, NotRun, Answered, Unknown };

  /// What this entry knows of a request that it claimed.
  struct Record {
    /// The latest claim.
    ClaimId m_id;
    Phase m_phase = Phase::Claiming;
    HttpResponse m_answer;
    TimePoint m_since;
    /// Claims under which nothing ran and nothing will: anybody may replace
    /// them.
    std::set<ClaimId> m_dead;
  };

  std::optional<KeyTicket> takeOwn(const std::string &Key, TimePoint Deadline,
                                   std::set<ClaimId> &Replaces);
  KeyTicket claimInRounds(const std::string &Key, TimePoint Deadline,
                          std::set<ClaimId> Replaces);
  KeyProgress claimAtMajority(const std::string &Key,
                              const std::set<ClaimId> &Replaces, ClaimId &Id);
  KeyTicket askHolder(const std::string &Key, const KeyProgress &Held,
                      TimePoint Deadline, bool &IsGivenUp);
  void settle(const KeyTicket &Ticket, Phase Ended, HttpResponse Answer);
  void refreshSeating();
  void syncFrom(Seat Place, const KeySyncPull &Pull);

  const Clock &m_clock;
  Guarded<Membership> &m_members;
  const KeyTransport m_transport;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  KeyRegister m_register;
  std::map<std::string, Record> m_records;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_KEY_SERVICE_H
