// The operator's configuration: which queue a call belongs to.
//
//   const QueueRoute *Found = Config.find("tally.example", "/counts/5c0e...");
#ifndef CATKINSEAM_FRONT_ROUTING_H
#define CATKINSEAM_FRONT_ROUTING_H

#include "catkinseam/scheduler/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinseam {

/// A queue and the calls that belong to it.
struct QueueRoute {
  std::string m_host;
  std::string m_pathPrefix;
  QueueTerms m_terms;
  /// Upper bound of one call.
  Milliseconds m_timeout{3000};
  /// Only a service outside names the workers that may run a step.
  bool m_needsAdvice = false;
};

struct ServiceTerms {
  /// Workers refuse what does not fit.
  bool m_guardsCapacity = true;
  /// The machines are off.
  bool m_isStandby = false;
};

struct CallLimits {
  std::uint32_t m_headerBytes = 16384;
  std::uint64_t m_bodyBytes = 262144;
  Milliseconds m_idleTimeout{15000};
};

/// One version of the operator's configuration.
struct OperatorConfig {
  std::int64_t m_version = 0;
  std::vector<QueueRoute> m_routes;
  std::map<std::string, ServiceTerms> m_services;
  CallLimits m_limits;

  /// The route of this host with the longest prefix of `Path`, or null.
  const QueueRoute *find(std::string_view Host, std::string_view Path) const;
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_ROUTING_H
