// Applies log records to the tables of the replicated state.
#include "catkinseam/state/replicated_state.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/base/hash.h"

namespace catkinseam {

namespace {

RecordOutcome accept() { return {true, ""}; }

RecordOutcome reject(std::string Reason) { return {false, std::move(Reason)}; }

/// Estimates a task's demand from its highest usage. A task that reached its
/// limit would have used more, but its worker cannot observe how much, so the
/// limit is scaled up.
std::int64_t estimatedDemand(std::int64_t Used, std::int64_t Limit) {
  constexpr std::int64_t SaturatedPercent = 95;
  constexpr std::int64_t GrowthPercent = 150;
  const bool IsSaturated = Used * 100 >= Limit * SaturatedPercent;
  return IsSaturated ? Limit * GrowthPercent / 100 : Used;
}

/// Only processor usage can be throttled; a task that exceeds its limit of
/// another resource fails.
Resources estimatedDemand(const Resources &Used, const Resources &Limit) {
  if (Used.isZero())
    return Used;
  return {estimatedDemand(Used.m_milliProcessors, Limit.m_milliProcessors),
          Used.m_memoryMb, Used.m_accelerators};
}

std::string quoted(const std::string &Name) { return "\"" + Name + "\""; }

} // namespace

const WorkerRow *ReplicatedState::worker(const std::string &Name) const {
  const auto Found = m_workers.find(Name);
  return Found == m_workers.end() ? nullptr : &Found->second;
}

const JobRow *ReplicatedState::job(const std::string &Name) const {
  const auto Found = m_jobs.find(Name);
  return Found == m_jobs.end() ? nullptr : &Found->second;
}

const TaskRow *ReplicatedState::task(const TaskId &Task) const {
  const JobRow *Job = job(Task.m_job);
  if (Job == nullptr || Task.m_index >= Job->m_tasks.size())
    return nullptr;
  return &Job->m_tasks[Task.m_index];
}

Resources ReplicatedState::reservedByTeam(const std::string &Team) const {
  const auto Found = m_reservedByTeam.find(Team);
  return Found == m_reservedByTeam.end() ? Resources{} : Found->second;
}

BatchOutcome ReplicatedState::apply(std::uint64_t Offset,
                                    const RecordBatch &Batch) {
  BatchOutcome Result;
  m_currentOffset = Offset;
  m_nextOffset = Offset + 1;
  if (!admitBatch(Batch)) {
    Result.m_isDuplicate = true;
    return Result;
  }
  m_timeMs = std::max(m_timeMs, Batch.m_wallMs);
  for (const Record &Entry : Batch.m_records)
    Result.m_outcomes.push_back(std::visit(
        [&](const auto &Alternative) { return applyRecord(Alternative); },
        Entry));
  removeIdleWriters();
  return Result;
}

bool ReplicatedState::admitBatch(const RecordBatch &Batch) {
  if (Batch.m_format != RecordBatch::CurrentFormat)
    return false;
  const auto Known = m_writers.find(Batch.m_writer);
  if (Known == m_writers.end() && Batch.m_wallMs < m_timeMs - WriterRetentionMs)
    return false;
  WriterRow &Writer = m_writers[Batch.m_writer];
  if (Batch.m_sequence <= Writer.m_sequence)
    return false;
  Writer.m_sequence = Batch.m_sequence;
  Writer.m_lastWallMs = std::max(Writer.m_lastWallMs, Batch.m_wallMs);
  return true;
}

void ReplicatedState::removeIdleWriters() {
  // Delayed batches of a removed writer are older than WriterRetentionMs;
  // admitBatch() ignores them for their age.
  std::erase_if(m_writers, [this](const auto &Writer) {
    return Writer.second.m_lastWallMs < m_timeMs - WriterRetentionMs;
  });
}

RecordOutcome ReplicatedState::applyRecord(const ConfigPatchRecord &Record) {
  const bool IsKnown = m_config.outcome(Record.m_patch.m_id) != nullptr;
  const PatchOutcome &PatchResult = m_config.apply(Record.m_patch, m_timeMs);
  if (PatchResult.m_verdict != PatchVerdict::Accepted)
    return reject(PatchResult.m_message);
  if (IsKnown)
    return accept();
  std::set<std::string> Workers;
  for (const auto &[Path, Value] : Record.m_patch.m_changes)
    if (Path.rfind("workers/", 0) == 0)
      Workers.insert(entityPath(Path).substr(std::string("workers/").size()));
  for (const std::string &Name : Workers)
    updateWorkerFromConfig(Name);
  return accept();
}

void ReplicatedState::updateWorkerFromConfig(const std::string &Name) {
  const ConfigContent &Content = m_config.content();
  const std::string Base = "workers/" + Name + "/";
  WorkerRow &Row = m_workers[Name];
  const Resources Target{getNumber(Content, Base + "processors_milli", 0),
                         getNumber(Content, Base + "memory_mb", 0),
                         getNumber(Content, Base + "accelerators", 0)};
  const Resources Protected{
      getNumber(Content, Base + "protected_processors_milli", 0),
      getNumber(Content, Base + "protected_memory_mb", 0),
      getNumber(Content, Base + "protected_accelerators", 0)};
  applyReport(Row.m_capacity, Target, Protected);
  Row.m_rack = getString(Content, Base + "rack", "");
  Row.m_dataCentre = getString(Content, Base + "data_centre", "");
  Row.m_slots =
      static_cast<std::uint32_t>(getNumber(Content, Base + "slots", 0));
  Row.m_isReported = !Target.isZero();
  if (!Row.m_isReported && Row.m_tasks.empty())
    m_workers.erase(Name);
}

RecordOutcome ReplicatedState::applyRecord(const JobRecord &Record) {
  if (m_jobs.count(Record.m_job) > 0)
    return accept(); // Submission is idempotent by job id.
  if (Record.m_taskCount == 0)
    return reject("job " + quoted(Record.m_job) + " has no tasks");
  if (std::string Reason = unplaceableReason(Record); !Reason.empty())
    return reject(Reason);
  JobRow &Job = m_jobs[Record.m_job];
  Job.m_record = Record;
  Job.m_submittedMs = m_timeMs;
  Job.m_tasks.resize(Record.m_taskCount);
  for (std::uint32_t Index = 0; Index < Record.m_taskCount; ++Index) {
    Job.m_tasks[Index].m_phaseChangedMs = m_timeMs;
    Job.m_queued.insert(Job.m_queued.end(), Index);
  }
  return accept();
}

std::string ReplicatedState::unplaceableReason(const JobRecord &Job) const {
  std::string Missing = "workers";
  for (const auto &[Name, Worker] : m_workers) {
    const CapacityRow &Capacity = Worker.m_capacity;
    const Resources Limit =
        elementwiseMax(Capacity.m_target - Capacity.m_protected, Resources{});
    if (Worker.m_isReported && Job.m_size.fitsIn(Limit))
      return "";
    if (Worker.m_isReported)
      Missing = insufficientResource(Job.m_size, Limit);
  }
  return "job " + quoted(Job.m_job) + " fits on no worker: too little " +
         Missing;
}

std::string
ReplicatedState::workerRejectionReason(const std::string &Name,
                                       const WorkerRow &Worker,
                                       const Resources &Reserved) const {
  if (!Worker.m_isReported)
    return "worker " + quoted(Name) + " is not in the capacity report";
  const CapacitySummary Now = summarizeCapacity(Worker.m_capacity);
  if (std::string Missing = insufficientResource(Reserved, Now.m_room);
      !Missing.empty())
    return "worker " + quoted(Name) + " has too little " + Missing;
  if (isQuarantined(Worker)) {
    const bool MayProbe = Worker.m_claimsSinceOutcome == 0 &&
                          m_timeMs >= Worker.m_lastFailureMs + ProbeDelayMs;
    return MayProbe ? "" : "worker " + quoted(Name) + " is quarantined";
  }
  if (Worker.m_consecutiveFailures > 0 && Worker.m_claimsSinceOutcome > 0)
    return "worker " + quoted(Name) + " failed its last task";
  if (!Worker.m_hasSucceeded &&
      Worker.m_tasks.size() >= MaxClaimsBeforeFirstSuccess)
    return "worker " + quoted(Name) + " has not yet finished a task";
  return "";
}

std::string
ReplicatedState::quotaRejectionReason(const JobRow &Job,
                                      const Resources &Reserved) const {
  const std::string &Team = Job.m_record.m_team;
  const std::int64_t Quota =
      getNumber(m_config.content(), "teams/" + Team + "/processors_milli", -1);
  if (Quota < 0)
    return "";
  const std::int64_t Used = reservedByTeam(Team).m_milliProcessors;
  return Used + Reserved.m_milliProcessors <= Quota
             ? ""
             : "team " + quoted(Team) + " is at its quota";
}

std::string
ReplicatedState::claimRejectionReason(const ClaimRecord &Claim) const {
  const JobRow *Job = job(Claim.m_task.m_job);
  const TaskRow *Task = task(Claim.m_task);
  const std::string Name = "task " + quoted(toString(Claim.m_task));
  if (Task == nullptr)
    return Name + " does not exist";
  if (Task->m_phase != TaskPhase::Queued)
    return Name + " is not queued";
  if (Claim.m_attempt != Task->m_attempt + 1)
    return Name + " is at attempt " + std::to_string(Task->m_attempt);
  if (Job->m_phase != JobPhase::Active)
    return "job " + quoted(Claim.m_task.m_job) + " is not active";
  const WorkerRow *Worker = worker(Claim.m_worker);
  if (Worker == nullptr)
    return "worker " + quoted(Claim.m_worker) + " does not exist";
  if (std::string Reason =
          workerRejectionReason(Claim.m_worker, *Worker, Claim.m_reserved);
      !Reason.empty())
    return Reason;
  return quotaRejectionReason(*Job, Claim.m_reserved);
}

RecordOutcome ReplicatedState::applyRecord(const ClaimRecord &Record) {
  if (std::string Reason = claimRejectionReason(Record); !Reason.empty())
    return reject(Reason);
  JobRow &Job = m_jobs.at(Record.m_task.m_job);
  TaskRow &Task = Job.m_tasks[Record.m_task.m_index];
  WorkerRow &Worker = m_workers.at(Record.m_worker);
  Task.m_phase = TaskPhase::Claimed;
  Task.m_isFenced = false;
  Task.m_attempt = Record.m_attempt;
  Task.m_worker = Record.m_worker;
  Task.m_bootId = Record.m_bootId;
  Task.m_reserved = Record.m_reserved;
  Task.m_phaseChangedMs = m_timeMs;
  Job.m_queued.erase(Record.m_task.m_index);
  ++Job.m_claimed;
  Worker.m_tasks.insert(Record.m_task);
  ++Worker.m_claimsSinceOutcome;
  reserve(Worker.m_capacity, Record.m_reserved);
  m_reservedByTeam[Job.m_record.m_team] += Record.m_reserved;
  return accept();
}

std::string
ReplicatedState::attemptRejectionReason(const TaskId &Task,
                                        std::uint32_t Attempt) const {
  const TaskRow *Row = task(Task);
  const bool IsHeld = Row != nullptr && Row->m_phase == TaskPhase::Claimed &&
                      Row->m_attempt == Attempt;
  return IsHeld ? ""
                : "attempt " + std::to_string(Attempt) + " of task " +
                      quoted(toString(Task)) + " does not hold it";
}

RecordOutcome ReplicatedState::applyRecord(const FenceRecord &Record) {
  if (std::string Reason =
          attemptRejectionReason(Record.m_task, Record.m_attempt);
      !Reason.empty())
    return reject(Reason);
  TaskRow &Task = m_jobs.at(Record.m_task.m_job).m_tasks[Record.m_task.m_index];
  if (Task.m_isFenced)
    return accept();
  Task.m_isFenced = true;
  Task.m_fenceOffset = m_currentOffset;
  return accept();
}

RecordOutcome ReplicatedState::applyRecord(const ReleaseRecord &Record) {
  if (std::string Reason =
          attemptRejectionReason(Record.m_task, Record.m_attempt);
      !Reason.empty())
    return reject(Reason);
  JobRow &Job = m_jobs.at(Record.m_task.m_job);
  TaskRow &Task = Job.m_tasks[Record.m_task.m_index];
  if (Record.m_kind == ReleaseKind::Lapsed && !Task.m_isFenced)
    return reject("task " + quoted(toString(Record.m_task)) + " is not fenced");
  const std::string Worker = Task.m_worker;
  Job.m_peakDemand = elementwiseMax(
      Job.m_peakDemand, estimatedDemand(Record.m_peakUsage, Task.m_reserved));
  releaseReservation(Record.m_task, Task, Job);
  updateReleasedTask(Record, Task, Job);
  recordWorkerOutcome(Record, Worker, Job);
  parkIfFailureLimitReached(Job);
  endJobIfDone(Record.m_task.m_job, Job);
  return accept();
}

void ReplicatedState::releaseReservation(const TaskId &Task, TaskRow &Row,
                                         JobRow &Job) {
  WorkerRow &Worker = m_workers.at(Row.m_worker);
  release(Worker.m_capacity, Row.m_reserved);
  Worker.m_tasks.erase(Task);
  m_reservedByTeam[Job.m_record.m_team] -= Row.m_reserved;
  --Job.m_claimed;
  if (!Worker.m_isReported && Worker.m_tasks.empty())
    m_workers.erase(Row.m_worker);
  Row.m_worker.clear();
  Row.m_bootId.clear();
  Row.m_reserved = {};
  Row.m_isFenced = false;
  Row.m_phaseChangedMs = m_timeMs;
}

void ReplicatedState::updateReleasedTask(const ReleaseRecord &Record,
                                         TaskRow &Row, JobRow &Job) {
  if (Record.m_kind == ReleaseKind::Finished) {
    Row.m_phase = TaskPhase::Finished;
    ++Job.m_finished;
    Job.m_maxRunTimeMs = std::max(Job.m_maxRunTimeMs, Record.m_runTimeMs);
    return;
  }
  if (Record.m_kind == ReleaseKind::Evicted) {
    ++Row.m_evictions;
    ++Job.m_evictions;
  }
  if (!Record.m_checkpoint.empty())
    Row.m_checkpoint = Record.m_checkpoint;
  if (Job.m_phase != JobPhase::Active) {
    Row.m_phase = TaskPhase::Cancelled;
    return;
  }
  Row.m_phase = TaskPhase::Queued;
  Job.m_queued.insert(Record.m_task.m_index);
}

void ReplicatedState::recordWorkerOutcome(const ReleaseRecord &Record,
                                          const std::string &Worker,
                                          const JobRow &Job) {
  const auto Found = m_workers.find(Worker);
  if (Found == m_workers.end())
    return;
  WorkerRow &Row = Found->second;
  if (Record.m_kind == ReleaseKind::Finished) {
    Row.m_hasSucceeded = true;
    Row.m_consecutiveFailures = 0;
    Row.m_claimsSinceOutcome = 0;
    return;
  }
  if (Record.m_kind != ReleaseKind::Failed) {
    if (Row.m_claimsSinceOutcome > 0)
      --Row.m_claimsSinceOutcome;
    return;
  }
  JobRow &FailedJob = m_jobs.at(Record.m_task.m_job);
  FailedJob.m_failedWorkers.insert(Worker);
  Row.m_claimsSinceOutcome = 0;
  Row.m_lastFailureMs = m_timeMs;
  // A job that has failed on several workers and finished no task is probably
  // itself at fault.
  const bool IsJobsFault =
      Job.m_failedWorkers.size() > 1 && Job.m_finished == 0;
  if (!IsJobsFault)
    ++Row.m_consecutiveFailures;
}

void ReplicatedState::parkIfFailureLimitReached(JobRow &Job) {
  const auto Limit = static_cast<std::size_t>(getNumber(
      m_config.content(), "batch/failures_to_park", DefaultFailuresToPark));
  const bool IsLimitReached = Job.m_phase == JobPhase::Active &&
                              Job.m_finished == 0 &&
                              Job.m_failedWorkers.size() >= Limit;
  if (!IsLimitReached)
    return;
  Job.m_phase = JobPhase::Parked;
  Job.m_reason = "failed on workers";
  for (const std::string &Worker : Job.m_failedWorkers)
    Job.m_reason += " " + quoted(Worker);
  cancelQueuedTasks(Job);
}

void ReplicatedState::cancelQueuedTasks(JobRow &Job) {
  for (const std::uint32_t Index : Job.m_queued)
    Job.m_tasks[Index].m_phase = TaskPhase::Cancelled;
  Job.m_queued.clear();
}

void ReplicatedState::endJobIfDone(const std::string &Name, JobRow &Job) {
  const bool IsDone = Job.m_queued.empty() && Job.m_claimed == 0;
  if (!IsDone || Job.m_endedMs != 0)
    return;
  if (Job.m_phase == JobPhase::Active)
    Job.m_phase = JobPhase::Finished;
  Job.m_endedMs = std::max<std::int64_t>(m_timeMs, 1);
  Job.m_tasks.clear();
  m_endedJobs.push_back(Name);
  if (m_endedJobs.size() <= MaxEndedJobs)
    return;
  m_jobs.erase(m_endedJobs.front());
  m_endedJobs.pop_front();
}

RecordOutcome ReplicatedState::applyRecord(const CancelRecord &Record) {
  std::string UnknownJob;
  for (const std::string &Name : Record.m_jobs) {
    const auto Found = m_jobs.find(Name);
    if (Found == m_jobs.end()) {
      UnknownJob = Name;
      continue;
    }
    JobRow &Job = Found->second;
    if (Job.m_endedMs != 0)
      continue;
    Job.m_phase = JobPhase::Cancelled;
    cancelQueuedTasks(Job);
    endJobIfDone(Name, Job);
  }
  return UnknownJob.empty()
             ? accept()
             : reject("job " + quoted(UnknownJob) + " does not exist");
}

RecordOutcome ReplicatedState::applyRecord(const SnapshotMarkerRecord &) {
  return accept(); // Replica hashes the state after the batch.
}

RecordOutcome ReplicatedState::applyRecord(const SnapshotPartRecord &Record) {
  if (Record.m_part == 0) {
    m_partialSnapshotId = Record.m_snapshotId;
    m_partialSnapshotParts = 0;
  }
  const bool IsNext = Record.m_snapshotId == m_partialSnapshotId &&
                      Record.m_part == m_partialSnapshotParts;
  if (!IsNext)
    return reject("snapshot part is out of order");
  ++m_partialSnapshotParts;
  if (m_partialSnapshotParts == Record.m_parts)
    m_snapshot = {Record.m_nextOffset, m_timeMs};
  return accept();
}

std::uint64_t ReplicatedState::hash() const { return hashBytes(encode(*this)); }

} // namespace catkinseam
