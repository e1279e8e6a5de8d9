// What entries say to each other, by datagram and by call.
//
//   Link.send(Peer, encode(PeerDatagram(Heartbeat{...})));
//   PeerAnswer Answer = decode<PeerAnswer>(Link.call(...));
#ifndef CATKINSEAM_SERVER_PEER_MESSAGES_H
#define CATKINSEAM_SERVER_PEER_MESSAGES_H

#include "catkinseam/membership/membership.h"
#include "catkinseam/request/key_register.h"
#include "catkinseam/request/slot_sharing.h"
#include "catkinseam/state/replica.h"

#include <string>
#include <variant>

namespace catkinseam {

/// May be lost, doubled or late.
using PeerDatagram = std::variant<Heartbeat, KeyClaim, KeyAck, SlotLoan>;

/// Asks for a whole copy of the shared state, if it is ahead of `m_have`.
struct StateCopyRequest {
  std::uint64_t m_nextOffset = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_nextOffset);
  }
};

/// Asks for the table of key claims.
struct KeySyncRequest {
  SeatView m_view;

  template <class Archive> void serialize(Archive &Target) { Target(m_view); }
};

/// Asks the holder of a claim what became of its request.
struct KeyQuery {
  std::string m_key;
  ClaimId m_id;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id);
  }
};

using PeerRequest = std::variant<StateCopyRequest, KeySyncRequest, KeyQuery>;

enum class KeyQueryOutcome : std::uint8_t {
  Unknown,    ///< The holder does not remember the claim.
  InProgress, ///< Not settled yet.
  Abandoned,  ///< Did not run and, from now on, never will under this claim.
  Answered,   ///< The answer follows.
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

/// Nothing: the entry cannot answer that now.
struct EmptyResponse {
  template <class Archive> void serialize(Archive &) {}
};

using PeerResponse =
    std::variant<EmptyResponse, StateCopy, KeySync, KeyQueryResponse>;

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_MESSAGES_H
