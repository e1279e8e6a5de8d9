// The stand-in must let tasks behave as their job says, and carry out the
// orders that its faults leave unanswered.
#define BOOST_TEST_MODULE node_platform
#include "catkinseam/base/codec.h"
#include "catkinseam/base/runtime.h"
#include "catkinseam/ownership/testing/fake_log.h"
#include "catkinseam/ownership/testing/fake_worker.h"
#include "standin/fault_injection.h"
#include "standin/task_behaviour.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Resources Capacity{4000, 8000, 0};

struct Fixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  RunHistory m_history;
  FakeWorker m_worker{m_host, m_random, m_history, "w1", Capacity};
  std::unique_ptr<WorkerLink> m_link = m_worker.connect();
  const TaskKey m_task{"0000000000000001", 0, 0, 0};

  Fixture() {
    m_worker.m_plan = [](const StartOrder &) {
      return FakeWorker::RunPlan{.m_work = Milliseconds(3000),
                                 .m_checkpointInterval = Milliseconds(1000)};
    };
  }

  void start(RunNumber Run, const std::string &Checkpoint = "") {
    m_link->start({"", m_task, Run, "", Checkpoint, Milliseconds(600000)}, 1,
                  [](const OrderReply &) {});
    m_host.advance(Milliseconds(10));
  }

  WorkerSnapshot poll() {
    WorkerSnapshot Seen;
    PollOrder Order;
    Order.m_expires = Milliseconds(600000);
    m_link->poll(Order, 1,
                 [&](const PollReply &Reply) { Seen = Reply.m_snapshot; });
    m_host.advance(Milliseconds(10));
    return Seen;
  }

  bool isAccepted(const std::string &Text) {
    return static_cast<bool>(attempt([&] { return parseFault(Text); }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RunsSaveCheckpointsAndResume, Fixture) {
  start(1);
  m_host.advance(Milliseconds(500));
  BOOST_TEST(poll().m_active.at(0).m_checkpoint.empty());
  m_host.advance(Milliseconds(1000));
  BOOST_TEST(poll().m_active.at(0).m_checkpoint == "1000");
  m_link->stop({"", m_task, 1}, 1, [](const OrderReply &) {});
  m_host.advance(Milliseconds(10));
  const EndedRun Stopped = poll().m_ended.at(0);
  BOOST_TEST((Stopped.m_end == RunEnd::Stopped));
  const std::int64_t Saved = std::stoll(Stopped.m_checkpoint);
  BOOST_TEST(Saved > 1500);
  BOOST_TEST(Saved < 1700);

  start(2, Stopped.m_checkpoint);
  m_host.advance(Milliseconds(3000 - Saved + 20));
  const WorkerSnapshot Seen = poll();
  BOOST_TEST(Seen.m_active.empty());
  BOOST_TEST((Seen.m_ended.at(1).m_end == RunEnd::Done));
}

BOOST_FIXTURE_TEST_CASE(ServicesEndOnlyByFailure, Fixture) {
  bool WillFail = false;
  m_worker.m_plan = [&](const StartOrder &) {
    return FakeWorker::RunPlan{.m_work = Milliseconds(1000),
                               .m_willFail = WillFail,
                               .m_isService = true};
  };
  start(1);
  m_host.advance(Milliseconds(3000));
  BOOST_TEST(poll().m_active.size() == 1U);
  m_link->stop({"", m_task, 1}, 1, [](const OrderReply &) {});
  WillFail = true;
  start(2);
  m_host.advance(Milliseconds(1100));
  BOOST_TEST((poll().m_ended.at(1).m_end == RunEnd::Failed));
}

BOOST_AUTO_TEST_CASE(LateAppendsAreStoredWithinTheirBounds) {
  ManualRuntime Host;
  std::mt19937_64 Random(1);
  FakeLog Log(Host, Random);
  FakeLog::View View(Log);
  Log.m_faults.m_delayedRate = 1.0;
  Log.m_faults.m_minDelay = Milliseconds(1000);
  Log.m_faults.m_maxDelay = Milliseconds(6000);
  std::size_t Stored = 0;
  std::size_t Unknown = 0;
  Log.m_onStored = [&](LogTopic, const KeyedRecord &) { ++Stored; };
  for (int Each = 0; Each < 20; ++Each)
    View.append(LogTopic::Jobs, {{std::to_string(Each), "value"}}, std::nullopt,
                Milliseconds(1000), [&](const AppendReply &Reply) {
                  Unknown += Reply.m_outcome == LogOutcome::Unknown;
                });
  Host.advance(Milliseconds(999));
  BOOST_TEST(Stored == 0U);
  Host.advance(Milliseconds(2001));
  BOOST_TEST(Unknown == 20U);
  BOOST_TEST(Stored > 0U);
  BOOST_TEST(Stored < 20U);
  Host.advance(Milliseconds(3000));
  BOOST_TEST(Stored == 20U);
}

BOOST_AUTO_TEST_CASE(ReadsBehaviourOfTasks) {
  const TaskBehaviour Read =
      parseTaskBehaviour("batch run_ms=1500 fail=0.25 fail_first=2 deadly");
  BOOST_TEST(Read.m_work.count() == 1500);
  BOOST_TEST(Read.m_failureRate == 0.25);
  BOOST_TEST(Read.m_failingRuns == 2U);
  BOOST_TEST(Read.m_isDeadly);
  const TaskBehaviour Default = parseTaskBehaviour("batch");
  BOOST_TEST(Default.m_work.count() == 300);
  BOOST_TEST(Default.m_failureRate == 0.0);
  BOOST_TEST(Default.m_failingRuns == 0U);
  BOOST_TEST(!Default.m_isDeadly);
}

// A misspelt fault would otherwise leave a test without faults.
BOOST_FIXTURE_TEST_CASE(RejectsUnknownFaults, Fixture) {
  for (const char *Each :
       {R"({"crash_worker":3,"down_ms":1500,"new_id":1})",
        R"({"cut_worker":3,"for_ms":4000,"how":"replies","reborn":1})",
        R"({"dark_worker":3,"down_ms":600,"how":"keep"})",
        R"({"orders_late":0.2,"for_ms":5000,"across":1})",
        R"({"failing_worker":3,"for_ms":5000})", R"({"store_down_ms":3000})",
        R"({"store_down_ms":3000,"how":"silent"})",
        R"({"store_refuse":[1,3],"for_ms":4000,"how":"early","share":0.3})",
        R"({"store_lost":0.3,"for_ms":4000,"late":1})",
        R"({"store_slow_ms":60,"for_ms":4000})",
        R"({"orders_late":0.2,"for_ms":5000})",
        R"({"unlist_worker":3,"for_ms":3000})",
        R"({"crash_worker":3,"gone":1})", R"({"node_fault_ms":1500})",
        R"({"drain_worker":3,"remaining_ms":3000,"new_id":1})"})
    BOOST_TEST(isAccepted(Each), Each);
  for (const char *Each :
       {"", "[]", R"({"crash_workers":3})", R"({"crash_worker":"3"})",
        R"({"cut_worker":3,"for_ms":4000,"how":"quiet"})",
        R"({"dark_worker":3,"down_ms":600,"how":"quiet"})",
        R"({"store_refuse":1,"for_ms":4000})",
        R"({"store_refuse":[1],"for_ms":4000,"how":"slow"})"})
    BOOST_TEST(!isAccepted(Each), Each);
}

} // namespace catkinseam
