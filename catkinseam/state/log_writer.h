// Group commit to the log with outcomes read back from the fold.
//
//   LogWriter Writer(Clock, BootId, {});
//   Writer.submit(Claim, [](const Outcome<RecordOutcome> &Done) { ... });
//   if (std::optional<std::string> Bytes = Writer.nextAppend()) append(*Bytes);
//   Writer.onApplied(Sequence, Outcomes);
//
// The writer holds no socket and no thread. One append is in flight at a time;
// it is sent again, with the same sequence, until the fold shows it.
#ifndef CATKINSEAM_STATE_LOG_WRITER_H
#define CATKINSEAM_STATE_LOG_WRITER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/error.h"
#include "catkinseam/state/fold.h"

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
    /// Wait before an append that was not read back is sent again; doubles up
    /// to the maximum, with jitter.
    Duration m_initialRetryDelay = std::chrono::milliseconds(250);
    Duration m_maxRetryDelay = std::chrono::seconds(5);
    /// An append unresolved for this long opens the circuit: new records are
    /// refused at once, as not appended.
    Duration m_openCircuitAfter = std::chrono::seconds(1);
  };

  LogWriter(const Clock &Time, std::string BootId, const Options &Limits);

  /// Queues a record. Returns false, and never calls `Done`, when the circuit
  /// is open or the queue is full: the record did not and will not happen.
  bool submit(Record Entry, RecordCallback Done);

  /// Returns the bytes to append now, or nothing: no record waits, or the
  /// batch in flight was sent recently.
  std::optional<std::string> nextAppend();

  /// Tells what became of this writer's batch `Sequence`.
  void onApplied(std::uint64_t Sequence,
                 const std::vector<RecordOutcome> &Outcomes);

  /// Tells that the fold holds this writer's batches up to `Sequence` without
  /// having shown each one's outcomes (a copy of a peer's state was taken).
  void onOutcomesUnavailable(std::uint64_t Sequence);

  /// Returns whether new records are refused because the log does not take
  /// them.
  bool isCircuitOpen() const;

  const std::string &bootId() const { return m_bootId; }
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
  /// Invariant: the records of batch m_sequence, empty when none is in flight.
  std::vector<Pending> m_inFlight;
  std::string m_inFlightBytes;
  std::uint64_t m_sequence = 0;
  TimePoint m_batchStartedAt;
  TimePoint m_nextSend;
  Duration m_retryDelay{0};
};

} // namespace catkinseam

#endif // CATKINSEAM_STATE_LOG_WRITER_H
