// Configuration schema: the valid paths with their value types and bounds.
//
//   std::string Error = checkValue("workers/w7/memory_mb", "60000");
//   if (!Error.empty()) reject(Error);
//
// A path consists of segments separated by "/". A "*" in a schema path matches
// one segment with a name chosen by an operator. A value is the text of a JSON
// scalar.
#ifndef CATKINSEAM_CONFIG_SCHEMA_H
#define CATKINSEAM_CONFIG_SCHEMA_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// Maps each configuration path to the text of its JSON scalar.
using ConfigContent = std::map<std::string, std::string>;

/// Checks `Value` against the schema rule for `Path`. Returns an error message
/// that starts with the path, or an empty string if the value is valid.
std::string checkValue(const std::string &Path, const std::string &Value);

/// Checks the fields of one entity, such as "workers/w7", against each other:
/// required fields are present and protected amounts do not exceed totals.
/// Returns an error message, or an empty string if the entity is valid or has
/// no fields. Only workers have such rules.
std::string checkEntity(const ConfigContent &Content,
                        const std::string &Entity);

/// Returns the first two segments of `Path`: "workers/w7" for
/// "workers/w7/memory_mb". A path of one or two segments is returned unchanged.
std::string entityPath(const std::string &Path);

/// Returns the names one level below `Parent`, such as all worker names for
/// "workers", each once.
std::vector<std::string> childNames(const ConfigContent &Content,
                                    const std::string &Parent);

/// The following return the value at `Path`, or `Default` if the path is
/// absent. `Content` must have passed checkValue(), so that the value has the
/// expected type.
std::int64_t getNumber(const ConfigContent &Content, const std::string &Path,
                       std::int64_t Default);
bool getBoolean(const ConfigContent &Content, const std::string &Path,
                bool Default);
std::string getString(const ConfigContent &Content, const std::string &Path,
                      const std::string &Default);

} // namespace catkinseam

#endif // CATKINSEAM_CONFIG_SCHEMA_H
