// Serves caller requests from arrival to their final outcome.
//
//   RequestService Service(Deps, {});
//   HttpResponse Response = Service.handle(Request);
//
// Every response has a Catkinseam-Outcome header: answered, not_run or unknown.
// A request that cannot be completed gets its outcome immediately, with a
// Retry-After header.
#ifndef CATKINSEAM_SERVER_REQUEST_SERVICE_H
#define CATKINSEAM_SERVER_REQUEST_SERVICE_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/net/http.h"
#include "catkinseam/request/request_dispatcher.h"
#include "catkinseam/server/key_service.h"
#include "catkinseam/server/upstream_pool.h"
#include "catkinseam/telemetry/metrics.h"
#include "catkinseam/telemetry/trace.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace catkinseam {

/// Dependencies of RequestService; all must outlive it.
struct RequestServiceDependencies {
  const Clock &m_clock;
  Guarded<RequestDispatcher> &m_requestDispatcher;
  KeyService &m_keyService;
  UpstreamPool &m_upstreamPool;
  Metrics &m_metrics;
  SpanExporter &m_spanExporter;
};

/// Immutable view of the configuration and the instance list; replaced as a
/// whole.
struct RequestView {
  KindTable m_kinds;
  std::uint64_t m_configVersion = 0;
  std::map<std::string, Endpoint> m_services;
};

/// Thread-safe. handle() blocks the calling thread.
class RequestService {
public:
  struct Options {
    std::string m_entryName;
    std::size_t m_maxInFlight = 2000;
    Duration m_maxDeadline = std::chrono::minutes(10);
    int m_maxAttempts = 3;
    int m_tracedPerThousand = 1000;
    /// An idempotent call without a response is retried on another worker after
    /// this multiple of the kind's 99th percentile service time.
    double m_attemptTimeoutFactor = 4;
    Duration m_minAttemptTimeout = std::chrono::milliseconds(50);
  };

  RequestService(const RequestServiceDependencies &Deps, const Options &Opts);

  /// Serves one request. Errors are returned as responses.
  HttpResponse handle(const HttpRequest &Request);

  void setView(std::shared_ptr<const RequestView> View);

  /// Passes dispatch decisions of the request dispatcher to the waiting
  /// requests.
  void deliver(const std::vector<Decision> &Decisions);

  std::size_t inFlight() const { return m_inFlight; }

private:
  /// A request in progress.
  struct RequestContext {
    const HttpRequest *m_request = nullptr;
    std::shared_ptr<const RequestView> m_view;
    KindPolicy m_kind;
    TimePoint m_arrived;
    TimePoint m_deadline;
    std::string m_key;
    TraceContext m_trace;
    std::string m_worker;
  };

  /// Final outcome of a request.
  struct Completion {
    enum class Kind { Answered, NotRun, Unknown };
    Kind m_kind = Kind::NotRun;
    HttpResponse m_response;
    std::string m_reason;
    Duration m_retryAfter = std::chrono::seconds(1);
    /// Set if the request dispatcher refused the request.
    std::optional<RefusalInputs> m_inputs;
    /// Calls to workers.
    int m_calls = 0;
  };

  struct Waiter {
    std::condition_variable m_changed;
    std::optional<Decision> m_decision;
  };

  Result<RequestContext> read(const HttpRequest &Request);
  Completion run(RequestContext &Context);
  Completion runWithKey(RequestContext &Context);
  Completion runAttempts(RequestContext &Context);
  Decision waitForDecision(const RequestContext &Context,
                           const std::string &ExcludedWorker, bool IsRetry);
  CallResult callWorker(const RequestContext &Context, const Decision &Target,
                        bool MayRetry);
  std::optional<Completion> evaluateCall(const RequestContext &Context,
                                         const CallResult &Reply, RequestId Id);
  HttpResponse respond(const RequestContext &Context, Completion Done);
  /// Logs why a request was not answered by a worker.
  void logRefusal(const RequestContext &Context, const Completion &Done,
                  const std::string &Outcome, Duration Elapsed) const;
  void recordSpan(const RequestContext &Context, const char *Name,
                  WallTime Start, Duration Length, const std::string &Outcome);
  Duration attemptTimeout(const KindPolicy &Kind) const;

  const RequestServiceDependencies m_deps;
  const Options m_options;
  mutable std::mutex m_viewMutex;
  std::shared_ptr<const RequestView> m_view;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<RequestId> m_nextId{1};
  std::mutex m_waitersMutex;
  std::map<RequestId, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_REQUEST_SERVICE_H
