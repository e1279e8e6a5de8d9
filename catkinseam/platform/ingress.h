// The platform's calls to a node, as calls of the front.
//
//   Ingress Calls(Desk, Counters, Host, Callbacks);
//   Calls.onCall(Request, Respond);
#ifndef CATKINSEAM_PLATFORM_INGRESS_H
#define CATKINSEAM_PLATFORM_INGRESS_H

#include "catkinseam/aio/http_listener.h"
#include "catkinseam/front/front.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/telemetry/metrics.h"

#include <functional>

namespace catkinseam {

/// Not thread-safe.
class Ingress {
public:
  struct Callbacks {
    /// The configuration in force, or null before the first.
    std::function<const OperatorConfig *()> m_config;
    /// Whether what is known of jobs is up to date.
    std::function<bool()> m_isCurrent;
    std::function<bool()> m_isReady;
  };

  Ingress(Front &Desk, Metrics &Counters, Runtime &Host, Callbacks Calls);

  /// A customer's call.
  void onCall(const HttpRequest &Request, const HttpResponder &Respond);

  /// A question of the platform's balancer.
  void onReadiness(const HttpRequest &Request, const HttpResponder &Respond);

private:
  struct CallContext;

  void submit(const CallContext &Asked, const HttpRequest &Request);
  void cancel(const CallContext &Asked);
  void answerState(const CallContext &Asked);
  void answer(const CallContext &Asked, HttpResponse Answer,
              const char *Outcome);
  void reject(const CallContext &Asked, int Status, const char *Outcome,
              const std::string &Reason);

  Front &m_front;
  Metrics &m_metrics;
  Runtime &m_runtime;
  const Callbacks m_callbacks;
};

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_INGRESS_H
