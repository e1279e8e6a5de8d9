// Follows one topic: the newest record of each key first, then all records
// appended later.
//
//   KeyedLogReader Jobs(Host, Log, {.m_topic = LogTopic::Jobs}, Callbacks);
//   Jobs.start();
//
// If the log has deleted the records to be read next, the newest records are
// read again, and records may be delivered a second time.
#ifndef CATKINSEAM_LEDGER_KEYED_LOG_READER_H
#define CATKINSEAM_LEDGER_KEYED_LOG_READER_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

/// Reads a topic and passes its records to callbacks. Not thread-safe.
class KeyedLogReader {
public:
  struct Options {
    LogTopic m_topic = LogTopic::Jobs;
    /// Maximum time that a read waits at the log for a record.
    Milliseconds m_wait{500};
    /// A read times out this long after its wait.
    Milliseconds m_timeoutMargin{900};
    /// Batching window: delay after a read that returned records, so that the
    /// next one returns several.
    Milliseconds m_batchingWindow{15};
    /// Delay after a failed read.
    Milliseconds m_retryDelay{100};
  };

  struct Callbacks {
    std::function<void(const StoredRecord &)> m_onRecord;
    /// Called after each successful read, after its records were delivered.
    std::function<void()> m_onRead;
    /// Called after the newest records have been read, with their keys.
    std::function<void(const std::set<std::string> &)> m_onLoaded;
    /// Called when a read succeeds after failures, before its records are
    /// delivered.
    std::function<void()> m_onRegained = nullptr;
  };

  KeyedLogReader(Runtime &Host, KeyedLog &Log, const Options &Opts,
                 Callbacks Handlers);
  ~KeyedLogReader();

  /// Starts reading, from the newest record of each key.
  void start();

  /// Calls `Done(true)` when all records that were appended before this call
  /// have been delivered. Calls `Done(false)` when the read for them fails, and
  /// immediately while reads fail or the newest records are being loaded. Ends
  /// the batching window; while a read waits at the log, a probe asks for the
  /// end of the topic meanwhile.
  void cover(std::function<void(bool IsCovered)> Done);

  /// Whether the newest record of each key has been delivered since start().
  bool isLoaded() const { return m_isLoaded; }

  /// Whether the newest records are being read, for the first time or again.
  /// Older ones are not delivered then.
  bool isLoading() const { return m_isLoading; }

  /// Whether a read has reached the end of the topic after the first load.
  /// Until then, records of some keys may be missing or outdated.
  bool hasCaughtUp() const { return m_hasCaughtUp; }

  /// When a read last reached the end of the topic; the clock's epoch before
  /// the first.
  TimePoint caughtUpAt() const { return m_caughtUpAt; }

  /// All records that were appended before this time have been delivered; the
  /// clock's epoch before the first read.
  TimePoint coveredUntil() const { return m_coveredUntil; }

  /// Current reply time of the log: the lower of the last two reads, without
  /// the time that a read waited for a record.
  Duration replyLatency() const {
    return std::min(m_latency, m_previousLatency);
  }

  /// Changes how long a read waits for a record, up to Options::m_wait.
  void setWait(Milliseconds Wait) { m_wait = Wait; }

  /// Changes the batching window.
  void setBatchingWindow(Milliseconds Window) { m_batchingWindow = Window; }

private:
  void loadPage(const std::string &AfterKey);
  void onPage(const NewestReply &Page);
  TimePoint replyTime() const;
  void readNext();
  void read(Milliseconds Wait);
  void finishCoverages(bool IsCovered);
  /// Asks for the end of the topic while the read in flight waits at the log.
  void probe();
  void onProbe(std::uint64_t Number, const ReadReply &Reply);
  /// Finishes the coverages whose end, as found by a probe, has been read.
  void finishReachedCoverages();
  void onRead(const ReadReply &Read);
  void scheduleRetry(std::function<void()> Call);
  void reportFailure(const char *Call, LogOutcome Outcome);

  Runtime &m_host;
  KeyedLog &m_log;
  const Options m_options;
  const Callbacks m_callbacks;
  Milliseconds m_wait;
  Milliseconds m_batchingWindow;
  Timer m_timer;
  /// The timer runs because of the batching window.
  bool m_isBatching = false;
  /// The read in flight is one that waits at the log if it finds no record.
  bool m_isWaitingRead = false;
  struct Coverage {
    /// Number of the first read that began after the call.
    std::uint64_t m_firstRead = 0;
    /// Number of the first probe that began after the call.
    std::uint64_t m_firstProbe = 0;
    /// End of the topic as found by that probe, or a later one.
    std::optional<std::int64_t> m_end;
    std::function<void(bool)> m_done;
  };
  std::vector<Coverage> m_coverages;
  /// Number of reads that have begun; at most one is in flight.
  std::uint64_t m_readCount = 0;
  /// Number of probes that have begun; at most one is in flight.
  std::uint64_t m_probeCount = 0;
  bool m_isProbing = false;
  std::set<std::string> m_loadedKeys;
  bool m_isLoaded = false;
  /// The newest records are being read, for the first time or again.
  bool m_isLoading = false;
  bool m_isFirstPage = true;
  bool m_isFailing = false;
  /// The last read ended before the end of the topic.
  bool m_isBehind = false;
  bool m_hasCaughtUp = false;
  std::int64_t m_nextOffset = 0;
  TimePoint m_caughtUpAt;
  /// Reply time of the first page of newest records.
  TimePoint m_firstPageAt;
  TimePoint m_coveredUntil;
  TimePoint m_readStartedAt;
  Duration m_latency{0};
  Duration m_previousLatency{0};
  /// The previous read returned records, so the next one usually finds records
  /// ready and its reply time includes no wait.
  bool m_previousReadHadRecords = false;
  /// Set to false on destruction; late replies check it.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_KEYED_LOG_READER_H
