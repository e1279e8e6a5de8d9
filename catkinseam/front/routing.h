// The operator's configuration, which maps calls to queues.
//
//   const QueueRoute *Found =
//       Config.findRoute("tally.example", "/counts/5c0e7a21d94b36f8");
#ifndef CATKINSEAM_FRONT_ROUTING_H
#define CATKINSEAM_FRONT_ROUTING_H

#include "catkinseam/scheduler/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinseam {

/// A queue, and the host and path prefix of the calls that it receives.
struct QueueRoute {
  std::string m_host;
  std::string m_pathPrefix;
  QueuePolicy m_policy;
  /// Maximum duration of one call.
  Milliseconds m_timeout{3000};
  /// An external service determines which workers may run a step.
  bool m_needsRecommendation = false;
};

/// Properties of a service. They are read but have no effect.
struct ServicePolicy {
  /// Its workers refuse tasks that exceed their free capacity.
  bool m_hasAdmissionControl = true;
  /// Its machines are powered off.
  bool m_isStandby = false;
};

/// Limits on an incoming HTTP call.
struct CallLimits {
  std::uint32_t m_headerBytes = 16384;
  std::uint64_t m_bodyBytes = 262144;
  Milliseconds m_idleTimeout{15000};
};

/// One version of the operator's configuration.
struct OperatorConfig {
  std::int64_t m_version = 0;
  std::vector<QueueRoute> m_routes;
  std::map<std::string, ServicePolicy> m_services;
  CallLimits m_limits;

  /// The route for `Host` with the longest matching prefix of `Path`, or null
  /// if none matches. A port in `Host` is ignored.
  const QueueRoute *findRoute(std::string_view Host,
                              std::string_view Path) const;
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_ROUTING_H
