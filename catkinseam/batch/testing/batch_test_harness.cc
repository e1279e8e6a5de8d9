// Entries and workers under test, run in steps of a manual clock.
#include "catkinseam/batch/testing/batch_test_harness.h"

#include "catkinseam/base/codec.h"

#include <algorithm>
#include <set>

namespace catkinseam::testing {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(50);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(200);
constexpr std::size_t MaxInboxMessages = 200;
constexpr std::size_t LogPageEntries = 500;
const Resources WorkerCapacity{16000, 60000, 0};

} // namespace

struct BatchTestHarness::WorkerNode {
  std::unique_ptr<standin::TaskRunner> m_taskRunner;
  bool m_isPaused = false;
  bool m_isLeaving = false;
  bool m_isFailing = false;
  /// Commands received while the worker is paused.
  std::vector<WorkerCommands> m_inbox;
  std::size_t m_lastSyncingEntry = 0;
};

/// The batch scheduling of one entry, connected as in server/entry_server.cc.
class BatchTestHarness::EntryNode final : public WorkerService {
public:
  EntryNode(BatchTestHarness &Harness, std::size_t Index, std::size_t Seats,
            const std::string &BootId)
      : m_harness(Harness), m_index(Index),
        m_writer(Harness.m_clock, BootId, {}), m_replica(m_writer),
        m_members(Harness.m_clock, memberOptions(Index, Seats, BootId)),
        m_driver({Harness.m_clock, m_replica, m_writer, m_members, *this,
                  m_metrics,
                  [this](std::function<void()> Work) {
                    m_pendingCalls.push_back(std::move(Work));
                    return true;
                  }},
                 {}) {}

  Result<WorkerStatus> sync(const Endpoint &Where,
                            const WorkerCommands &Commands,
                            Duration /*Timeout*/) override {
    return m_harness.callWorker(m_index, Where, Commands);
  }

  std::optional<Heartbeat> nextHeartbeat() {
    return m_members.with(
        [this](Membership &Members) -> std::optional<Heartbeat> {
          if (!Members.isHeartbeatDue(HeartbeatInterval))
            return std::nullopt;
          Heartbeat Own = Members.nextHeartbeat();
          Own.m_appliedOffset = m_replica.nextOffset();
          Own.m_unreachable = m_driver.unreachableWorkers();
          return Own;
        });
  }

  void receive(const Heartbeat &Message) {
    if (m_inbox.size() < MaxInboxMessages)
      m_inbox.push_back(Message);
  }

  void processInbox() {
    for (const Heartbeat &Message : m_inbox)
      m_members.with(
          [&](Membership &Members) { Members.onHeartbeat(Message); });
    m_inbox.clear();
  }

  void readLog(const FakeLog &Log) {
    m_replica.applyPage(Log.read(m_replica.nextReadOffset(), LogPageEntries));
    m_hasState = m_hasState || m_replica.nextOffset() == Log.end();
  }

  void copyStateFrom(EntryNode &Peer) {
    if (!Peer.m_hasState ||
        Peer.m_replica.nextOffset() <= m_replica.nextOffset())
      return;
    const StateCopy Copy = Peer.m_replica.copy();
    const Outcome<bool> Taken =
        attempt([&] { return m_replica.install(Copy); });
    m_hasState = m_hasState || (Taken && Taken.value());
  }

  void tick(const std::vector<Instance> &Listed) {
    m_members.with([this](Membership &Members) {
      if (m_hasState && Members.state() == EntryState::Joining)
        Members.setState(EntryState::Ready);
    });
    m_driver.setInstances(Listed);
    m_driver.tick();
  }

  /// Runs the worker calls started before this step.
  void runCalls() {
    std::deque<std::function<void()>> Due;
    Due.swap(m_pendingCalls);
    for (const std::function<void()> &Call : Due)
      Call();
  }

  bool m_isPaused = false;
  bool m_isPartitionedFromLog = false;
  bool m_isPartitionedFromPeers = false;
  std::set<std::size_t> m_unreachableWorkers;
  bool m_hasState = false;

  static Membership::Options memberOptions(std::size_t Index, std::size_t Seats,
                                           const std::string &BootId) {
    Membership::Options Own;
    Own.m_seat = static_cast<Seat>(Index + 1);
    Own.m_seats = static_cast<Seat>(Seats);
    Own.m_bootId = BootId;
    return Own;
  }

  BatchTestHarness &m_harness;
  const std::size_t m_index;
  Metrics m_metrics;
  LogWriter m_writer;
  Replica m_replica;
  Guarded<Membership> m_members;
  BatchDriver m_driver;
  std::deque<std::function<void()>> m_pendingCalls;
  std::vector<Heartbeat> m_inbox;
};

BatchTestHarness::BatchTestHarness(std::size_t Entries, std::size_t Workers)
    : m_checker(m_clock) {
  for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
    m_workers.push_back(std::make_unique<WorkerNode>());
    startWorker(Worker);
  }
  for (std::size_t Entry = 0; Entry < Entries; ++Entry)
    m_entries.push_back(std::make_unique<EntryNode>(
        *this, Entry, Entries, "boot" + std::to_string(++m_bootCount)));
  for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
    const std::string Base = "workers/" + workerName(Worker) + "/";
    submitPatch(
        {{Base + "processors_milli",
          std::to_string(WorkerCapacity.m_milliProcessors)},
         {Base + "memory_mb", std::to_string(WorkerCapacity.m_memoryMb)},
         {Base + "slots", "8"},
         {Base + "rack", "\"r\""},
         {Base + "data_centre", "\"d\""}});
  }
}

BatchTestHarness::~BatchTestHarness() = default;

std::string BatchTestHarness::workerName(std::size_t Worker) {
  return "w" + std::to_string(Worker);
}

void BatchTestHarness::startWorker(std::size_t Worker) {
  WorkerNode &Node = *m_workers[Worker];
  Node.m_taskRunner = std::make_unique<standin::TaskRunner>(
      m_clock, workerName(Worker), WorkerCapacity, m_checker);
  Node.m_taskRunner->setFailingStarts(Node.m_isFailing);
}

std::vector<Instance> BatchTestHarness::listInstances() const {
  std::vector<Instance> Listed;
  for (std::size_t Worker = 0; Worker < m_workers.size(); ++Worker) {
    const auto Port = static_cast<std::uint16_t>(Worker + 1);
    Listed.push_back({workerName(Worker),
                      {"127.0.0.1", Port},
                      {"127.0.0.1", Port},
                      m_workers[Worker]->m_isLeaving});
  }
  return Listed;
}

void BatchTestHarness::appendRecord(Record NewRecord) {
  RecordBatch Batch;
  Batch.m_writer = "operator";
  Batch.m_sequence = ++m_appendSequence;
  Batch.m_wallMs = m_clock.wallNow().time_since_epoch().count();
  Batch.m_records.push_back(std::move(NewRecord));
  m_log.append(encode(Batch), FakeLog::AppendEffect::Immediate);
}

void BatchTestHarness::submitPatch(ConfigChanges Changes) {
  applyLog();
  appendRecord(ConfigPatchRecord{{"patch" + std::to_string(m_appendSequence),
                                  "ops", m_referenceState.config().version(),
                                  std::move(Changes)}});
}

void BatchTestHarness::applyLog() {
  while (m_referenceState.nextOffset() < m_log.end()) {
    const std::uint64_t Offset = m_referenceState.nextOffset();
    const Outcome<RecordBatch> Batch = attempt(
        [&] { return decode<RecordBatch>(m_log.allEntries()[Offset]); });
    const BatchOutcome Result = m_referenceState.apply(Offset, Batch.value());
    for (std::size_t Index = 0; Index < Result.m_outcomes.size(); ++Index) {
      const auto *Release =
          std::get_if<ReleaseRecord>(&Batch.value().m_records[Index]);
      if (Release != nullptr && Result.m_outcomes[Index].m_isAccepted &&
          Release->m_kind == ReleaseKind::Lapsed)
        m_checker.recordExpiry(Release->m_task, Release->m_attempt);
    }
  }
}

void BatchTestHarness::submitJob(const std::string &Name, std::uint32_t Tasks,
                                 const std::string &Program) {
  JobRecord Job;
  Job.m_job = Name;
  Job.m_team = "team";
  Job.m_program = Program;
  Job.m_taskCount = Tasks;
  Job.m_size = {1000, 100, 0};
  appendRecord(Job);
}

void BatchTestHarness::setProtectedProcessors(std::size_t Worker,
                                              std::int64_t MilliProcessors) {
  submitPatch({{"workers/" + workerName(Worker) + "/protected_processors_milli",
                std::to_string(MilliProcessors)}});
}

void BatchTestHarness::setLeaving(std::size_t Worker) {
  m_workers[Worker]->m_isLeaving = true;
}

void BatchTestHarness::setFailingStarts(std::size_t Worker) {
  m_workers[Worker]->m_isFailing = true;
  m_workers[Worker]->m_taskRunner->setFailingStarts(true);
}

void BatchTestHarness::runFor(Duration Span) {
  for (Duration Done{0}; Done < Span; Done += StepInterval)
    step();
}

void BatchTestHarness::step() {
  m_clock.advance(StepInterval);
  std::set<std::string> Paused;
  for (std::size_t Worker = 0; Worker < m_workers.size(); ++Worker) {
    if (m_workers[Worker]->m_isPaused)
      Paused.insert(workerName(Worker));
    else
      m_workers[Worker]->m_taskRunner->tick();
  }
  const std::vector<Instance> Listed = listInstances();
  for (auto &Entry : m_entries) {
    if (Entry->m_isPaused)
      continue;
    Entry->runCalls();
    Entry->processInbox();
    if (const std::optional<Heartbeat> Own = Entry->nextHeartbeat())
      for (auto &Other : m_entries)
        if (Other != Entry && !Entry->m_isPartitionedFromPeers &&
            !Other->m_isPartitionedFromPeers)
          Other->receive(*Own);
    if (!m_isLogDown && !Entry->m_isPartitionedFromLog) {
      Entry->readLog(m_log);
      if (const auto Bytes = Entry->m_writer.nextAppend())
        m_log.append(*Bytes, m_appendFault);
    } else {
      for (auto &Other : m_entries)
        if (Other != Entry && !Other->m_isPaused &&
            !Entry->m_isPartitionedFromPeers &&
            !Other->m_isPartitionedFromPeers)
          Entry->copyStateFrom(*Other);
    }
    Entry->tick(Listed);
    applyLog();
  }
  m_checker.checkOverlaps(Paused);
}

Result<WorkerStatus>
BatchTestHarness::callWorker(std::size_t Entry, const Endpoint &Where,
                             const WorkerCommands &Commands) {
  const std::size_t Worker = Where.m_port - 1;
  WorkerNode &Node = *m_workers[Worker];
  if (m_entries[Entry]->m_unreachableWorkers.count(Worker) > 0)
    return makeError(ErrorCode::Unavailable,
                     "worker is unreachable from this entry");
  if (Node.m_isPaused) {
    Node.m_inbox.push_back(Commands);
    return makeError(ErrorCode::OutcomeUnknown, "worker is paused");
  }
  if (m_callFault == 1)
    return makeError(ErrorCode::OutcomeUnknown, "request was lost");
  if (m_callFault == 3)
    m_delayedCommands.emplace_back(Worker, Commands);
  Node.m_lastSyncingEntry = Entry;
  WorkerStatus Status = Node.m_taskRunner->sync(Commands);
  if (m_callFault == 2)
    return makeError(ErrorCode::OutcomeUnknown, "response was lost");
  return Status;
}

void BatchTestHarness::setEntryPaused(std::size_t Entry, bool IsActive) {
  m_entries[Entry]->m_isPaused = IsActive;
}

void BatchTestHarness::setLogPartition(std::size_t Entry, bool IsActive) {
  m_entries[Entry]->m_isPartitionedFromLog = IsActive;
}

void BatchTestHarness::setPeerPartition(std::size_t Entry, bool IsActive) {
  m_entries[Entry]->m_isPartitionedFromPeers = IsActive;
}

void BatchTestHarness::setWorkerPartition(std::size_t Entry, std::size_t Worker,
                                          bool IsActive) {
  if (IsActive)
    m_entries[Entry]->m_unreachableWorkers.insert(Worker);
  else
    m_entries[Entry]->m_unreachableWorkers.erase(Worker);
}

void BatchTestHarness::replaceEntry(std::size_t Entry) {
  // Calls that the old process had started are delivered before it is replaced.
  m_entries[Entry]->runCalls();
  m_replacedEntries.push_back(std::move(m_entries[Entry]));
  m_entries[Entry] = std::make_unique<EntryNode>(
      *this, Entry, m_entries.size(), "boot" + std::to_string(++m_bootCount));
}

void BatchTestHarness::setWorkerPaused(std::size_t Worker, bool IsActive) {
  WorkerNode &Node = *m_workers[Worker];
  Node.m_isPaused = IsActive;
  if (IsActive)
    return;
  // A resumed worker handles the commands received while it was paused.
  std::vector<WorkerCommands> Received;
  Received.swap(Node.m_inbox);
  for (const WorkerCommands &Commands : Received)
    Node.m_taskRunner->sync(Commands);
}

void BatchTestHarness::restartWorker(std::size_t Worker) {
  applyLog();
  m_checker.recordCrash(workerName(Worker), [this](const TaskId &Task) {
    const TaskRow *Row = m_referenceState.task(Task);
    return Row == nullptr || Row->m_phase == TaskPhase::Finished;
  });
  m_workers[Worker]->m_inbox.clear();
  m_workers[Worker]->m_isPaused = false;
  startWorker(Worker);
}

void BatchTestHarness::deliverDelayed() {
  for (int Count = 0; Count < 8; ++Count)
    m_log.appendDelayed(static_cast<std::size_t>(Count));
  for (const auto &[Worker, Commands] : m_delayedCommands)
    if (!m_workers[Worker]->m_isPaused)
      m_workers[Worker]->m_taskRunner->sync(Commands);
  m_delayedCommands.clear();
}

void BatchTestHarness::clearFaults() {
  m_isLogDown = false;
  m_appendFault = FakeLog::AppendEffect::Immediate;
  m_callFault = 0;
  for (auto &Entry : m_entries) {
    Entry->m_isPaused = false;
    Entry->m_isPartitionedFromLog = false;
    Entry->m_isPartitionedFromPeers = false;
    Entry->m_unreachableWorkers.clear();
  }
  for (std::size_t Worker = 0; Worker < m_workers.size(); ++Worker) {
    setWorkerPaused(Worker, false);
    setProtectedProcessors(Worker, 0);
  }
}

bool BatchTestHarness::isFinished(const std::string &Job) const {
  return m_entries.front()->m_replica.read([&](const ReplicatedState &Shared) {
    const JobRow *Row = Shared.job(Job);
    return Row != nullptr && Row->m_phase == JobPhase::Finished &&
           Row->m_endedMs != 0;
  });
}

std::size_t BatchTestHarness::failureCountOn(std::size_t Worker) const {
  return m_checker.failureCountOn(workerName(Worker));
}

std::size_t BatchTestHarness::runningCountOn(std::size_t Worker) const {
  return m_checker.runningCountOn(workerName(Worker));
}

std::size_t BatchTestHarness::lastSyncingEntry(std::size_t Worker) const {
  return m_workers[Worker]->m_lastSyncingEntry;
}

} // namespace catkinseam::testing
