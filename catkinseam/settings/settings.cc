// Settings parser: one table of keys drives reading, checking and defaults.
#include "catkinseam/settings/settings.h"

#include "catkinseam/settings/table_reader.h"

namespace catkinseam {

namespace {

using Field = SettingsField<Settings>;

constexpr std::int64_t Day = 24LL * 3600 * 1000;

const std::vector<Field> &fields() {
  static const std::vector<Field> All = {
      {"entry", "name", &Settings::m_name, true},
      {"entry", "data_centre", &Settings::m_dataCentre, true},
      {"entry", "seat", &Settings::m_seat, true, 1, 64},
      {"entry", "callers", &Settings::m_callers, true},
      {"entry", "admin", &Settings::m_admin, true},
      {"entry", "peer", &Settings::m_peer, true},
      {"entry", "peers", &Settings::m_peers, true},
      {"platform", "log", &Settings::m_log, true},
      {"platform", "instances", &Settings::m_instances, true},
      {"platform", "log_poll_ms", &Settings::m_logPollInterval, false, 1,
       10000},
      {"platform", "log_timeout_ms", &Settings::m_logTimeout, false, 10, 60000},
      {"platform", "instances_poll_ms", &Settings::m_instancesPollInterval,
       false, 10, 1000},
      {"platform", "log_retention_ms", &Settings::m_logRetention, false, 1000,
       365 * Day},
      {"admin", "token", &Settings::m_adminToken, true},
      {"limits", "header_bytes", &Settings::m_headerBytes, false, 1024, 65536},
      {"limits", "body_bytes", &Settings::m_bodyBytes, false, 1024, 67108864},
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
      {"request", "connections_per_worker", &Settings::m_connectionsPerWorker,
       false, 1, 60},
      {"request", "slot_sharing", &Settings::m_slotSharing, false},
      {"request", "drain_wait_ms", &Settings::m_drainWait, false, 0, 600000},
      {"batch", "lease_ms", &Settings::m_lease, false, 500, 600000},
      {"batch", "renew_ms", &Settings::m_renewInterval, false, 50, 200000},
      {"telemetry", "log_level", &Settings::m_logLevel, false},
      {"telemetry", "otlp", &Settings::m_otlp, false},
      {"telemetry", "traced_per_thousand", &Settings::m_tracedPerThousand,
       false, 0, 1000},
  };
  return All;
}

void checkTogether(const Settings &Read, TableReader<Settings> &Reader) {
  const auto Seats = static_cast<std::int64_t>(Read.m_peers.size());
  if (Read.m_seat > Seats)
    Reader.fault("entry.seat",
                 "entry.peers has no seat " + std::to_string(Read.m_seat));
  else if (Read.m_seat > 0 &&
           Read.m_peers[static_cast<std::size_t>(Read.m_seat - 1)] !=
               Read.m_peer)
    Reader.fault("entry.peer", "differs from entry.peers at this seat");
  if (Read.m_renewInterval * 3 > Read.m_lease)
    Reader.fault("batch.renew_ms", "must be at most a third of batch.lease_ms");
  static const std::set<std::string> Levels = {"debug", "info", "warn",
                                               "error"};
  if (Levels.count(Read.m_logLevel) == 0)
    Reader.fault("telemetry.log_level", "must be debug, info, warn or error");
  static const std::set<std::string> Ways = {"lending", "static", "local",
                                             "gossip", "round_robin"};
  if (Ways.count(Read.m_slotSharing) == 0)
    Reader.fault("request.slot_sharing",
                 "must be lending, static, local, gossip or round_robin");
  if (!Read.m_otlp.empty() &&
      !attempt([&] { return parseEndpoint(Read.m_otlp); }))
    Reader.fault("telemetry.otlp", "must be an \"IP:PORT\" string");
}

} // namespace

LoadedSettings parseSettings(const std::string &Text) {
  LoadedSettings Loaded;
  readSettingsText(Text, fields(), checkTogether, Loaded.m_settings,
                   Loaded.m_faults);
  return Loaded;
}

LoadedSettings loadSettings(const std::string &Path) {
  if (const std::optional<std::string> Text = readSettingsFile(Path))
    return parseSettings(*Text);
  LoadedSettings Unreadable;
  Unreadable.m_faults.push_back(unreadableFile(Path));
  return Unreadable;
}

} // namespace catkinseam
