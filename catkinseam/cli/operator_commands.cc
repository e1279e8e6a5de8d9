// Commands for operators and batch owners that call the administration API.
#include "catkinseam/cli/operator_commands.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

constexpr Duration CallTimeout = std::chrono::seconds(40);
constexpr const char *DefaultEntry = "127.0.0.1:8081";

void addCommonOptions(po::options_description &Options) {
  Options.add_options()("entry",
                        po::value<std::string>()->default_value(DefaultEntry),
                        "administration address of any entry, IP:PORT")(
      "token", po::value<std::string>(),
      "administration token; otherwise from CATKINSEAM_TOKEN")(
      "json", "print the API response as JSON");
}

Result<std::string> findToken(const CommandContext &Context) {
  if (Context.m_options.count("token") > 0)
    return Context.m_options["token"].as<std::string>();
  if (const char *FromEnvironment = std::getenv("CATKINSEAM_TOKEN"))
    return std::string(FromEnvironment);
  return makeError(ErrorCode::Unauthorized,
                   "no token: give --token or set CATKINSEAM_TOKEN");
}

std::string errorDetail(const HttpResponse &Response) {
  const Outcome<JsonObject> Body =
      attempt([&] { return parseJsonObject(Response.m_body); });
  const std::string Detail =
      Body ? jsonString(Body.value(), "detail") : std::string();
  return Detail.empty() ? "status " + std::to_string(Response.m_status)
                        : Detail;
}

/// Returns OutcomeUnknown if the error's title says so, since it shares its
/// HTTP status with Unavailable; otherwise the code of the HTTP status.
ErrorCode responseErrorCode(const HttpResponse &Response) {
  const Outcome<JsonObject> Body =
      attempt([&] { return parseJsonObject(Response.m_body); });
  const bool IsUnknown = Body && jsonString(Body.value(), "title") ==
                                     errorCodeName(ErrorCode::OutcomeUnknown);
  return IsUnknown ? ErrorCode::OutcomeUnknown : errorCodeOf(Response.m_status);
}

Result<JsonObject> callApi(const CommandContext &Context,
                           const std::string &Method, const std::string &Path,
                           const std::string &Query, const std::string &Body) {
  BOOST_LEAF_AUTO(Token, findToken(Context));
  BOOST_LEAF_AUTO(EntryAddress,
                  parseEndpoint(Context.m_options["entry"].as<std::string>()));
  HttpRequest Request;
  Request.m_method = Method;
  Request.m_path = Path;
  Request.m_query = Query;
  Request.m_body = Body;
  Request.m_headers = {{"Authorization", "Bearer " + Token},
                       {"Content-Type", "application/json"}};
  HttpClient Client;
  const CallResult Exchange = Client.call(EntryAddress, Request, CallTimeout);
  if (!Exchange.m_response) {
    const bool MayHaveRun =
        Exchange.m_failure != CallFailure::NotSent && Method == "POST";
    return makeError(MayHaveRun ? ErrorCode::OutcomeUnknown
                                : ErrorCode::Unavailable,
                     "entry at " + Exchange.m_reason);
  }
  if (Exchange.m_response->m_status >= 300)
    return makeError(responseErrorCode(*Exchange.m_response),
                     errorDetail(*Exchange.m_response));
  return parseJsonObject(Exchange.m_response->m_body);
}

bool wantsJson(const CommandContext &Context) {
  return Context.m_options.count("json") > 0;
}

/// Prints the object: as JSON if --json is given, else one member per line.
ExitCode printObject(const CommandContext &Context, const JsonObject &Body) {
  if (wantsJson(Context)) {
    Context.m_out << toText(Body) << "\n";
    return ExitCode::Success;
  }
  for (const std::string &Name : Body->getNames()) {
    std::ostringstream Value;
    Poco::JSON::Stringifier::stringify(Body->get(Name), Value);
    Context.m_out << Name << " = " << Value.str() << "\n";
  }
  return ExitCode::Success;
}

struct Column {
  const char *m_title;
  const char *m_key;
};

/// Prints the array `Key` of `Body` as a table with one row per object, or the
/// whole `Body` if --json is given.
ExitCode printRows(const CommandContext &Context, const JsonObject &Body,
                   const char *Key, const std::vector<Column> &Columns) {
  if (wantsJson(Context)) {
    Context.m_out << toText(Body) << "\n";
    return ExitCode::Success;
  }
  constexpr int Width = 14;
  for (const Column &CurrentColumn : Columns)
    Context.m_out << std::left << std::setw(Width) << CurrentColumn.m_title
                  << " ";
  Context.m_out << "\n";
  const JsonArray Rows = jsonArray(Body, Key);
  for (std::size_t Index = 0; Index < Rows->size(); ++Index) {
    const JsonObject Row = Rows->getObject(static_cast<unsigned>(Index));
    for (const Column &CurrentColumn : Columns) {
      std::string Cell = "-";
      if (Row->has(CurrentColumn.m_key)) {
        std::ostringstream Text;
        const Poco::Dynamic::Var Value = Row->get(CurrentColumn.m_key);
        if (Value.isString())
          Text << Value.convert<std::string>();
        else
          Poco::JSON::Stringifier::stringify(Value, Text);
        Cell = Text.str();
      }
      Context.m_out << std::left << std::setw(Width) << Cell << " ";
    }
    Context.m_out << "\n";
  }
  return ExitCode::Success;
}

Result<JsonObject> readJsonFile(const std::string &Path) {
  std::ostringstream Text;
  if (Path == "-") {
    Text << std::cin.rdbuf();
  } else {
    std::ifstream Stream(Path);
    if (!Stream)
      return makeError(ErrorCode::Invalid, "cannot read \"" + Path + "\"");
    Text << Stream.rdbuf();
  }
  return parseJsonObject(Text.str());
}

std::string optionText(const CommandContext &Context, const char *Name) {
  return Context.m_options.count(Name) > 0
             ? Context.m_options[Name].as<std::string>()
             : std::string();
}

// config

void addPatchOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("file", po::value<std::string>()->required(),
                        "JSON object of path to value or null; - for stdin")(
      "base", po::value<std::uint64_t>(),
      "version that the patch is based on; required unless "
      "--on-current is given")(
      "on-current", "use the version in force as the base; for initial "
                    "setup, not for edits")(
      "id", po::value<std::string>(),
      "id of the patch; submitting the same id again returns the same outcome")(
      "author", po::value<std::string>()->default_value("operator"),
      "author of the patch");
}

Result<std::uint64_t> findBaseVersion(const CommandContext &Context) {
  if (Context.m_options.count("base") > 0)
    return Context.m_options["base"].as<std::uint64_t>();
  if (Context.m_options.count("on-current") == 0)
    return makeError(ErrorCode::Invalid, "give --base VERSION, the version "
                                         "that the patch is based on");
  BOOST_LEAF_AUTO(Current, callApi(Context, "GET", "/v1/config", "", ""));
  return static_cast<std::uint64_t>(jsonInteger(Current, "version"));
}

Result<ExitCode> submitChanges(const CommandContext &Context,
                               const JsonObject &Changes) {
  BOOST_LEAF_AUTO(Base, findBaseVersion(Context));
  const std::string Id = optionText(Context, "id");
  JsonObject Body = newObject();
  Body->set("id", Id.empty() ? "patch-" + randomId() : Id);
  Body->set("author", optionText(Context, "author"));
  Body->set("base", Base);
  Body->set("changes", Changes);
  BOOST_LEAF_AUTO(Response, callApi(Context, "POST", "/v1/config/patches", "",
                                    toText(Body)));
  return printObject(Context, Response);
}

Result<ExitCode> configShow(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/config", "", ""));
  if (wantsJson(Context))
    return printObject(Context, Body);
  Context.m_out << "version = " << jsonInteger(Body, "version") << "\n";
  return printObject(Context, jsonObject(Body, "content"));
}

Result<ExitCode> configSubmit(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Changes, readJsonFile(optionText(Context, "file")));
  return submitChanges(Context, Changes);
}

void addHistoryOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("limit", po::value<std::string>()->default_value("50"),
                        "number of latest versions to show");
}

Result<ExitCode> configHistory(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/config/history",
                                "limit=" + optionText(Context, "limit"), ""));
  return printRows(Context, Body, "versions",
                   {{"VERSION", "version"},
                    {"PATCH", "patch"},
                    {"AUTHOR", "author"},
                    {"CHANGES", "changes"}});
}

void addWaitOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("version", po::value<std::string>()->required(),
                        "version to wait for")(
      "timeout-ms", po::value<std::string>()->default_value("10000"),
      "maximum wait in milliseconds");
}

Result<ExitCode> configWait(const CommandContext &Context) {
  BOOST_LEAF_AUTO(
      Body, callApi(Context, "GET", "/v1/config/wait",
                    "version=" + optionText(Context, "version") +
                        "&timeout_ms=" + optionText(Context, "timeout-ms"),
                    ""));
  return printObject(Context, Body);
}

// report

void addReportOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("as", po::value<std::string>()->default_value("both"),
                        "reading: service (headroom), batch (room) or both");
}

Result<ExitCode> reportShow(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/report",
                                "as=" + optionText(Context, "as"), ""));
  return printRows(Context, Body, "workers",
                   {{"WORKER", "worker"},
                    {"RACK", "rack"},
                    {"HEADROOM", "headroom"},
                    {"TARGET", "headroom_target"},
                    {"ROOM", "room"},
                    {"HELD", "held"}});
}

Result<ExitCode> reportSubmit(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Report, readJsonFile(optionText(Context, "file")));
  JsonObject Changes = newObject();
  for (const std::string &Worker : Report->getNames()) {
    const JsonObject Row = jsonObject(Report, Worker);
    for (const std::string &AmountName : Row->getNames()) {
      std::string Path = "workers/" + Worker;
      Path += "/" + AmountName;
      Changes->set(Path, Row->get(AmountName));
    }
  }
  return submitChanges(Context, Changes);
}

// job

void addJobOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("id", po::value<std::string>()->required(),
                        "id of the job; submitting the same id again does not "
                        "create another job")(
      "team", po::value<std::string>()->default_value("default"),
      "team whose quota the job counts against")(
      "program", po::value<std::string>()->required(),
      "program that the worker runs for each task")(
      "tasks", po::value<std::int64_t>()->default_value(1), "number of tasks")(
      "processors-milli", po::value<std::int64_t>()->default_value(1000),
      "processors per task, in thousandths")(
      "memory-mb", po::value<std::int64_t>()->default_value(256),
      "memory per task, in MB")("accelerators",
                                po::value<std::int64_t>()->default_value(0),
                                "accelerators per task")(
      "run-ms", po::value<std::int64_t>()->default_value(0),
      "declared run time per task in milliseconds; a hint")(
      "urgent", "start before non-urgent jobs");
}

Result<ExitCode> jobSubmit(const CommandContext &Context) {
  JsonObject Body = newObject();
  for (const char *Key : {"id", "team", "program"})
    Body->set(Key, optionText(Context, Key));
  Body->set("tasks", Context.m_options["tasks"].as<std::int64_t>());
  Body->set("processors_milli",
            Context.m_options["processors-milli"].as<std::int64_t>());
  Body->set("memory_mb", Context.m_options["memory-mb"].as<std::int64_t>());
  Body->set("accelerators",
            Context.m_options["accelerators"].as<std::int64_t>());
  Body->set("run_ms", Context.m_options["run-ms"].as<std::int64_t>());
  Body->set("urgent", Context.m_options.count("urgent") > 0);
  BOOST_LEAF_AUTO(Response,
                  callApi(Context, "POST", "/v1/jobs", "", toText(Body)));
  return printObject(Context, Response);
}

void addJobIdOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("id", po::value<std::string>()->required(),
                        "id of the job");
}

Result<ExitCode> jobStatus(const CommandContext &Context) {
  BOOST_LEAF_AUTO(
      Body,
      callApi(Context, "GET", "/v1/jobs/" + optionText(Context, "id"), "", ""));
  return printObject(Context, Body);
}

Result<ExitCode> jobList(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/jobs", "", ""));
  return printRows(Context, Body, "jobs",
                   {{"JOB", "id"},
                    {"TEAM", "team"},
                    {"STATE", "state"},
                    {"TASKS", "tasks"},
                    {"QUEUED", "queued"},
                    {"CLAIMED", "claimed"},
                    {"FINISHED", "finished"},
                    {"EVICTIONS", "evictions"}});
}

void addJobIdsOptions(po::options_description &Options) {
  addCommonOptions(Options);
  Options.add_options()("id", po::value<std::vector<std::string>>()->required(),
                        "ids of the jobs");
}

Result<ExitCode> jobCancel(const CommandContext &Context) {
  JsonArray Ids = newArray();
  for (const std::string &Id :
       Context.m_options["id"].as<std::vector<std::string>>())
    Ids->add(Id);
  JsonObject Body = newObject();
  Body->set("jobs", Ids);
  BOOST_LEAF_AUTO(
      Response, callApi(Context, "POST", "/v1/jobs/cancel", "", toText(Body)));
  return printObject(Context, Response);
}

// worker, status

Result<ExitCode> workerList(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/workers", "", ""));
  return printRows(Context, Body, "workers",
                   {{"WORKER", "worker"},
                    {"CENTRE", "data_centre"},
                    {"RACK", "rack"},
                    {"SLOTS", "slots"},
                    {"TASKS", "tasks"},
                    {"LEAVING", "leaving"},
                    {"QUARANTINED", "quarantined"}});
}

Result<ExitCode> showStatus(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Body, callApi(Context, "GET", "/v1/status", "", ""));
  return printObject(Context, Body);
}

} // namespace

std::vector<Command> operatorCommands() {
  return {
      {"config show",
       "show the configuration in force",
       addCommonOptions,
       {},
       configShow},
      {"config submit",
       "submit a patch against a version",
       addPatchOptions,
       {"file"},
       configSubmit},
      {"config history",
       "show the latest versions",
       addHistoryOptions,
       {},
       configHistory},
      {"config wait",
       "wait until a version is in force on every entry",
       addWaitOptions,
       {"version"},
       configWait},
      {"report show",
       "show the capacity report",
       addReportOptions,
       {},
       reportShow},
      {"report submit",
       "submit capacity as a patch: worker to amounts",
       addPatchOptions,
       {"file"},
       reportSubmit},
      {"job submit", "submit a batch job", addJobOptions, {"id"}, jobSubmit},
      {"job status",
       "show one job and its tasks",
       addJobIdOptions,
       {"id"},
       jobStatus},
      {"job list", "list jobs", addCommonOptions, {}, jobList},
      {"job cancel", "cancel jobs", addJobIdsOptions, {"id"}, jobCancel},
      {"worker list", "list workers", addCommonOptions, {}, workerList},
      {"status",
       "show an entry's state and its peers",
       addCommonOptions,
       {},
       showStatus},
  };
}

} // namespace catkinseam
