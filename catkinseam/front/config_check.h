// Checks an operator configuration before it is sent, and compares it with the
// version in force.
//
//   for (const ConfigFinding &Each : checkConfig(Draft))
//     std::cout << Each.m_entry << ": " << Each.m_text << "\n";
#ifndef CATKINSEAM_FRONT_CONFIG_CHECK_H
#define CATKINSEAM_FRONT_CONFIG_CHECK_H

#include "catkinseam/front/routing.h"

#include <string>
#include <vector>

namespace catkinseam {

enum class FindingKind {
  Error,      ///< The entry is wrong, or has no effect as it is written.
  Dead,       ///< The entry can never match a call, or is never used.
  Conflict,   ///< Two limits contradict each other.
  Difference, ///< The entry differs from the version in force.
};

const char *findingKindName(FindingKind Kind);

/// One finding about an entry: `route "r-1"`, `service "tally"` or `limits`.
struct ConfigFinding {
  FindingKind m_kind = FindingKind::Error;
  std::string m_entry;
  std::string m_text;
};

/// Returns the errors, entries that can never match and contradictions, in the
/// order of the entries.
std::vector<ConfigFinding> checkConfig(const OperatorConfig &Draft);

/// Returns what `Draft` changes in `InForce`, and an error if its version is
/// not a later one.
std::vector<ConfigFinding> compareConfigs(const OperatorConfig &InForce,
                                          const OperatorConfig &Draft);

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_CONFIG_CHECK_H
