// Peer addresses and message codec around PeerLink.
#include "catkinseam/server/peer_node.h"

#include "catkinseam/base/codec.h"

namespace catkinseam {

PeerNode::PeerNode(const Settings &Given, Handlers Callbacks)
    : m_listen(Given.m_peer), m_own(static_cast<Seat>(Given.m_seat)),
      m_seats(Given.m_peers.size()), m_handlers(std::move(Callbacks)),
      m_addresses(Given.m_peers) {}

void PeerNode::open() {
  const auto Link = std::make_shared<PeerLink>(
      m_listen,
      PeerLink::Handlers{
          [this](const std::string &Bytes, const Endpoint &From) {
            onDatagram(Bytes, From);
          },
          [this](const std::string &Bytes) { return onCall(Bytes); }});
  const std::lock_guard Lock(m_mutex);
  m_link = Link;
}

void PeerNode::close() {
  std::shared_ptr<PeerLink> Last;
  const std::lock_guard Lock(m_mutex);
  Last.swap(m_link);
}

Endpoint PeerNode::addressOf(Seat Place) const {
  const std::lock_guard Lock(m_mutex);
  return m_addresses[Place - 1];
}

void PeerNode::setAddress(Seat Place, const Endpoint &Where) {
  const std::lock_guard Lock(m_mutex);
  m_addresses[Place - 1] = Where;
}

void PeerNode::send(Seat Place, const PeerDatagram &Message) {
  if (Place < 1 || Place > m_seats)
    return;
  const std::string Bytes = encode(Message);
  const std::lock_guard Lock(m_mutex);
  if (m_link)
    m_link->send(m_addresses[Place - 1], Bytes);
}

void PeerNode::sendToAll(const PeerDatagram &Message) {
  const std::string Bytes = encode(Message);
  const std::lock_guard Lock(m_mutex);
  for (Seat Place = 1; m_link && Place <= m_seats; ++Place)
    if (Place != m_own)
      m_link->send(m_addresses[Place - 1], Bytes);
}

std::optional<PeerAnswer> PeerNode::call(Seat Place, const PeerCall &Call,
                                         Duration Timeout) {
  if (Place < 1 || Place > m_seats)
    return std::nullopt;
  std::shared_ptr<PeerLink> Link;
  {
    const std::lock_guard Lock(m_mutex);
    Link = m_link;
  }
  if (!Link)
    return std::nullopt;
  Outcome<PeerAnswer> Answer = attempt([&]() -> Result<PeerAnswer> {
    BOOST_LEAF_AUTO(Bytes, Link->call(addressOf(Place), encode(Call), Timeout));
    return decode<PeerAnswer>(Bytes);
  });
  if (!Answer)
    return std::nullopt;
  return std::move(Answer.value());
}

void PeerNode::onDatagram(const std::string &Bytes,
                          const Endpoint &From) const {
  const Outcome<PeerDatagram> Message =
      attempt([&] { return decode<PeerDatagram>(Bytes); });
  if (Message)
    m_handlers.m_onDatagram(Message.value(), From);
}

std::string PeerNode::onCall(const std::string &Bytes) const {
  const Outcome<PeerCall> Call =
      attempt([&] { return decode<PeerCall>(Bytes); });
  return encode(Call ? m_handlers.m_onCall(Call.value())
                     : PeerAnswer(NoAnswer{}));
}

} // namespace catkinseam
