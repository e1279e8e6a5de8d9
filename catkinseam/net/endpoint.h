// An IP address and port, as settings and the instance list write them.
//
//   Result<Endpoint> Peer = parseEndpoint("10.0.0.7:8082");
#ifndef CATKINSEAM_NET_ENDPOINT_H
#define CATKINSEAM_NET_ENDPOINT_H

#include "catkinseam/base/error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace catkinseam {

/// Where a process listens. Names are not resolved: the host is an IP number.
struct Endpoint {
  std::string m_host;
  std::uint16_t m_port = 0;

  auto operator<=>(const Endpoint &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_host, m_port);
  }
};

/// Reads "IP:PORT"; an IPv6 address stands in brackets. Error Invalid names
/// the text.
Result<Endpoint> parseEndpoint(const std::string &Text);

/// Returns "IP:PORT".
std::string toString(const Endpoint &Where);

} // namespace catkinseam

#endif // CATKINSEAM_NET_ENDPOINT_H
