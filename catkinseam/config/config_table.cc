// Validation and application of configuration patches.
#include "catkinseam/config/config_table.h"

#include <set>

namespace catkinseam {

namespace {

ConfigContent withChanges(const ConfigContent &Content,
                          const ConfigChanges &Changes) {
  ConfigContent Next = Content;
  for (const auto &[Path, Value] : Changes) {
    if (Value)
      Next[Path] = *Value;
    else
      Next.erase(Path);
  }
  return Next;
}

std::string checkChanges(const ConfigContent &Content,
                         const ConfigChanges &Changes) {
  if (Changes.empty())
    return "the patch changes nothing";
  std::set<std::string> Entities;
  for (const auto &[Path, Value] : Changes) {
    if (Value) {
      if (std::string Error = checkValue(Path, *Value); !Error.empty())
        return Error;
    } else if (Content.count(Path) == 0) {
      return Path + ": cannot be removed, it is not there";
    }
    Entities.insert(entityPath(Path));
  }
  const ConfigContent Next = withChanges(Content, Changes);
  for (const std::string &Entity : Entities)
    if (std::string Error = checkEntity(Next, Entity); !Error.empty())
      return Error;
  return "";
}

} // namespace

const PatchOutcome *ConfigTable::outcome(const std::string &PatchId) const {
  const auto It = m_outcomes.find(PatchId);
  return It == m_outcomes.end() ? nullptr : &It->second;
}

const PatchOutcome &ConfigTable::apply(const ConfigPatch &Patch,
                                       std::int64_t WallMs) {
  if (const PatchOutcome *Known = outcome(Patch.m_id))
    return *Known;
  PatchOutcome Outcome = evaluate(Patch);
  if (Outcome.m_verdict == PatchVerdict::Accepted)
    commit(Patch, WallMs);
  recordOutcome(Patch.m_id, std::move(Outcome));
  return *outcome(Patch.m_id);
}

PatchOutcome ConfigTable::evaluate(const ConfigPatch &Patch) const {
  PatchOutcome Outcome;
  Outcome.m_baseVersion = Patch.m_baseVersion;
  Outcome.m_version = m_version;
  if (Patch.m_baseVersion != m_version) {
    Outcome.m_verdict = PatchVerdict::Stale;
    Outcome.m_message = "patch \"" + Patch.m_id + "\" names version " +
                        std::to_string(Patch.m_baseVersion) + "; version " +
                        std::to_string(m_version) + " is in force";
    Outcome.m_overlappingPaths = overlappingPaths(Patch);
    return Outcome;
  }
  Outcome.m_message = checkChanges(m_content, Patch.m_changes);
  if (!Outcome.m_message.empty()) {
    Outcome.m_verdict = PatchVerdict::Invalid;
    return Outcome;
  }
  Outcome.m_verdict = PatchVerdict::Accepted;
  Outcome.m_version = m_version + 1;
  return Outcome;
}

std::vector<std::string>
ConfigTable::overlappingPaths(const ConfigPatch &Patch) const {
  std::set<std::string> Overlap;
  for (const ConfigVersion &Version : m_history)
    if (Version.m_version > Patch.m_baseVersion)
      for (const auto &[Path, Value] : Version.m_changes)
        if (Patch.m_changes.count(Path) > 0)
          Overlap.insert(Path);
  return {Overlap.begin(), Overlap.end()};
}

void ConfigTable::commit(const ConfigPatch &Patch, std::int64_t WallMs) {
  ConfigVersion Next;
  Next.m_version = ++m_version;
  Next.m_patchId = Patch.m_id;
  Next.m_author = Patch.m_author;
  Next.m_wallMs = WallMs;
  Next.m_changes = Patch.m_changes;
  for (const auto &[Path, Value] : Patch.m_changes) {
    const auto Previous = m_content.find(Path);
    Next.m_previousValues[Path] = Previous == m_content.end()
                                      ? std::nullopt
                                      : std::optional(Previous->second);
    if (Value)
      m_content[Path] = *Value;
    else
      m_content.erase(Path);
  }
  m_history.push_back(std::move(Next));
  if (m_history.size() > MaxHistory)
    m_history.pop_front();
}

void ConfigTable::recordOutcome(const std::string &PatchId,
                                PatchOutcome Outcome) {
  m_outcomes.emplace(PatchId, std::move(Outcome));
  m_outcomeOrder.push_back(PatchId);
  if (m_outcomeOrder.size() <= MaxOutcomes)
    return;
  m_outcomes.erase(m_outcomeOrder.front());
  m_outcomeOrder.pop_front();
}

} // namespace catkinseam
