// Follows one topic: the newest record of each key first, then all that come.
//
//   KeyedTail Jobs(Host, Log, {.m_topic = LogTopic::Jobs}, Callbacks);
//   Jobs.start();
//
// When the log has dropped what was to be read next, the newest records are
// read again; records may then come that were seen before.
#ifndef CATKINSEAM_LEDGER_KEYED_TAIL_H
#define CATKINSEAM_LEDGER_KEYED_TAIL_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace catkinseam {

/// Not thread-safe.
class KeyedTail {
public:
  struct Options {
    LogTopic m_topic = LogTopic::Jobs;
    /// How long a read may wait for a record.
    Milliseconds m_wait{500};
    /// Allowed to a read beyond its wait.
    Milliseconds m_timeoutMargin{900};
    /// Pause after a read that brought records, so that more come at once.
    Milliseconds m_gather{15};
    /// Pause after a failed read.
    Milliseconds m_retryDelay{100};
  };

  struct Callbacks {
    std::function<void(const StoredRecord &)> m_onRecord;
    /// After each read that was answered, when its records have been handed on.
    std::function<void()> m_onRead;
    /// After the newest records have been read: the keys that there are.
    std::function<void(const std::set<std::string> &)> m_onLoaded;
  };

  KeyedTail(Runtime &Host, KeyedLog &Log, const Options &Values,
            Callbacks Calls);
  ~KeyedTail();

  void start();

  /// All records that stood at some moment since start() have been handed on.
  bool isLoaded() const { return m_isLoaded; }

  /// When a read last reached the end of the topic; the epoch before the first.
  TimePoint lastRead() const { return m_caughtUpAt; }

  /// What the log takes to answer at present, by the quicker of the last two
  /// reads; reads that waited for a record count without their wait.
  Duration latency() const { return std::min(m_latency, m_previousLatency); }

  /// Changes the pause after a read that brought records.
  void setGather(Milliseconds Pause) { m_batchDelay = Pause; }

private:
  void loadPage(const std::string &AfterKey);
  void onPage(const NewestReply &Page);
  TimePoint replyTime() const;
  void readNext();
  void onRead(const ReadReply &Read);
  void scheduleRetry(std::function<void()> Call);
  void reportFailure(const char *Call, LogOutcome Outcome);

  Runtime &m_host;
  KeyedLog &m_log;
  const Options m_options;
  const Callbacks m_callbacks;
  Milliseconds m_batchDelay;
  Timer m_timer;
  std::set<std::string> m_loadedKeys;
  bool m_isLoaded = false;
  bool m_isFirstPage = true;
  bool m_isFailing = false;
  /// The last read stopped short of the topic's end.
  bool m_isBehind = false;
  std::int64_t m_nextOffset = 0;
  TimePoint m_caughtUpAt;
  TimePoint m_readStartedAt;
  Duration m_latency{0};
  Duration m_previousLatency{0};
  /// The read before brought records, so that more stood ready after a pause.
  bool m_previousReadHadRecords = false;
  /// Lets late answers see that the tail is gone.
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_KEYED_TAIL_H
