// The platform's lagging list of live and leaving instances.
//
//   std::unique_ptr<InstanceList> List = makeHttpInstanceList(Where);
//   Result<std::vector<Instance>> Now = List->fetch(Timeout);
#ifndef CATKINSEAM_PLATFORM_INSTANCE_LIST_H
#define CATKINSEAM_PLATFORM_INSTANCE_LIST_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

/// One worker, as the list has it.
struct Instance {
  std::string m_name;
  /// Where its service answers requests.
  Endpoint m_service;
  /// Where it takes task commands.
  Endpoint m_tasks;
  bool m_isLeaving = false;
};

/// Thread-safe.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Returns all instances listed. Error Unavailable when the list cannot be
  /// had; entries without valid addresses are left out.
  virtual Result<std::vector<Instance>> fetch(Duration Timeout) = 0;
};

/// The list over HTTP: GET /instances.
std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Where);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_INSTANCE_LIST_H
