// The platform's list of live and leaving instances. It may be out of date.
//
//   std::unique_ptr<InstanceList> List = makeHttpInstanceList(Server);
//   Result<std::vector<Instance>> Instances = List->fetch(Timeout);
#ifndef CATKINSEAM_PLATFORM_INSTANCE_LIST_H
#define CATKINSEAM_PLATFORM_INSTANCE_LIST_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/net/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

/// A worker in the list.
struct Instance {
  std::string m_name;
  /// Address at which its service accepts requests.
  Endpoint m_service;
  /// Address at which it accepts task commands.
  Endpoint m_tasks;
  bool m_isLeaving = false;
};

/// Thread-safe.
class InstanceList {
public:
  virtual ~InstanceList() = default;

  /// Returns all listed instances, without entries that lack a name or a valid
  /// address. Returns Unavailable when the list cannot be fetched.
  virtual Result<std::vector<Instance>> fetch(Duration Timeout) = 0;
};

/// Creates a client that fetches the list with GET /instances.
std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Server);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_INSTANCE_LIST_H
