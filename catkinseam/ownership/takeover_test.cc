// What a new owner must know before it takes over.
#define BOOST_TEST_MODULE takeover
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include "catkinseam/base/codec.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

// A job was submitted after the new owner's claim, and the earlier owner
// started it before the new one fenced the progress topic. The new owner reads
// that progress before it reads the submission. It must keep the progress, and
// must not start the run a second time.
BOOST_AUTO_TEST_CASE(WaitsForSubmissionsOfTheTimeBeforeTheFence) {
  const std::string Id = jobId(1);
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  RunHistory History;
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  Ledger Jobs;
  const Evacuations NoRequests(Host.clock(), {});
  FakeWorker Worker(Host, Random, History, "w0", {4000, 8000, 0});
  Log.put(LogTopic::Workers, "w0", "0");
  JobProgress Started;
  Started.m_state = JobState::InProgress;
  TaskRecord &Task = Started.m_occurrences.emplace_back()
                         .m_steps.emplace_back()
                         .m_tasks.emplace_back();
  Task.m_lastRun = 1;
  Task.m_runs.push_back({1, "w0", Worker.registration().m_startedMs});
  Log.put(LogTopic::Progress, progressKey(Id), encodeProgress(Started));

  TimePoint CoveredUntil;
  Owner::Options Values;
  Values.m_epoch = 2;
  Owner Successor(
      Host, View, Jobs, NoRequests,
      [&](const WorkerRegistration &) { return Worker.connect(); },
      [&](const std::string &, const std::string &) {
        return Result<WorkerRegistration>(Worker.registration());
      },
      Values, [] { return true; }, [&] { return CoveredUntil; }, [] {});
  Successor.start();
  Host.advance(Milliseconds(1000));
  Successor.onLedgerRead();
  Host.advance(Milliseconds(1000));
  BOOST_TEST(Log.newestOf(LogTopic::Progress, progressKey(Id)).has_value());

  Jobs.apply(0, submissionKey(Id), encode(batchJob(Id, 1)));
  CoveredUntil = Host.now();
  Successor.onLedgerRead();
  Host.advance(Milliseconds(2000));
  // Run 1 is not on its worker, so the task runs again, under the next number.
  BOOST_REQUIRE(History.m_runs.size() == 1U);
  BOOST_TEST(History.m_runs.front().m_run == 2U);
}

} // namespace catkinseam
