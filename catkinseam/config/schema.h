// What configuration may contain: one table of paths, types and bounds.
//
//   std::string Fault = checkValue("workers/w7/memory_mb", "60000");
//   if (!Fault.empty()) refuse(Fault);
//
// A path has segments joined by "/"; "*" in the table stands for a name that
// operators choose. A value is a JSON scalar as text.
#ifndef CATKINSEAM_CONFIG_SCHEMA_H
#define CATKINSEAM_CONFIG_SCHEMA_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// Configuration content: path to JSON scalar.
using ConfigContent = std::map<std::string, std::string>;

/// Returns why `Value` may not stand at `Path`, or an empty string.
std::string checkValue(const std::string &Path, const std::string &Value);

/// Returns why `Content` is not whole, for example a worker without memory,
/// or an empty string. Looks only at the named entities, such as "workers/w7".
std::string checkEntity(const ConfigContent &Content,
                        const std::string &Entity);

/// Returns "workers/w7" for "workers/w7/memory_mb", and the path itself for a
/// path of one or two segments.
std::string entityOf(const std::string &Path);

/// Returns the names below `Section`, for example all workers.
std::vector<std::string> namesBelow(const ConfigContent &Content,
                                    const std::string &Section);

/// Reads a number, boolean or string from content, or the fallback when the
/// path is absent. Content has passed checkValue, so its type is known.
std::int64_t numberAt(const ConfigContent &Content, const std::string &Path,
                      std::int64_t Fallback);
bool flagAt(const ConfigContent &Content, const std::string &Path,
            bool Fallback);
std::string textAt(const ConfigContent &Content, const std::string &Path,
                   const std::string &Fallback);

} // namespace catkinseam

#endif // CATKINSEAM_CONFIG_SCHEMA_H
