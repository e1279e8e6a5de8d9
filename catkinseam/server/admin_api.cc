// Routes and handlers of the administration API.
#include "catkinseam/server/admin_api.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/server/admin_json.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

constexpr std::size_t MaxIdLength = 63;
constexpr std::int64_t DefaultHistoryLimit = 50;

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return std::isalnum(static_cast<unsigned char>(Letter)) != 0 ||
                  Letter == '-' || Letter == '_' || Letter == '.';
         });
}

Result<std::string> requireId(const JsonObject &Body, const std::string &Key) {
  std::string Id = jsonString(Body, Key);
  if (!isId(Id))
    return makeError(ErrorCode::Invalid,
                     "\"" + Key + "\" must be a name of 1 to " +
                         std::to_string(MaxIdLength) +
                         " letters, digits, \"-\", \"_\" or \".\"");
  return Id;
}

Result<std::uint64_t> requireVersion(const std::string &Text,
                                     const std::string &Key) {
  std::uint64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Ec] = std::from_chars(Text.data(), Last, Number);
  if (Ec != std::errc() || End != Last || Text.empty())
    return makeError(ErrorCode::Invalid,
                     "\"" + Key + "\" must be a version number");
  return Number;
}

std::string lastSegment(const std::string &Path) {
  return Path.substr(Path.rfind('/') + 1);
}

bool matchesRoute(const std::string &Path, const std::string &Pattern) {
  if (Pattern.back() != '/')
    return Path == Pattern;
  return Path.rfind(Pattern, 0) == 0 && Path.size() > Pattern.size() &&
         Path.find('/', Pattern.size()) == std::string::npos;
}

} // namespace

AdminApi::AdminApi(const AdminApiDependencies &Deps, const Options &Opts)
    : m_deps(Deps), m_options(Opts) {}

const std::vector<AdminApi::Route> &AdminApi::routes() {
  static const std::vector<Route> All = {
      {"GET", "/v1/config", &AdminApi::showConfig},
      {"GET", "/v1/config/history", &AdminApi::showHistory},
      {"GET", "/v1/config/wait", &AdminApi::waitConfig},
      {"POST", "/v1/config/patches", &AdminApi::submitPatch},
      {"GET", "/v1/config/patches/", &AdminApi::showPatch},
      {"GET", "/v1/report", &AdminApi::showReport},
      {"GET", "/v1/jobs", &AdminApi::listJobs},
      {"POST", "/v1/jobs", &AdminApi::submitJob},
      {"POST", "/v1/jobs/cancel", &AdminApi::cancelJobs},
      {"GET", "/v1/jobs/", &AdminApi::showJob},
      {"GET", "/v1/workers", &AdminApi::listWorkers},
      {"GET", "/v1/status", &AdminApi::showStatus},
  };
  return All;
}

HttpResponse AdminApi::handle(const HttpRequest &Request) {
  const std::string &Path = Request.m_path;
  if (Path == "/healthz" || Path == "/readyz" || Path == "/metrics")
    return health(Request);
  const Outcome<HttpResponse> Response =
      attempt([&] { return dispatch(Request); });
  return Response ? Response.value() : problemResponse(Response.error());
}

HttpResponse AdminApi::health(const HttpRequest &Request) {
  if (Request.m_path == "/healthz")
    return jsonResponse(200, R"({"status":"alive"})");
  if (Request.m_path == "/metrics") {
    HttpResponse Text;
    Text.m_headers.emplace_back("Content-Type",
                                "text/plain; version=0.0.4; charset=utf-8");
    Text.m_body = m_deps.m_metrics.text();
    return Text;
  }
  const std::string Reason = m_deps.m_notReadyReason();
  if (Reason.empty())
    return jsonResponse(200, R"({"status":"ready"})");
  return problemResponse({ErrorCode::Unavailable, Reason});
}

Result<void> AdminApi::checkToken(const HttpRequest &Request) const {
  const std::string *Given = Request.header("Authorization");
  if (Given == nullptr ||
      !constantTimeEquals(*Given, "Bearer " + m_options.m_token))
    return makeError(ErrorCode::Unauthorized,
                     "the administration token is missing or wrong");
  return {};
}

Result<HttpResponse> AdminApi::dispatch(const HttpRequest &Request) {
  BOOST_LEAF_CHECK(checkToken(Request));
  bool IsPathKnown = false;
  for (const Route &Candidate : routes()) {
    if (!matchesRoute(Request.m_path, Candidate.m_path))
      continue;
    if (Request.m_method == Candidate.m_method)
      return (this->*Candidate.m_call)(Request);
    IsPathKnown = true;
  }
  if (IsPathKnown)
    return makeError(ErrorCode::Invalid, "\"" + Request.m_path +
                                             "\" does not take " +
                                             Request.m_method);
  return makeError(ErrorCode::NotFound,
                   "\"" + Request.m_path + "\" does not exist");
}

Result<void> AdminApi::appendAndWait(
    Record NewRecord, const std::string &Id,
    const std::function<bool(const ReplicatedState &)> &IsApplied) {
  if (!m_deps.m_logWriter.submit(std::move(NewRecord), nullptr))
    return makeError(ErrorCode::Unavailable,
                     "the log is not accepting records; \"" + Id +
                         "\" was not recorded");
  m_deps.m_wakeWriter();
  if (!m_deps.m_replica.waitFor(IsApplied, m_options.m_changeTimeout))
    return makeError(ErrorCode::OutcomeUnknown,
                     "the log has not confirmed \"" + Id +
                         "\"; its outcome is unknown; query it by this id");
  return {};
}

Result<HttpResponse> AdminApi::showConfig(const HttpRequest &) {
  return m_deps.m_replica.read([](const ReplicatedState &Shared) {
    JsonObject Body = newObject();
    Body->set("version", Shared.config().version());
    Body->set("content", contentJson(Shared.config().content()));
    return jsonResponse(200, toText(Body));
  });
}

Result<HttpResponse> AdminApi::showHistory(const HttpRequest &Request) {
  BOOST_LEAF_AUTO(
      MaxCount,
      requireVersion(
          Request.queryValue("limit", std::to_string(DefaultHistoryLimit)),
          "limit"));
  return m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    const auto &History = Shared.config().history();
    const std::size_t Count = std::min<std::size_t>(MaxCount, History.size());
    JsonArray Versions = newArray();
    for (std::size_t Index = History.size() - Count; Index < History.size();
         ++Index)
      Versions->add(versionJson(History[Index]));
    JsonObject Body = newObject();
    Body->set("versions", Versions);
    return jsonResponse(200, toText(Body));
  });
}

HttpResponse AdminApi::patchResponse(const ConfigPatch *Patch,
                                     const std::string &Id,
                                     const PatchOutcome &Decision) {
  static constexpr int Statuses[] = {200, 409, 422};
  JsonObject Body = m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    return outcomeJson(Shared.config(), Patch, Id, Decision);
  });
  return jsonResponse(Statuses[static_cast<std::size_t>(Decision.m_verdict)],
                      toText(Body));
}

Result<HttpResponse> AdminApi::submitPatch(const HttpRequest &Request) {
  BOOST_LEAF_AUTO(Body, parseJsonObject(Request.m_body));
  ConfigPatch Patch;
  BOOST_LEAF_ASSIGN(Patch.m_id, requireId(Body, "id"));
  BOOST_LEAF_ASSIGN(Patch.m_author, requireId(Body, "author"));
  if (!Body->has("base") || jsonInteger(Body, "base", -1) < 0)
    return makeError(ErrorCode::Invalid,
                     "\"base\" must be the version that the patch was "
                     "written against");
  Patch.m_baseVersion = static_cast<std::uint64_t>(jsonInteger(Body, "base"));
  BOOST_LEAF_ASSIGN(Patch.m_changes,
                    changesFromJson(jsonObject(Body, "changes")));
  auto IsDecided = [&](const ReplicatedState &Shared) {
    return Shared.config().outcome(Patch.m_id) != nullptr;
  };
  if (!m_deps.m_replica.read(IsDecided))
    BOOST_LEAF_CHECK(
        appendAndWait(ConfigPatchRecord{Patch}, Patch.m_id, IsDecided));
  const PatchOutcome Decision =
      m_deps.m_replica.read([&](const ReplicatedState &Now) {
        return *Now.config().outcome(Patch.m_id);
      });
  return patchResponse(&Patch, Patch.m_id, Decision);
}

Result<HttpResponse> AdminApi::showPatch(const HttpRequest &Request) {
  const std::string Id = lastSegment(Request.m_path);
  const std::optional<PatchOutcome> Decision = m_deps.m_replica.read(
      [&](const ReplicatedState &Shared) -> std::optional<PatchOutcome> {
        const PatchOutcome *Found = Shared.config().outcome(Id);
        return Found == nullptr ? std::nullopt : std::optional(*Found);
      });
  if (!Decision)
    return makeError(ErrorCode::NotFound,
                     "patch \"" + Id + "\" has no outcome yet");
  return patchResponse(nullptr, Id, *Decision);
}

Result<HttpResponse> AdminApi::waitConfig(const HttpRequest &Request) {
  BOOST_LEAF_AUTO(Version,
                  requireVersion(Request.queryValue("version"), "version"));
  BOOST_LEAF_AUTO(
      TimeoutMs,
      requireVersion(Request.queryValue("timeout_ms", "10000"), "timeout_ms"));
  const Duration MaxWait =
      std::min<Duration>(Milliseconds(TimeoutMs), m_options.m_maxWait);
  constexpr Duration PollInterval = std::chrono::milliseconds(20);
  const TimePoint End = m_deps.m_clock.now() + MaxWait;
  std::vector<Seat> Lagging;
  do {
    // The predicate is never true: this sleeps until the next poll of the
    // peers' versions.
    m_deps.m_replica.waitFor([](const ReplicatedState &) { return false; },
                             PollInterval);
    const std::uint64_t Own =
        m_deps.m_replica.read([](const ReplicatedState &Shared) {
          return Shared.config().version();
        });
    Lagging = m_deps.m_membership.with([&](const Membership &Members) {
      std::vector<Seat> LaggingNow;
      for (const Seat PeerSeat : Members.aliveSeats()) {
        const auto Peer = Members.peers().find(PeerSeat);
        const std::uint64_t PeerVersion =
            Peer == Members.peers().end()
                ? Own
                : Peer->second.m_lastHeartbeat.m_configVersion;
        if (PeerVersion < Version)
          LaggingNow.push_back(PeerSeat);
      }
      return LaggingNow;
    });
  } while (!Lagging.empty() && m_deps.m_clock.now() < End);
  if (Lagging.empty()) {
    JsonObject Body = newObject();
    Body->set("version", Version);
    Body->set("in_force", true);
    return jsonResponse(200, toText(Body));
  }
  std::string Names;
  for (const Seat PeerSeat : Lagging)
    Names += " " + std::to_string(PeerSeat);
  return makeError(ErrorCode::Unavailable,
                   "version " + std::to_string(Version) +
                       " is not yet in force on the entries at seats" + Names);
}

Result<HttpResponse> AdminApi::showReport(const HttpRequest &Request) {
  const std::string Audience = Request.queryValue("as", "both");
  if (Audience != "both" && Audience != "service" && Audience != "batch")
    return makeError(ErrorCode::Invalid,
                     "\"as\" must be service, batch or both");
  return m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    return jsonResponse(200, toText(reportJson(Shared, Audience)));
  });
}

Result<HttpResponse> AdminApi::submitJob(const HttpRequest &Request) {
  BOOST_LEAF_AUTO(Body, parseJsonObject(Request.m_body));
  JobRecord Job;
  BOOST_LEAF_ASSIGN(Job.m_job, requireId(Body, "id"));
  BOOST_LEAF_ASSIGN(Job.m_team, requireId(Body, "team"));
  BOOST_LEAF_CHECK(readJobSubmission(Body, m_options.m_tasksPerJob, Job));
  auto IsApplied = [&](const ReplicatedState &Shared) {
    return Shared.job(Job.m_job) != nullptr;
  };
  const bool IsKnown = m_deps.m_replica.read(IsApplied);
  const std::string RejectionReason =
      m_deps.m_replica.read([&](const ReplicatedState &Shared) {
        return Shared.unplaceableReason(Job);
      });
  if (!IsKnown && !RejectionReason.empty())
    return makeError(ErrorCode::Conflict, RejectionReason);
  if (!IsKnown)
    BOOST_LEAF_CHECK(appendAndWait(Job, Job.m_job, IsApplied));
  return m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    return jsonResponse(IsKnown ? 200 : 201,
                        toText(jobJson(*Shared.job(Job.m_job))));
  });
}

Result<HttpResponse> AdminApi::listJobs(const HttpRequest &) {
  return m_deps.m_replica.read([](const ReplicatedState &Shared) {
    JsonArray Jobs = newArray();
    for (const auto &[Name, Job] : Shared.jobs())
      Jobs->add(jobJson(Job));
    JsonObject Body = newObject();
    Body->set("jobs", Jobs);
    return jsonResponse(200, toText(Body));
  });
}

Result<HttpResponse> AdminApi::showJob(const HttpRequest &Request) {
  const std::string Id = lastSegment(Request.m_path);
  return m_deps.m_replica.read(
      [&](const ReplicatedState &Shared) -> Result<HttpResponse> {
        const JobRow *Job = Shared.job(Id);
        if (Job == nullptr)
          return makeError(ErrorCode::NotFound,
                           "job \"" + Id + "\" does not exist");
        JsonObject Body = jobJson(*Job);
        Body->set("task_list", taskListJson(*Job));
        return jsonResponse(200, toText(Body));
      });
}

Result<HttpResponse> AdminApi::cancelJobs(const HttpRequest &Request) {
  BOOST_LEAF_AUTO(Body, parseJsonObject(Request.m_body));
  CancelRecord Cancel;
  const JsonArray Names = jsonArray(Body, "jobs");
  if (Names->size() == 0 || Names->size() > m_options.m_jobsPerCancel)
    return makeError(ErrorCode::Invalid,
                     "\"jobs\" must name 1 to " +
                         std::to_string(m_options.m_jobsPerCancel) + " jobs");
  for (const Poco::Dynamic::Var &Name : *Names) {
    if (!Name.isString())
      return makeError(ErrorCode::Invalid,
                       "\"jobs\" must hold names only; nothing was cancelled");
    Cancel.m_jobs.push_back(Name.convert<std::string>());
  }
  const std::string UnknownJob =
      m_deps.m_replica.read([&](const ReplicatedState &Shared) {
        for (const std::string &Name : Cancel.m_jobs)
          if (Shared.job(Name) == nullptr)
            return Name;
        return std::string();
      });
  if (!UnknownJob.empty())
    return makeError(ErrorCode::NotFound, "job \"" + UnknownJob +
                                              "\" does not exist; nothing was "
                                              "cancelled");
  auto IsApplied = [&](const ReplicatedState &Shared) {
    return std::all_of(Cancel.m_jobs.begin(), Cancel.m_jobs.end(),
                       [&](const std::string &Name) {
                         const JobRow *Job = Shared.job(Name);
                         return Job == nullptr ||
                                Job->m_phase != JobPhase::Active;
                       });
  };
  if (!m_deps.m_replica.read(IsApplied))
    BOOST_LEAF_CHECK(appendAndWait(Cancel, Cancel.m_jobs.front(), IsApplied));
  JsonObject Response = newObject();
  Response->set("cancelled", Cancel.m_jobs.size());
  return jsonResponse(200, toText(Response));
}

Result<HttpResponse> AdminApi::listWorkers(const HttpRequest &) {
  const std::map<std::string, WorkerStatus> Statuses =
      m_deps.m_batchDriver.workerStatuses();
  const auto Upstreams =
      m_deps.m_requestDispatcher.with([](const RequestDispatcher &Dispatcher) {
        return Dispatcher.upstreams();
      });
  return m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    JsonArray Workers = newArray();
    for (const auto &[Name, Row] : Shared.workers())
      Workers->add(workerJson(Name, Row, Statuses, Upstreams));
    JsonObject Body = newObject();
    Body->set("workers", Workers);
    return jsonResponse(200, toText(Body));
  });
}

Result<HttpResponse> AdminApi::showStatus(const HttpRequest &) {
  JsonObject Body = newObject();
  const std::string Reason = m_deps.m_notReadyReason();
  Body->set("ready", Reason.empty());
  if (!Reason.empty())
    Body->set("reason", Reason);
  Body->set("log_writable", !m_deps.m_logWriter.isCircuitOpen());
  m_deps.m_replica.read([&](const ReplicatedState &Shared) {
    Body->set("config_version", Shared.config().version());
    Body->set("next_offset", Shared.nextOffset());
    Body->set("workers", Shared.workers().size());
    Body->set("jobs", Shared.jobs().size());
  });
  Body->set("snapshot_divergences", m_deps.m_replica.divergences());
  m_deps.m_membership.with([&](const Membership &Members) {
    Body->set("seat", Members.seat());
    Body->set("in_majority", Members.isInMajority());
    Body->set("entries", entriesJson(Members));
  });
  return jsonResponse(200, toText(Body));
}

} // namespace catkinseam
