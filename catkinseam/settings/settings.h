// Settings of one entry process, read from a TOML file. Validation reports all
// errors, not only the first.
//
//   LoadedSettings Loaded = loadSettings("entry.toml");
//   for (const SettingsError &Err : Loaded.m_errors)
//     std::cerr << toString(Err) << "\n";
//
// Parameters that can change at run time are configuration, which is stored in
// the platform's log, and are not part of the settings.
#ifndef CATKINSEAM_SETTINGS_SETTINGS_H
#define CATKINSEAM_SETTINGS_SETTINGS_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/settings/settings_error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinseam {

struct Settings {
  // [entry]
  std::string m_name;
  std::string m_dataCentre;
  /// Index of this entry in m_peerEndpoints, from 1.
  std::int64_t m_seat = 0;
  Endpoint m_callerEndpoint;
  Endpoint m_adminEndpoint;
  Endpoint m_peerEndpoint;
  /// Peer addresses of all entries, ordered by seat and including this one.
  std::vector<Endpoint> m_peerEndpoints;

  // [platform]
  Endpoint m_logEndpoint;
  Endpoint m_instanceListEndpoint;
  Milliseconds m_logPollInterval{20};
  Milliseconds m_logTimeout{1000};
  Milliseconds m_instancesPollInterval{200};
  Milliseconds m_logRetention{24 * 3600 * 1000};

  // [admin]
  std::string m_adminToken;

  // [limits]
  std::int64_t m_headerBytes = 16 * 1024;
  std::int64_t m_bodyBytes = 1024 * 1024;
  /// For the bodies of all unfinished requests together.
  std::int64_t m_unfinishedBodyBytes = 64 * 1024 * 1024;
  std::int64_t m_callerConnections = 1000;
  std::int64_t m_adminConnections = 64;
  std::int64_t m_requestsInFlight = 2000;
  std::int64_t m_tasksPerJob = 10000;
  Milliseconds m_readTimeout{5000};
  Milliseconds m_idleTimeout{60000};
  Milliseconds m_writeTimeout{10000};

  // [request]
  std::int64_t m_connectionsPerWorker = 8;
  std::string m_slotSharing = "static";
  Milliseconds m_drainWait{1000};

  // [batch]
  Milliseconds m_leaseDuration{10000};
  Milliseconds m_leaseRenewInterval{2000};

  // [telemetry]
  std::string m_logLevel = "info";
  std::string m_otlpEndpoint;
  std::int64_t m_tracedPerThousand = 1000;
};

struct LoadedSettings {
  Settings m_settings;
  /// All errors, ordered by line; empty if the settings are valid.
  std::vector<SettingsError> m_errors;
};

/// Reads and validates a file. Never throws; an unreadable file is reported as
/// an error in the result.
LoadedSettings loadSettings(const std::string &Path);

/// Parses and validates TOML text. Never throws.
LoadedSettings parseSettings(const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_SETTINGS_H
