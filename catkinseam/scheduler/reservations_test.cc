// Room for large tasks beside a stream of small ones.
#define BOOST_TEST_MODULE reservations
#include "catkinseam/scheduler/reservations.h"
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <algorithm>

namespace catkinseam {

namespace {

const std::string LargeId = "00000000000000aa";

Scheduler::Options withReservations(std::size_t Max) {
  Scheduler::Options Values;
  Values.m_maxReservations = Max;
  return Values;
}

Submission jobOf(const std::string &Id, std::uint32_t Tasks,
                 std::int64_t MilliProcessors, Milliseconds Estimate) {
  Submission Job = SchedulerFixture::makeJob(Id, Tasks);
  Job.m_spec.m_steps[0].m_request = {MilliProcessors, 100, 0};
  Job.m_spec.m_steps[0].m_estimate = Estimate;
  Job.m_policy.m_slack = Milliseconds(60000);
  return Job;
}

/// One worker of four processors, in use by four small tasks that report their
/// progress; a large task that needs all of it waits.
struct Fixture : SchedulerFixture {
  explicit Fixture(std::size_t MaxReservations)
      : SchedulerFixture(withReservations(MaxReservations)) {
    m_clock.advance(Milliseconds(100000));
    addWorker("w1", {4000, 8000, 0});
    submit(jobOf("00000000000000a1", 4, 1000, Milliseconds(1000)));
    BOOST_REQUIRE(scheduleOnce() == 4U);
    Submission Large = jobOf(LargeId, 1, 4000, Milliseconds(1000));
    // Ahead of all small jobs.
    Large.m_policy.m_slack = Milliseconds(10000);
    submit(Large);
    BOOST_REQUIRE(scheduleOnce() == 0U);
  }

  void submit(Submission Job) {
    Job.m_acceptedMs = m_clock.wallNow().time_since_epoch().count();
    m_scheduler.addJob(Job, nullptr);
  }

  /// One small task ends and another one arrives, each 250 ms. Returns the
  /// number of rounds until the large one starts.
  int roundsUntilLargeStarts(Milliseconds SmallEstimate) {
    for (int Round = 1; Round <= 40; ++Round) {
      m_clock.advance(Milliseconds(200));
      submit(jobOf("00000000000000b" + std::to_string(Round), 1, 1000,
                   SmallEstimate));
      if (!m_sentStarts["w1"].empty())
        endRun("w1", m_sentStarts["w1"].front(), RunEnd::Done);
      scheduleOnce();
      if (isRunning(LargeId))
        return Round;
    }
    return 0;
  }

  bool isRunning(const std::string &Job) {
    const std::vector<StartOrder> &Runs = m_sentStarts["w1"];
    return std::any_of(Runs.begin(), Runs.end(), [&](const StartOrder &Each) {
      return Each.m_task.m_job == Job;
    });
  }
};

RunInfo runAt(TimePoint Since, TimePoint ProgressedAt, std::int64_t Percent) {
  RunInfo Run;
  Run.m_phase = RunPhase::Running;
  Run.m_since = Since;
  Run.m_progressedAt = ProgressedAt;
  Run.m_percent = Percent;
  return Run;
}

} // namespace

// Load: small tasks arrive as fast as others end. Without reservations the
// large one waits for as long as they do, although it comes before them.
BOOST_AUTO_TEST_CASE(LargeTaskStartsBesideStreamOfSmallOnes) {
  Fixture Without(0);
  BOOST_TEST(Without.roundsUntilLargeStarts(Milliseconds(1000)) == 0);
  Fixture With(4);
  const int Rounds = With.roundsUntilLargeStarts(Milliseconds(1000));
  BOOST_TEST(Rounds > 0);
  BOOST_TEST(Rounds <= 4);
  BOOST_TEST(With.m_scheduler.summarize().m_waitingTasks > 0U);
}

// Room that is kept must not stand idle while something fits into it that ends
// before it is needed.
BOOST_AUTO_TEST_CASE(ShortTasksRunInReservedRoom) {
  Fixture Each(4);
  Each.m_clock.advance(Milliseconds(200));
  Each.endRun("w1", Each.m_sentStarts["w1"].front(), RunEnd::Done);
  Each.submit(jobOf("00000000000000b1", 1, 1000, Milliseconds(900)));
  Each.submit(jobOf("00000000000000b2", 1, 1000, Milliseconds(300)));
  BOOST_TEST(Each.scheduleOnce() == 1U);
  BOOST_TEST(Each.isRunning("00000000000000b2"));
}

// Nothing is kept for a task whose room will not be free soon.
BOOST_AUTO_TEST_CASE(DistantRoomIsNotReserved) {
  for (const bool IsDistant : {true, false}) {
    Fixture Each(4);
    const Milliseconds Left(IsDistant ? 9000 : 900);
    Each.m_clock.advance(Milliseconds(200));
    Each.endRun("w1", Each.m_sentStarts["w1"].front(), RunEnd::Done);
    Each.m_scheduler.cancelJob(LargeId);
    Each.submit(jobOf("00000000000000c1", 1, 1000, Left));
    BOOST_TEST(Each.scheduleOnce() == 1U);
    Each.submit(jobOf("00000000000000c2", 1, 4000, Milliseconds(1000)));
    Each.scheduleOnce();
    BOOST_TEST(Each.m_scheduler.summarize().m_reservations ==
               (IsDistant ? 0U : 1U));
  }
}

// Reported progress counts more than a declared estimate, which may be far from
// the truth.
BOOST_AUTO_TEST_CASE(ExpectedEndFollowsProgress) {
  StepSpec Spec;
  Spec.m_estimate = Milliseconds(1000);
  const TimePoint Since{Milliseconds(5000)};
  const TimePoint Later = Since + Milliseconds(400);
  BOOST_TEST((expectedEnd(Spec, runAt(Since, Later, 20), Later) ==
              Since + Milliseconds(2000)));
  BOOST_TEST((expectedEnd(Spec, runAt(Since, Since, 0), Later) ==
              Since + Milliseconds(1000)));
  // Overdue: at any moment.
  const TimePoint Overdue = Since + Milliseconds(3000);
  BOOST_TEST((expectedEnd(Spec, runAt(Since, Later, 20), Overdue) == Overdue));
  Spec.m_isService = true;
  BOOST_TEST(
      (expectedEnd(Spec, runAt(Since, Later, 100), Later) == TimePoint::max()));
}

} // namespace catkinseam
