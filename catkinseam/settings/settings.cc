// Table of entry settings keys, and checks that involve several keys.
#include "catkinseam/settings/settings.h"

#include "catkinseam/settings/table_reader.h"

namespace catkinseam {

namespace {

using Field = SettingsField<Settings>;

constexpr std::int64_t MillisecondsPerDay = 24LL * 3600 * 1000;

const std::vector<Field> &fields() {
  static const std::vector<Field> All = {
      {"entry", "name", &Settings::m_name, true},
      {"entry", "data_centre", &Settings::m_dataCentre, true},
      {"entry", "seat", &Settings::m_seat, true, 1, 64},
      {"entry", "callers", &Settings::m_callerEndpoint, true},
      {"entry", "admin", &Settings::m_adminEndpoint, true},
      {"entry", "peer", &Settings::m_peerEndpoint, true},
      {"entry", "peers", &Settings::m_peerEndpoints, true},
      {"platform", "log", &Settings::m_logEndpoint, true},
      {"platform", "instances", &Settings::m_instanceListEndpoint, true},
      {"platform", "log_poll_ms", &Settings::m_logPollInterval, false, 1,
       10000},
      {"platform", "log_timeout_ms", &Settings::m_logTimeout, false, 10, 60000},
      {"platform", "instances_poll_ms", &Settings::m_instancesPollInterval,
       false, 10, 1000},
      {"platform", "log_retention_ms", &Settings::m_logRetention, false, 1000,
       365 * MillisecondsPerDay},
      {"admin", "token", &Settings::m_adminToken, true},
      {"limits", "header_bytes", &Settings::m_headerBytes, false, 1024, 65536},
      {"limits", "body_bytes", &Settings::m_bodyBytes, false, 1024, 67108864},
      {"limits", "unfinished_body_bytes", &Settings::m_unfinishedBodyBytes,
       false, 1024, 1073741824},
      {"limits", "caller_connections", &Settings::m_callerConnections, false, 1,
       10000},
      {"limits", "admin_connections", &Settings::m_adminConnections, false, 1,
       1000},
      {"limits", "requests_in_flight", &Settings::m_requestsInFlight, false, 1,
       100000},
      {"limits", "tasks_per_job", &Settings::m_tasksPerJob, false, 1, 100000},
      {"limits", "read_timeout_ms", &Settings::m_readTimeout, false, 10, 60000},
      {"limits", "idle_timeout_ms", &Settings::m_idleTimeout, false, 1000,
       3600000},
      {"limits", "write_timeout_ms", &Settings::m_writeTimeout, false, 10,
       600000},
      {"request", "connections_per_worker", &Settings::m_connectionsPerWorker,
       false, 1, 60},
      {"request", "slot_sharing", &Settings::m_slotSharing, false},
      {"request", "drain_wait_ms", &Settings::m_drainWait, false, 0, 600000},
      {"batch", "lease_ms", &Settings::m_leaseDuration, false, 500, 600000},
      {"batch", "renew_ms", &Settings::m_leaseRenewInterval, false, 50, 200000},
      {"telemetry", "log_level", &Settings::m_logLevel, false},
      {"telemetry", "otlp", &Settings::m_otlpEndpoint, false},
      {"telemetry", "traced_per_thousand", &Settings::m_tracedPerThousand,
       false, 0, 1000},
  };
  return All;
}

void checkAcrossFields(const Settings &Values, TableReader<Settings> &Reader) {
  const auto SeatCount =
      static_cast<std::int64_t>(Values.m_peerEndpoints.size());
  if (Values.m_seat > SeatCount)
    Reader.addError("entry.seat",
                    "entry.peers has no seat " + std::to_string(Values.m_seat));
  else if (Values.m_seat > 0 &&
           Values.m_peerEndpoints[static_cast<std::size_t>(
               Values.m_seat - 1)] != Values.m_peerEndpoint)
    Reader.addError("entry.peer",
                    "does not match the address of this seat in entry.peers");
  if (Values.m_leaseRenewInterval * 3 > Values.m_leaseDuration)
    Reader.addError("batch.renew_ms",
                    "must be at most a third of batch.lease_ms");
  if (Values.m_unfinishedBodyBytes < Values.m_bodyBytes)
    Reader.addError("limits.unfinished_body_bytes",
                    "must not be below limits.body_bytes");
  static const std::set<std::string> LogLevels = {"debug", "info", "warn",
                                                  "error"};
  if (LogLevels.count(Values.m_logLevel) == 0)
    Reader.addError("telemetry.log_level",
                    "must be debug, info, warn or error");
  static const std::set<std::string> Strategies = {"lending", "static", "local",
                                                   "gossip", "round_robin"};
  if (Strategies.count(Values.m_slotSharing) == 0)
    Reader.addError("request.slot_sharing",
                    "must be lending, static, local, gossip or round_robin");
  if (!Values.m_otlpEndpoint.empty() &&
      !attempt([&] { return parseEndpoint(Values.m_otlpEndpoint); }))
    Reader.addError("telemetry.otlp", "must be an \"IP:PORT\" string");
}

} // namespace

LoadedSettings parseSettings(const std::string &Text) {
  LoadedSettings Loaded;
  readSettingsText(Text, fields(), checkAcrossFields, Loaded.m_settings,
                   Loaded.m_errors);
  return Loaded;
}

LoadedSettings loadSettings(const std::string &Path) {
  if (const std::optional<std::string> Text = readSettingsFile(Path))
    return parseSettings(*Text);
  LoadedSettings Unreadable;
  Unreadable.m_errors.push_back(unreadableFileError(Path));
  return Unreadable;
}

} // namespace catkinseam
