// Measures the inputs of the capacity model at several sizes: bytes and
// processor time per record, state size, and snapshot encode and decode time.
//
//   catkinseam-slopes            # prints a table, and JSON with --json FILE
//
// Everything runs on one thread of this process, without network.
#include "catkinseam/base/codec.h"
#include "catkinseam/batch/planner.h"
#include "catkinseam/membership/membership.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/platform/worker_wire.h"
#include "catkinseam/request/key_registry.h"
#include "catkinseam/request/request_dispatcher.h"
#include "catkinseam/state/replicated_state.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using namespace catkinseam;

constexpr std::int64_t TasksPerJob = 50;
constexpr std::size_t RecordsPerBatch = 50;

/// Returns the processor time of this thread.
Duration cpuNow() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return std::chrono::seconds(Now.tv_sec) +
         std::chrono::nanoseconds(Now.tv_nsec);
}

double microsPerItem(Duration Elapsed, std::size_t Count) {
  return std::chrono::duration<double, std::micro>(Elapsed).count() /
         static_cast<double>(std::max<std::size_t>(1, Count));
}

/// Applies record batches to a state as the log's readers do, and measures the
/// size of the records and the processor time of decoding and applying them.
class RecordApplier {
public:
  void add(Record Entry) {
    m_batch.m_records.push_back(std::move(Entry));
    if (m_batch.m_records.size() >= RecordsPerBatch)
      flush();
  }

  void flush() {
    if (m_batch.m_records.empty())
      return;
    m_batch.m_writer = "0123456789abcdef";
    m_batch.m_sequence = ++m_sequence;
    m_batch.m_wallMs = 1700000000000 + static_cast<std::int64_t>(m_sequence);
    const std::string Bytes = encode(m_batch);
    m_bytes += Bytes.size();
    m_records += m_batch.m_records.size();
    const Duration Start = cpuNow();
    const Outcome<RecordBatch> Read =
        attempt([&] { return decode<RecordBatch>(Bytes); });
    const BatchOutcome Result =
        m_state.apply(m_state.nextOffset(), Read.value());
    m_applyCpu += cpuNow() - Start;
    for (const RecordOutcome &Each : Result.m_outcomes)
      m_refused += Each.m_isAccepted ? 0 : 1;
    m_batch.m_records.clear();
  }

  void resetCounts() {
    flush();
    m_bytes = 0;
    m_records = 0;
    m_applyCpu = {};
  }

  ReplicatedState m_state;
  std::size_t m_bytes = 0;
  std::size_t m_records = 0;
  std::size_t m_refused = 0;
  Duration m_applyCpu{0};

private:
  RecordBatch m_batch;
  std::uint64_t m_sequence = 0;
};

void addWorkers(RecordApplier &Log, int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    const std::string Base = "workers/w" + std::to_string(Index) + "/";
    ConfigPatch Patch{
        "report-" + std::to_string(Index),
        "ops",
        Log.m_state.config().version(),
        {{Base + "processors_milli", "1000000"},
         {Base + "memory_mb", "16000000"},
         {Base + "slots", "8"},
         {Base + "protected_processors_milli", "8000"},
         {Base + "rack", "\"r" + std::to_string(Index / 11) + "\""},
         {Base + "data_centre", "\"dc-1\""}}};
    Log.add(ConfigPatchRecord{std::move(Patch)});
    Log.flush();
  }
}

std::string jobName(std::int64_t Index) {
  return "reconciliation-" + std::to_string(Index);
}

void addJobs(RecordApplier &Log, std::int64_t Tasks) {
  for (std::int64_t Job = 0; Job * TasksPerJob < Tasks; ++Job)
    Log.add(JobRecord{jobName(Job),
                      "team-" + std::to_string(Job % 150),
                      "run_ms=1000;use_milli=500",
                      false,
                      static_cast<std::uint32_t>(TasksPerJob),
                      {100, 100, 0},
                      1000});
  Log.flush();
}

/// Finishes one task on every worker. Claims on workers that have finished none
/// are limited, which would distort the measurement.
void finishOneTaskPerWorker(RecordApplier &Log, int Workers) {
  Log.add(JobRecord{"prove",
                    "team-0",
                    "p",
                    false,
                    static_cast<std::uint32_t>(Workers),
                    {1, 1, 0},
                    0});
  for (int Index = 0; Index < Workers; ++Index) {
    const TaskId Task{"prove", static_cast<std::uint32_t>(Index)};
    Log.add(
        ClaimRecord{Task, 1, "w" + std::to_string(Index), "boot", {1, 1, 0}});
    Log.add(ReleaseRecord{Task, 1, ReleaseKind::Finished, "", {}, 10});
  }
  Log.flush();
}

template <class Callback>
void forEachTask(std::int64_t Tasks, Callback &&Each) {
  for (std::int64_t Index = 0; Index < Tasks; ++Index)
    Each(TaskId{jobName(Index / TasksPerJob),
                static_cast<std::uint32_t>(Index % TasksPerJob)},
         Index);
}

JsonObject measureFold(int Workers, std::int64_t Tasks) {
  RecordApplier Log;
  addWorkers(Log, Workers);
  const std::size_t WorkerStateBytes = encode(Log.m_state).size();
  finishOneTaskPerWorker(Log, Workers);
  addJobs(Log, Tasks);
  const std::size_t QueuedStateBytes = encode(Log.m_state).size();

  Log.resetCounts();
  forEachTask(Tasks, [&](const TaskId &Task, std::int64_t Index) {
    Log.add(ClaimRecord{Task,
                        1,
                        "w" + std::to_string(Index % Workers),
                        "0123456789abcdef",
                        {100, 100, 0}});
  });
  Log.flush();
  const double ClaimBytes =
      static_cast<double>(Log.m_bytes) / static_cast<double>(Log.m_records);
  const double ClaimMicros = microsPerItem(Log.m_applyCpu, Log.m_records);

  const Duration EncodeStart = cpuNow();
  const std::string Snapshot = encode(Log.m_state);
  const Duration EncodeTime = cpuNow() - EncodeStart;
  const Duration DecodeStart = cpuNow();
  const Outcome<ReplicatedState> Restored =
      attempt([&] { return decode<ReplicatedState>(Snapshot); });
  const Duration DecodeTime = cpuNow() - DecodeStart;

  Log.resetCounts();
  forEachTask(Tasks, [&](const TaskId &Task, std::int64_t) {
    Log.add(
        ReleaseRecord{Task, 1, ReleaseKind::Finished, "", {90, 90, 0}, 900});
  });
  Log.flush();

  JsonObject Row = newObject();
  Row->set("workers", Workers);
  Row->set("tasks", Tasks);
  Row->set("state_bytes_per_worker",
           static_cast<double>(WorkerStateBytes) / Workers);
  Row->set("state_bytes_per_queued_task",
           static_cast<double>(QueuedStateBytes - WorkerStateBytes) /
               static_cast<double>(Tasks));
  Row->set("state_bytes_per_running_task",
           static_cast<double>(Snapshot.size() - WorkerStateBytes) /
               static_cast<double>(Tasks));
  Row->set("claim_log_bytes", ClaimBytes);
  Row->set("claim_cpu_us", ClaimMicros);
  Row->set("release_log_bytes", static_cast<double>(Log.m_bytes) /
                                    static_cast<double>(Log.m_records));
  Row->set("release_cpu_us", microsPerItem(Log.m_applyCpu, Log.m_records));
  Row->set("refused", Log.m_refused);
  Row->set("snapshot_bytes", Snapshot.size());
  Row->set("snapshot_encode_ms", microsPerItem(EncodeTime, 1000));
  Row->set("snapshot_decode_ms", microsPerItem(DecodeTime, 1000));
  Row->set("decoded", bool(Restored));
  return Row;
}

JsonObject measurePatches(int Patches) {
  RecordApplier Log;
  addWorkers(Log, 60);
  Log.resetCounts();
  for (int Index = 0; Index < Patches; ++Index) {
    Log.add(
        ConfigPatchRecord{{"patch-" + std::to_string(Index),
                           "ops",
                           Log.m_state.config().version(),
                           {{"workers/w1/slots", std::to_string(Index % 9)}}}});
    Log.flush();
  }
  JsonObject Row = newObject();
  Row->set("patches", Patches);
  Row->set("patch_log_bytes", static_cast<double>(Log.m_bytes) / Patches);
  Row->set("patch_cpu_us", microsPerItem(Log.m_applyCpu, Log.m_records));
  return Row;
}

/// Measures claims through planner, codec and state, as entries make them.
JsonObject measurePlanner(int Workers, std::int64_t Tasks, Seat Entries) {
  RecordApplier Log;
  addWorkers(Log, Workers);
  finishOneTaskPerWorker(Log, Workers);
  addJobs(Log, Tasks);
  Log.resetCounts();
  PlannerView View;
  for (Seat SeatNumber = 1; SeatNumber <= Entries; ++SeatNumber)
    View.m_readySeats.push_back(SeatNumber);
  for (int Index = 0; Index < Workers; ++Index)
    View.m_usableWorkers["w" + std::to_string(Index)] = "0123456789abcdef";
  Duration PlanningCpu{0};
  std::size_t Planned = 0;
  const std::size_t RefusedBefore = Log.m_refused;
  std::size_t PreviouslyPlanned = 1;
  while (Planned != PreviouslyPlanned) {
    PreviouslyPlanned = Planned;
    // All entries plan from the same state before any of them reads the claims
    // back from the log. The clock advances as at 1,800 starts per second, so
    // that tasks have been waiting.
    View.m_wallMs =
        Log.m_state.timeMs() + static_cast<std::int64_t>(Planned) * 1000 / 1800;
    std::vector<ClaimRecord> Claims;
    for (Seat SeatNumber = 1; SeatNumber <= Entries; ++SeatNumber) {
      View.m_seat = SeatNumber;
      View.m_maxClaims = 100;
      const Duration Start = cpuNow();
      for (ClaimRecord &Claim : planClaims(Log.m_state, View))
        Claims.push_back(std::move(Claim));
      PlanningCpu += cpuNow() - Start;
    }
    Planned += Claims.size();
    for (ClaimRecord &Claim : Claims)
      Log.add(std::move(Claim));
    Log.flush();
  }
  JsonObject Row = newObject();
  const std::size_t Refused = Log.m_refused - RefusedBefore;
  Row->set("workers", Workers);
  Row->set("tasks", Tasks);
  Row->set("entries", Entries);
  Row->set("claims", Planned);
  Row->set("conflict_percent",
           100.0 * static_cast<double>(Refused) / static_cast<double>(Planned));
  Row->set("plan_cpu_us", microsPerItem(PlanningCpu, Planned));
  Row->set("apply_cpu_us", microsPerItem(Log.m_applyCpu, Log.m_records));
  Row->set("starts_per_second_of_one_core",
           1e6 / (microsPerItem(PlanningCpu, Planned - Refused) +
                  microsPerItem(Log.m_applyCpu, Planned - Refused)));
  return Row;
}

JsonObject measureMessages(Seat Entries, int Workers, int InFlight) {
  ManualClock Clock;
  Membership::Options MemberOptions;
  MemberOptions.m_seats = Entries;
  MemberOptions.m_bootId = "0123456789abcdef";
  MemberOptions.m_name = "entry-1";
  MemberOptions.m_dataCentre = "dc-1";
  Membership Members(Clock, MemberOptions);
  Heartbeat NextHeartbeat = Members.nextHeartbeat();
  for (Incarnation &Each : NextHeartbeat.m_incarnations)
    Each = {1700000000000, "0123456789abcdef"};
  const std::size_t BaseHeartbeatBytes = encode(NextHeartbeat).size();
  for (int Index = 0; Index < InFlight; ++Index)
    NextHeartbeat.m_inFlight["w" + std::to_string(Index)] = 4;
  KeyClaim Claim{"0123456789abcdef",
                 {"0123456789abcdef", 1},
                 1,
                 {},
                 NextHeartbeat.m_incarnations};
  KeyAck Ack;
  Ack.m_key = Claim.m_key;
  Ack.m_view = NextHeartbeat.m_incarnations;
  WorkerCommands Commands;
  WorkerStatus Status;
  Status.m_boot = "0123456789abcdef";
  constexpr int TasksOnWorker = 24;
  for (std::uint32_t Index = 0; Index < TasksOnWorker; ++Index) {
    Commands.m_renewals.push_back({{{"reconciliation-1", Index}, 1}, {}});
    Status.m_attempts.push_back({{"reconciliation-1", Index},
                                 1,
                                 AttemptState::Running,
                                 "1234",
                                 {100, 100, 0},
                                 Milliseconds(1000),
                                 ""});
  }
  JsonObject Row = newObject();
  Row->set("entries", Entries);
  Row->set("workers", Workers);
  Row->set("heartbeat_bytes", BaseHeartbeatBytes);
  Row->set("heartbeat_bytes_with_in_flight", encode(NextHeartbeat).size());
  Row->set("key_claim_bytes", encode(Claim).size());
  Row->set("key_ack_bytes", encode(Ack).size());
  Row->set("sync_request_bytes_24_tasks", commandsToJson(Commands).size());
  Row->set("sync_answer_bytes_24_tasks", statusToJson(Status).size());
  return Row;
}

JsonObject measureRequests(int Workers) {
  SystemClock Clock;
  RequestDispatcher Dispatcher(Clock, makeSlotSharing("lending"), {});
  std::map<std::string, std::uint32_t> Slots;
  for (int Index = 0; Index < Workers; ++Index)
    Slots["w" + std::to_string(Index)] = 8;
  Dispatcher.setWorkers(Slots);
  Dispatcher.setPeers(1, {1, 2, 3, 4, 5, 6, 7}, {});
  constexpr RequestId Requests = 20000;
  const KindPolicy Kind{"shift-count", true, false,
                        std::chrono::milliseconds(50), std::chrono::seconds(1)};
  const Duration Start = cpuNow();
  for (RequestId Id = 1; Id <= Requests; ++Id) {
    RequestSpec Spec{Id, Kind, Clock.now() + Kind.m_deadline, "", false};
    Dispatcher.submit(Spec);
    Dispatcher.complete(Id, CallResultKind::Answered);
  }
  JsonObject Row = newObject();
  Row->set("workers", Workers);
  Row->set("decision_cpu_us", microsPerItem(cpuNow() - Start, Requests));
  return Row;
}

void print(const char *Title, const JsonArray &Rows) {
  std::cout << Title << "\n";
  for (std::size_t Index = 0; Index < Rows->size(); ++Index) {
    const JsonObject Row = Rows->getObject(static_cast<unsigned>(Index));
    for (const std::string &Name : Row->getNames())
      std::cout << "  " << Name << "=" << std::setprecision(5)
                << Row->getValue<double>(Name);
    std::cout << "\n";
  }
}

} // namespace

int main(int ArgCount, char **Args) {
  JsonArray Fold = newArray();
  for (const auto &[Workers, Tasks] :
       {std::pair(60, 1000), std::pair(60, 5000), std::pair(60, 20000),
        std::pair(600, 20000), std::pair(3000, 72000)})
    Fold->add(measureFold(Workers, Tasks));
  JsonArray Patches = newArray();
  for (const int Number : {100, 1000, 5000})
    Patches->add(measurePatches(Number));
  JsonArray Planner = newArray();
  for (const auto &[Workers, Tasks] :
       {std::pair(60, 2000), std::pair(60, 20000), std::pair(600, 20000)})
    Planner->add(measurePlanner(Workers, Tasks, 7));
  JsonArray Messages = newArray();
  for (const Seat Entries : {3U, 7U, 15U})
    Messages->add(measureMessages(Entries, 60, 60));
  JsonArray Requests = newArray();
  for (const int Workers : {15, 60, 240})
    Requests->add(measureRequests(Workers));
  print("fold", Fold);
  print("patches", Patches);
  print("planner", Planner);
  print("messages", Messages);
  print("requests", Requests);
  if (ArgCount == 3 && std::string(Args[1]) == "--json") {
    JsonObject Body = newObject();
    Body->set("fold", Fold);
    Body->set("patches", Patches);
    Body->set("planner", Planner);
    Body->set("messages", Messages);
    Body->set("requests", Requests);
    std::ofstream(Args[2]) << toText(Body) << "\n";
  }
  return 0;
}
