// The replicated state rejects every record that would violate an invariant,
// whichever entry wrote it, and is the same on all entries that applied the
// same log.
#define BOOST_TEST_MODULE fold
#include "catkinseam/state/replicated_state.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/state/testing/state_builder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace catkinseam::testing;

BOOST_AUTO_TEST_CASE(RejectsClaimsBeyondWorkerCapacity) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 1000);
  Builder.addJob("j", 4, 1000);
  Builder.completeOneTask("w1");
  BOOST_TEST(Builder.claim("j", 0, 1, "w1"));
  BOOST_TEST(Builder.claim("j", 1, 1, "w1"));
  BOOST_TEST(Builder.claim("j", 2, 1, "w1"));
  BOOST_TEST(!Builder.claim("j", 3, 1, "w1"));
  BOOST_TEST(Builder.lastRejectionReason() ==
             "worker \"w1\" has too little processors");
}

BOOST_AUTO_TEST_CASE(TaskIsClaimedOnlyOnce) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 0);
  Builder.addWorker("w2", 4000, 0);
  Builder.addJob("j", 1, 1000);
  BOOST_TEST(Builder.claim("j", 0, 1, "w1"));
  BOOST_TEST(!Builder.claim("j", 0, 1, "w2"));
  BOOST_TEST(!Builder.claim("j", 0, 2, "w2"));
  BOOST_TEST(Builder.lastRejectionReason() == "task \"j/0\" is not queued");
}

BOOST_AUTO_TEST_CASE(LapseRequiresAFence) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 0);
  Builder.addJob("j", 1, 1000);
  Builder.claim("j", 0, 1, "w1");
  BOOST_TEST(!Builder.release("j", 0, 1, ReleaseKind::Lapsed));
  BOOST_TEST(Builder.lastRejectionReason() == "task \"j/0\" is not fenced");
  BOOST_TEST(Builder.apply(FenceRecord{{"j", 0}, 1}));
  BOOST_TEST(Builder.release("j", 0, 1, ReleaseKind::Lapsed));
  BOOST_TEST(Builder.claim("j", 0, 2, "w1"));
}

BOOST_AUTO_TEST_CASE(EvictedTaskResumesOnceFromItsCheckpoint) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 0);
  Builder.addJob("j", 1, 1000);
  Builder.claim("j", 0, 1, "w1");
  BOOST_TEST(Builder.release("j", 0, 1, ReleaseKind::Evicted, "c7"));
  BOOST_TEST(!Builder.release("j", 0, 1, ReleaseKind::Evicted, "c7"));
  BOOST_TEST(Builder.state().task({"j", 0})->m_checkpoint == "c7");
  BOOST_TEST(Builder.claim("j", 0, 2, "w1"));
  BOOST_TEST(!Builder.claim("j", 0, 2, "w1"));
}

BOOST_AUTO_TEST_CASE(JobThatFailsOnSeveralWorkersIsParked) {
  StateBuilder Builder;
  Builder.addJob("early", 1, 1000);
  BOOST_TEST(Builder.lastRejectionReason() ==
             "job \"early\" fits on no worker: too little workers");
  for (const char *Worker : {"w1", "w2", "w3"})
    Builder.addWorker(Worker, 4000, 0);
  Builder.addJob("j", 2, 1000);
  std::uint32_t Attempt = 0;
  for (const char *Worker : {"w1", "w2", "w3"}) {
    BOOST_TEST(Builder.claim("j", 0, ++Attempt, Worker));
    BOOST_TEST(Builder.release("j", 0, Attempt, ReleaseKind::Failed));
  }
  const JobRow *Job = Builder.state().job("j");
  BOOST_TEST((Job->m_phase == JobPhase::Parked));
  BOOST_TEST(Job->m_reason == "failed on workers \"w1\" \"w2\" \"w3\"");
  // The failures are attributed to the job: no worker is quarantined.
  for (const auto &[Name, Worker] : Builder.state().workers())
    BOOST_TEST(!ReplicatedState::isQuarantined(Worker));
}

BOOST_AUTO_TEST_CASE(FailingWorkerIsQuarantinedAndProbed) {
  StateBuilder Builder;
  Builder.addWorker("w1", 8000, 0);
  Builder.addWorker("w2", 8000, 0);
  Builder.addJob("j", 20, 100);
  Builder.claim("j", 19, 1, "w2");
  Builder.release("j", 19, 1, ReleaseKind::Finished);
  std::uint32_t Claimed = 0;
  for (std::uint32_t Index = 0; Index < 10; ++Index)
    if (Builder.claim("j", Index, 1, "w1")) {
      ++Claimed;
      Builder.release("j", Index, 1, ReleaseKind::Failed);
    }
  BOOST_TEST(Claimed == ReplicatedState::FailuresToQuarantine);
  Builder.advanceMs(ReplicatedState::ProbeDelayMs);
  BOOST_TEST(Builder.claim("j", 10, 1, "w1"));
  BOOST_TEST(!Builder.claim("j", 11, 1, "w1"));
  Builder.release("j", 10, 1, ReleaseKind::Finished);
  BOOST_TEST(Builder.claim("j", 11, 1, "w1"));
}

BOOST_AUTO_TEST_CASE(CancelPreventsAndEndsClaims) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 0);
  Builder.addJob("j", 2, 1000);
  Builder.claim("j", 0, 1, "w1");
  BOOST_TEST(Builder.apply(CancelRecord{{"j"}}));
  BOOST_TEST(Builder.apply(CancelRecord{{"j"}}));
  BOOST_TEST(!Builder.claim("j", 1, 1, "w1"));
  BOOST_TEST(Builder.release("j", 0, 1, ReleaseKind::Evicted));
  BOOST_TEST((Builder.state().job("j")->m_phase == JobPhase::Cancelled));
  BOOST_TEST(Builder.state().job("j")->m_endedMs != 0);
}

BOOST_AUTO_TEST_CASE(DuplicateAndDelayedBatchesAreIgnored) {
  StateBuilder Builder;
  Builder.addWorker("w1", 4000, 0);
  RecordBatch Batch;
  Batch.m_writer = "other";
  Batch.m_sequence = 1;
  Batch.m_wallMs = Builder.nowMs();
  Batch.m_records = {CancelRecord{{"nothing"}}};
  BOOST_TEST(!Builder.applyBatch(Batch).m_isDuplicate);
  BOOST_TEST(Builder.applyBatch(Batch).m_isDuplicate);
  // The writer has been removed, and its batch is older than the retention.
  Builder.advanceMs(ReplicatedState::WriterRetentionMs + 1);
  Builder.apply(CancelRecord{{"nothing"}});
  BOOST_TEST(Builder.state().writers().count("other") == 0U);
  BOOST_TEST(Builder.applyBatch(Batch).m_isDuplicate);
}

namespace {

/// State of a task in the reference model.
struct ModelTask {
  std::string m_worker;
  std::uint32_t m_attempt = 0;
  bool m_isFenced = false;
  bool m_isDone = false;
};

constexpr int Workers = 3;
constexpr std::uint32_t Tasks = 6;

std::string workerName(int Index) { return "w" + std::to_string(Index); }

std::int64_t reservedOn(const std::map<std::uint32_t, ModelTask> &Model,
                        const std::string &Worker, std::int64_t Size) {
  std::int64_t Sum = 0;
  for (const auto &[Index, Task] : Model)
    if (Task.m_worker == Worker)
      Sum += Size;
  return Sum;
}

} // namespace

RC_BOOST_PROP(MatchesReferenceModelAcrossRestarts, ()) {
  constexpr std::int64_t Size = 1000;
  StateBuilder Builder;
  std::map<std::string, std::int64_t> Limits;
  for (int Index = 0; Index < Workers; ++Index) {
    Builder.addWorker(workerName(Index), 4000, 1000);
    Builder.completeOneTask(workerName(Index));
    Limits[workerName(Index)] = 3000;
  }
  Builder.addJob("j", Tasks, Size);
  std::map<std::uint32_t, ModelTask> Model;
  const int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    const auto Index = *rc::gen::inRange<std::uint32_t>(0, Tasks);
    const std::string Worker = workerName(*rc::gen::inRange(0, Workers));
    ModelTask &Task = Model[Index];
    const std::uint32_t Attempt =
        *rc::gen::inRange<std::uint32_t>(Task.m_attempt, Task.m_attempt + 2);
    const bool IsHolder = !Task.m_worker.empty() && Attempt == Task.m_attempt;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1: {
      const bool Fits =
          reservedOn(Model, Worker, Size) + Size <= Limits[Worker];
      const bool IsFree = Task.m_worker.empty() && !Task.m_isDone &&
                          Attempt == Task.m_attempt + 1;
      RC_ASSERT(Builder.claim("j", Index, Attempt, Worker) == (Fits && IsFree));
      if (Fits && IsFree)
        Task = {Worker, Attempt, false, false};
      break;
    }
    case 2:
      RC_ASSERT(Builder.apply(FenceRecord{{"j", Index}, Attempt}) == IsHolder);
      Task.m_isFenced = Task.m_isFenced || IsHolder;
      break;
    case 3: {
      const bool IsLapse = *rc::gen::arbitrary<bool>();
      const ReleaseKind Kind =
          IsLapse ? ReleaseKind::Lapsed : ReleaseKind::Evicted;
      const bool IsReleasable = IsHolder && (!IsLapse || Task.m_isFenced);
      RC_ASSERT(Builder.release("j", Index, Attempt, Kind) == IsReleasable);
      if (IsReleasable)
        Task = {"", Task.m_attempt, false, false};
      break;
    }
    case 4: {
      const std::int64_t Protected = *rc::gen::inRange(0, 5) * 1000;
      Builder.setProtected(Worker, Protected);
      Limits[Worker] = 4000 - Protected;
      break;
    }
    case 5:
      // Restart from a snapshot, then apply all batches again.
      Builder.restartFromSnapshot();
      Builder.reapplyAllBatches();
      break;
    }
    for (int Each = 0; Each < Workers; ++Each) {
      const std::string Name = workerName(Each);
      const CapacityRow &Row = Builder.state().worker(Name)->m_capacity;
      RC_ASSERT(Row.m_reserved.m_milliProcessors ==
                reservedOn(Model, Name, Size));
      RC_ASSERT(Row.m_reserved.m_milliProcessors <= 4000);
    }
  }
  // A new state to which each batch is applied twice must be the same.
  RC_ASSERT(Builder.hashOfDuplicatedReplay() == Builder.state().hash());
}
