// An IP address and port, in the text form of settings and the instance list.
//
//   Result<Endpoint> Peer = parseEndpoint("10.0.0.7:8082");
#ifndef CATKINSEAM_NET_ENDPOINT_H
#define CATKINSEAM_NET_ENDPOINT_H

#include "catkinseam/base/error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinseam {

/// The address on which a process listens. Host names are not resolved: the
/// host is an IP address.
struct Endpoint {
  std::string m_host;
  std::uint16_t m_port = 0;

  auto operator<=>(const Endpoint &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_host, m_port);
  }
};

/// Parses "IP:PORT"; an IPv6 address is enclosed in brackets. Error Invalid
/// quotes the text.
Result<Endpoint> parseEndpoint(const std::string &Text);

/// Returns "IP:PORT", with an IPv6 address in brackets.
std::string toString(const Endpoint &Address);

} // namespace catkinseam

#endif // CATKINSEAM_NET_ENDPOINT_H
