// JSON encoding of worker commands and status.
#include "catkinseam/platform/worker_wire.h"

#include "catkinseam/platform/json.h"

#include <array>
#include <utility>

namespace catkinseam {

namespace {

constexpr std::array<std::pair<AttemptState, const char *>, 6>
    AttemptStateNames = {{
        {AttemptState::Running, "running"},
        {AttemptState::Throttled, "throttled"},
        {AttemptState::Finished, "finished"},
        {AttemptState::Failed, "failed"},
        {AttemptState::Stopped, "stopped"},
        {AttemptState::Refused, "refused"},
    }};

AttemptState attemptStateFromName(const std::string &Name) {
  for (const auto &[State, Known] : AttemptStateNames)
    if (Name == Known)
      return State;
  return AttemptState::Refused;
}

JsonObject attemptToJson(const TaskId &Task, std::uint32_t Attempt) {
  JsonObject Item = newObject();
  Item->set("job", Task.m_job);
  Item->set("index", Task.m_index);
  Item->set("attempt", Attempt);
  return Item;
}

AttemptRef attemptFromJson(const JsonObject &Item) {
  AttemptRef Ref;
  Ref.m_task.m_job = jsonString(Item, "job");
  Ref.m_task.m_index = static_cast<std::uint32_t>(jsonInteger(Item, "index"));
  Ref.m_attempt = static_cast<std::uint32_t>(jsonInteger(Item, "attempt"));
  return Ref;
}

void setResources(JsonObject &Item, const Resources &Size) {
  Item->set("processors_milli", Size.m_milliProcessors);
  Item->set("memory_mb", Size.m_memoryMb);
  Item->set("accelerators", Size.m_accelerators);
}

Resources resourcesFromJson(const JsonObject &Item) {
  return {jsonInteger(Item, "processors_milli"), jsonInteger(Item, "memory_mb"),
          jsonInteger(Item, "accelerators")};
}

JsonArray attemptsToJson(const std::vector<AttemptRef> &Refs) {
  JsonArray Items = newArray();
  for (const AttemptRef &Ref : Refs)
    Items->add(attemptToJson(Ref.m_task, Ref.m_attempt));
  return Items;
}

template <class Visit>
void forEachItem(const JsonObject &Body, const std::string &Key, Visit &&Each) {
  const JsonArray Items = jsonArray(Body, Key);
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    const JsonObject Item = Items->getObject(static_cast<unsigned>(Index));
    if (!Item.isNull())
      Each(Item);
  }
}

std::vector<AttemptRef> attemptsFromJson(const JsonObject &Body,
                                         const std::string &Key) {
  std::vector<AttemptRef> Refs;
  forEachItem(Body, Key, [&](const JsonObject &Item) {
    Refs.push_back(attemptFromJson(Item));
  });
  return Refs;
}

JsonArray startsToJson(const std::vector<StartCommand> &Starts) {
  JsonArray Items = newArray();
  for (const StartCommand &Start : Starts) {
    JsonObject Item = attemptToJson(Start.m_task, Start.m_attempt);
    Item->set("program", Start.m_program);
    Item->set("checkpoint", Start.m_checkpoint);
    Item->set("lease_until_ms", Start.m_leaseUntil.count());
    setResources(Item, Start.m_limit);
    Items->add(Item);
  }
  return Items;
}

StartCommand startFromJson(const JsonObject &Item) {
  const AttemptRef Ref = attemptFromJson(Item);
  StartCommand Start;
  Start.m_task = Ref.m_task;
  Start.m_attempt = Ref.m_attempt;
  Start.m_program = jsonString(Item, "program");
  Start.m_checkpoint = jsonString(Item, "checkpoint");
  Start.m_leaseUntil = WorkerTime(jsonInteger(Item, "lease_until_ms"));
  Start.m_limit = resourcesFromJson(Item);
  return Start;
}

} // namespace

const char *attemptStateName(AttemptState State) {
  for (const auto &[Known, Name] : AttemptStateNames)
    if (State == Known)
      return Name;
  return "refused";
}

std::string commandsToJson(const WorkerCommands &Commands) {
  JsonObject Body = newObject();
  Body->set("boot", Commands.m_boot);
  Body->set("starts", startsToJson(Commands.m_starts));
  JsonArray Renewals = newArray();
  for (const RenewCommand &Renewal : Commands.m_renewals) {
    JsonObject Item =
        attemptToJson(Renewal.m_attempt.m_task, Renewal.m_attempt.m_attempt);
    Item->set("lease_until_ms", Renewal.m_leaseUntil.count());
    Renewals->add(Item);
  }
  Body->set("renewals", Renewals);
  Body->set("throttles", attemptsToJson(Commands.m_throttles));
  Body->set("stops", attemptsToJson(Commands.m_stops));
  Body->set("forgets", attemptsToJson(Commands.m_forgets));
  return toText(Body);
}

Result<WorkerCommands> commandsFromJson(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonObject(Text));
  WorkerCommands Commands;
  Commands.m_boot = jsonString(Body, "boot");
  forEachItem(Body, "starts", [&](const JsonObject &Item) {
    Commands.m_starts.push_back(startFromJson(Item));
  });
  forEachItem(Body, "renewals", [&](const JsonObject &Item) {
    Commands.m_renewals.push_back(
        {attemptFromJson(Item),
         WorkerTime(jsonInteger(Item, "lease_until_ms"))});
  });
  Commands.m_throttles = attemptsFromJson(Body, "throttles");
  Commands.m_stops = attemptsFromJson(Body, "stops");
  Commands.m_forgets = attemptsFromJson(Body, "forgets");
  return Commands;
}

std::string statusToJson(const WorkerStatus &Status) {
  JsonObject Body = newObject();
  Body->set("boot", Status.m_boot);
  Body->set("now_ms", Status.m_now.count());
  Body->set("service_milli", Status.m_serviceMilli);
  Body->set("batch_milli", Status.m_batchMilli);
  Body->set("usage_age_ms", Status.m_usageAge.count());
  JsonArray Attempts = newArray();
  for (const AttemptStatus &Attempt : Status.m_attempts) {
    JsonObject Item = attemptToJson(Attempt.m_task, Attempt.m_attempt);
    Item->set("state", attemptStateName(Attempt.m_state));
    Item->set("checkpoint", Attempt.m_checkpoint);
    Item->set("ran_ms", Attempt.m_runTime.count());
    Item->set("reason", Attempt.m_reason);
    setResources(Item, Attempt.m_peakUsage);
    Attempts->add(Item);
  }
  Body->set("attempts", Attempts);
  return toText(Body);
}

Result<WorkerStatus> statusFromJson(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonObject(Text));
  WorkerStatus Status;
  Status.m_boot = jsonString(Body, "boot");
  if (Status.m_boot.empty())
    return makeError(ErrorCode::Invalid, "worker status has no boot ID");
  Status.m_now = WorkerTime(jsonInteger(Body, "now_ms"));
  Status.m_serviceMilli = jsonInteger(Body, "service_milli");
  Status.m_batchMilli = jsonInteger(Body, "batch_milli");
  Status.m_usageAge = Milliseconds(jsonInteger(Body, "usage_age_ms"));
  forEachItem(Body, "attempts", [&](const JsonObject &Item) {
    const AttemptRef Ref = attemptFromJson(Item);
    Status.m_attempts.push_back(
        {Ref.m_task, Ref.m_attempt,
         attemptStateFromName(jsonString(Item, "state")),
         jsonString(Item, "checkpoint"), resourcesFromJson(Item),
         Milliseconds(jsonInteger(Item, "ran_ms")),
         jsonString(Item, "reason")});
  });
  return Status;
}

} // namespace catkinseam
