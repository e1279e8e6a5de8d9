// Stores the requests of customers in the log and answers from the ledger.
#include "catkinseam/front/job_service.h"

#include "catkinseam/base/codec.h"

#include <algorithm>
#include <utility>

namespace catkinseam {

const char *submitOutcomeName(SubmitOutcome Outcome) {
  switch (Outcome) {
  case SubmitOutcome::Accepted:
    return "accepted";
  case SubmitOutcome::NotAccepted:
    return "not_accepted";
  case SubmitOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *cancelOutcomeName(CancelOutcome Outcome) {
  switch (Outcome) {
  case CancelOutcome::Cancelled:
    return "cancelled";
  case CancelOutcome::NotCancelled:
    return "not_cancelled";
  case CancelOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

struct JobService::Write {
  KeyedRecord m_record;
  TimePoint m_deadline;
  TimePoint m_startedAt;
  WriteDone m_done;
  bool m_isAnswered = false;
  /// Part of an append, in flight or answered.
  bool m_isSent = false;
  /// An append was sent and not answered; it may still take effect.
  bool m_isInDoubt = false;
  /// The log rejected a batch that contained this record.
  bool m_isSentAlone = false;

  void answer(LogOutcome Outcome) {
    if (!std::exchange(m_isAnswered, true))
      m_done(Outcome);
  }
};

JobService::JobService(Runtime &Host, KeyedLog &Log, const Ledger &Jobs,
                       const Options &Opts)
    : m_host(Host), m_log(Log), m_ledger(Jobs), m_options(Opts),
      m_probeTimer(Host) {}

JobService::~JobService() { *m_isAlive = false; }

bool JobService::isLogUnresponsive() const {
  // Retries of in-doubt records and probes detect when the log answers again.
  if (m_lastAppendTimedOut)
    return true;
  return m_isAppending && m_host.now() - m_appendStartedAt >
                              m_options.m_unresponsiveMargin +
                                  3 * m_appendTimeout.smoothedReplyTime();
}

void JobService::refuseUnsent() {
  std::deque<std::shared_ptr<Write>> Kept;
  std::vector<std::shared_ptr<Write>> Refused;
  for (std::shared_ptr<Write> &Pending : m_queue) {
    if (Pending->m_isInDoubt)
      Kept.push_back(std::move(Pending));
    else
      Refused.push_back(std::move(Pending));
  }
  m_queue = std::move(Kept);
  for (const std::shared_ptr<Write> &Pending : Refused)
    Pending->answer(LogOutcome::Refused);
}

void JobService::write(KeyedRecord Record, Milliseconds Budget,
                       WriteDone Done) {
  // Refuses immediately: a record that was never sent is certainly not stored.
  const Milliseconds Left = Budget - m_options.m_responseMargin;
  if (isLogUnresponsive() || expectedWriteTime() > Left)
    return Done(LogOutcome::Refused);
  auto Pending = std::make_shared<Write>();
  Pending->m_record = std::move(Record);
  Pending->m_startedAt = m_host.now();
  Pending->m_deadline = m_host.now() + Left;
  Pending->m_done = std::move(Done);
  m_host.schedule(Left, [this, Weak = std::weak_ptr(Pending),
                         IsAlive = m_isAlive] {
    if (const std::shared_ptr<Write> Expired = Weak.lock(); *IsAlive && Expired)
      onDeadline(Expired);
  });
  m_queue.push_back(std::move(Pending));
  sendBatch();
}

Duration JobService::expectedWriteTime() const {
  // An old reply time says nothing about the log's present one.
  const bool IsRecent =
      m_host.now() - m_lastReplyAt <= m_options.m_replyTimeMemory;
  const Duration Append =
      IsRecent ? m_appendTimeout.smoothedReplyTime() : Duration::zero();
  if (!m_isAppending)
    return Append;
  const Duration Elapsed = m_host.now() - m_appendStartedAt;
  return Append + std::max(Duration::zero(), Append - Elapsed);
}

void JobService::onDeadline(const std::shared_ptr<Write> &Expired) {
  std::erase(m_queue, Expired);
  Expired->answer(Expired->m_isSent ? LogOutcome::Unknown
                                    : LogOutcome::Refused);
}

void JobService::sendBatch() {
  if (m_isAppending || m_queue.empty())
    return;
  std::vector<std::shared_ptr<Write>> Batch;
  std::vector<KeyedRecord> Records;
  std::size_t Bytes = 0;
  while (!m_queue.empty() && Batch.size() < m_options.m_maxBatchRecords) {
    Bytes += appendBytes(m_queue.front()->m_record);
    const bool IsAlone = m_queue.front()->m_isSentAlone;
    if (!Batch.empty() &&
        (IsAlone || Bytes > m_options.m_appendLimits.m_maxTotalBytes))
      break;
    m_queue.front()->m_isSent = true;
    Records.push_back(m_queue.front()->m_record);
    Batch.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
    if (IsAlone)
      break;
  }
  m_isAppending = true;
  m_appendStartedAt = m_host.now();
  const Milliseconds Timeout = appendTimeoutFor(Batch);
  m_log.append(LogTopic::Jobs, Records, std::nullopt, Timeout,
               [this, Batch = std::move(Batch),
                IsAlive = m_isAlive](const AppendReply &Reply) {
                 if (*IsAlive)
                   onBatchReply(Batch, Reply.m_outcome);
               });
}

void JobService::recordAppendOutcome(LogOutcome Outcome) {
  m_isAppending = false;
  m_lastAppendTimedOut = Outcome == LogOutcome::Unknown;
  if (m_lastAppendTimedOut)
    return m_appendTimeout.onTimeout();
  m_appendTimeout.onReply(m_host.now() - m_appendStartedAt);
  m_lastReplyAt = m_host.now();
}

void JobService::onBatchReply(const std::vector<std::shared_ptr<Write>> &Batch,
                              LogOutcome Outcome) {
  recordAppendOutcome(Outcome);
  // One record that the log rejects must not refuse the others of its batch.
  if (Outcome == LogOutcome::Invalid && Batch.size() > 1) {
    for (auto Each = Batch.rbegin(); Each != Batch.rend(); ++Each) {
      (*Each)->m_isSentAlone = true;
      m_queue.push_front(*Each);
    }
    return sendBatch();
  }
  for (const std::shared_ptr<Write> &Pending : Batch)
    completeOrRetry(Pending, Outcome);
  if (Outcome == LogOutcome::Unknown) {
    refuseUnsent();
    probeLog();
  }
  sendBatch();
}

void JobService::probeLog() {
  m_probeTimer.start(m_options.m_probeInterval, [this] {
    if (!m_lastAppendTimedOut)
      return;
    // A retried in-doubt record serves as a probe too.
    if (m_isAppending || !m_queue.empty())
      return probeLog();
    m_isAppending = true;
    m_appendStartedAt = m_host.now();
    m_log.append(LogTopic::Jobs, {}, std::nullopt,
                 m_options.m_unresponsiveMargin +
                     toMilliseconds(3 * m_appendTimeout.smoothedReplyTime()),
                 [this, IsAlive = m_isAlive](const AppendReply &Reply) {
                   if (!*IsAlive)
                     return;
                   recordAppendOutcome(Reply.m_outcome);
                   if (m_lastAppendTimedOut)
                     probeLog();
                   sendBatch();
                 });
  });
}

Milliseconds JobService::appendTimeoutFor(
    const std::vector<std::shared_ptr<Write>> &Batch) const {
  Milliseconds Timeout = m_appendTimeout.value();
  for (const std::shared_ptr<Write> &Pending : Batch)
    if (Pending->m_isInDoubt)
      Timeout = std::min(
          Timeout,
          std::max(Milliseconds(1),
                   toMilliseconds(retryDeadline(*Pending) - m_host.now())));
  return Timeout;
}

TimePoint JobService::retryDeadline(const Write &Pending) const {
  return std::min(Pending.m_deadline,
                  Pending.m_startedAt + m_options.m_inDoubtTimeout);
}

void JobService::completeOrRetry(const std::shared_ptr<Write> &Pending,
                                 LogOutcome Outcome) {
  if (Outcome == LogOutcome::Done)
    return Pending->answer(LogOutcome::Done);
  if (Outcome == LogOutcome::Unknown)
    Pending->m_isInDoubt = true;
  // Only a success resolves an in-doubt record. A repeated append of the same
  // record is idempotent.
  if (!Pending->m_isInDoubt)
    return Pending->answer(LogOutcome::Refused);
  if (Pending->m_isAnswered ||
      m_host.now() + m_options.m_appendRetryDelay >= retryDeadline(*Pending))
    return Pending->answer(LogOutcome::Unknown);
  m_host.schedule(m_options.m_appendRetryDelay,
                  [this, Pending, IsAlive = m_isAlive] {
                    if (!*IsAlive || Pending->m_isAnswered)
                      return;
                    m_queue.push_back(Pending);
                    sendBatch();
                  });
}

Result<void> JobService::checkSize(const JobSpec &Spec) const {
  // For the key, the id and the queue's policy.
  constexpr std::size_t SubmissionOverhead = 1024;
  const std::size_t Limit = m_options.m_appendLimits.m_maxRecordBytes;
  const auto TooLarge = [Limit](const char *Content, std::size_t Bytes) {
    return makeError(ErrorCode::Invalid,
                     std::string("field \"steps\" needs ") +
                         std::to_string(Bytes) + " bytes for " + Content +
                         "; the limit is " + std::to_string(Limit));
  };
  if (const std::size_t Bytes = estimateProgressBytes(Spec); Bytes > Limit)
    return TooLarge("the progress of its tasks", Bytes);
  if (const std::size_t Bytes = encode(Spec).size() + SubmissionOverhead;
      Bytes > Limit)
    return TooLarge("their description", Bytes);
  return {};
}

void JobService::submit(const QueuePolicy &Policy, const std::string &Id,
                        const JobSpec &Spec, Milliseconds Budget,
                        std::function<void(SubmitOutcome)> Done) {
  // From here on the ledger alone says whether a job exists.
  std::erase_if(m_acceptedIds, [this](const std::string &Accepted) {
    return m_ledger.find(Accepted) != nullptr;
  });
  if (m_ledger.find(Id) || m_acceptedIds.contains(Id))
    return Done(SubmitOutcome::Accepted);
  Submission Job;
  Job.m_id = Id;
  Job.m_policy = Policy;
  Job.m_acceptedMs = m_host.clock().wallNow().time_since_epoch().count();
  Job.m_spec = Spec;
  write({submissionKey(Id), encode(Job)}, Budget,
        [this, Id, Done = std::move(Done)](LogOutcome Outcome) {
          if (Outcome == LogOutcome::Done) {
            if (!m_ledger.find(Id))
              m_acceptedIds.insert(Id);
            return Done(SubmitOutcome::Accepted);
          }
          Done(Outcome == LogOutcome::Unknown ? SubmitOutcome::Unknown
                                              : SubmitOutcome::NotAccepted);
        });
}

void JobService::cancel(const std::string &Id, Milliseconds Budget,
                        std::function<void(CancelOutcome)> Done) {
  if (const std::optional<JobState> State = stateOf(Id);
      State && isFinal(*State))
    return Done(CancelOutcome::Cancelled);
  write({cancelKey(Id), std::string("1")}, Budget,
        [Done = std::move(Done)](LogOutcome Outcome) {
          if (Outcome == LogOutcome::Done)
            return Done(CancelOutcome::Cancelled);
          Done(Outcome == LogOutcome::Unknown ? CancelOutcome::Unknown
                                              : CancelOutcome::NotCancelled);
        });
}

void JobService::appendForPeer(std::vector<KeyedRecord> Records,
                               Milliseconds Budget,
                               std::function<void(LogOutcome)> Done) {
  struct Pending {
    std::size_t m_left = 0;
    std::size_t m_refused = 0;
    std::size_t m_records = 0;
    bool m_isUnknown = false;
  };
  const auto All = std::make_shared<Pending>();
  All->m_left = All->m_records = Records.size();
  if (Records.empty())
    return Done(LogOutcome::Done);
  for (KeyedRecord &Each : Records)
    write(std::move(Each), Budget, [All, Done](LogOutcome Outcome) {
      All->m_refused += Outcome == LogOutcome::Refused;
      All->m_isUnknown = All->m_isUnknown || Outcome == LogOutcome::Unknown;
      if (--All->m_left > 0)
        return;
      const bool IsInDoubt =
          All->m_isUnknown ||
          (All->m_refused > 0 && All->m_refused < All->m_records);
      Done(IsInDoubt            ? LogOutcome::Unknown
           : All->m_refused > 0 ? LogOutcome::Refused
                                : LogOutcome::Done);
    });
}

std::optional<JobState> JobService::stateOf(const std::string &Id) const {
  if (const LedgerJob *Found = m_ledger.find(Id))
    return Found->state();
  if (m_acceptedIds.contains(Id))
    return JobState::Queued;
  return std::nullopt;
}

} // namespace catkinseam
