// The log that the ledger and its readers need: records by key, offsets,
// appends that a producer's later epoch fences off.
//
// Every answer comes through the call back, once, never from within the call.
#ifndef CATKINSEAM_LEDGER_KEYED_LOG_H
#define CATKINSEAM_LEDGER_KEYED_LOG_H

#include "catkinseam/base/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// The topics in use; each has one partition.
enum class LogTopic { Jobs, Operator, Workers, Status };

const char *logTopicName(LogTopic Topic);

/// A record with a key. No value: the key was dropped.
struct KeyedRecord {
  std::string m_key;
  std::optional<std::string> m_value;
};

struct StoredRecord {
  std::int64_t m_offset = 0;
  KeyedRecord m_record;
};

/// Names one append, so that repeating it has no further effect and a lower
/// epoch is refused.
struct ProducerMark {
  std::string m_producer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

enum class LogOutcome {
  Done,
  Refused,     ///< Nothing was done; may be tried again.
  Fenced,      ///< A higher epoch has been seen.
  OutOfOrder,  ///< The sequence number does not follow the last one.
  Invalid,     ///< Over a limit of the log, or unreadable to it.
  Unknown,     ///< May have been done, or may be yet.
  HistoryGone, ///< The records asked for have been deleted.
};

const char *logOutcomeName(LogOutcome Outcome);

struct AppendReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::int64_t m_offset = 0;
};

struct ReadReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::vector<StoredRecord> m_records;
  /// One past the last record that this reply covers.
  std::int64_t m_next = 0;
  /// One past the last record of the topic.
  std::int64_t m_end = 0;
};

struct NewestReply {
  LogOutcome m_outcome = LogOutcome::Unknown;
  std::vector<StoredRecord> m_records;
  bool m_hasMore = false;
  std::int64_t m_end = 0;
};

class KeyedLog {
public:
  virtual ~KeyedLog() = default;

  /// Appends all records or none, in one call.
  virtual void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                      const std::optional<ProducerMark> &Mark,
                      Milliseconds Timeout,
                      std::function<void(const AppendReply &)> Done) = 0;

  /// Reads from an offset on; waits up to `Wait` for a first record.
  virtual void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
                    Milliseconds Timeout,
                    std::function<void(const ReadReply &)> Done) = 0;

  /// Reads a page of the newest record of each key, in the order of keys.
  /// Pages are not a snapshot: records written meanwhile may be in or not.
  virtual void newest(LogTopic Topic, const std::string &AfterKey,
                      Milliseconds Timeout,
                      std::function<void(const NewestReply &)> Done) = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_LEDGER_KEYED_LOG_H
