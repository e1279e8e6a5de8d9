// Applies job and owner records.
#include "catkinseam/ledger/ledger.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/telemetry/log.h"

namespace catkinseam {

bool Ledger::apply(std::int64_t Offset, const std::string &Key,
                   const std::optional<std::string> &Value) {
  std::string Id;
  const RecordKind Kind = parseRecordKey(Key, Id);
  if (Kind == RecordKind::Unknown) {
    logWarn("ledger.key_unknown", {{"key", Key}});
    return false;
  }
  if (Kind == RecordKind::Owner) {
    if (Value)
      applyOwner(*Value);
    return true;
  }
  if (Kind == RecordKind::Leases)
    return true;
  if (Kind == RecordKind::Handover || Kind == RecordKind::OwnerEnd)
    return false;
  // Written by owners of earlier versions.
  if (Kind == RecordKind::LearnedModel)
    return true;
  if (!Value) {
    if (Kind == RecordKind::Submission)
      removeJob(Id);
    return Kind == RecordKind::Progress;
  }
  if (Kind == RecordKind::Submission) {
    applySubmission(Id, *Value);
    return false;
  }
  LedgerJob &Job = m_jobs[Id];
  if (Kind == RecordKind::Cancel) {
    applyCancel(Job);
    return false;
  }
  applyProgress(Offset, Job, *Value);
  return true;
}

void Ledger::removeJob(const std::string &Id) {
  const auto Found = m_jobs.find(Id);
  if (Found == m_jobs.end())
    return;
  if (Found->second.m_isSubmitted && Found->second.state() == JobState::Queued)
    --m_pendingByQueue[Found->second.m_submission.m_policy.m_queue];
  m_jobs.erase(Found);
}

void Ledger::retainOnly(const std::set<std::string> &Keys) {
  std::vector<std::string> Gone;
  for (const auto &[Id, Job] : m_jobs)
    if (Job.m_isSubmitted && !Keys.contains(submissionKey(Id)))
      Gone.push_back(Id);
  for (const std::string &Each : Gone)
    removeJob(Each);
  if (!Gone.empty())
    logInfo("ledger.jobs_gone", {{"jobs", std::to_string(Gone.size())}});
}

void Ledger::applyOwner(const std::string &Value) {
  auto Read = attempt([&] { return decode<OwnerRecord>(Value); });
  if (!Read) {
    logWarn("ledger.owner_unreadable", {{"fault", Read.error().m_message}});
    return;
  }
  const OwnerRecord &Next = Read.value();
  // The first record of an epoch determines its owner.
  if (Next.m_epoch > m_owner.m_epoch ||
      (Next.m_epoch == m_owner.m_epoch && Next.m_bootId == m_owner.m_bootId))
    m_owner = Next;
}

void Ledger::applySubmission(const std::string &Id, const std::string &Value) {
  LedgerJob &Job = m_jobs[Id];
  if (Job.m_isSubmitted)
    return;
  auto Read = attempt([&] { return decode<Submission>(Value); });
  if (!Read) {
    logWarn("ledger.job_unreadable",
            {{"job", Id}, {"fault", Read.error().m_message}});
    return;
  }
  Job.m_submission = std::move(Read.value());
  Job.m_isSubmitted = true;
  if (Job.state() == JobState::Queued)
    ++m_pendingByQueue[Job.m_submission.m_policy.m_queue];
  if (m_observer)
    m_observer->onSubmitted(Job);
}

void Ledger::applyProgress(std::int64_t Offset, LedgerJob &Job,
                           const std::string &Value) {
  if (Offset <= Job.m_progressOffset)
    return;
  auto State = attempt([&] { return decodeState(Value); });
  if (!State) {
    logWarn("ledger.progress_unreadable", {{"offset", std::to_string(Offset)}});
    return;
  }
  const JobState Before = Job.state();
  Job.m_progressOffset = Offset;
  Job.m_recordedState = State.value();
  Job.m_progress = Value.size() > 1 ? Value : std::string();
  updatePendingCount(Job, Before);
}

void Ledger::applyCancel(LedgerJob &Job) {
  if (Job.m_isCancelled)
    return;
  const JobState Before = Job.state();
  Job.m_isCancelled = true;
  updatePendingCount(Job, Before);
  if (m_observer && Job.m_isSubmitted)
    m_observer->onCancelled(Job);
}

void Ledger::updatePendingCount(const LedgerJob &Job, JobState Before) {
  const bool WasQueued = Before == JobState::Queued;
  const bool IsQueued = Job.state() == JobState::Queued;
  if (!Job.m_isSubmitted || WasQueued == IsQueued)
    return;
  std::size_t &Pending = m_pendingByQueue[Job.m_submission.m_policy.m_queue];
  IsQueued ? ++Pending : --Pending;
}

const LedgerJob *Ledger::find(const std::string &Id) const {
  const auto Found = m_jobs.find(Id);
  return Found == m_jobs.end() || !Found->second.m_isSubmitted ? nullptr
                                                               : &Found->second;
}

std::size_t Ledger::pendingIn(const std::string &Queue) const {
  const auto Found = m_pendingByQueue.find(Queue);
  return Found == m_pendingByQueue.end() ? 0 : Found->second;
}

} // namespace catkinseam
