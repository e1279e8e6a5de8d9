// The fold refuses what would break an invariant, whoever writes, and gives the
// same state to everyone.
#define BOOST_TEST_MODULE fold
#include "catkinseam/state/fold.h"

#include "catkinseam/base/codec.h"
#include "catkinseam/state/testing/fold_builder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;
using namespace catkinseam::testing;

BOOST_AUTO_TEST_CASE(NeverGivesAWorkerMoreThanItHas) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 1000);
  Fold.addJob("j", 4, 1000);
  Fold.completeOneTask("w1");
  BOOST_TEST(Fold.claim("j", 0, 1, "w1"));
  BOOST_TEST(Fold.claim("j", 1, 1, "w1"));
  BOOST_TEST(Fold.claim("j", 2, 1, "w1"));
  BOOST_TEST(!Fold.claim("j", 3, 1, "w1"));
  BOOST_TEST(Fold.lastRejectionReason() ==
             "worker \"w1\" has too little processors");
}

BOOST_AUTO_TEST_CASE(TaskHasOnePlace) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 0);
  Fold.addWorker("w2", 4000, 0);
  Fold.addJob("j", 1, 1000);
  BOOST_TEST(Fold.claim("j", 0, 1, "w1"));
  BOOST_TEST(!Fold.claim("j", 0, 1, "w2"));
  BOOST_TEST(!Fold.claim("j", 0, 2, "w2"));
  BOOST_TEST(Fold.lastRejectionReason() == "task \"j/0\" is not queued");
}

BOOST_AUTO_TEST_CASE(LapseNeedsAFence) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 0);
  Fold.addJob("j", 1, 1000);
  Fold.claim("j", 0, 1, "w1");
  BOOST_TEST(!Fold.release("j", 0, 1, ReleaseKind::Lapsed));
  BOOST_TEST(Fold.lastRejectionReason() == "task \"j/0\" is not fenced");
  BOOST_TEST(Fold.apply(FenceRecord{{"j", 0}, 1}));
  BOOST_TEST(Fold.release("j", 0, 1, ReleaseKind::Lapsed));
  BOOST_TEST(Fold.claim("j", 0, 2, "w1"));
}

BOOST_AUTO_TEST_CASE(EvictedTaskResumesOnceFromItsCheckpoint) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 0);
  Fold.addJob("j", 1, 1000);
  Fold.claim("j", 0, 1, "w1");
  BOOST_TEST(Fold.release("j", 0, 1, ReleaseKind::Evicted, "c7"));
  BOOST_TEST(!Fold.release("j", 0, 1, ReleaseKind::Evicted, "c7"));
  BOOST_TEST(Fold.state().task({"j", 0})->m_checkpoint == "c7");
  BOOST_TEST(Fold.claim("j", 0, 2, "w1"));
  BOOST_TEST(!Fold.claim("j", 0, 2, "w1"));
}

BOOST_AUTO_TEST_CASE(JobThatFailsEverywhereIsParked) {
  StateBuilder Fold;
  Fold.addJob("early", 1, 1000);
  BOOST_TEST(Fold.lastRejectionReason() ==
             "job \"early\" fits on no worker: too little workers");
  for (const char *Worker : {"w1", "w2", "w3"})
    Fold.addWorker(Worker, 4000, 0);
  Fold.addJob("j", 2, 1000);
  std::uint32_t Attempt = 0;
  for (const char *Worker : {"w1", "w2", "w3"}) {
    BOOST_TEST(Fold.claim("j", 0, ++Attempt, Worker));
    BOOST_TEST(Fold.release("j", 0, Attempt, ReleaseKind::Failed));
  }
  const JobRow *Job = Fold.state().job("j");
  BOOST_TEST((Job->m_phase == JobPhase::Parked));
  BOOST_TEST(Job->m_reason == "failed on workers \"w1\" \"w2\" \"w3\"");
  // The job was at fault: no worker is quarantined for it.
  for (const auto &[Name, Worker] : Fold.state().workers())
    BOOST_TEST(!State::isQuarantined(Worker));
}

BOOST_AUTO_TEST_CASE(WorkerThatFailsEverythingIsQuarantinedAndProbed) {
  StateBuilder Fold;
  Fold.addWorker("w1", 8000, 0);
  Fold.addWorker("w2", 8000, 0);
  Fold.addJob("j", 20, 100);
  Fold.claim("j", 19, 1, "w2");
  Fold.release("j", 19, 1, ReleaseKind::Finished);
  std::uint32_t Spent = 0;
  for (std::uint32_t Index = 0; Index < 10; ++Index)
    if (Fold.claim("j", Index, 1, "w1")) {
      ++Spent;
      Fold.release("j", Index, 1, ReleaseKind::Failed);
    }
  BOOST_TEST(Spent == State::FailuresToQuarantine);
  Fold.advanceMs(State::ProbeAfterMs);
  BOOST_TEST(Fold.claim("j", 10, 1, "w1"));
  BOOST_TEST(!Fold.claim("j", 11, 1, "w1"));
  Fold.release("j", 10, 1, ReleaseKind::Finished);
  BOOST_TEST(Fold.claim("j", 11, 1, "w1"));
}

BOOST_AUTO_TEST_CASE(CancelWinsOverAStartInFlight) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 0);
  Fold.addJob("j", 2, 1000);
  Fold.claim("j", 0, 1, "w1");
  BOOST_TEST(Fold.apply(CancelRecord{{"j"}}));
  BOOST_TEST(Fold.apply(CancelRecord{{"j"}}));
  BOOST_TEST(!Fold.claim("j", 1, 1, "w1"));
  BOOST_TEST(Fold.release("j", 0, 1, ReleaseKind::Evicted));
  BOOST_TEST((Fold.state().job("j")->m_phase == JobPhase::Cancelled));
  BOOST_TEST(Fold.state().job("j")->m_endedMs != 0);
}

BOOST_AUTO_TEST_CASE(DoubledAndLateBatchesAreDropped) {
  StateBuilder Fold;
  Fold.addWorker("w1", 4000, 0);
  RecordBatch Batch;
  Batch.m_writer = "other";
  Batch.m_sequence = 1;
  Batch.m_wallMs = Fold.nowMs();
  Batch.m_records = {CancelRecord{{"nothing"}}};
  BOOST_TEST(!Fold.applyBatch(Batch).m_isDuplicate);
  BOOST_TEST(Fold.applyBatch(Batch).m_isDuplicate);
  // A writer that is forgotten: its batches are as old as the memory.
  Fold.advanceMs(State::WriterRetentionMs + 1);
  Fold.apply(CancelRecord{{"nothing"}});
  BOOST_TEST(Fold.state().writers().count("other") == 0U);
  BOOST_TEST(Fold.applyBatch(Batch).m_isDuplicate);
}

namespace {

/// A task as the oracle keeps it.
struct OracleTask {
  std::string m_worker;
  std::uint32_t m_attempt = 0;
  bool m_isFenced = false;
  bool m_isDone = false;
};

constexpr int Workers = 3;
constexpr std::uint32_t Tasks = 6;

std::string workerName(int Index) { return "w" + std::to_string(Index); }

std::int64_t heldOn(const std::map<std::uint32_t, OracleTask> &Oracle,
                    const std::string &Worker, std::int64_t Size) {
  std::int64_t Sum = 0;
  for (const auto &[Index, Task] : Oracle)
    if (Task.m_worker == Worker)
      Sum += Size;
  return Sum;
}

} // namespace

RC_BOOST_PROP(KeepsToAPlainOracleThroughRestarts, ()) {
  constexpr std::int64_t Size = 1000;
  StateBuilder Fold;
  std::map<std::string, std::int64_t> Limits;
  for (int Index = 0; Index < Workers; ++Index) {
    Fold.addWorker(workerName(Index), 4000, 1000);
    Fold.completeOneTask(workerName(Index));
    Limits[workerName(Index)] = 3000;
  }
  Fold.addJob("j", Tasks, Size);
  std::map<std::uint32_t, OracleTask> Oracle;
  const int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    const auto Index = *rc::gen::inRange<std::uint32_t>(0, Tasks);
    const std::string Worker = workerName(*rc::gen::inRange(0, Workers));
    OracleTask &Task = Oracle[Index];
    const std::uint32_t Attempt =
        *rc::gen::inRange<std::uint32_t>(Task.m_attempt, Task.m_attempt + 2);
    const bool IsHolder = !Task.m_worker.empty() && Attempt == Task.m_attempt;
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
    case 1: {
      const bool Fits = heldOn(Oracle, Worker, Size) + Size <= Limits[Worker];
      const bool IsFree = Task.m_worker.empty() && !Task.m_isDone &&
                          Attempt == Task.m_attempt + 1;
      RC_ASSERT(Fold.claim("j", Index, Attempt, Worker) == (Fits && IsFree));
      if (Fits && IsFree)
        Task = {Worker, Attempt, false, false};
      break;
    }
    case 2:
      RC_ASSERT(Fold.apply(FenceRecord{{"j", Index}, Attempt}) == IsHolder);
      Task.m_isFenced = Task.m_isFenced || IsHolder;
      break;
    case 3: {
      const bool IsLapse = *rc::gen::arbitrary<bool>();
      const ReleaseKind Kind =
          IsLapse ? ReleaseKind::Lapsed : ReleaseKind::Evicted;
      const bool MayEnd = IsHolder && (!IsLapse || Task.m_isFenced);
      RC_ASSERT(Fold.release("j", Index, Attempt, Kind) == MayEnd);
      if (MayEnd)
        Task = {"", Task.m_attempt, false, false};
      break;
    }
    case 4: {
      const std::int64_t Kept = *rc::gen::inRange(0, 5) * 1000;
      Fold.setProtected(Worker, Kept);
      Limits[Worker] = 4000 - Kept;
      break;
    }
    case 5:
      // A restart from a snapshot, and every batch so far once more.
      Fold.restartFromSnapshot();
      Fold.reapplyAllBatches();
      break;
    }
    for (int Each = 0; Each < Workers; ++Each) {
      const std::string Name = workerName(Each);
      const CapacityRow &Row = Fold.state().worker(Name)->m_capacity;
      RC_ASSERT(Row.m_reserved.m_milliProcessors == heldOn(Oracle, Name, Size));
      RC_ASSERT(Row.m_reserved.m_milliProcessors <= 4000);
    }
  }
  // Applying everything anew, with every batch doubled, gives the same state.
  RC_ASSERT(Fold.hashOfDuplicatedReplay() == Fold.state().hash());
}
