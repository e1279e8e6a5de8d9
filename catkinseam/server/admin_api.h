// HTTP API for operators and batch users under /v1/, and the health, readiness
// and metrics endpoints.
//
//   AdminApi Api(Deps, Options);
//   HttpResponse Response = Api.handle(Request);
//
// docs/API.md documents all routes, status codes and error bodies.
#ifndef CATKINSEAM_SERVER_ADMIN_API_H
#define CATKINSEAM_SERVER_ADMIN_API_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/batch/driver.h"
#include "catkinseam/net/http.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/request/request_dispatcher.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replica.h"
#include "catkinseam/telemetry/metrics.h"

#include <functional>
#include <string>

namespace catkinseam {

/// Dependencies of AdminApi; all must outlive it.
struct AdminApiDependencies {
  const Clock &m_clock;
  Replica &m_replica;
  LogWriter &m_logWriter;
  Guarded<Membership> &m_membership;
  Guarded<RequestDispatcher> &m_requestDispatcher;
  BatchDriver &m_batchDriver;
  Metrics &m_metrics;
  /// Returns why the entry is not ready; empty if it is ready.
  std::function<std::string()> m_notReadyReason;
  /// Wakes the thread that appends to the log.
  std::function<void()> m_wakeWriter;
};

/// Thread-safe. Calls that change state block until their record has been read
/// back from the log.
class AdminApi {
public:
  struct Options {
    std::string m_token;
    std::int64_t m_tasksPerJob = 10000;
    std::size_t m_jobsPerCancel = 10000;
    /// How long a change waits for its record to be read back from the log.
    Duration m_changeTimeout = std::chrono::seconds(3);
    /// Upper bound of timeout_ms for /v1/config/wait.
    Duration m_maxWait = std::chrono::seconds(30);
  };

  AdminApi(const AdminApiDependencies &Deps, const Options &Opts);

  HttpResponse handle(const HttpRequest &Request);

private:
  using Method = Result<HttpResponse> (AdminApi::*)(const HttpRequest &);
  struct Route {
    const char *m_method;
    /// A path that ends in "/" matches exactly one further segment.
    const char *m_path;
    Method m_call;
  };
  static const std::vector<Route> &routes();

  Result<HttpResponse> dispatch(const HttpRequest &Request);
  Result<void> checkToken(const HttpRequest &Request) const;
  HttpResponse health(const HttpRequest &Request);

  Result<HttpResponse> showConfig(const HttpRequest &Request);
  Result<HttpResponse> showHistory(const HttpRequest &Request);
  Result<HttpResponse> submitPatch(const HttpRequest &Request);
  Result<HttpResponse> showPatch(const HttpRequest &Request);
  Result<HttpResponse> waitConfig(const HttpRequest &Request);
  Result<HttpResponse> showReport(const HttpRequest &Request);
  Result<HttpResponse> submitJob(const HttpRequest &Request);
  Result<HttpResponse> listJobs(const HttpRequest &Request);
  Result<HttpResponse> showJob(const HttpRequest &Request);
  Result<HttpResponse> cancelJobs(const HttpRequest &Request);
  Result<HttpResponse> listWorkers(const HttpRequest &Request);
  Result<HttpResponse> showStatus(const HttpRequest &Request);

  /// Appends a record to the log and waits until `IsApplied` is true for the
  /// replicated state. Error Unavailable: the record was not appended. Error
  /// OutcomeUnknown: the log did not confirm it in time; the caller can query
  /// the outcome by `Id`.
  Result<void>
  appendAndWait(Record NewRecord, const std::string &Id,
                const std::function<bool(const ReplicatedState &)> &IsApplied);
  HttpResponse patchResponse(const ConfigPatch *Patch, const std::string &Id,
                             const PatchOutcome &Decided);

  const AdminApiDependencies m_deps;
  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ADMIN_API_H
