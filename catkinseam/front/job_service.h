// Submits, cancels and looks up jobs for customers, on any node.
//
//   JobService Service(Host, Log, Jobs, {});
//   Service.submit(Policy, Id, Spec, Budget,
//                  [](SubmitOutcome Outcome) { ... });
#ifndef CATKINSEAM_FRONT_JOB_SERVICE_H
#define CATKINSEAM_FRONT_JOB_SERVICE_H

#include "catkinseam/base/error.h"
#include "catkinseam/base/reply_timeout.h"
#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"
#include "catkinseam/ledger/ledger.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace catkinseam {

enum class SubmitOutcome {
  Accepted,    ///< The job is stored and will run.
  NotAccepted, ///< The job is not stored, and this call will not store it.
  Unknown,     ///< The job may be stored, now or later.
};

enum class CancelOutcome {
  Cancelled,    ///< The cancellation is stored; no more tasks start.
  NotCancelled, ///< The cancellation is not stored.
  Unknown,      ///< The cancellation may be stored, now or later.
};

const char *submitOutcomeName(SubmitOutcome Outcome);
const char *cancelOutcomeName(CancelOutcome Outcome);

/// Stores submissions and cancellations in the log. Not thread-safe.
class JobService {
public:
  struct Options {
    /// Delay before an in-doubt record is appended again. A record is in doubt
    /// once an append of it was sent and not answered.
    Milliseconds m_appendRetryDelay{50};
    /// Retries of an in-doubt record end after this time, so that the caller
    /// can turn to a node that reaches the log.
    Milliseconds m_inDoubtTimeout{900};
    /// New requests are refused while an append is unanswered for longer than
    /// three times the usual reply time plus this.
    Milliseconds m_unresponsiveMargin{400};
    /// How long the reply time of an append is expected of the next one.
    Milliseconds m_replyTimeMemory{1500};
    /// Interval of empty appends that probe an unresponsive log.
    Milliseconds m_probeInterval{200};
    /// Maximum number of records in one append.
    std::size_t m_maxBatchRecords = 64;
    /// Limits of the log.
    AppendLimits m_appendLimits;
    /// Part of the caller's time budget reserved for delivering the response.
    Milliseconds m_responseMargin{100};
  };

  JobService(Runtime &Host, KeyedLog &Log, const Ledger &Jobs,
             const Options &Opts);
  ~JobService();

  /// Checks that the records of a job fit into the log. Error Invalid names the
  /// field that is too large, its size and the limit.
  Result<void> checkSize(const JobSpec &Spec) const;

  /// Stores a job that passes checkSize(). Repeating a submission under the
  /// same id has no effect. `Budget` is how long the caller waits.
  void submit(const QueuePolicy &Policy, const std::string &Id,
              const JobSpec &Spec, Milliseconds Budget,
              std::function<void(SubmitOutcome)> Done);

  /// Cancels a job that exists. `Budget` is how long the caller waits.
  void cancel(const std::string &Id, Milliseconds Budget,
              std::function<void(CancelOutcome)> Done);

  /// Appends records that another node has relayed. `Budget` is how long that
  /// node waits. `Done` receives Done, Refused if no record was stored, or
  /// Unknown.
  void appendForPeer(std::vector<KeyedRecord> Records, Milliseconds Budget,
                     std::function<void(LogOutcome)> Done);

  /// The state of a job, or none if this node knows no such job.
  std::optional<JobState> stateOf(const std::string &Id) const;

  /// Number of queued jobs of a queue.
  std::size_t pendingIn(const std::string &Queue) const {
    return m_ledger.pendingIn(Queue);
  }

private:
  struct Write;
  using WriteDone = std::function<void(LogOutcome)>;

  /// Appends a record, with retries, until its outcome is known or its time is
  /// up. Only one append is in flight at a time, and later records are batched
  /// into the next, because the log processes appends sequentially. Refuses a
  /// record at once that is not expected to be stored in time.
  void write(KeyedRecord Record, Milliseconds Budget, WriteDone Done);
  /// Expected time until a record that arrives now is stored.
  Duration expectedWriteTime() const;
  /// Answers a caller whose time is up: Unknown if the record was sent, else
  /// Refused.
  void onDeadline(const std::shared_ptr<Write> &Expired);
  void sendBatch();
  bool isLogUnresponsive() const;
  void refuseUnsent();
  /// Probes an unresponsive log with empty appends until it answers, so that no
  /// caller's record is put in doubt by it.
  void probeLog();
  /// Reply timeout of the next append.
  Milliseconds
  appendTimeoutFor(const std::vector<std::shared_ptr<Write>> &Batch) const;
  TimePoint retryDeadline(const Write &Pending) const;
  void recordAppendOutcome(LogOutcome Outcome);
  void onBatchReply(const std::vector<std::shared_ptr<Write>> &Batch,
                    LogOutcome Outcome);
  void completeOrRetry(const std::shared_ptr<Write> &Pending,
                       LogOutcome Outcome);

  Runtime &m_host;
  KeyedLog &m_log;
  const Ledger &m_ledger;
  const Options m_options;
  /// Jobs accepted here whose records may not have been read back yet. Those
  /// that were are removed by the next submit().
  std::unordered_set<std::string> m_acceptedIds;
  std::deque<std::shared_ptr<Write>> m_queue;
  bool m_isAppending = false;
  bool m_lastAppendTimedOut = false;
  Timer m_probeTimer;
  TimePoint m_appendStartedAt;
  TimePoint m_lastReplyAt;
  ReplyTimeout m_appendTimeout{{}};
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_JOB_SERVICE_H
