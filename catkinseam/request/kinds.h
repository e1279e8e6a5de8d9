// Kinds of requests and what configuration says of each.
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

struct KindPolicy {
  std::string m_name;
  /// False: the request runs at most once.
  bool m_isIdempotent = false;
  /// Long kinds may hold only part of the slots.
  bool m_isLong = false;
  /// Seed of the service time estimate; observation replaces it.
  Duration m_estimate = std::chrono::milliseconds(50);
  /// Deadline when the caller names none.
  Duration m_deadline = std::chrono::seconds(2);
};

/// Kinds by name; a kind that is not configured is taken for short and
/// non-idempotent, the safe reading. Immutable once made.
class KindTable {
public:
  KindTable() = default;
  explicit KindTable(std::map<std::string, KindPolicy> Known)
      : m_known(std::move(Known)) {}

  const KindPolicy &find(const std::string &Name) const {
    const auto Place = m_known.find(Name);
    return Place == m_known.end() ? m_default : Place->second;
  }

private:
  std::map<std::string, KindPolicy> m_known;
  KindPolicy m_default{"other"};
};

/// Reads all kinds from configuration.
KindTable readKinds(const ConfigContent &Content);

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_KINDS_H
