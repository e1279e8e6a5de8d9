// Settings of a node: one of the equal processes between callers and workers.
//
//   LoadedNodeSettings Loaded = loadNodeSettings("node.toml");
//   if (!Loaded.m_faults.empty()) ...
#ifndef CATKINSEAM_SETTINGS_NODE_SETTINGS_H
#define CATKINSEAM_SETTINGS_NODE_SETTINGS_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/settings/fault.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinseam {

struct NodeSettings {
  // [node]
  std::string m_name;
  std::string m_dataCentre;
  Endpoint m_callers;
  Endpoint m_readiness;
  Endpoint m_metrics;

  // [platform]
  Endpoint m_store;

  // [limits]
  std::int64_t m_descriptors = 4096;
  /// The part of a processor that the node has; 1 is a whole one.
  double m_processorShare = 1.0;

  // [scheduling]
  FractionalSeconds m_longestLease{6.0};
  /// How long the end of a job is remembered.
  FractionalSeconds m_jobMemory{120.0};

  // [stop]
  /// From the stop signal to being killed.
  FractionalSeconds m_grace{6.0};

  // [telemetry]
  std::string m_logLevel = "info";
};

struct LoadedNodeSettings {
  NodeSettings m_settings;
  /// Every fault found, in the order of the file; empty when usable.
  std::vector<SettingsFault> m_faults;
};

/// Reads and checks a file. Never throws; an unreadable file is a fault.
LoadedNodeSettings loadNodeSettings(const std::string &Path);

/// Same, from text.
LoadedNodeSettings parseNodeSettings(const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_NODE_SETTINGS_H
