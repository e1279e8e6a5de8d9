// Messages between entries: datagrams and request-response calls.
//
//   Transport.send(Peer, encode(PeerDatagram(Heartbeat{...})));
//   PeerResponse Response = decode<PeerResponse>(Transport.call(...));
#ifndef CATKINSEAM_SERVER_PEER_MESSAGES_H
#define CATKINSEAM_SERVER_PEER_MESSAGES_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/request/key_registry.h"
#include "catkinseam/request/slot_sharing.h"
#include "catkinseam/state/replica.h"

#include <string>
#include <variant>

namespace catkinseam {

/// Datagrams may be lost, duplicated or delayed.
using PeerDatagram = std::variant<Heartbeat, KeyClaim, KeyAck, SlotLoan>;

/// Requests a full copy of the replicated state if the peer has applied the log
/// beyond `m_nextOffset`.
struct StateCopyRequest {
  std::uint64_t m_nextOffset = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset);
  }
};

/// Requests the table of key claims.
struct KeySyncRequest {
  IncarnationView m_view;

  template <class Archive> void serialize(Archive &Target) { Target(m_view); }
};

/// Queries the holder of a claim for the outcome of its request.
struct KeyQuery {
  std::string m_key;
  ClaimId m_id;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id);
  }
};

using PeerRequest = std::variant<StateCopyRequest, KeySyncRequest, KeyQuery>;

enum class KeyQueryOutcome : std::uint8_t {
  Unknown,    ///< The holder has no outcome for the claim.
  InProgress, ///< The request has not completed.
  Abandoned,  ///< The request did not and never will run under this claim.
  Answered,   ///< The response is included.
};

struct KeyQueryResponse {
  KeyQueryOutcome m_outcome = KeyQueryOutcome::Unknown;
  std::int32_t m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_outcome, m_status, m_headers, m_body);
  }
};

/// The entry has no response to this request at present.
struct EmptyResponse {
  template <class Archive> void serialize(Archive &) {}
};

using PeerResponse =
    std::variant<EmptyResponse, StateCopy, KeyTableCopy, KeyQueryResponse>;

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_MESSAGES_H
