// Versioned configuration with optimistic concurrency control: a patch names
// the version it is based on and is rejected if that version is not current.
//
//   ConfigTable Table;
//   const PatchOutcome &Outcome = Table.apply(Patch, Time);
//   if (Outcome.m_verdict == PatchVerdict::Stale) show(Outcome);
//
// The table is a deterministic state machine: all entries that apply the same
// patches in the same order hold the same versions and outcomes. The messages
// in outcomes belong to that state, so changing their text makes the snapshots
// of two builds differ.
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

/// Maps a path to its new value; std::nullopt removes the path.
using ConfigChanges = std::map<std::string, std::optional<std::string>>;

/// A configuration change submitted by an operator.
struct ConfigPatch {
  /// Chosen by the client as idempotency key: resubmitting an id returns the
  /// outcome of its first submission.
  std::string m_id;
  std::string m_author;
  /// The version that the changes are based on.
  std::uint64_t m_baseVersion = 0;
  ConfigChanges m_changes;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_id, m_author, m_baseVersion, m_changes);
  }
};

enum class PatchVerdict : std::uint8_t {
  Accepted, ///< Applied; m_version is the new version.
  Stale,    ///< The base version is not the current version, m_version.
  Invalid,  ///< Violates the schema; m_message says why.
};

/// The recorded outcome of a patch id.
struct PatchOutcome {
  PatchVerdict m_verdict = PatchVerdict::Invalid;
  /// The new version if accepted, otherwise the current version.
  std::uint64_t m_version = 0;
  std::uint64_t m_baseVersion = 0;
  std::string m_message;
  /// For stale patches, the paths changed both by the patch and by a version
  /// after its base, as far as m_history reaches.
  std::vector<std::string> m_overlappingPaths;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_verdict, m_version, m_baseVersion, m_message, m_overlappingPaths);
  }
};

/// One accepted version, with the values that it replaced.
struct ConfigVersion {
  std::uint64_t m_version = 0;
  std::string m_patchId;
  std::string m_author;
  std::int64_t m_wallMs = 0;
  ConfigChanges m_changes;
  ConfigChanges m_previousValues;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_version, m_patchId, m_author, m_wallMs, m_changes,
           m_previousValues);
  }
};

/// Current configuration, version history and patch outcomes. Not thread-safe.
class ConfigTable {
public:
  /// Number of versions kept for the history and for reporting overlaps.
  static constexpr std::size_t MaxHistory = 512;
  /// Number of patch ids whose outcomes are kept.
  static constexpr std::size_t MaxOutcomes = 16384;

  /// Applies a patch and returns its outcome. If the id already has an outcome,
  /// returns that without applying the patch. `WallMs` is the wall-clock time
  /// in milliseconds to be recorded with the version.
  const PatchOutcome &apply(const ConfigPatch &Patch, std::int64_t WallMs);

  /// Returns the outcome of a patch id, or nullptr if none is recorded.
  const PatchOutcome *outcome(const std::string &PatchId) const;

  /// Returns the current version, which never decreases; 0 before any patch.
  std::uint64_t version() const { return m_version; }
  const ConfigContent &content() const { return m_content; }
  const std::deque<ConfigVersion> &history() const { return m_history; }

  template <class Archive> void serialize(Archive &Target) {
    Target(m_version, m_content, m_history, m_outcomes, m_outcomeOrder);
  }

private:
  PatchOutcome evaluate(const ConfigPatch &Patch) const;
  std::vector<std::string> overlappingPaths(const ConfigPatch &Patch) const;
  void commit(const ConfigPatch &Patch, std::int64_t WallMs);
  void recordOutcome(const std::string &PatchId, PatchOutcome Outcome);

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
