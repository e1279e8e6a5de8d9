// Longest-prefix match of calls to queues.
#include "catkinseam/front/routing.h"

namespace catkinseam {

const QueueRoute *OperatorConfig::find(std::string_view Host,
                                       std::string_view Path) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const QueueRoute *Best = nullptr;
  for (const QueueRoute &Each : m_routes) {
    if (Each.m_host != Name || !Path.starts_with(Each.m_pathPrefix))
      continue;
    if (!Best || Each.m_pathPrefix.size() > Best->m_pathPrefix.size())
      Best = &Each;
  }
  return Best;
}

} // namespace catkinseam
