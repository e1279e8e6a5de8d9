// The ledger with repeated, reordered and unreadable records; the log reader
// with a log that deletes its history.
#define BOOST_TEST_MODULE ledger
#include "catkinseam/base/codec.h"
#include "catkinseam/ledger/keyed_log_reader.h"
#include "catkinseam/ledger/ledger.h"
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

std::string submission() { return encode(batchJob(Id, 2)); }

std::string progress(JobState State) {
  JobProgress Progress;
  Progress.m_state = State;
  return encodeProgress(Progress);
}

} // namespace

BOOST_AUTO_TEST_CASE(CountsPendingJobsByQueue) {
  Ledger Jobs;
  Jobs.apply(0, submissionKey(Id), submission());
  BOOST_TEST(Jobs.pendingIn("counts") == 1U);
  Jobs.apply(1, submissionKey(Id), submission());
  BOOST_TEST(Jobs.pendingIn("counts") == 1U);
  Jobs.apply(2, progressKey(Id), progress(JobState::InProgress));
  BOOST_TEST(Jobs.pendingIn("counts") == 0U);
  Jobs.apply(3, submissionKey(Id), std::nullopt);
  BOOST_TEST(Jobs.pendingIn("counts") == 0U);
  BOOST_TEST(!Jobs.find(Id));
}

BOOST_AUTO_TEST_CASE(OlderProgressRecordIsIgnored) {
  Ledger Jobs;
  Jobs.apply(0, submissionKey(Id), submission());
  Jobs.apply(5, progressKey(Id), progress(JobState::Completed));
  Jobs.apply(3, progressKey(Id), progress(JobState::InProgress));
  BOOST_TEST((Jobs.find(Id)->state() == JobState::Completed));
}

// Guards against jobs that are missing among those that wait: their planned
// starts came to nothing, and they wait again.
BOOST_AUTO_TEST_CASE(CountsJobsThatWaitAgain) {
  Ledger Jobs;
  Jobs.apply(0, submissionKey(Id), submission());
  Jobs.apply(1, progressKey(Id), progress(JobState::InProgress));
  Jobs.apply(2, progressKey(Id), progress(JobState::Queued));
  BOOST_TEST(Jobs.pendingIn("counts") == 1U);
  Jobs.apply(3, progressKey(Id), progress(JobState::InProgress));
  BOOST_TEST(Jobs.pendingIn("counts") == 0U);
}

BOOST_AUTO_TEST_CASE(CancelMayPrecedeSubmission) {
  Ledger Jobs;
  Jobs.apply(4, cancelKey(Id), std::string("1"));
  BOOST_TEST(!Jobs.find(Id));
  Jobs.apply(5, submissionKey(Id), submission());
  BOOST_TEST((Jobs.find(Id)->state() == JobState::Cancelled));
  BOOST_TEST(Jobs.pendingIn("counts") == 0U);
}

BOOST_AUTO_TEST_CASE(CompletedJobsStayCompletedWhenCancelled) {
  Ledger Jobs;
  Jobs.apply(0, submissionKey(Id), submission());
  Jobs.apply(1, progressKey(Id), progress(JobState::Completed));
  Jobs.apply(2, cancelKey(Id), std::string("1"));
  BOOST_TEST((Jobs.find(Id)->state() == JobState::Completed));
}

// A node that could not read while jobs were deleted, and whose history is
// gone, must not show them for ever.
BOOST_AUTO_TEST_CASE(JobsMissingFromReloadAreRemoved) {
  Ledger Jobs;
  const std::string Kept = "00000000000000a2";
  Jobs.apply(0, submissionKey(Id), submission());
  Jobs.apply(1, submissionKey(Kept), encode(batchJob(Kept, 2)));
  Jobs.retainOnly({OwnerKey, submissionKey(Kept)});
  BOOST_TEST(!Jobs.find(Id));
  BOOST_TEST(Jobs.find(Kept));
  BOOST_TEST(Jobs.pendingIn("counts") == 1U);
}

BOOST_AUTO_TEST_CASE(FirstOwnerOfAnEpochWins) {
  Ledger Jobs;
  Jobs.apply(0, OwnerKey,
             encode(OwnerRecord{3, "n1", "boot-a", false, 1.0, ""}));
  Jobs.apply(1, OwnerKey,
             encode(OwnerRecord{3, "n2", "boot-b", false, 1.0, ""}));
  Jobs.apply(2, OwnerKey,
             encode(OwnerRecord{2, "n3", "boot-c", false, 1.0, ""}));
  BOOST_TEST(Jobs.owner().m_node == "n1");
  Jobs.apply(3, OwnerKey,
             encode(OwnerRecord{3, "n1", "boot-a", true, 1.0, ""}));
  BOOST_TEST(Jobs.owner().m_isResigning);
}

BOOST_AUTO_TEST_CASE(UnreadableRecordsAreIgnored) {
  Ledger Jobs;
  Jobs.apply(0, submissionKey(Id), std::string("\x01\x02"));
  Jobs.apply(1, progressKey(Id), std::string("\xff"));
  Jobs.apply(2, OwnerKey, std::string(""));
  Jobs.apply(3, "?", std::string("x"));
  BOOST_TEST(!Jobs.find(Id));
  Jobs.apply(4, submissionKey(Id), submission());
  BOOST_TEST((Jobs.find(Id)->state() == JobState::Queued));
}

BOOST_AUTO_TEST_CASE(ReaderReloadsAfterHistoryIsDeleted) {
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  for (int Number = 0; Number < 50; ++Number)
    Log.put(LogTopic::Operator, "k" + std::to_string(Number), "1");
  std::map<std::string, std::string> Seen;
  KeyedLogReader Reader(Host, View, {.m_topic = LogTopic::Operator},
                        {[&](const StoredRecord &Record) {
                           Seen[Record.m_record.m_key] =
                               Record.m_record.m_value.value();
                         },
                         nullptr, nullptr});
  Reader.start();
  Host.advance(Milliseconds(100));
  BOOST_TEST(Seen.size() == 50U);
  View.m_isPartitioned = true;
  Host.advance(Milliseconds(2000));
  Log.put(LogTopic::Operator, "k7", "2");
  Log.compact();
  View.m_isPartitioned = false;
  Host.advance(Milliseconds(3000));
  BOOST_TEST(Seen["k7"] == "2");
}

// Every node reads every change of a job, so the progress record of a job with
// many tasks has to be small.
BOOST_AUTO_TEST_CASE(ProgressRecordIsCompact) {
  JobProgress Progress;
  Progress.m_state = JobState::InProgress;
  OccurrenceRecord &Occurrence = Progress.m_occurrences.emplace_back();
  StepRecord &Step = Occurrence.m_steps.emplace_back();
  for (std::uint32_t Index = 0; Index < 40; ++Index) {
    TaskRecord &Task = Step.m_tasks.emplace_back();
    Task.m_isDone = Index < 20;
    Task.m_lastRun = 300;
    if (Task.m_isDone)
      continue;
    Task.m_failures = 1;
    Task.m_checkpoint = "00000bb87a21d94b";
    Task.m_runs.push_back({300, "i-8fdb514afe", 1783728227000});
  }
  const std::string Value = encodeProgress(Progress);
  BOOST_TEST(Value.size() < 1200U);
  const auto Read = attempt([&] { return decodeProgress(Value); });
  BOOST_REQUIRE(Read);
  const std::vector<TaskRecord> &Tasks =
      Read.value().m_occurrences[0].m_steps[0].m_tasks;
  BOOST_REQUIRE(Tasks.size() == 40U);
  BOOST_TEST(Tasks[3].m_isDone);
  BOOST_TEST(Tasks[30].m_failures == 1U);
  BOOST_TEST(Tasks[30].m_lastRun == 300U);
  BOOST_TEST(Tasks[30].m_checkpoint == "00000bb87a21d94b");
  BOOST_REQUIRE(Tasks[30].m_runs.size() == 1U);
  BOOST_TEST(Tasks[30].m_runs[0].m_worker == "i-8fdb514afe");
  BOOST_TEST(Tasks[30].m_runs[0].m_workerStartedMs == 1783728227000);
  for (std::size_t Size = 1; Size < Value.size(); Size += 7)
    BOOST_TEST(!attempt([&] { return decodeProgress(Value.substr(0, Size)); }));
}

// The history is deleted, and the newest records fill several pages. The reader
// must not count as current before it has read the last one.
BOOST_AUTO_TEST_CASE(ReloadingReaderIsNotCurrent) {
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  std::set<std::string> Seen;
  KeyedLogReader Reader(
      Host, View, {.m_topic = LogTopic::Operator},
      {[&](const StoredRecord &Record) { Seen.insert(Record.m_record.m_key); },
       nullptr, nullptr});
  Reader.start();
  Host.advance(Milliseconds(100));
  View.m_isPartitioned = true;
  Host.advance(Milliseconds(5000));
  for (int Number = 0; Number < 200; ++Number)
    Log.put(LogTopic::Operator, "k" + std::to_string(Number), "1");
  Log.compact();
  Log.m_faults.m_latency = Milliseconds(150);
  View.m_isPartitioned = false;
  while (Seen.size() < 200U) {
    BOOST_TEST((Host.now() - Reader.caughtUpAt() > Milliseconds(4000)));
    Host.advance(Milliseconds(10));
  }
}

// A node reads rarely, because reads are costly. When it is asked, it must know
// what was appended before, and neither a batching window nor a read that waits
// at the log may hold up the answer.
BOOST_AUTO_TEST_CASE(CoverDeliversWhatWasAppended) {
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  std::set<std::string> Seen;
  KeyedLogReader Reader(
      Host, View,
      {.m_topic = LogTopic::Operator, .m_batchingWindow = Milliseconds(5000)},
      {[&](const StoredRecord &Record) { Seen.insert(Record.m_record.m_key); },
       nullptr, nullptr});
  Reader.start();
  Host.advance(Milliseconds(20));
  Log.put(LogTopic::Operator, "first", "1");
  Host.advance(Milliseconds(1000));
  BOOST_TEST(Seen.contains("first"));
  for (int Number = 0; Number < 10; ++Number) {
    const std::string Key = "k" + std::to_string(Number);
    Log.put(LogTopic::Operator, Key, "1");
    bool IsDone = false;
    Reader.cover([&](bool IsCovered) {
      IsDone = true;
      BOOST_TEST(IsCovered);
      BOOST_TEST(Seen.contains(Key));
    });
    Host.advance(Milliseconds(20));
    BOOST_TEST(IsDone);
  }
  // Nothing was appended, and the next read waits at the log.
  for (int At = 0; At < 10; ++At) {
    int Done = 0;
    Reader.cover([&](bool IsCovered) { Done += IsCovered ? 1 : 0; });
    Host.advance(Milliseconds(2));
    Reader.cover([&](bool IsCovered) { Done += IsCovered ? 1 : 0; });
    Host.advance(Milliseconds(20));
    BOOST_TEST(Done == 2);
  }
  // The log does not answer: the caller gets its turn when the read has failed.
  View.m_isPartitioned = true;
  bool IsDone = false;
  Reader.cover([&](bool IsCovered) {
    IsDone = true;
    BOOST_TEST(!IsCovered);
  });
  Host.advance(Milliseconds(1500));
  BOOST_TEST(IsDone);
}

// A reader falls behind on a busy topic. Its reads succeed, but it must not
// count as current before it has read to the end.
BOOST_AUTO_TEST_CASE(LaggingReaderIsNotCurrent) {
  ManualRuntime Host;
  std::mt19937_64 Random{1};
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  std::size_t Seen = 0;
  KeyedLogReader Reader(
      Host, View, {.m_topic = LogTopic::Operator},
      {[&](const StoredRecord &) { ++Seen; }, nullptr, nullptr});
  Reader.start();
  Host.advance(Milliseconds(1000));
  BOOST_TEST((Host.now() - Reader.caughtUpAt() < Milliseconds(600)));
  Log.m_faults.m_maxReadRecords = 1;
  for (int Number = 0; Number < 1000; ++Number)
    Log.put(LogTopic::Operator, "k" + std::to_string(Number), "1");
  Host.advance(Milliseconds(2000));
  BOOST_TEST(Seen < 1000U);
  BOOST_TEST((Host.now() - Reader.caughtUpAt() >= Milliseconds(1500)));
  Log.m_faults.m_maxReadRecords = 1000;
  Host.advance(Milliseconds(1000));
  BOOST_TEST(Seen == 1000U);
  BOOST_TEST((Host.now() - Reader.caughtUpAt() < Milliseconds(600)));
}

} // namespace catkinseam
