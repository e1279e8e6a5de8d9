// Environment variables that the platform sets for a process.
#ifndef CATKINSEAM_PLATFORM_ENVIRONMENT_H
#define CATKINSEAM_PLATFORM_ENVIRONMENT_H

#include <string>

namespace catkinseam {

/// Returns the path of the settings file: CATKINSEAM_NODE_FILE, or
/// /etc/catkinseam/local.json when it is not set.
std::string nodeSettingsPath();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_ENVIRONMENT_H
