// Sends and receives messages between entries: tracks the address of each seat
// and encodes and decodes messages.
//
//   PeerMessenger Peers(EntrySettings,
//                       {.m_onDatagram = ..., .m_onRequest = ...});
//   Peers.sendToAll(Heartbeat);
//   std::optional<PeerResponse> Response =
//       Peers.call(3, StateCopyRequest{}, Timeout);
#ifndef CATKINSEAM_SERVER_PEER_MESSENGER_H
#define CATKINSEAM_SERVER_PEER_MESSENGER_H

#include "catkinseam/net/peer_transport.h"
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
    /// Called on the receiver thread; must not block.
    std::function<void(const PeerDatagram &, const Endpoint &From)>
        m_onDatagram;
    std::function<PeerResponse(const PeerRequest &)> m_onRequest;
  };

  /// Does not bind the endpoint: the handlers may use this object, and are not
  /// called before open().
  PeerMessenger(const Settings &EntrySettings, Handlers Callbacks);

  /// Starts receiving. Throws Poco::Exception if the endpoint cannot be bound.
  void open();

  /// Stops receiving. Later messages are dropped and later calls fail.
  void close();

  Seat seatCount() const { return static_cast<Seat>(m_seatCount); }

  void send(Seat PeerSeat, const PeerDatagram &Message);
  void sendToAll(const PeerDatagram &Message);

  /// Calls one seat. Returns nullopt if no valid response arrives within
  /// `Timeout`.
  std::optional<PeerResponse> call(Seat PeerSeat, const PeerRequest &Request,
                                   Duration Timeout);

  /// Sets the address of the current process on a seat: after a replacement it
  /// may differ from the address in the settings.
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
  std::shared_ptr<PeerTransport> m_transport;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_MESSENGER_H
