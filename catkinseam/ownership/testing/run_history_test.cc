// The checker must reject a history that violates any of the invariants.
#define BOOST_TEST_MODULE run_history
#include "catkinseam/ownership/testing/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

TimePoint at(int Ms) { return TimePoint(Milliseconds(Ms)); }

const std::string Job = "0000000000000001";

struct Fixture {
  RunHistory m_history;
  std::vector<SubmittedJob> m_jobs = {{chainedJob(Job, 2), TimePoint::max()}};
  HistoryBounds m_bounds{
      .m_capacities = {{"w1", {4000, 8000, 0}}, {"w2", {4000, 8000, 0}}},
      .m_dataCentres = {{"w1", "dc0"}, {"w2", "dc1"}}};

  TaskKey task(std::uint32_t Step, std::uint32_t Index) const {
    return {Job, 0, Step, Index};
  }

  void run(const std::string &Worker, const TaskKey &Task, RunNumber Number,
           int Began, int Ended, RunEnd End, bool IsObserved = true) {
    m_history.started(Worker, Task, Number, at(Began));
    m_history.ended(Worker, Task, Number, End, at(Ended));
    if (IsObserved)
      m_history.observed(Worker, Task, Number, at(Ended + 20));
  }

  std::size_t violations() const {
    return checkHistory(m_history, m_jobs, m_bounds).size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AcceptsValidHistory, Fixture) {
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Failed);
  run("w2", task(0, 0), 2, 150, 250, RunEnd::Done);
  run("w1", task(0, 1), 1, 0, 100, RunEnd::Done);
  run("w1", task(1, 0), 1, 300, 400, RunEnd::Done);
  BOOST_TEST(violations() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsConcurrentRuns, Fixture) {
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Stopped);
  run("w2", task(0, 0), 2, 90, 200, RunEnd::Stopped);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsRunOfCompletedTask, Fixture) {
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  run("w2", task(0, 0), 2, 200, 300, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AcceptsCopyThatCrossesTheEnd, Fixture) {
  m_jobs[0].m_job.m_spec.m_steps[0].m_isSpeculative = true;
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  run("w2", task(0, 0), 2, 1119, 1300, RunEnd::Done);
  BOOST_TEST(violations() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsCopyOfCompletedTask, Fixture) {
  m_jobs[0].m_job.m_spec.m_steps[0].m_isSpeculative = true;
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  run("w2", task(0, 0), 2, 1120, 1300, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AcceptsRerunAfterLeaseExpired, Fixture) {
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  m_history.leaseExpired("w1", at(110));
  run("w2", task(0, 0), 2, 200, 300, RunEnd::Done);
  BOOST_TEST(violations() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsTooManyAttempts, Fixture) {
  for (RunNumber Number = 1; Number <= 4; ++Number)
    run("w1", task(0, 0), Number, static_cast<int>(Number) * 100,
        static_cast<int>(Number) * 100 + 50, RunEnd::Failed);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsStepBeforeItsDependency, Fixture) {
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  run("w1", task(0, 1), 1, 0, 300, RunEnd::Done);
  run("w1", task(1, 0), 1, 200, 400, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsUnknownJob, Fixture) {
  run("w1", {"00000000000000ff", 0, 0, 0}, 1, 0, 100, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsStartAfterCancellation, Fixture) {
  m_jobs[0].m_cancelledAt = at(0);
  run("w1", task(0, 0), 1, 3100, 3200, RunEnd::Stopped);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsExceededCapacity, Fixture) {
  m_jobs.push_back({batchJob("0000000000000002", 5), TimePoint::max()});
  for (std::uint32_t Index = 0; Index < 5; ++Index)
    run("w1", {"0000000000000002", 0, 0, Index}, 1, 0, 100, RunEnd::Done);
  BOOST_TEST(violations() >= 1U);
}

// A reduced capacity counts contactMs and a beat after it was registered.
BOOST_FIXTURE_TEST_CASE(RejectsStartBeyondReducedCapacity, Fixture) {
  m_history.capacityChanged("w1", {1000, 8000, 0}, at(1000));
  run("w1", task(0, 0), 1, 900, 9000, RunEnd::Done);
  run("w1", task(0, 1), 1, 5400, 5450, RunEnd::Failed);
  BOOST_TEST(violations() == 0U);
  run("w1", task(0, 1), 2, 5600, 5700, RunEnd::Failed);
  BOOST_TEST(violations() == 1U);
  m_history.capacityChanged("w1", {2000, 8000, 0}, at(6000));
  run("w1", task(0, 1), 3, 6100, 6200, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

// A request counts five seconds after it was made, until it is withdrawn.
BOOST_FIXTURE_TEST_CASE(RejectsStartInEvacuatedDataCentre, Fixture) {
  m_history.evacuationRequested("dc0", at(1000));
  run("w1", task(0, 0), 1, 5900, 5950, RunEnd::Failed);
  run("w2", task(0, 0), 2, 6100, 6200, RunEnd::Done);
  BOOST_TEST(violations() == 0U);
  run("w1", task(0, 1), 1, 6100, 6200, RunEnd::Failed);
  BOOST_TEST(violations() == 1U);
  m_history.evacuationWithdrawn("dc0", at(6500));
  run("w1", task(0, 1), 2, 6600, 6700, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsTooManyTasksOfStepOnOneWorker, Fixture) {
  m_jobs[0].m_job.m_spec.m_steps[0].m_maxPerWorker = 1;
  run("w1", task(0, 0), 1, 0, 100, RunEnd::Done);
  run("w1", task(0, 1), 1, 50, 100, RunEnd::Done);
  BOOST_TEST(violations() == 1U);
}

} // namespace catkinseam
