// Peer addresses, and message encoding and decoding on top of PeerTransport.
#include "catkinseam/server/peer_messenger.h"

#include "catkinseam/base/codec.h"

namespace catkinseam {

PeerMessenger::PeerMessenger(const Settings &EntrySettings, Handlers Callbacks)
    : m_listen(EntrySettings.m_peerEndpoint),
      m_ownSeat(static_cast<Seat>(EntrySettings.m_seat)),
      m_seatCount(EntrySettings.m_peerEndpoints.size()),
      m_handlers(std::move(Callbacks)),
      m_addresses(EntrySettings.m_peerEndpoints) {}

void PeerMessenger::open() {
  const auto Transport = std::make_shared<PeerTransport>(
      m_listen,
      PeerTransport::Handlers{
          [this](const std::string &Bytes, const Endpoint &From) {
            onDatagram(Bytes, From);
          },
          [this](const std::string &Bytes) { return onRequest(Bytes); }});
  const std::lock_guard Lock(m_mutex);
  m_transport = Transport;
}

void PeerMessenger::close() {
  std::shared_ptr<PeerTransport> ClosedTransport;
  const std::lock_guard Lock(m_mutex);
  ClosedTransport.swap(m_transport);
}

Endpoint PeerMessenger::addressOf(Seat PeerSeat) const {
  const std::lock_guard Lock(m_mutex);
  return m_addresses[PeerSeat - 1];
}

void PeerMessenger::setAddress(Seat PeerSeat, const Endpoint &Address) {
  const std::lock_guard Lock(m_mutex);
  m_addresses[PeerSeat - 1] = Address;
}

void PeerMessenger::send(Seat PeerSeat, const PeerDatagram &Message) {
  if (PeerSeat < 1 || PeerSeat > m_seatCount)
    return;
  const std::string Bytes = encode(Message);
  const std::lock_guard Lock(m_mutex);
  if (m_transport)
    m_transport->send(m_addresses[PeerSeat - 1], Bytes);
}

void PeerMessenger::sendToAll(const PeerDatagram &Message) {
  const std::string Bytes = encode(Message);
  const std::lock_guard Lock(m_mutex);
  for (Seat PeerSeat = 1; m_transport && PeerSeat <= m_seatCount; ++PeerSeat)
    if (PeerSeat != m_ownSeat)
      m_transport->send(m_addresses[PeerSeat - 1], Bytes);
}

std::optional<PeerResponse> PeerMessenger::call(Seat PeerSeat,
                                                const PeerRequest &Request,
                                                Duration Timeout) {
  if (PeerSeat < 1 || PeerSeat > m_seatCount)
    return std::nullopt;
  std::shared_ptr<PeerTransport> Transport;
  {
    const std::lock_guard Lock(m_mutex);
    Transport = m_transport;
  }
  if (!Transport)
    return std::nullopt;
  Outcome<PeerResponse> Response = attempt([&]() -> Result<PeerResponse> {
    BOOST_LEAF_AUTO(
        Bytes, Transport->call(addressOf(PeerSeat), encode(Request), Timeout));
    return decode<PeerResponse>(Bytes);
  });
  if (!Response)
    return std::nullopt;
  return std::move(Response.value());
}

void PeerMessenger::onDatagram(const std::string &Bytes,
                               const Endpoint &From) const {
  const Outcome<PeerDatagram> Message =
      attempt([&] { return decode<PeerDatagram>(Bytes); });
  if (Message)
    m_handlers.m_onDatagram(Message.value(), From);
}

std::string PeerMessenger::onRequest(const std::string &Bytes) const {
  const Outcome<PeerRequest> Request =
      attempt([&] { return decode<PeerRequest>(Bytes); });
  return encode(Request ? m_handlers.m_onRequest(Request.value())
                        : PeerResponse(EmptyResponse{}));
}

} // namespace catkinseam
