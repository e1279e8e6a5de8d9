// The table of a node's settings.
#include "catkinseam/settings/node_settings.h"

#include "catkinseam/settings/table_reader.h"

namespace catkinseam {

namespace {

using Field = SettingsField<NodeSettings>;

constexpr std::int64_t Day = 24LL * 3600 * 1000;

const std::vector<Field> &fields() {
  static const std::vector<Field> All = {
      {"node", "name", &NodeSettings::m_name, true},
      {"node", "data_centre", &NodeSettings::m_dataCentre, true},
      {"node", "callers", &NodeSettings::m_callers, true},
      {"node", "readiness", &NodeSettings::m_readiness, true},
      {"node", "metrics", &NodeSettings::m_metrics, true},
      {"platform", "store", &NodeSettings::m_store, true},
      {"platform", "machines", &NodeSettings::m_machines, false},
      {"platform", "advice", &NodeSettings::m_advice, false},
      {"limits", "descriptors", &NodeSettings::m_descriptors, false, 64,
       1000000},
      {"scheduling", "longest_lease_ms", &NodeSettings::m_longestLease, false,
       500, Day},
      {"scheduling", "stop_ms", &NodeSettings::m_stopTime, false, 1, 60000},
      {"scheduling", "gang_timeout_ms", &NodeSettings::m_gangTimeout, false, 1,
       Day},
      {"scheduling", "job_memory_ms", &NodeSettings::m_jobMemory, false, 1000,
       Day},
      {"stop", "grace_ms", &NodeSettings::m_grace, false, 0, 600000},
      {"telemetry", "log_level", &NodeSettings::m_logLevel, false},
  };
  return All;
}

void checkTogether(const NodeSettings &Read,
                   TableReader<NodeSettings> &Reader) {
  static const std::set<std::string> Levels = {"debug", "info", "warn",
                                               "error"};
  if (Levels.count(Read.m_logLevel) == 0)
    Reader.fault("telemetry.log_level", "must be debug, info, warn or error");
}

} // namespace

LoadedNodeSettings parseNodeSettings(const std::string &Text) {
  LoadedNodeSettings Loaded;
  try {
    const toml::table Root = toml::parse(Text);
    TableReader<NodeSettings> Reader(fields(), Loaded.m_settings,
                                     Loaded.m_faults);
    Reader.read(Root);
    checkTogether(Loaded.m_settings, Reader);
    sortByLine(Loaded.m_faults);
  } catch (const toml::parse_error &Fault) {
    Loaded.m_faults.push_back({"(file)", Fault.source().begin.line,
                               std::string(Fault.description())});
  }
  return Loaded;
}

LoadedNodeSettings loadNodeSettings(const std::string &Path) {
  const std::optional<std::string> Text = readSettingsFile(Path);
  if (Text)
    return parseNodeSettings(*Text);
  LoadedNodeSettings Unreadable;
  Unreadable.m_faults.push_back({"(file)", 0, "cannot read \"" + Path + "\""});
  return Unreadable;
}

} // namespace catkinseam
