// Table of node settings keys, and checks that involve several keys.
#include "catkinseam/settings/node_settings.h"

#include "catkinseam/settings/table_reader.h"

namespace catkinseam {

namespace {

using Field = SettingsField<NodeSettings>;

constexpr std::int64_t SecondsPerDay = 24LL * 3600;

const std::vector<Field> &fields() {
  static const std::vector<Field> All = {
      {"node", "name", &NodeSettings::m_name, true},
      {"node", "data_centre", &NodeSettings::m_dataCentre, true},
      {"node", "callers", &NodeSettings::m_callerEndpoint, true},
      {"node", "readiness", &NodeSettings::m_readinessEndpoint, true},
      {"node", "metrics", &NodeSettings::m_metricsEndpoint, true},
      {"node", "peers", &NodeSettings::m_peerEndpoint, false},
      {"platform", "store", &NodeSettings::m_storeEndpoint, true},
      {"platform", "record_bytes", &NodeSettings::m_storeRecordBytes, false,
       4096, 1LL << 30},
      {"platform", "append_bytes", &NodeSettings::m_storeAppendBytes, false,
       4096, 1LL << 30},
      {"limits", "descriptors", &NodeSettings::m_descriptors, false, 64,
       1000000},
      {"limits", "memory_mb", &NodeSettings::m_memoryMb, false, 64, 1 << 20},
      {"limits", "processor_share", &NodeSettings::m_processorShare, false, 0,
       64},
      {"scheduling", "longest_lease_s", &NodeSettings::m_maxLeaseDuration,
       false, 1, SecondsPerDay},
      {"scheduling", "job_memory_s", &NodeSettings::m_jobRetention, false, 1,
       SecondsPerDay},
      {"scheduling", "reservations", &NodeSettings::m_maxReservations, false, 0,
       1000},
      {"scheduling", "evacuation_s", &NodeSettings::m_evacuationBound, false, 0,
       600},
      {"stop", "grace_s", &NodeSettings::m_shutdownGracePeriod, false, 0, 600},
      {"telemetry", "log_level", &NodeSettings::m_logLevel, false},
  };
  return All;
}

void checkAcrossFields(const NodeSettings &Values,
                       TableReader<NodeSettings> &Reader) {
  static const std::set<std::string> LogLevels = {"debug", "info", "warn",
                                                  "error"};
  if (LogLevels.count(Values.m_logLevel) == 0)
    Reader.addError("telemetry.log_level",
                    "must be debug, info, warn or error");
  if (Values.m_storeAppendBytes < Values.m_storeRecordBytes)
    Reader.addError("platform.append_bytes",
                    "must not be below platform.record_bytes");
}

} // namespace

LoadedNodeSettings parseNodeSettings(const std::string &Text) {
  LoadedNodeSettings Loaded;
  readSettingsText(Text, fields(), checkAcrossFields, Loaded.m_settings,
                   Loaded.m_errors);
  return Loaded;
}

LoadedNodeSettings loadNodeSettings(const std::string &Path) {
  if (const std::optional<std::string> Text = readSettingsFile(Path))
    return parseNodeSettings(*Text);
  LoadedNodeSettings Unreadable;
  Unreadable.m_errors.push_back(unreadableFileError(Path));
  return Unreadable;
}

} // namespace catkinseam
