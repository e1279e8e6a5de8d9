// What the platform passes to a process in its environment.
#ifndef CATKINSEAM_PLATFORM_ENVIRONMENT_H
#define CATKINSEAM_PLATFORM_ENVIRONMENT_H

#include <string>

namespace catkinseam {

/// Where the platform puts the settings file.
std::string nodeSettingsPath();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_ENVIRONMENT_H
