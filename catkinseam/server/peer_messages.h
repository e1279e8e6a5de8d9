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
struct StatePull {
  std::uint64_t m_have = 0;

  template <class Archive> void serialize(Archive &Target) { Target(m_have); }
};

/// Asks for the table of key claims.
struct KeySyncPull {
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

using PeerCall = std::variant<StatePull, KeySyncPull, KeyQuery>;

enum class KeyFate : std::uint8_t {
  Unknown,  ///< The holder does not remember the claim.
  Running,  ///< Not settled yet.
  GivenUp,  ///< Did not run and, from now on, never will under this claim.
  Answered, ///< The answer follows.
};

struct KeyQueryAnswer {
  KeyFate m_fate = KeyFate::Unknown;
  std::int32_t m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_fate, m_status, m_headers, m_body);
  }
};

/// Nothing: the entry cannot answer that now.
struct NoAnswer {
  template <class Archive> void serialize(Archive &) {}
};

using PeerAnswer = std::variant<NoAnswer, StateCopy, KeySync, KeyQueryAnswer>;

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_MESSAGES_H
