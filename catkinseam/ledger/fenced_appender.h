// Appends records to one topic on behalf of an owner: in order, each exactly
// once, and none after a later owner has appended.
//
//   FencedAppender Progress(Host, Log, {.m_topic = LogTopic::Progress,
//                                       .m_epoch = 7}, Handlers);
//   Progress.append({{Id, {{progressKey(Id), Value}}}});
//
// One append is in flight at a time. It is repeated under the same append id
// until it is known to be durable, which the log recognizes.
#ifndef CATKINSEAM_LEDGER_FENCED_APPENDER_H
#define CATKINSEAM_LEDGER_FENCED_APPENDER_H

#include "catkinseam/base/reply_timeout.h"
#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/append_queue.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace catkinseam {

/// Producer ID with which every owner appends to the log.
extern const char *const OwnerProducer;

/// Not thread-safe.
class FencedAppender {
public:
  struct Options {
    LogTopic m_topic = LogTopic::Jobs;
    /// Epoch of the owner; the log rejects appends of lower epochs.
    std::uint64_t m_epoch = 0;
    /// The epoch's appends that the owner has made by other means.
    std::uint64_t m_earlierAppends = 0;
    /// Delay before an append that is not known to be durable is repeated.
    Milliseconds m_retryDelay{50};
    AppendLimits m_limits;
  };

  struct Callbacks {
    /// All groups of the last append() are durable.
    std::function<void()> m_onDurable;
    /// The log rejected the epoch, or a record that has no replacement. Nothing
    /// more is appended. `Reason` is for the log.
    std::function<void(const char *Reason)> m_onRejected;
    /// Returns the records to append instead of a group that the log rejects as
    /// invalid, or none if it must not be left out. Groups within the limits
    /// are repeated first.
    std::function<std::optional<RecordGroup>(const RecordGroup &)> m_onInvalid;
    /// An attempt was refused, rejected or not answered, and will be repeated.
    std::function<void()> m_onRepeat;
  };

  FencedAppender(Runtime &Host, KeyedLog &Log, const Options &Values,
                 Callbacks Handlers);
  ~FencedAppender();

  /// Appends groups in as few appends as the limits allow. Must not be called
  /// while isBusy().
  void append(std::vector<RecordGroup> Groups);

  bool isBusy() const { return m_isBusy; }

  /// When append() was last called.
  TimePoint startedAt() const { return m_startedAt; }

  /// Repeats an attempt that waits for its reply, because the log was found to
  /// answer again after an outage.
  void onLogRegained();

  /// Ends all attempts. An attempt in flight may still be carried out.
  void stop();

private:
  void send();
  void onReply(const AppendReply &Reply);
  void repeat(const AppendReply &Reply);
  void onInvalid(const AppendReply &Reply);
  void reject(const char *Reason);

  Runtime &m_host;
  KeyedLog &m_log;
  const Options m_options;
  const Callbacks m_callbacks;
  Timer m_retryTimer;
  /// The current groups and m_sequence stay unchanged until the append is known
  /// to be durable or rejected.
  AppendQueue m_queue;
  std::uint64_t m_sequence;
  /// Number of attempts; replies to earlier ones are ignored.
  std::uint64_t m_attempt = 0;
  /// Attempts in a row that the log has rejected as invalid and that were
  /// repeated unchanged.
  std::uint32_t m_rejections = 0;
  bool m_isBusy = false;
  bool m_isStopped = false;
  TimePoint m_startedAt;
  TimePoint m_attemptStartedAt;
  ReplyTimeout m_timeout{{}};
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_FENCED_APPENDER_H
