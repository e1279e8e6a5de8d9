// JSON encoding and decoding for the administration API.
#include "catkinseam/server/admin_json.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Parser.h>

namespace catkinseam {

namespace {

using Poco::Dynamic::Var;

/// Converts a scalar stored as JSON text to a JSON value.
Var scalarFromText(const std::string &Text) {
  if (Text == "true" || Text == "false")
    return Text == "true";
  if (Text.size() >= 2 && Text.front() == '"')
    return Text.substr(1, Text.size() - 2);
  return static_cast<Poco::Int64>(std::stoll(Text));
}

JsonObject changesJson(const ConfigChanges &Changes) {
  JsonObject Object = newObject();
  for (const auto &[Path, Value] : Changes)
    Object->set(Path, Value ? scalarFromText(*Value) : Var());
  return Object;
}

JsonObject resourcesJson(const Resources &Size) {
  JsonObject Object = newObject();
  Object->set("processors_milli", Size.m_milliProcessors);
  Object->set("memory_mb", Size.m_memoryMb);
  Object->set("accelerators", Size.m_accelerators);
  return Object;
}

const char *phaseName(JobPhase Phase) {
  static constexpr const char *Names[] = {"active", "finished", "cancelled",
                                          "parked"};
  return Names[static_cast<std::size_t>(Phase)];
}

const char *phaseName(TaskPhase Phase) {
  static constexpr const char *Names[] = {"queued", "claimed", "finished",
                                          "cancelled"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace

JsonObject contentJson(const ConfigContent &Content) {
  JsonObject Object = newObject();
  for (const auto &[Path, Value] : Content)
    Object->set(Path, scalarFromText(Value));
  return Object;
}

JsonObject versionJson(const ConfigVersion &Version) {
  JsonObject Object = newObject();
  Object->set("version", Version.m_version);
  Object->set("patch", Version.m_patchId);
  Object->set("author", Version.m_author);
  Object->set("wall_ms", Version.m_wallMs);
  Object->set("changes", changesJson(Version.m_changes));
  Object->set("replaced", changesJson(Version.m_previousValues));
  return Object;
}

JsonObject outcomeJson(const ConfigTable &Config, const ConfigPatch *Patch,
                       const std::string &Id, const PatchOutcome &Decision) {
  static constexpr const char *Verdicts[] = {"accepted", "stale", "invalid"};
  JsonObject Object = newObject();
  Object->set("id", Id);
  Object->set("verdict",
              Verdicts[static_cast<std::size_t>(Decision.m_verdict)]);
  Object->set("version", Decision.m_version);
  Object->set("base", Decision.m_baseVersion);
  if (!Decision.m_message.empty())
    Object->set("detail", Decision.m_message);
  if (Decision.m_verdict != PatchVerdict::Stale)
    return Object;
  JsonArray Overlap = newArray();
  for (const std::string &Path : Decision.m_overlappingPaths)
    Overlap->add(Path);
  Object->set("overlap", Overlap);
  JsonArray Between = newArray();
  for (const ConfigVersion &Version : Config.history())
    if (Version.m_version > Decision.m_baseVersion)
      Between->add(versionJson(Version));
  Object->set("between", Between);
  if (Patch != nullptr) {
    JsonObject Rebased = newObject();
    Rebased->set("author", Patch->m_author);
    Rebased->set("base", Config.version());
    Rebased->set("changes", changesJson(Patch->m_changes));
    Object->set("rebased", Rebased);
  }
  return Object;
}

Result<ConfigChanges> changesFromJson(const JsonObject &Object) {
  ConfigChanges Changes;
  for (const auto &[Path, Value] : *Object) {
    if (Value.isEmpty())
      Changes[Path] = std::nullopt;
    else if (Value.isBoolean())
      Changes[Path] = Value.convert<bool>() ? "true" : "false";
    else if (Value.isInteger())
      Changes[Path] = std::to_string(Value.convert<Poco::Int64>());
    else if (Value.isString())
      Changes[Path] = "\"" + Value.convert<std::string>() + "\"";
    else
      return makeError(ErrorCode::Invalid,
                       Path + ": must be an integer, boolean, string or "
                              "null");
  }
  return Changes;
}

Result<void> readJobSubmission(const JsonObject &Body, std::int64_t MaxTasks,
                               JobRecord &Job) {
  const std::int64_t Tasks = jsonInteger(Body, "tasks", 1);
  if (Tasks < 1 || Tasks > MaxTasks)
    return makeError(ErrorCode::Invalid,
                     "\"tasks\" must be from 1 to " + std::to_string(MaxTasks));
  Job.m_taskCount = static_cast<std::uint32_t>(Tasks);
  Job.m_program = jsonString(Body, "program");
  Job.m_isUrgent = jsonBool(Body, "urgent");
  Job.m_declaredRunMs = jsonInteger(Body, "run_ms");
  Job.m_size = {jsonInteger(Body, "processors_milli"),
                jsonInteger(Body, "memory_mb"),
                jsonInteger(Body, "accelerators")};
  if (Job.m_size.m_milliProcessors <= 0 || Job.m_size.m_memoryMb < 0 ||
      Job.m_size.m_accelerators < 0)
    return makeError(ErrorCode::Invalid,
                     "\"processors_milli\" must be positive, \"memory_mb\" "
                     "and \"accelerators\" not negative");
  return {};
}

JsonObject jobJson(const JobRow &Job) {
  JsonObject Object = newObject();
  Object->set("id", Job.m_record.m_job);
  Object->set("team", Job.m_record.m_team);
  Object->set("state", phaseName(Job.m_phase));
  if (!Job.m_reason.empty())
    Object->set("reason", Job.m_reason);
  Object->set("tasks", Job.m_record.m_taskCount);
  Object->set("queued", Job.m_queued.size());
  Object->set("claimed", Job.m_claimed);
  Object->set("finished", Job.m_finished);
  Object->set("evictions", Job.m_evictions);
  Object->set("submitted_wall_ms", Job.m_submittedMs);
  Object->set("ended_wall_ms", Job.m_endedMs);
  return Object;
}

JsonArray taskListJson(const JobRow &Job) {
  JsonArray Tasks = newArray();
  for (std::size_t Index = 0; Index < Job.m_tasks.size(); ++Index) {
    const TaskRow &Task = Job.m_tasks[Index];
    JsonObject Item = newObject();
    Item->set("index", Index);
    Item->set("state", phaseName(Task.m_phase));
    Item->set("attempt", Task.m_attempt);
    Item->set("worker", Task.m_worker);
    Item->set("checkpoint", Task.m_checkpoint);
    Tasks->add(Item);
  }
  return Tasks;
}

JsonObject reportJson(const ReplicatedState &Shared,
                      const std::string &Audience) {
  JsonArray Workers = newArray();
  for (const auto &[Name, Row] : Shared.workers()) {
    const CapacitySummary Report = summarizeCapacity(Row.m_capacity);
    JsonObject Item = newObject();
    Item->set("worker", Name);
    Item->set("data_centre", Row.m_dataCentre);
    Item->set("rack", Row.m_rack);
    if (Audience != "batch") {
      Item->set("headroom", resourcesJson(Report.m_headroom));
      Item->set("headroom_target", resourcesJson(Report.m_headroomTarget));
    }
    if (Audience != "service") {
      Item->set("room", resourcesJson(Report.m_room));
      Item->set("held", resourcesJson(Report.m_reserved));
    }
    Workers->add(Item);
  }
  JsonObject Body = newObject();
  Body->set("config_version", Shared.config().version());
  Body->set("offset", Shared.nextOffset());
  Body->set("workers", Workers);
  return Body;
}

JsonObject workerJson(const std::string &Name, const WorkerRow &Row,
                      const std::map<std::string, WorkerStatus> &Statuses,
                      const std::map<std::string, UpstreamState> &Upstreams) {
  JsonObject Item = newObject();
  Item->set("worker", Name);
  Item->set("data_centre", Row.m_dataCentre);
  Item->set("rack", Row.m_rack);
  Item->set("slots", Row.m_slots);
  Item->set("reported", Row.m_isReported);
  Item->set("tasks", Row.m_tasks.size());
  Item->set("quarantined", ReplicatedState::isQuarantined(Row));
  Item->set("failures_in_a_row", Row.m_consecutiveFailures);
  if (const auto It = Statuses.find(Name); It != Statuses.end()) {
    Item->set("boot", It->second.m_boot);
    Item->set("service_milli", It->second.m_serviceMilli);
    Item->set("batch_milli", It->second.m_batchMilli);
    Item->set("usage_age_ms", It->second.m_usageAge.count());
  }
  if (const auto It = Upstreams.find(Name); It != Upstreams.end()) {
    Item->set("in_flight_here", It->second.m_inFlight);
    Item->set("leaving", It->second.m_isLeaving);
  }
  return Item;
}

JsonArray entriesJson(const Membership &Members) {
  static constexpr const char *States[] = {"joining", "ready", "draining"};
  const std::vector<Seat> Alive = Members.aliveSeats();
  JsonArray Entries = newArray();
  for (const auto &[PeerSeat, Peer] : Members.peers()) {
    JsonObject Item = newObject();
    Item->set("seat", PeerSeat);
    Item->set("name", Peer.m_lastHeartbeat.m_name);
    Item->set("data_centre", Peer.m_lastHeartbeat.m_dataCentre);
    Item->set("alive",
              std::find(Alive.begin(), Alive.end(), PeerSeat) != Alive.end());
    Item->set("state",
              States[static_cast<std::size_t>(Peer.m_lastHeartbeat.m_state)]);
    Item->set("config_version", Peer.m_lastHeartbeat.m_configVersion);
    Item->set("next_offset", Peer.m_lastHeartbeat.m_appliedOffset);
    Entries->add(Item);
  }
  return Entries;
}

} // namespace catkinseam
