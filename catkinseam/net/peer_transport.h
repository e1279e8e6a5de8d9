// Messages between entries: UDP datagrams for messages that may be lost, framed
// TCP calls for messages that must arrive completely.
//
//   PeerTransport Transport(Listen, {.m_onDatagram = ..., .m_onCall = ...});
//   Transport.send(Peer, encode(Heartbeat));
//   Result<std::string> Response = Transport.call(Peer, encode(Pull), Timeout);
#ifndef CATKINSEAM_NET_PEER_TRANSPORT_H
#define CATKINSEAM_NET_PEER_TRANSPORT_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinseam {

/// One endpoint with UDP and TCP on the same port. Thread-safe.
class PeerTransport {
public:
  /// Larger datagrams are rejected by the sender. Several Ethernet frames, but
  /// below the IP limit.
  static constexpr std::size_t MaxDatagramBytes = 60 * 1024;
  static constexpr std::size_t MaxFrameBytes = 256 * 1024 * 1024;

  struct Handlers {
    /// Called on the receiving thread; must not block.
    std::function<void(const std::string &Bytes, const Endpoint &From)>
        m_onDatagram;
    /// Called on a thread of the TCP server; returns the response.
    std::function<std::string(const std::string &Bytes)> m_onCall;
  };

  /// Binds both sockets. Throws Poco::Exception if that fails.
  PeerTransport(const Endpoint &Listen, Handlers Callbacks);
  ~PeerTransport();

  /// Sends one datagram; a loss is not reported. Returns whether it was sent.
  bool send(const Endpoint &Peer, const std::string &Bytes);

  /// Sends one framed request and waits for its response. `Timeout` applies to
  /// each socket operation. Error Unavailable names the peer.
  Result<std::string> call(const Endpoint &Peer, const std::string &Bytes,
                           Duration Timeout);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_PEER_TRANSPORT_H
