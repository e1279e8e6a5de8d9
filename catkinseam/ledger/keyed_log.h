// Interface of a keyed log: records by key, offsets, and appends that a higher
// epoch of the same producer fences off.
//
// Each callback is invoked exactly once, never from within the call itself.
#ifndef CATKINSEAM_LEDGER_KEYED_LOG_H
#define CATKINSEAM_LEDGER_KEYED_LOG_H

#include "catkinseam/base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// The topics in use. Each has one partition.
enum class LogTopic {
  Jobs,     ///< What every node follows: submissions, states, the owner.
  Progress, ///< The tasks of each job; read only by a new owner.
  Learned,  ///< The interference model; read only by a new owner.
  Operator,
  Workers,
  Status
};

const char *logTopicName(LogTopic Topic);

/// A record with a key. A record without a value deletes its key.
struct KeyedRecord {
  std::string m_key;
  std::optional<std::string> m_value;
};

/// A record and its offset in the topic.
struct StoredRecord {
  std::int64_t m_offset = 0;
  KeyedRecord m_record;
};

/// Limits of the log on the records of one append.
struct AppendLimits {
  /// Maximum of appendBytes() for one record, and for all records of an append.
  std::size_t m_maxRecordBytes = 262144;
  std::size_t m_maxTotalBytes = 2097152;
};

/// Number of bytes by which a record counts towards AppendLimits.
std::size_t appendBytes(const KeyedRecord &Record);

/// Identifies one append, so that repeating it has no further effect and
/// appends of a lower epoch are rejected.
struct AppendId {
  std::string m_producer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

enum class LogOutcome {
  Done,
  Refused,        ///< Not executed; may be retried.
  Fenced,         ///< The log has seen a higher epoch of this producer.
  OutOfOrder,     ///< The sequence number does not follow the last one.
  Invalid,        ///< Exceeds a limit of the log, or is malformed.
  Unknown,        ///< May have been executed, or may be later.
  HistoryDeleted, ///< The requested records have been deleted.
};

const char *logOutcomeName(LogOutcome Outcome);

struct AppendReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::int64_t m_offset = 0;
  /// If the outcome is Invalid: status code and start of the log's reply, for
  /// the log of this process.
  int m_status = 0;
  std::string m_reply{};
};

struct ReadReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::vector<StoredRecord> m_records;
  /// One past the offset of the last record that this reply covers.
  std::int64_t m_nextOffset = 0;
  /// One past the offset of the last record of the topic.
  std::int64_t m_endOffset = 0;
};

struct NewestReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::vector<StoredRecord> m_records;
  /// Further pages follow.
  bool m_hasMore = false;
  /// One past the offset of the last record of the topic.
  std::int64_t m_endOffset = 0;
};

class KeyedLog {
public:
  virtual ~KeyedLog() = default;

  /// Appends all records atomically. With `Id`, the append is idempotent and
  /// fenced by epoch.
  virtual void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                      const std::optional<AppendId> &Id, Milliseconds Timeout,
                      std::function<void(const AppendReply &)> Done) = 0;

  /// Reads records from offset `From` on; waits up to `Wait` for the first.
  virtual void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
                    Milliseconds Timeout,
                    std::function<void(const ReadReply &)> Done) = 0;

  /// Reads one page of the newest records of all keys after `AfterKey`, in key
  /// order. The pages are no snapshot: concurrent appends may or may not be
  /// included.
  virtual void newest(LogTopic Topic, const std::string &AfterKey,
                      Milliseconds Timeout,
                      std::function<void(const NewestReply &)> Done) = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_KEYED_LOG_H
