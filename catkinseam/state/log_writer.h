// Batches records into log appends (group commit) and reports each record's
// outcome once the replicated state has applied it.
//
//   LogWriter Writer(Clock, BootId, {});
//   Writer.submit(Claim, [](const Outcome<RecordOutcome> &Done) { ... });
//   if (std::optional<std::string> Bytes = Writer.nextAppend()) append(*Bytes);
//   Writer.onApplied(Sequence, Outcomes);
//
// The writer performs no I/O and has no thread. One append is in flight at a
// time; it is retried with the same sequence until it has been applied.
#ifndef CATKINSEAM_STATE_LOG_WRITER_H
#define CATKINSEAM_STATE_LOG_WRITER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/state/replicated_state.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// Called once for each record, on the thread that applies the log; must not
/// block.
using RecordCallback = std::function<void(const Outcome<RecordOutcome> &)>;

/// Thread-safe.
class LogWriter {
public:
  struct Options {
    std::size_t m_maxQueued = 20000;
    std::size_t m_maxRecordsPerBatch = 2000;
    std::size_t m_maxBytesPerBatch = 512 * 1024;
    /// Delay before an append that has not been applied is retried; doubles up
    /// to the maximum. Each delay is shortened by up to half as jitter.
    Duration m_initialRetryDelay = std::chrono::milliseconds(250);
    Duration m_maxRetryDelay = std::chrono::seconds(5);
    /// An append that has not been applied for this long opens the circuit: new
    /// records are rejected at once and not appended.
    Duration m_openCircuitAfter = std::chrono::seconds(1);
  };

  LogWriter(const Clock &Time, std::string BootId, const Options &Limits);

  /// Queues a record. Returns false and never calls `Callback` if the circuit
  /// is open or the queue is full; the record is then never appended.
  bool submit(Record Entry, RecordCallback Callback);

  /// Returns the bytes to append now, or nothing if no record is queued or the
  /// batch in flight is not due for a retry.
  std::optional<std::string> nextAppend();

  /// Reports the outcomes of this writer's batch `Sequence`, one per record.
  void onApplied(std::uint64_t Sequence,
                 const std::vector<RecordOutcome> &Outcomes);

  /// Reports that the replicated state includes this writer's batches up to
  /// `Sequence`. A batch in flight whose outcomes were not reported, because
  /// the state came from a snapshot or a peer, ends with OutcomeUnknown.
  void onOutcomesUnavailable(std::uint64_t Sequence);

  /// Returns whether new records are rejected because the batch in flight is
  /// overdue.
  bool isCircuitOpen() const;

  const std::string &bootId() const { return m_bootId; }
  /// Returns the number of records queued or in flight.
  std::size_t queued() const;

private:
  struct Pending {
    Record m_record;
    RecordCallback m_callback;
  };

  bool isAppendOverdue(TimePoint Now) const;
  void startBatch(TimePoint Now);
  std::vector<Pending> takeInFlight();

  const Clock &m_clock;
  const std::string m_bootId;
  const Options m_options;
  mutable std::mutex m_mutex;
  std::deque<Pending> m_queue;
  /// Records of batch m_sequence; empty if no batch is in flight.
  std::vector<Pending> m_inFlight;
  std::string m_inFlightBytes;
  std::uint64_t m_sequence = 0;
  TimePoint m_batchStartedAt;
  TimePoint m_nextSend;
  Duration m_retryDelay{0};
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_LOG_WRITER_H
