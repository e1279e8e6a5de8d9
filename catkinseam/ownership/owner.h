// The owner role of a node: sends status polls to all workers, stores the
// scheduler's decisions in the log, and sends orders to the workers.
//
//   Owner::Options Values;
//   Values.m_epoch = 7;
//   Owner Elected(Host, Log, Jobs, Requests, MakeLink, ParseRegistration,
//                 Values, IsCurrent, CoveredUntil, OnOwnershipLost);
//   Elected.start();
//
// Every node follows the jobs topic, so the owner announces only states there;
// the progress of the tasks has a topic that only the next owner reads.
//
// The owner's epoch is both the fencing token at the workers and the producer
// epoch at the log. An owner that cannot append to the log stops sending orders
// after a timeout, because another node may have taken over in the meantime.
#ifndef CATKINSEAM_OWNERSHIP_OWNER_H
#define CATKINSEAM_OWNERSHIP_OWNER_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/fenced_appender.h"
#include "catkinseam/ledger/keyed_log_reader.h"
#include "catkinseam/ledger/ledger.h"
#include "catkinseam/ownership/evacuations.h"
#include "catkinseam/ownership/learned_model_store.h"
#include "catkinseam/ownership/loop_lag.h"
#include "catkinseam/scheduler/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinseam {

/// Not thread-safe.
class Owner final : public LedgerObserver {
public:
  struct Options {
    std::uint64_t m_epoch = 0;
    std::string m_node;
    std::string m_bootId;
    /// Address for other nodes, as HOST:PORT; empty if there is none.
    std::string m_peer;
    /// Share of one processor available to this node.
    double m_processorShare = 1.0;
    Milliseconds m_progressPageTimeout{1500};
    /// Delay before a page of the stored progress is read again.
    Milliseconds m_progressRetryDelay{100};
    /// Job states are announced to the other nodes at most this often.
    Milliseconds m_announcementWindow{20};
    /// Interval of heartbeat records while there is nothing else to announce.
    Milliseconds m_heartbeatInterval{200};
    /// The owner sends no orders once its last durable append is older than
    /// this.
    Milliseconds m_authorityTimeout{4500};
    /// The log is reported as unreachable while an append takes longer.
    Milliseconds m_slowAppendThreshold{400};
    /// Start decisions that took longer than this to store are discarded and
    /// made again.
    Milliseconds m_maxStartAge{1500};
    /// No run is started once the registry of workers was last read to its end
    /// longer ago than this.
    Milliseconds m_maxRegistryAge{3000};
    /// Interval of the `owner.summary` log event.
    Milliseconds m_summaryInterval{1000};
    /// Limits of the log.
    AppendLimits m_appendLimits;
    /// Events within this time are handled by one scheduling cycle.
    Milliseconds m_batchingWindow{3};
    /// Delay before a failed status poll is repeated.
    Milliseconds m_pollRetryDelay{150};
    /// Delay before the next status poll of a worker whose ended runs are not
    /// stored yet.
    Milliseconds m_unstoredEndPollDelay{300};
    /// Its epoch is ignored, and leases are announced; the owner sets both.
    Scheduler::Options m_scheduler;
    /// By when the leases of earlier owners are over, if that is known.
    std::optional<EarlierLeases> m_earlierLeases;
  };

  /// Creates the link to one incarnation of a worker.
  using WorkerLinkFactory =
      std::function<std::unique_ptr<WorkerLink>(const WorkerRegistration &)>;
  /// Parses a worker's record in the registry.
  using WorkerRegistrationParser = std::function<Result<WorkerRegistration>(
      const std::string &Id, const std::string &Value)>;

  /// `IsCurrent` returns whether the ledger is up to date with the log; no run
  /// is started while it is not.
  /// `CoveredUntil` returns the time before which all records of the jobs topic
  /// are in the ledger.
  /// `OnOwnershipLost` is called once, when the log or a worker rejects this
  /// owner's epoch, or the log rejects an append of the owner as invalid or out
  /// of order. The owner must then be destroyed, but not from within the call.
  Owner(Runtime &Host, KeyedLog &Log, Ledger &Jobs,
        const Evacuations &EvacuationRequests, WorkerLinkFactory MakeLink,
        WorkerRegistrationParser ParseRegistration, const Options &Values,
        std::function<bool()> IsCurrent,
        std::function<TimePoint()> CoveredUntil,
        std::function<void()> OnOwnershipLost);
  ~Owner() override;

  void start();

  /// Hands over ownership: calls `Done` once a record that announces the
  /// departure is durable. It names `Successor`, if there is one.
  void leave(const std::optional<HandoverRecord> &Successor,
             std::function<void()> Done);

  /// Reports that the ledger was read on.
  void onLedgerRead() { takeOverJobs(); }

  bool isLeaving() const { return m_isLeaving; }

  /// Whether this owner schedules.
  bool hasTakenOver() const { return m_hasTakenOver; }

  /// Repeats an append that is waiting for its reply, after the log has been
  /// found to answer again.
  void onLogRegained();

  void onSubmitted(const LedgerJob &Job) override;
  void onCancelled(const LedgerJob &Job) override;

  const Scheduler &scheduler() const { return m_scheduler; }

private:
  struct WorkerConnection {
    std::unique_ptr<WorkerLink> m_link;
    Endpoint m_address;
    std::unique_ptr<Timer> m_timer;
    bool m_isPolling = false;
    /// The last status poll listed ended runs that are not stored yet.
    bool m_hasUnstoredEnds = false;
  };

  void onWorkerRecord(const StoredRecord &Record);
  void onWorkersLoaded(const std::set<std::string> &Ids);
  void takeOverJobs();
  void addJob(const LedgerJob &Job);
  void connectWorker(const WorkerRegistration &Registration);

  void requestCycle();
  void runCycle();
  void sendControls();

  // The progress topic: decisions, before they take effect.
  void loadProgress(const std::string &AfterKey);
  void onProgressPage(const NewestReply &Page);
  void store(Decisions Next);
  void onStored();
  void sendStarts(const std::vector<StartOrder> &Starts);
  std::optional<RecordGroup> onProgressInvalid(const RecordGroup &Rejected);

  // The jobs topic: what the other nodes have to know.
  void announceState(const std::string &Job, JobState State);
  void announce();
  void onAnnounced();

  void scheduleHeartbeat();
  void logSummary();
  void logEvacuations() const;
  OwnerRecord ownRecord(bool IsLeaving) const;
  bool needsLeaseRecord() const;
  bool isLeaseRecordDue() const;
  void requestAnnouncement();

  void pollWorker(const std::string &Id);
  void schedulePoll(const std::string &Id, Duration Delay);
  void onPollReply(const PollOrder &Order, TimePoint SentAt,
                   const PollReply &Reply);
  WorkerConnection *findConnection(const std::string &Id);
  bool hasAuthority() const;
  bool isRegistryCurrent() const;
  /// Passes the scheduler what the operator and the workers have announced.
  void updatePlacementInputs();
  /// Whether a later owner has reached the worker. An order that its next
  /// incarnation rejects for an outdated token of this owner does not tell.
  bool isFenced(const std::string &Worker, std::uint64_t Token,
                OrderOutcome Outcome) const;
  void onFenced(const std::string &Worker);
  void stepDown(const char *Reason);

  Runtime &m_host;
  KeyedLog &m_log;
  Ledger &m_jobs;
  const Evacuations &m_evacuations;
  const WorkerLinkFactory m_makeLink;
  const WorkerRegistrationParser m_parseRegistration;
  const Options m_options;
  const std::function<bool()> m_isCurrent;
  const std::function<TimePoint()> m_coveredUntil;
  const std::function<void()> m_onOwnershipLost;
  Scheduler m_scheduler;
  KeyedLogReader m_workerReader;
  std::map<std::string, WorkerConnection> m_connections;
  Timer m_cycleTimer;
  Timer m_heartbeatTimer;
  Timer m_progressTimer;
  Timer m_announcementTimer;
  Timer m_wakeTimer;
  Timer m_summaryTimer;
  LearnedModelStore m_learnedModels;

  bool m_hasLoadedWorkers = false;
  /// The model of an earlier owner was read, or could not be read in time.
  bool m_isLearnedModelRead = false;
  bool m_hasTakenOver = false;
  bool m_hasSteppedDown = false;
  bool m_isLeaving = false;
  std::function<void()> m_onLeft;
  std::optional<HandoverRecord> m_successor;
  LoopLag m_lag;
  /// The announcement in progress says that this owner is leaving.
  bool m_announcesLeaving = false;
  /// It contains a record of the leases.
  bool m_announcesLeases = false;
  TimePoint m_lastLeaseRecord;
  Decisions m_pendingDecisions;
  /// The progress of all jobs as stored by earlier owners, until it is taken
  /// over.
  std::unordered_map<std::string, std::string> m_storedProgress;
  bool m_isProgressLoaded = false;
  /// Jobs whose records in the progress topic are to be deleted, since the jobs
  /// topic no longer has them.
  std::vector<std::string> m_forgottenJobs;
  /// States that the jobs topic shows, and those that it does not show yet.
  std::unordered_map<std::string, JobState> m_announcedStates;
  std::map<std::string, JobState> m_statesToAnnounce;
  /// Jobs to be deleted from the jobs topic, and those being deleted.
  std::vector<std::string> m_expiredJobs;
  std::vector<std::string> m_jobsBeingDeleted;
  FencedAppender m_progressAppender;
  FencedAppender m_announcer;
  /// Whether the log rejects appends of earlier owners to the progress topic.
  bool m_hasFencedProgress = false;
  TimePoint m_progressFencedAt;
  TimePoint m_lastAnnouncement;
  TimePoint m_lastDurableAppend;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_OWNER_H
