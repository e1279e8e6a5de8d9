// Per-kind request policies, read from the configuration.
//
//   KindTable Kinds = readKinds(Content);
//   const KindPolicy &Policy = Kinds.find("shift-count");
#ifndef CATKINSEAM_REQUEST_KINDS_H
#define CATKINSEAM_REQUEST_KINDS_H

#include "catkinseam/base/clock.h"
#include "catkinseam/config/schema.h"

#include <map>
#include <string>

namespace catkinseam {

/// Policy for requests of one kind.
struct KindPolicy {
  std::string m_name;
  /// If false, a request is sent to a worker at most once.
  bool m_isIdempotent = false;
  /// Long kinds may occupy only part of the slots.
  bool m_isLong = false;
  /// Initial service time estimate, used until enough requests were measured.
  Duration m_estimate = std::chrono::milliseconds(50);
  /// Deadline after arrival for requests that do not specify one.
  Duration m_deadline = std::chrono::seconds(2);
};

/// Immutable map from kind names to policies. Kinds that are not configured are
/// treated as short and non-idempotent: never retrying is the safe default.
class KindTable {
public:
  KindTable() = default;
  explicit KindTable(std::map<std::string, KindPolicy> Kinds)
      : m_kinds(std::move(Kinds)) {}

  /// Returns the policy of a kind, or the default policy, named "other".
  const KindPolicy &find(const std::string &Name) const {
    const auto It = m_kinds.find(Name);
    return It == m_kinds.end() ? m_default : It->second;
  }

private:
  std::map<std::string, KindPolicy> m_kinds;
  KindPolicy m_default{"other"};
};

/// Reads the policies of all kinds below "kinds/".
KindTable readKinds(const ConfigContent &Content);

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_KINDS_H
