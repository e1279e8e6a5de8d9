// Builds replicated state record by record for tests.
//
//   StateBuilder Builder;
//   Builder.addWorker("w1", 4000, 1000);
//   BOOST_TEST(Builder.claim("j", 0, 1, "w1"));
#ifndef CATKINSEAM_STATE_TESTING_STATE_BUILDER_H
#define CATKINSEAM_STATE_TESTING_STATE_BUILDER_H

#include "catkinseam/base/codec.h"
#include "catkinseam/state/replicated_state.h"

#include <string>
#include <vector>

namespace catkinseam::testing {

class StateBuilder {
public:
  static constexpr std::int64_t MemoryMb = 1000000;

  const ReplicatedState &state() const { return m_state; }
  std::int64_t nowMs() const { return m_nowMs; }
  void advanceMs(std::int64_t Step) { m_nowMs += Step; }
  const std::string &lastRejectionReason() const { return m_lastReason; }

  BatchOutcome applyBatch(const RecordBatch &Batch) {
    m_log.push_back(Batch);
    return m_state.apply(m_log.size() - 1, Batch);
  }

  /// Applies one record and returns whether it was accepted.
  bool apply(Record Entry) {
    RecordBatch Batch;
    Batch.m_writer = "builder";
    Batch.m_sequence = ++m_sequence;
    Batch.m_wallMs = m_nowMs;
    Batch.m_records.push_back(std::move(Entry));
    const BatchOutcome Result = applyBatch(Batch);
    m_lastReason = Result.m_outcomes.front().m_reason;
    return Result.m_outcomes.front().m_isAccepted;
  }

  bool submit(ConfigChanges Changes) {
    const std::uint64_t Base = m_state.config().version();
    return apply(ConfigPatchRecord{{"patch" + std::to_string(m_sequence), "ops",
                                    Base, std::move(Changes)}});
  }

  bool addWorker(const std::string &Name, std::int64_t ProcessorsMilli,
                 std::int64_t ProtectedProcessorsMilli) {
    const std::string Base = "workers/" + Name + "/";
    return submit({{Base + "processors_milli", std::to_string(ProcessorsMilli)},
                   {Base + "protected_processors_milli",
                    std::to_string(ProtectedProcessorsMilli)},
                   {Base + "memory_mb", std::to_string(MemoryMb)},
                   {Base + "slots", "8"},
                   {Base + "rack", "\"r" + Name + "\""},
                   {Base + "data_centre", "\"d1\""}});
  }

  bool setProtected(const std::string &Name,
                    std::int64_t ProtectedProcessorsMilli) {
    return submit({{"workers/" + Name + "/protected_processors_milli",
                    std::to_string(ProtectedProcessorsMilli)}});
  }

  bool addJob(const std::string &Name, std::uint32_t Tasks,
              std::int64_t ProcessorsMilli) {
    JobRecord Job;
    Job.m_job = Name;
    Job.m_team = "team";
    Job.m_taskCount = Tasks;
    Job.m_size.m_milliProcessors = ProcessorsMilli;
    return apply(Job);
  }

  bool claim(const std::string &Job, std::uint32_t Index, std::uint32_t Attempt,
             const std::string &Worker) {
    const Resources Size = m_state.job(Job)->m_record.m_size;
    return apply(ClaimRecord{{Job, Index}, Attempt, Worker, "boot", Size});
  }

  bool release(const std::string &Job, std::uint32_t Index,
               std::uint32_t Attempt, ReleaseKind Kind,
               const std::string &Checkpoint = "") {
    return apply(ReleaseRecord{{Job, Index}, Attempt, Kind, Checkpoint, {}, 0});
  }

  /// Lets the worker finish one task, which lifts the limit for workers that
  /// have not finished any.
  void completeOneTask(const std::string &Worker) {
    const std::string Job = "prove-" + Worker;
    addJob(Job, 1, 1);
    claim(Job, 0, 1, Worker);
    release(Job, 0, 1, ReleaseKind::Finished);
  }

  /// Replaces the state by a decoded copy of itself.
  void restartFromSnapshot() {
    m_state = attempt([&] {
                return decode<ReplicatedState>(encode(m_state));
              }).value();
  }

  /// Applies all batches so far again, as delayed duplicates.
  void reapplyAllBatches() {
    const std::vector<RecordBatch> Batches = m_log;
    for (const RecordBatch &Batch : Batches)
      applyBatch(Batch);
  }

  /// Returns the hash of a new state to which each batch is applied twice.
  std::uint64_t hashOfDuplicatedReplay() const {
    ReplicatedState Fresh;
    for (std::size_t Offset = 0; Offset < m_log.size(); ++Offset) {
      Fresh.apply(Offset, m_log[Offset]);
      Fresh.apply(Offset, m_log[Offset]);
    }
    return Fresh.hash();
  }

private:
  ReplicatedState m_state;
  std::vector<RecordBatch> m_log;
  std::uint64_t m_sequence = 0;
  std::int64_t m_nowMs = 1000000;
  std::string m_lastReason;
};

} // namespace catkinseam::testing

#endif // CATKINSEAM_STATE_TESTING_STATE_BUILDER_H
