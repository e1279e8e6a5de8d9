// What customers ask of any node: submit, cancel and look up jobs.
//
//   Front Desk(Host, Log, Jobs, {});
//   Desk.submit(Terms, Id, Spec, Budget, [](SubmitOutcome Outcome) { ... });
#ifndef CATKINSEAM_FRONT_FRONT_H
#define CATKINSEAM_FRONT_FRONT_H

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
  Accepted,    ///< Stored; it will run.
  NotAccepted, ///< Nothing has been stored, or ever will be by this call.
  Unknown,     ///< May have been stored, or may be yet.
};

enum class CancelOutcome {
  Cancelled, ///< Stored; nothing of it is started any more.
  NoSuchJob,
  NotCancelled, ///< Nothing has been stored.
  Unknown,      ///< May have been stored, or may be yet.
};

const char *submitOutcomeName(SubmitOutcome Outcome);
const char *cancelOutcomeName(CancelOutcome Outcome);

/// Not thread-safe.
class Front {
public:
  struct Options {
    Milliseconds m_appendRetryDelay{50};
    /// A record in doubt is given up after this time; the caller may then find
    /// a node that reaches the log.
    Milliseconds m_inDoubtTimeout{900};
    /// While an append has been unanswered for longer than this beyond the
    /// usual, nothing more is taken in.
    Milliseconds m_unresponsiveMargin{400};
    /// While the log is silent, an append of nothing asks for it this often.
    Milliseconds m_probeInterval{200};
    /// Most records of one append.
    std::size_t m_maxBatchRecords = 64;
    /// Kept of the caller's time for the answer to travel.
    Milliseconds m_responseMargin{100};
    /// How long the records of other nodes may take to be read here.
    Milliseconds m_visibilityDelay{250};
  };

  Front(Runtime &Host, KeyedLog &Log, const Ledger &Jobs,
        const Options &Values);
  ~Front();

  /// `Budget`: how long the caller waits.
  void submit(const QueueTerms &Terms, const std::string &Id,
              const JobSpec &Spec, Milliseconds Budget,
              std::function<void(SubmitOutcome)> Done);

  void cancel(const std::string &Id, Milliseconds Budget,
              std::function<void(CancelOutcome)> Done);

  /// None when no such job is known here.
  std::optional<JobState> stateOf(const std::string &Id) const;

  std::size_t pendingIn(const std::string &Queue) const {
    return m_ledger.pendingIn(Queue);
  }

private:
  struct Write;
  using WriteDone = std::function<void(LogOutcome)>;

  /// Appends until it is known to be done, known not to be, or out of time.
  /// One append is under way at a time; what comes meanwhile goes together
  /// into the next, since the log takes its appends one by one.
  void write(KeyedRecord Record, Milliseconds Budget, WriteDone Done);
  void sendBatch();
  bool isLogUnresponsive() const;
  void refuseUnsent();
  /// Asks a silent log until it answers, so that no caller's record has to.
  void probeLog();
  /// How long the next append may wait for its answer.
  Milliseconds
  appendTimeoutFor(const std::vector<std::shared_ptr<Write>> &Batch) const;
  TimePoint retryDeadline(const Write &Pending) const;
  void recordAppendOutcome(LogOutcome Outcome);
  void onBatchReply(const std::vector<std::shared_ptr<Write>> &Batch,
                    LogOutcome Outcome);
  void completeOrRetry(const std::shared_ptr<Write> &Pending,
                       LogOutcome Outcome);
  void storeCancel(const std::string &Id, Milliseconds Budget,
                   std::function<void(CancelOutcome)> Done);

  Runtime &m_host;
  KeyedLog &m_log;
  const Ledger &m_ledger;
  const Options m_options;
  /// Accepted here and perhaps not yet read back.
  std::unordered_set<std::string> m_acceptedIds;
  std::deque<std::shared_ptr<Write>> m_queue;
  bool m_isAppending = false;
  /// The last append was not answered.
  bool m_lastAppendTimedOut = false;
  Timer m_probeTimer;
  /// Records in doubt that are being tried again.
  std::size_t m_inDoubtRetries = 0;
  TimePoint m_appendStartedAt;
  ReplyTimeout m_appendTimeout{{}};
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_FRONT_H
