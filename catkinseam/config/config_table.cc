// Decides patches in the order of the log.
#include "catkinseam/config/config_table.h"

#include <set>

namespace catkinseam {

namespace {

ConfigContent patched(const ConfigContent &Content,
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
      if (std::string Fault = checkValue(Path, *Value); !Fault.empty())
        return Fault;
    } else if (Content.count(Path) == 0) {
      return Path + ": cannot be removed, it is not there";
    }
    Entities.insert(entityOf(Path));
  }
  const ConfigContent Next = patched(Content, Changes);
  for (const std::string &Entity : Entities)
    if (std::string Fault = checkEntity(Next, Entity); !Fault.empty())
      return Fault;
  return "";
}

} // namespace

const PatchOutcome *ConfigTable::outcome(const std::string &PatchId) const {
  const auto Place = m_outcomes.find(PatchId);
  return Place == m_outcomes.end() ? nullptr : &Place->second;
}

const PatchOutcome &ConfigTable::apply(const ConfigPatch &Patch,
                                       std::int64_t WallMs) {
  if (const PatchOutcome *Known = outcome(Patch.m_id))
    return *Known;
  PatchOutcome Decided = decide(Patch);
  if (Decided.m_verdict == PatchVerdict::Accepted)
    store(Patch, WallMs);
  remember(Patch.m_id, std::move(Decided));
  return *outcome(Patch.m_id);
}

PatchOutcome ConfigTable::decide(const ConfigPatch &Patch) const {
  PatchOutcome Decided;
  Decided.m_base = Patch.m_base;
  Decided.m_version = m_version;
  if (Patch.m_base != m_version) {
    Decided.m_verdict = PatchVerdict::Stale;
    Decided.m_message = "patch \"" + Patch.m_id + "\" names version " +
                        std::to_string(Patch.m_base) + "; version " +
                        std::to_string(m_version) + " is in force";
    Decided.m_overlap = overlapSince(Patch);
    return Decided;
  }
  Decided.m_message = checkChanges(m_content, Patch.m_changes);
  if (!Decided.m_message.empty()) {
    Decided.m_verdict = PatchVerdict::Invalid;
    return Decided;
  }
  Decided.m_verdict = PatchVerdict::Accepted;
  Decided.m_version = m_version + 1;
  return Decided;
}

std::vector<std::string>
ConfigTable::overlapSince(const ConfigPatch &Patch) const {
  std::set<std::string> Touched;
  for (const ConfigVersion &Version : m_history)
    if (Version.m_version > Patch.m_base)
      for (const auto &[Path, Value] : Version.m_changes)
        if (Patch.m_changes.count(Path) > 0)
          Touched.insert(Path);
  return {Touched.begin(), Touched.end()};
}

void ConfigTable::store(const ConfigPatch &Patch, std::int64_t WallMs) {
  ConfigVersion Next;
  Next.m_version = ++m_version;
  Next.m_patchId = Patch.m_id;
  Next.m_author = Patch.m_author;
  Next.m_wallMs = WallMs;
  Next.m_changes = Patch.m_changes;
  for (const auto &[Path, Value] : Patch.m_changes) {
    const auto Old = m_content.find(Path);
    Next.m_replaced[Path] =
        Old == m_content.end() ? std::nullopt : std::optional(Old->second);
    if (Value)
      m_content[Path] = *Value;
    else
      m_content.erase(Path);
  }
  m_history.push_back(std::move(Next));
  if (m_history.size() > MaxHistory)
    m_history.pop_front();
}

void ConfigTable::remember(const std::string &PatchId, PatchOutcome Decided) {
  m_outcomes.emplace(PatchId, std::move(Decided));
  m_outcomeOrder.push_back(PatchId);
  if (m_outcomeOrder.size() <= MaxOutcomes)
    return;
  m_outcomes.erase(m_outcomeOrder.front());
  m_outcomeOrder.pop_front();
}

} // namespace catkinseam
