// Numbered configuration: patches against a version, accepted or refused,
// never merged silently.
//
//   ConfigTable Table;
//   const PatchOutcome &Outcome = Table.apply(Patch, Time);
//   if (Outcome.m_verdict == PatchVerdict::Stale) show(Outcome);
//
// The table is a deterministic fold over patches: every entry that applies the
// same patches in the same order holds the same versions and outcomes.
#ifndef CATKINSEAM_CONFIG_CONFIG_TABLE_H
#define CATKINSEAM_CONFIG_CONFIG_TABLE_H

#include "catkinseam/config/schema.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// Path to new value; an empty value removes the path.
using ConfigChanges = std::map<std::string, std::optional<std::string>>;

/// What an operator submits.
struct ConfigPatch {
  /// Chosen by the client; the same id always gets the same outcome.
  std::string m_id;
  std::string m_author;
  /// The version that the operator has read.
  std::uint64_t m_base = 0;
  ConfigChanges m_changes;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_id, m_author, m_base, m_changes);
  }
};

enum class PatchVerdict : std::uint8_t {
  Accepted, ///< Became m_version.
  Stale,    ///< The base is not the current version; m_version is.
  Invalid,  ///< Breaks the schema; m_message names the path.
};

/// The lasting outcome of a patch id.
struct PatchOutcome {
  PatchVerdict m_verdict = PatchVerdict::Invalid;
  /// The version made, or the current version when refused.
  std::uint64_t m_version = 0;
  std::uint64_t m_base = 0;
  std::string m_message;
  /// Paths that this patch and the versions since its base both touch.
  std::vector<std::string> m_overlap;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_verdict, m_version, m_base, m_message, m_overlap);
  }
};

/// One accepted version, with what it replaced.
struct ConfigVersion {
  std::uint64_t m_version = 0;
  std::string m_patchId;
  std::string m_author;
  std::int64_t m_wallMs = 0;
  ConfigChanges m_changes;
  ConfigChanges m_replaced;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_version, m_patchId, m_author, m_wallMs, m_changes, m_replaced);
  }
};

/// Content, history and outcomes. Not thread-safe.
class ConfigTable {
public:
  /// Versions kept for history and for naming overlaps.
  static constexpr std::size_t MaxHistory = 512;
  /// Patch ids whose outcome is remembered.
  static constexpr std::size_t MaxOutcomes = 16384;

  /// Applies a patch, or finds the outcome that its id already has.
  const PatchOutcome &apply(const ConfigPatch &Patch, std::int64_t WallMs);

  /// Returns the outcome of a patch id, or null when it is not known.
  const PatchOutcome *outcome(const std::string &PatchId) const;

  /// The version in force; never falls.
  std::uint64_t version() const { return m_version; }
  const ConfigContent &content() const { return m_content; }
  const std::deque<ConfigVersion> &history() const { return m_history; }

  template <class Archive> void serialize(Archive &Target) {
    Target(m_version, m_content, m_history, m_outcomes, m_outcomeOrder);
  }

private:
  PatchOutcome decide(const ConfigPatch &Patch) const;
  std::vector<std::string> overlapSince(const ConfigPatch &Patch) const;
  void store(const ConfigPatch &Patch, std::int64_t WallMs);
  void remember(const std::string &PatchId, PatchOutcome Decided);

  std::uint64_t m_version = 0;
  ConfigContent m_content;
  /// Invariant: versions are consecutive and end with m_version.
  std::deque<ConfigVersion> m_history;
  std::map<std::string, PatchOutcome> m_outcomes;
  /// Invariant: holds exactly the keys of m_outcomes, oldest first.
  std::deque<std::string> m_outcomeOrder;
};

} // namespace catkinseam

#endif // CATKINSEAM_CONFIG_CONFIG_TABLE_H
