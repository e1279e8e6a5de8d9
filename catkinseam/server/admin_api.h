// The operators' and batch owners' HTTP API, /v1/..., and health and metrics.
//
//   AdminApi Api(Parts, Options);
//   HttpResponse Answer = Api.handle(Request);
//
// docs/API.md lists every route, status and error body.
#ifndef CATKINSEAM_SERVER_ADMIN_API_H
#define CATKINSEAM_SERVER_ADMIN_API_H

#include "catkinseam/base/guarded.h"
#include "catkinseam/batch/driver.h"
#include "catkinseam/net/http.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/request/request_core.h"
#include "catkinseam/state/log_writer.h"
#include "catkinseam/state/replica.h"
#include "catkinseam/telemetry/metrics.h"

#include <functional>
#include <string>

namespace catkinseam {

/// What the API works with; all outlive it.
struct AdminApiDependencies {
  const Clock &m_clock;
  Replica &m_replica;
  LogWriter &m_logWriter;
  Guarded<Membership> &m_membership;
  Guarded<RequestCore> &m_requestCore;
  BatchDriver &m_batchDriver;
  Metrics &m_metrics;
  /// Why the entry is not ready; empty when it is.
  std::function<std::string()> m_notReadyReason;
  /// Wakes the thread that appends.
  std::function<void()> m_wakeWriter;
};

/// Thread-safe; calls that change state block until their record is read back.
class AdminApi {
public:
  struct Options {
    std::string m_token;
    std::int64_t m_tasksPerJob = 10000;
    std::size_t m_jobsPerCancel = 10000;
    /// How long a change waits for its record to be read back.
    Duration m_changeTimeout = std::chrono::seconds(3);
    Duration m_maxWait = std::chrono::seconds(30);
  };

  AdminApi(const AdminApiDependencies &Deps, const Options &Opts);

  HttpResponse handle(const HttpRequest &Request);

private:
  using Method = Result<HttpResponse> (AdminApi::*)(const HttpRequest &);
  struct Route {
    const char *m_method;
    /// A path ending in "/" takes one more segment.
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

  /// Appends a record and waits until `IsIn` holds of the fold. Error
  /// Unavailable: it did not happen. OutcomeUnknown names `Id` to ask for.
  Result<void>
  appendAndWait(Record NewRecord, const std::string &Id,
                const std::function<bool(const State &)> &IsApplied);
  HttpResponse patchResponse(const ConfigPatch *Patch, const std::string &Id,
                             const PatchOutcome &Decided);

  const AdminApiDependencies m_deps;
  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SERVER_ADMIN_API_H
