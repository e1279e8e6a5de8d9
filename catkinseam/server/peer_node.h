// This entry's side of the conversation with the others: where each seat is,
// and messages encoded and decoded.
//
//   PeerNode Peers(Settings, {.m_onDatagram = ..., .m_onCall = ...});
//   Peers.sendToAll(Heartbeat);
//   std::optional<PeerAnswer> Copy = Peers.call(3, StatePull{}, Timeout);
#ifndef CATKINSEAM_SERVER_PEER_NODE_H
#define CATKINSEAM_SERVER_PEER_NODE_H

#include "catkinseam/net/peer_link.h"
#include "catkinseam/server/peer_messages.h"
#include "catkinseam/settings/settings.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace catkinseam {

/// Thread-safe.
class PeerMessenger {
public:
  struct Handlers {
    /// Called on the receiving thread; must not block.
    std::function<void(const PeerDatagram &, const Endpoint &From)>
        m_onDatagram;
    std::function<PeerResponse(const PeerRequest &)> m_onRequest;
  };

  /// Binds nothing yet: handlers may use this object once open() is called.
  PeerMessenger(const Settings &EntrySettings, Handlers Callbacks);

  /// Starts receiving. Throws Poco::Exception when the endpoint can't be bound.
  void open();

  /// Stops receiving; later sends are dropped.
  void close();

  Seat seatCount() const { return static_cast<Seat>(m_seatCount); }

  void send(Seat PeerSeat, const PeerDatagram &Message);
  void sendToAll(const PeerDatagram &Message);

  /// Calls one seat; nothing when it did not answer in time.
  std::optional<PeerResponse> call(Seat PeerSeat, const PeerRequest &Request,
                                   Duration Timeout);

  /// Notes where a seat's current process is: a replaced instance may have
  /// another address than the settings say.
  void setAddress(Seat PeerSeat, const Endpoint &Address);

private:
  Endpoint addressOf(Seat PeerSeat) const;
  void onDatagram(const std::string &Bytes, const Endpoint &From) const;
  std::string onRequest(const std::string &Bytes) const;

  const Endpoint m_listen;
  const Seat m_ownSeat;
  const std::size_t m_seatCount;
  const Handlers m_handlers;
  mutable std::mutex m_mutex;
  std::vector<Endpoint> m_addresses;
  std::shared_ptr<PeerLink> m_link;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_NODE_H
