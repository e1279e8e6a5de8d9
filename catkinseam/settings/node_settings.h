// Settings of a node process. Nodes are identical peers between callers and
// workers.
//
//   LoadedNodeSettings Loaded = loadNodeSettings("node.toml");
//   if (!Loaded.m_errors.empty()) ...
#ifndef CATKINSEAM_SETTINGS_NODE_SETTINGS_H
#define CATKINSEAM_SETTINGS_NODE_SETTINGS_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/settings/settings_error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinseam {

struct NodeSettings {
  // [node]
  std::string m_name;
  std::string m_dataCentre;
  Endpoint m_callerEndpoint;
  Endpoint m_readinessEndpoint;
  Endpoint m_metricsEndpoint;
  /// Where other nodes relay records to while this node is the owner; without a
  /// port, they do not.
  Endpoint m_peerEndpoint;

  // [platform]
  Endpoint m_storeEndpoint;
  /// Maximum size in bytes of one record, and of the records of one append.
  std::int64_t m_storeRecordBytes = 262144;
  std::int64_t m_storeAppendBytes = 2097152;

  // [limits]
  std::int64_t m_descriptors = 4096;
  /// Memory of the machine in megabytes. A quarter is for requests that are
  /// read or answered; see RequestMemory.
  std::int64_t m_memoryMb = 260;
  /// CPU available to the node, in processors; may be fractional.
  double m_processorShare = 1.0;

  // [scheduling]
  FractionalSeconds m_maxLeaseDuration{6.0};
  /// How long the result of a finished job is retained.
  FractionalSeconds m_jobRetention{120.0};
  /// Maximum number of waiting steps for which room is kept at a time; zero for
  /// none.
  std::int64_t m_maxReservations = 0;
  /// No run starts in a data centre later than this after its evacuation was
  /// requested, whatever the node can read; zero if no evacuations are made.
  FractionalSeconds m_evacuationBound{0.0};

  // [stop]
  /// Time between the stop signal and a forced kill.
  FractionalSeconds m_shutdownGracePeriod{6.0};

  // [telemetry]
  std::string m_logLevel = "info";
};

struct LoadedNodeSettings {
  NodeSettings m_settings;
  /// All errors, ordered by line; empty if the settings are valid.
  std::vector<SettingsError> m_errors;
};

/// Reads and validates a file. Never throws; an unreadable file is reported as
/// an error in the result.
LoadedNodeSettings loadNodeSettings(const std::string &Path);

/// Parses and validates TOML text. Never throws.
LoadedNodeSettings parseNodeSettings(const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_NODE_SETTINGS_H
