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
class PeerNode {
public:
  struct Handlers {
    /// Called on the receiving thread; must not block.
    std::function<void(const PeerDatagram &, const Endpoint &From)>
        m_onDatagram;
    std::function<PeerAnswer(const PeerCall &)> m_onCall;
  };

  /// Binds nothing yet: handlers may use this object once open() is called.
  PeerNode(const Settings &Given, Handlers Callbacks);

  /// Starts receiving. Throws Poco::Exception when the endpoint can't be bound.
  void open();

  /// Stops receiving; later sends are dropped.
  void close();

  Seat seats() const { return static_cast<Seat>(m_seats); }

  void send(Seat Place, const PeerDatagram &Message);
  void sendToAll(const PeerDatagram &Message);

  /// Calls one seat; nothing when it did not answer in time.
  std::optional<PeerAnswer> call(Seat Place, const PeerCall &Call,
                                 Duration Timeout);

  /// Notes where a seat's current process is: a replaced instance may have
  /// another address than the settings say.
  void setAddress(Seat Place, const Endpoint &Where);

private:
  Endpoint addressOf(Seat Place) const;
  void onDatagram(const std::string &Bytes, const Endpoint &From) const;
  std::string onCall(const std::string &Bytes) const;

  const Endpoint m_listen;
  const Seat m_own;
  const std::size_t m_seats;
  const Handlers m_handlers;
  mutable std::mutex m_mutex;
  std::vector<Endpoint> m_addresses;
  std::shared_ptr<PeerLink> m_link;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_PEER_NODE_H
