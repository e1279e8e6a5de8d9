// One entry process: constructs the components, runs their threads and shuts
// them down gracefully.
//
//   EntryServer Running(EntrySettings);
//   ... wait for a signal ...
//   Running.stop();
#ifndef CATKINSEAM_SERVER_ENTRY_SERVER_H
#define CATKINSEAM_SERVER_ENTRY_SERVER_H

#include "catkinseam/base/ticker.h"
#include "catkinseam/net/http_server.h"
#include "catkinseam/server/admin_api.h"
#include "catkinseam/server/key_service.h"
#include "catkinseam/server/log_follower.h"
#include "catkinseam/server/peer_messenger.h"
#include "catkinseam/server/request_service.h"
#include "catkinseam/settings/settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace catkinseam {

/// Thread-safe.
class EntryServer {
public:
  /// Starts serving. Throws Poco::Exception if an endpoint cannot be bound.
  explicit EntryServer(const Settings &EntrySettings);
  ~EntryServer();

  /// Shuts down gracefully: reports not ready, keeps serving while the load
  /// balancer removes this entry, finishes work in progress and flushes the log
  /// writer.
  void stop();

  /// Returns why the entry is not ready; empty if it is ready.
  std::string notReadyReason() const;

private:
  void startThreads();
  void sendHeartbeat();
  void lendSlots();
  void pollInstances();
  void refreshView();
  void runMaintenance();
  void updateGauges();
  void onDatagram(const PeerDatagram &Message, const Endpoint &From);
  PeerResponse onRequest(const PeerRequest &Request);

  const Settings m_settings;
  SystemClock m_clock;
  const std::string m_bootId;
  Metrics m_metrics;
  SpanExporter m_spanExporter;
  std::unique_ptr<LogService> m_logService;
  std::unique_ptr<InstanceList> m_instanceList;
  std::unique_ptr<WorkerService> m_workerService;
  LogWriter m_logWriter;
  Replica m_replica;
  Guarded<Membership> m_membership;
  Guarded<RequestDispatcher> m_requestDispatcher;
  UpstreamPool m_upstreamPool;
  PeerMessenger m_peerMessenger;
  KeyService m_keyService;
  LogFollower m_logFollower;
  RequestService m_requestService;
  BatchDriver m_batchDriver;
  /// Declared after m_batchDriver so that calls in progress end before the
  /// driver is destroyed.
  ThreadPool m_workerCalls;
  AdminApi m_adminApi;

  std::mutex m_mutex;
  std::vector<Instance> m_instances;
  std::uint64_t m_viewVersion = 0;
  bool m_isViewOutdated = true;

  std::atomic<bool> m_isDraining{false};
  const TimePoint m_startedAt;

  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_adminServer;
  std::vector<std::unique_ptr<Ticker>> m_tickers;
  Ticker *m_writerTicker = nullptr;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ENTRY_SERVER_H
