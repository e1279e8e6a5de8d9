// Environment variables of a process on the platform.
#include "catkinseam/platform/environment.h"

#include <cstdlib>

namespace catkinseam {

std::string nodeSettingsPath() {
  const char *Path = std::getenv("CATKINSEAM_NODE_FILE");
  return Path ? Path : "/etc/catkinseam/local.json";
}

} // namespace catkinseam
