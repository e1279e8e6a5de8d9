// One node: the front for customers, and at times the owner that schedules.
//
//   EventLoop Loop;
//   Node Running(Loop, Settings);
//   Running.start();
//   Loop.run();
#ifndef CATKINSEAM_NODE_NODE_H
#define CATKINSEAM_NODE_NODE_H

#include "catkinseam/aio/http_listener.h"
#include "catkinseam/front/front.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/ledger/keyed_tail.h"
#include "catkinseam/ownership/owner.h"
#include "catkinseam/ownership/ownership.h"
#include "catkinseam/platform/ingress.h"
#include "catkinseam/platform/store.h"
#include "catkinseam/settings/node_settings.h"
#include "catkinseam/telemetry/metrics.h"

#include <memory>
#include <optional>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class Node {
public:
  Node(EventLoop &Loop, const NodeSettings &Values);
  ~Node();

  /// Error Unavailable names the address that cannot be listened on.
  Result<void> start();

  /// Stops without cutting off a request, and then stops the loop.
  void stop();

  /// The settings file has changed.
  void reload(const NodeSettings &Values);

private:
  void onJobRecord(const StoredRecord &Record);
  void onOperatorRecord(const StoredRecord &Record);
  void onJobsRead();
  bool isCurrent() const;
  bool isReady() const;
  void checkOwnership();
  void campaign();
  void onCampaignAnswer(const AppendReply &Reply);
  void judgeCampaign();
  void becomeOwner(std::uint64_t Epoch);
  void onDeposed();
  void finishWhenQuiet();
  std::string metricsText();

  EventLoop &m_loop;
  NodeSettings m_settings;
  /// Differs for each life of this process.
  const std::string m_boot;
  PlatformStore m_store;
  Metrics m_metrics;
  Ledger m_jobs;
  KeyedTail m_jobsTail;
  KeyedTail m_operatorTail;
  Front m_front;
  Ingress m_ingress;
  Ownership m_ownership;
  std::unique_ptr<Owner> m_owner;
  std::optional<OperatorConfig> m_config;
  std::unique_ptr<HttpListener> m_callers;
  std::unique_ptr<HttpListener> m_readiness;
  std::unique_ptr<HttpListener> m_metricsListener;
  Timer m_ownershipTimer;
  Timer m_stopTimer;
  /// The epoch that this node is trying to claim; zero for none.
  std::uint64_t m_claimed = 0;
  bool m_isStopping = false;
  TimePoint m_stopBegan;
};

} // namespace catkinseam

#endif // CATKINSEAM_NODE_NODE_H
