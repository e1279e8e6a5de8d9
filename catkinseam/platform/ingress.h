// Handles the HTTP calls that customers and the platform make to a node.
//
//   Ingress Handler(Jobs, Counters, Loop, Callbacks);
//   Handler.onCall(Request, Respond);
#ifndef CATKINSEAM_PLATFORM_INGRESS_H
#define CATKINSEAM_PLATFORM_INGRESS_H

#include "catkinseam/aio/http_listener.h"
#include "catkinseam/front/job_lookup.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/telemetry/metrics.h"

#include <functional>
#include <memory>

namespace catkinseam {

/// Not thread-safe.
class Ingress {
public:
  struct Callbacks {
    /// Returns the current configuration, or null before the first one arrives.
    std::function<const OperatorConfig *()> m_config;
    /// Returns whether the configuration is recent enough to say that a route
    /// does not exist.
    std::function<bool()> m_isConfigCurrent;
    /// Returns whether this node's view of the jobs is up to date.
    std::function<bool()> m_isCurrent;
    /// Returns how long ago the node's view of the jobs was up to date.
    std::function<Milliseconds()> m_ledgerAge;
    /// Returns whether the node is ready to serve calls.
    std::function<bool()> m_isReady;
  };

  Ingress(JobService &Jobs, JobLookup &Lookup, Metrics &Counters, Runtime &Loop,
          Callbacks Handlers);
  ~Ingress();

  /// Handles a customer's call. May call `Respond` after returning.
  void onCall(const HttpRequest &Request, const HttpResponder &Respond);

  /// Handles a readiness check of the platform's load balancer.
  void onReadiness(const HttpRequest &Request, const HttpResponder &Respond);

private:
  struct CallContext;
  struct PendingLookup;

  using JobHandler = void (Ingress::*)(const CallContext &, JobState);

  /// Runs `Handler` with the state of the job, or answers that there is none,
  /// or that it is not known in time.
  void lookUpThen(const CallContext &Context, JobHandler Handler);
  void submit(const CallContext &Context, const HttpRequest &Request);
  void cancel(const CallContext &Context, JobState State);
  void answerState(const CallContext &Context, JobState State);
  void answer(const CallContext &Context, HttpResponse Response,
              const char *Outcome);
  void rejectAsNotCurrent(const CallContext &Context);
  void reject(const CallContext &Context, int Status, const char *Outcome,
              const std::string &Reason);

  JobService &m_jobService;
  JobLookup &m_jobLookup;
  Metrics &m_metrics;
  Runtime &m_runtime;
  const Callbacks m_callbacks;
  /// Set to false on destruction; late replies check it.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_INGRESS_H
