// Longest-prefix match of calls to queues.
#include "catkinseam/front/routing.h"

namespace catkinseam {

const QueueRoute *OperatorConfig::findRoute(std::string_view Host,
                                            std::string_view Path) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const QueueRoute *Best = nullptr;
  for (const QueueRoute &Route : m_routes) {
    if (Route.m_host != Name || !Path.starts_with(Route.m_pathPrefix))
      continue;
    if (!Best || Route.m_pathPrefix.size() > Best->m_pathPrefix.size())
      Best = &Route;
  }
  return Best;
}

} // namespace catkinseam
