// Entries and workers of a test, stepped on one paused clock.
#include "catkinseam/batch/testing/colocation_bench.h"

#include "catkinseam/base/codec.h"

#include <algorithm>
#include <set>

namespace catkinseam::testing {

namespace {

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration BeatEvery = std::chrono::milliseconds(200);
constexpr std::size_t MaxInbox = 200;
constexpr std::size_t PageSize = 500;
const Resources WorkerCapacity{16000, 60000, 0};

} // namespace

struct ColocationBench::WorkerNode {
  std::unique_ptr<standin::TaskRunner> m_tasks;
  bool m_isPaused = false;
  bool m_isLeaving = false;
  bool m_isFailing = false;
  /// Commands that wait in the paused worker's sockets.
  std::vector<WorkerCommands> m_inbox;
  std::size_t m_lastCaller = 0;
};

/// One entry's batch half, wired as server/entry.cc wires it.
class ColocationBench::EntryNode final : public WorkerService {
public:
  EntryNode(ColocationBench &Whole, std::size_t Index, std::size_t Seats,
            const std::string &BootId)
      : m_bench(Whole), m_index(Index), m_writer(Whole.m_clock, BootId, {}),
        m_replica(m_writer),
        m_members(Whole.m_clock, memberOptions(Index, Seats, BootId)),
        m_driver({Whole.m_clock, m_replica, m_writer, m_members, *this,
                  m_metrics,
                  [this](std::function<void()> Work) {
                    m_calls.push_back(std::move(Work));
                    return true;
                  }},
                 {}) {}

  Result<WorkerStatus> sync(const Endpoint &Where,
                            const WorkerCommands &Commands,
                            Duration /*Timeout*/) override {
    return m_bench.callWorker(m_index, Where, Commands);
  }

  std::optional<Heartbeat> beat() {
    return m_members.with(
        [this](Membership &Members) -> std::optional<Heartbeat> {
          if (!Members.isBeatDue(BeatEvery))
            return std::nullopt;
          Heartbeat Own = Members.nextHeartbeat();
          Own.m_appliedOffset = m_replica.nextOffset();
          Own.m_unreachable = m_driver.unreachable();
          return Own;
        });
  }

  void receive(const Heartbeat &Message) {
    if (m_inbox.size() < MaxInbox)
      m_inbox.push_back(Message);
  }

  void takeInbox() {
    for (const Heartbeat &Message : m_inbox)
      m_members.with(
          [&](Membership &Members) { Members.onHeartbeat(Message); });
    m_inbox.clear();
  }

  void readLog(const FakeLog &Log) {
    m_replica.applyPage(Log.read(m_replica.readFrom(), PageSize));
    m_hasState = m_hasState || m_replica.nextOffset() == Log.end();
  }

  void copyFrom(EntryNode &Peer) {
    if (!Peer.m_hasState ||
        Peer.m_replica.nextOffset() <= m_replica.nextOffset())
      return;
    const StateCopy Copy = Peer.m_replica.copy();
    const Outcome<bool> Taken =
        attempt([&] { return m_replica.install(Copy); });
    m_hasState = m_hasState || (Taken && Taken.value());
  }

  void act(const std::vector<Instance> &Listed) {
    m_members.with([this](Membership &Members) {
      if (m_hasState && Members.state() == EntryState::Joining)
        Members.setState(EntryState::Ready);
    });
    m_driver.setInstances(Listed);
    m_driver.tick();
  }

  /// Runs the calls that were on their way before this step.
  void runCalls() {
    std::deque<std::function<void()>> Due;
    Due.swap(m_calls);
    for (const std::function<void()> &Call : Due)
      Call();
  }

  bool m_isPaused = false;
  bool m_isCutFromLog = false;
  bool m_isCutFromPeers = false;
  std::set<std::size_t> m_cutWorkers;
  bool m_hasState = false;

  static Membership::Options memberOptions(std::size_t Index, std::size_t Seats,
                                           const std::string &BootId) {
    Membership::Options Own;
    Own.m_seat = static_cast<Seat>(Index + 1);
    Own.m_seats = static_cast<Seat>(Seats);
    Own.m_bootId = BootId;
    return Own;
  }

  ColocationBench &m_bench;
  const std::size_t m_index;
  Metrics m_metrics;
  LogWriter m_writer;
  Replica m_replica;
  Guarded<Membership> m_members;
  BatchDriver m_driver;
  std::deque<std::function<void()>> m_calls;
  std::vector<Heartbeat> m_inbox;
};

ColocationBench::ColocationBench(std::size_t Entries, std::size_t Workers)
    : m_checker(m_clock) {
  for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
    m_workers.push_back(std::make_unique<WorkerNode>());
    bootWorker(Worker);
  }
  for (std::size_t Entry = 0; Entry < Entries; ++Entry)
    m_entries.push_back(std::make_unique<EntryNode>(
        *this, Entry, Entries, "boot" + std::to_string(++m_boots)));
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

ColocationBench::~ColocationBench() = default;

std::string ColocationBench::workerName(std::size_t Worker) {
  return "w" + std::to_string(Worker);
}

void ColocationBench::bootWorker(std::size_t Worker) {
  WorkerNode &Node = *m_workers[Worker];
  Node.m_tasks = std::make_unique<standin::TaskRunner>(
      m_clock, workerName(Worker), WorkerCapacity, m_checker);
  Node.m_tasks->setFailing(Node.m_isFailing);
}

std::vector<Instance> ColocationBench::listing() const {
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

void ColocationBench::appendDirectly(Record Entry) {
  RecordBatch Batch;
  Batch.m_writer = "operator";
  Batch.m_sequence = ++m_directSequence;
  Batch.m_wallMs = m_clock.wallNow().time_since_epoch().count();
  Batch.m_records.push_back(std::move(Entry));
  m_log.append(encode(Batch), FakeLog::Fate::Done);
}

void ColocationBench::submitPatch(ConfigChanges Changes) {
  followLog();
  appendDirectly(
      ConfigPatchRecord{{"patch" + std::to_string(m_directSequence), "ops",
                         m_truth.config().version(), std::move(Changes)}});
}

void ColocationBench::followLog() {
  while (m_truth.nextOffset() < m_log.end()) {
    const std::uint64_t Offset = m_truth.nextOffset();
    const Outcome<RecordBatch> Batch = attempt(
        [&] { return decode<RecordBatch>(m_log.everything()[Offset]); });
    const Applied Result = m_truth.apply(Offset, Batch.value());
    for (std::size_t Index = 0; Index < Result.m_outcomes.size(); ++Index) {
      const auto *Release =
          std::get_if<ReleaseRecord>(&Batch.value().m_records[Index]);
      if (Release != nullptr && Result.m_outcomes[Index].m_isAccepted &&
          Release->m_kind == ReleaseKind::Lapsed)
        m_checker.lapsed(Release->m_task, Release->m_attempt);
    }
  }
}

void ColocationBench::submitJob(const std::string &Name, std::uint32_t Tasks,
                                const std::string &Program) {
  JobRecord Job;
  Job.m_job = Name;
  Job.m_team = "team";
  Job.m_program = Program;
  Job.m_tasks = Tasks;
  Job.m_size = {1000, 100, 0};
  appendDirectly(Job);
}

void ColocationBench::setProtected(std::size_t Worker, std::int64_t Milli) {
  submitPatch({{"workers/" + workerName(Worker) + "/protected_processors_milli",
                std::to_string(Milli)}});
}

void ColocationBench::setLeaving(std::size_t Worker) {
  m_workers[Worker]->m_isLeaving = true;
}

void ColocationBench::setFailing(std::size_t Worker) {
  m_workers[Worker]->m_isFailing = true;
  m_workers[Worker]->m_tasks->setFailing(true);
}

void ColocationBench::runFor(Duration Span) {
  for (Duration Done{0}; Done < Span; Done += Step)
    step();
}

void ColocationBench::step() {
  m_clock.advance(Step);
  std::set<std::string> Paused;
  for (std::size_t Worker = 0; Worker < m_workers.size(); ++Worker) {
    if (m_workers[Worker]->m_isPaused)
      Paused.insert(workerName(Worker));
    else
      m_workers[Worker]->m_tasks->tick();
  }
  const std::vector<Instance> Listed = listing();
  for (auto &Entry : m_entries) {
    if (Entry->m_isPaused)
      continue;
    Entry->runCalls();
    Entry->takeInbox();
    if (const std::optional<Heartbeat> Own = Entry->beat())
      for (auto &Other : m_entries)
        if (Other != Entry && !Entry->m_isCutFromPeers &&
            !Other->m_isCutFromPeers)
          Other->receive(*Own);
    if (!m_isLogDown && !Entry->m_isCutFromLog) {
      Entry->readLog(m_log);
      if (const auto Bytes = Entry->m_writer.nextAppend())
        m_log.append(*Bytes, m_appendFate);
    } else {
      for (auto &Other : m_entries)
        if (Other != Entry && !Other->m_isPaused && !Entry->m_isCutFromPeers &&
            !Other->m_isCutFromPeers)
          Entry->copyFrom(*Other);
    }
    Entry->act(Listed);
    followLog();
  }
  m_checker.judgeOverlaps(Paused);
}

Result<WorkerStatus>
ColocationBench::callWorker(std::size_t Entry, const Endpoint &Where,
                            const WorkerCommands &Commands) {
  const std::size_t Worker = Where.m_port - 1;
  WorkerNode &Node = *m_workers[Worker];
  if (m_entries[Entry]->m_cutWorkers.count(Worker) > 0)
    return makeError(ErrorCode::Unavailable, "cut from the worker");
  if (Node.m_isPaused) {
    Node.m_inbox.push_back(Commands);
    return makeError(ErrorCode::OutcomeUnknown, "the worker is paused");
  }
  if (m_callFate == 1)
    return makeError(ErrorCode::OutcomeUnknown, "the request was lost");
  if (m_callFate == 3)
    m_delayed.emplace_back(Worker, Commands);
  Node.m_lastCaller = Entry;
  WorkerStatus Status = Node.m_tasks->sync(Commands);
  if (m_callFate == 2)
    return makeError(ErrorCode::OutcomeUnknown, "the answer was lost");
  return Status;
}

void ColocationBench::pauseEntry(std::size_t Entry, bool IsOn) {
  m_entries[Entry]->m_isPaused = IsOn;
}

void ColocationBench::cutFromLog(std::size_t Entry, bool IsOn) {
  m_entries[Entry]->m_isCutFromLog = IsOn;
}

void ColocationBench::cutFromPeers(std::size_t Entry, bool IsOn) {
  m_entries[Entry]->m_isCutFromPeers = IsOn;
}

void ColocationBench::cutFromWorker(std::size_t Entry, std::size_t Worker,
                                    bool IsOn) {
  if (IsOn)
    m_entries[Entry]->m_cutWorkers.insert(Worker);
  else
    m_entries[Entry]->m_cutWorkers.erase(Worker);
}

void ColocationBench::replaceEntry(std::size_t Entry) {
  // Calls that the old process had sent arrive first; its process is gone.
  m_entries[Entry]->runCalls();
  m_zombies.push_back(std::move(m_entries[Entry]));
  m_entries[Entry] = std::make_unique<EntryNode>(
      *this, Entry, m_entries.size(), "boot" + std::to_string(++m_boots));
}

void ColocationBench::pauseWorker(std::size_t Worker, bool IsOn) {
  WorkerNode &Node = *m_workers[Worker];
  Node.m_isPaused = IsOn;
  if (IsOn)
    return;
  // What waited in its sockets is handled now.
  std::vector<WorkerCommands> Waiting;
  Waiting.swap(Node.m_inbox);
  for (const WorkerCommands &Commands : Waiting)
    Node.m_tasks->sync(Commands);
}

void ColocationBench::restartWorker(std::size_t Worker) {
  followLog();
  m_checker.crashed(workerName(Worker), [this](const TaskId &Task) {
    const TaskRow *Row = m_truth.task(Task);
    return Row == nullptr || Row->m_phase == TaskPhase::Finished;
  });
  m_workers[Worker]->m_inbox.clear();
  m_workers[Worker]->m_isPaused = false;
  bootWorker(Worker);
}

void ColocationBench::releaseDelayed() {
  for (int Count = 0; Count < 8; ++Count)
    m_log.takeEffect(static_cast<std::size_t>(Count));
  for (const auto &[Worker, Commands] : m_delayed)
    if (!m_workers[Worker]->m_isPaused)
      m_workers[Worker]->m_tasks->sync(Commands);
  m_delayed.clear();
}

void ColocationBench::heal() {
  m_isLogDown = false;
  m_appendFate = FakeLog::Fate::Done;
  m_callFate = 0;
  for (auto &Entry : m_entries) {
    Entry->m_isPaused = false;
    Entry->m_isCutFromLog = false;
    Entry->m_isCutFromPeers = false;
    Entry->m_cutWorkers.clear();
  }
  for (std::size_t Worker = 0; Worker < m_workers.size(); ++Worker) {
    pauseWorker(Worker, false);
    setProtected(Worker, 0);
  }
}

bool ColocationBench::isFinished(const std::string &Job) const {
  return m_entries.front()->m_replica.read([&](const State &Shared) {
    const JobRow *Row = Shared.job(Job);
    return Row != nullptr && Row->m_phase == JobPhase::Finished &&
           Row->m_endedMs != 0;
  });
}

std::size_t ColocationBench::failuresOn(std::size_t Worker) const {
  return m_checker.failuresOn(workerName(Worker));
}

std::size_t ColocationBench::runningOn(std::size_t Worker) const {
  return m_checker.runningOn(workerName(Worker));
}

std::size_t ColocationBench::actingEntry(std::size_t Worker) const {
  return m_workers[Worker]->m_lastCaller;
}

} // namespace catkinseam::testing
