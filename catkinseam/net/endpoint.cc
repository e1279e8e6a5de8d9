// Parsing and formatting of endpoints.
#include "catkinseam/net/endpoint.h"

#include <Poco/Net/IPAddress.h>
#include <charconv>

namespace catkinseam {

namespace {

boost::leaf::error_id invalidEndpoint(const std::string &Text) {
  return makeError(ErrorCode::Invalid,
                   "\"" + Text + "\" is not an IP:PORT address");
}

bool isIpAddress(const std::string &Host) {
  Poco::Net::IPAddress Ignored;
  return Poco::Net::IPAddress::tryParse(Host, Ignored);
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return invalidEndpoint(Text);
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  std::uint16_t Port = 0;
  const auto [End, Status] = std::from_chars(First, Last, Port);
  if (Status != std::errc() || End != Last || Port == 0 || !isIpAddress(Host))
    return invalidEndpoint(Text);
  return Endpoint{std::move(Host), Port};
}

std::string toString(const Endpoint &Address) {
  const bool IsV6 = Address.m_host.find(':') != std::string::npos;
  const std::string Host = IsV6 ? "[" + Address.m_host + "]" : Address.m_host;
  return Host + ":" + std::to_string(Address.m_port);
}

} // namespace catkinseam
