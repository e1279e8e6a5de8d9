// One node: serves customers, and schedules while it is the owner.
//
//   EventLoop Loop;
//   Node Server(Loop, Settings);
//   Server.start();
//   Loop.run();
#ifndef CATKINSEAM_NODE_NODE_H
#define CATKINSEAM_NODE_NODE_H

#include "catkinseam/aio/http_listener.h"
#include "catkinseam/front/job_service.h"
#include "catkinseam/front/relayed_log.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/ledger/keyed_log_reader.h"
#include "catkinseam/node/record_relay.h"
#include "catkinseam/ownership/candidate.h"
#include "catkinseam/platform/http_keyed_log.h"
#include "catkinseam/platform/ingress.h"
#include "catkinseam/settings/node_settings.h"
#include "catkinseam/telemetry/metrics.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinseam {

/// Not thread-safe; runs on the thread of its event loop.
class Node {
public:
  Node(EventLoop &Loop, const NodeSettings &Values);
  ~Node();

  /// Starts listening and following the log. Error Unavailable names the
  /// address that cannot be bound.
  Result<void> start();

  /// Drains the requests in progress, for at most the grace period, and then
  /// stops the loop.
  void stop();

  /// Applies the log level and grace period of changed settings.
  void reload(const NodeSettings &Values);

private:
  void onOperatorRecord(const StoredRecord &Record);
  void onOperatorConfig(const StoredRecord &Record);
  void onOperatorRecordsLoaded(const std::set<std::string> &Keys);
  bool isReady() const;
  void stopWhenDrained();
  std::string metricsText();
  /// Returns where to relay records to; see RelayedLog.
  std::optional<Endpoint> ownerPeer() const;
  Result<void> openPeerListener();
  /// Limits of an address that gets one part in `Share` of the descriptors.
  HttpListener::Options listenerOptions(std::int64_t Share) const;

  EventLoop &m_loop;
  NodeSettings m_settings;
  HttpKeyedLog m_store;
  HttpRecordRelay m_recordRelay;
  RelayedLog m_relayedStore;
  Metrics m_metrics;
  Ledger m_ledger;
  Evacuations m_evacuations;
  Candidate m_candidate;
  KeyedLogReader m_operatorReader;
  JobService m_jobService;
  JobLookup m_jobLookup;
  Ingress m_ingress;
  std::optional<OperatorConfig> m_config;
  std::shared_ptr<RequestMemory> m_requestMemory;
  std::unique_ptr<HttpListener> m_callerListener;
  std::unique_ptr<HttpListener> m_readinessListener;
  std::unique_ptr<HttpListener> m_metricsListener;
  std::unique_ptr<HttpListener> m_peerListener;
  Timer m_stopTimer;
  bool m_isStopping = false;
  TimePoint m_stopStartedAt;
};

} // namespace catkinseam

#endif // CATKINSEAM_NODE_NODE_H
