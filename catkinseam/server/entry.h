// One entry process: wires the components, runs their threads, stops cleanly.
//
//   Entry Running(Settings);
//   ... wait for a signal ...
//   Running.stop();
#ifndef CATKINSEAM_SERVER_ENTRY_H
#define CATKINSEAM_SERVER_ENTRY_H

#include "catkinseam/base/ticker.h"
#include "catkinseam/net/http_server.h"
#include "catkinseam/server/admin_api.h"
#include "catkinseam/server/key_service.h"
#include "catkinseam/server/log_follower.h"
#include "catkinseam/server/peer_node.h"
#include "catkinseam/server/request_service.h"
#include "catkinseam/settings/settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace catkinseam {

/// Thread-safe.
class Entry {
public:
  /// Starts serving. Throws Poco::Exception when an endpoint can't be bound.
  explicit Entry(const Settings &Given);
  ~Entry();

  /// Graceful stop: not ready first, then serves on until the balancer has had
  /// time to look away, ends everything in progress, flushes the log writer.
  void stop();

  /// Why the entry is not ready; empty when it is.
  std::string unreadiness() const;

private:
  void startThreads();
  void beat();
  void lendSlots();
  void pollInstances();
  void refreshView();
  void upkeep();
  void updateGauges();
  void onDatagram(const PeerDatagram &Message, const Endpoint &From);
  PeerAnswer onCall(const PeerCall &Call);

  const Settings m_settings;
  SystemClock m_clock;
  const std::string m_bootId;
  Metrics m_metrics;
  SpanExporter m_spans;
  std::unique_ptr<LogService> m_log;
  std::unique_ptr<InstanceList> m_instanceList;
  std::unique_ptr<WorkerService> m_workers;
  LogWriter m_writer;
  Replica m_replica;
  Guarded<Membership> m_members;
  Guarded<RequestCore> m_core;
  UpstreamPool m_pool;
  PeerNode m_peers;
  KeyService m_keys;
  LogFollower m_follower;
  RequestService m_requests;
  BatchDriver m_batch;
  /// After the driver, so that calls in progress end before it goes.
  WorkPool m_workerCalls;
  AdminApi m_admin;

  std::mutex m_mutex;
  std::vector<Instance> m_instances;
  std::uint64_t m_viewVersion = 0;
  bool m_isViewStale = true;

  std::atomic<bool> m_isDraining{false};
  const TimePoint m_started;

  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_operators;
  std::vector<std::unique_ptr<Ticker>> m_tickers;
  Ticker *m_writerTicker = nullptr;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ENTRY_H
