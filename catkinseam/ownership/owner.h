// The owner's work: holds all workers, stores what the scheduler decides, and
// sends its orders.
//
//   Owner Mine(Host, Log, Jobs, Links, {.m_epoch = 7, ...}, OnDeposed);
//   Mine.start();
//
// Its epoch is the fencing token at the workers and the producer's epoch at
// the log. It falls silent on its own when it has stored nothing for a while,
// since another entry may have taken over that it cannot hear of.
#ifndef CATKINSEAM_OWNERSHIP_OWNER_H
#define CATKINSEAM_OWNERSHIP_OWNER_H

#include "catkinseam/base/reply_timeout.h"
#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_tail.h"
#include "catkinseam/ledger/ledger.h"
#include "catkinseam/scheduler/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace catkinseam {

/// The producer under which owners append.
extern const char *const OwnerProducer;

/// Not thread-safe.
class Owner final : public LedgerObserver {
public:
  struct Options {
    std::uint64_t m_epoch = 0;
    std::string m_entry;
    std::string m_boot;
    /// The part of a processor that this entry has.
    double m_strength = 1.0;
    Milliseconds m_appendRetry{50};
    /// With nothing to store, the owner says this often that it is there.
    Milliseconds m_heartbeat{200};
    /// Without a durable append for so long, no order leaves any more.
    Milliseconds m_authority{4500};
    /// The store counts as out of reach when an append takes longer.
    Milliseconds m_storeSlow{400};
    /// Starts decided longer ago than this are decided anew.
    Milliseconds m_startAge{1500};
    /// The owner logs how things stand this often.
    Milliseconds m_summary{1000};
    /// What has been learned is stored for a successor this often.
    Milliseconds m_knowledge{4000};
    /// Gathers what happens within this time into one decision.
    Milliseconds m_gather{3};
    /// A look that failed is repeated after this time.
    Milliseconds m_lookRetry{150};
    /// Ends that cannot be stored yet: the next look comes after this time.
    Milliseconds m_unstoredLookPause{300};
    Scheduler::Options m_scheduler;
  };

  /// Makes the link to one life of a worker.
  using LinkMaker =
      std::function<std::unique_ptr<WorkerLink>(const WorkerReport &)>;
  /// Reads a worker's entry in the registry.
  using EntryReader = std::function<Result<WorkerReport>(
      const std::string &Id, const std::string &Value)>;

  /// `IsCurrent` tells whether the ledger holds what was stored a moment ago;
  /// nothing is started on older knowledge.
  /// `OnDeposed` is called once when another owner has been met; the owner is
  /// to be destroyed then, though not from within the call.
  Owner(Runtime &Host, KeyedLog &Log, Ledger &Jobs, LinkMaker Links,
        EntryReader Entries, const Options &Values,
        std::function<bool()> IsCurrent, std::function<void()> OnDeposed);
  ~Owner() override;

  void start();

  /// Hands over: stores that it is leaving, then calls back.
  void leave(std::function<void()> Done);

  void onSubmitted(const LedgerJob &Job) override;
  void onCancelled(const LedgerJob &Job) override;

  const Scheduler &scheduler() const { return m_scheduler; }

private:
  struct Contact {
    std::unique_ptr<WorkerLink> m_link;
    std::int64_t m_bornMs = 0;
    Endpoint m_address;
    std::unique_ptr<Timer> m_timer;
    bool m_isLooking = false;
    /// Waits for its ends to be stored.
    bool m_awaitsStoring = false;
  };

  void onWorkerRecord(const StoredRecord &Record);
  void onWorkersLoaded(const std::set<std::string> &Ids);
  void takeOverJobs();
  void addJob(const LedgerJob &Job);
  void meet(const WorkerReport &Report);

  void pumpSoon();
  void pump();
  void sendControls();
  void store(Decisions Next);
  void sendAppend();
  void onAppend(const AppendReply &Reply);
  void finishAppend();
  void beat();
  void logSummary();
  OwnerRecord ownRecord(bool IsLeaving) const;

  void look(const std::string &Id);
  void lookLater(const std::string &Id, Duration Delay);
  void onLook(const HoldOrder &Order, TimePoint SentAt, const HoldReply &Reply);
  Contact *contactOf(const std::string &Id);
  bool hasAuthority() const;
  void meetFence(const std::string &Worker);
  void depose(const char *Reason);

  Runtime &m_host;
  KeyedLog &m_log;
  Ledger &m_jobs;
  const LinkMaker m_links;
  const EntryReader m_entries;
  const Options m_options;
  const std::function<bool()> m_isCurrent;
  const std::function<void()> m_onDeposed;
  Scheduler m_scheduler;
  KeyedTail m_workers;
  std::map<std::string, Contact> m_contacts;
  Timer m_pumpTimer;
  Timer m_beatTimer;
  Timer m_appendTimer;
  Timer m_wakeTimer;
  Timer m_summaryTimer;

  bool m_hasJobs = false;
  bool m_isDeposed = false;
  bool m_isLeaving = false;
  std::function<void()> m_onLeft;
  /// The append under way says that this owner leaves.
  bool m_carriesLeaving = false;
  /// The append under way; its records and mark stay the same until it is
  /// known to be durable.
  bool m_isAppending = false;
  std::vector<KeyedRecord> m_records;
  Decisions m_stored;
  std::uint64_t m_sequence = 0;
  TimePoint m_appendStarted;
  TimePoint m_attemptStarted;
  ReplyTimeout m_patience{{}};
  TimePoint m_lastDurable;
  TimePoint m_knowledgeStored;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_OWNER_H
