// Test fixture: a scheduler with simulated workers.
//
//   BOOST_FIXTURE_TEST_CASE(Name, SchedulerFixture) {
//     addWorker("w1");
//     m_scheduler.addJob(makeJob(Id, 4), nullptr);
//     BOOST_TEST(scheduleOnce() == 4U);
//   }
#ifndef CATKINSEAM_SCHEDULER_TESTING_SCHEDULER_FIXTURE_H
#define CATKINSEAM_SCHEDULER_TESTING_SCHEDULER_FIXTURE_H

#include "catkinseam/scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// A scheduler with workers whose replies the test controls.
struct SchedulerFixture {
  ManualClock m_clock;
  Scheduler m_scheduler;
  /// Starts sent to each worker whose end has not been reported.
  std::map<std::string, std::vector<StartOrder>> m_sentStarts;
  std::map<std::string, std::uint64_t> m_endCounts;

  explicit SchedulerFixture(const Scheduler::Options &Values = {})
      : m_scheduler(m_clock, Values) {}

  static WorkerRegistration registration(const std::string &Name,
                                         const Resources &Capacity,
                                         const std::string &Rack = "r1") {
    WorkerRegistration Registration;
    Registration.m_id = Name;
    Registration.m_startedMs = 1;
    Registration.m_address = {"127.0.0.1", 1};
    Registration.m_service = "tally";
    Registration.m_capacity = Capacity;
    Registration.m_labels = {"a", Rack};
    return Registration;
  }

  void addWorker(const std::string &Name, Resources Capacity = {4000, 8000, 0},
                 const std::string &Rack = "r1") {
    m_scheduler.updateWorker(registration(Name, Capacity, Rack));
    answerPoll(Name, {}, {});
  }

  void answerPoll(const std::string &Name, std::vector<ActiveRun> Active,
                  std::vector<EndedRun> Ended) {
    const auto Order = m_scheduler.nextPoll(Name);
    BOOST_REQUIRE(Order.has_value());
    PollReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_snapshot.m_startedMs = 1;
    Reply.m_snapshot.m_clock = Milliseconds(1000);
    Reply.m_snapshot.m_active = std::move(Active);
    Reply.m_snapshot.m_ended = std::move(Ended);
    m_scheduler.onPoll(*Order, m_clock.now(), Reply);
  }

  /// Runs one scheduling round and confirms every start; returns their number.
  std::size_t scheduleOnce() {
    const Decisions Next = m_scheduler.decide();
    const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
    for (const StartOrder &Each : Starts) {
      m_sentStarts[Each.m_worker].push_back(Each);
      m_scheduler.onStart(Each, {OrderOutcome::Done, Milliseconds(1000)});
    }
    m_clock.advance(Milliseconds(50));
    return Starts.size();
  }

  /// Sends the stops that are due; the workers acknowledge them. Returns their
  /// number.
  std::size_t sendStops() {
    const ImmediateOrders Orders = m_scheduler.control();
    for (const StopOrder &Each : Orders.m_stops)
      m_scheduler.onStop(Each, {OrderOutcome::Done, std::nullopt});
    m_clock.advance(Milliseconds(10));
    return Orders.m_stops.size();
  }

  void endRun(const std::string &Name, StartOrder Run, RunEnd How) {
    std::vector<ActiveRun> Active;
    for (const StartOrder &Each : m_sentStarts[Name])
      if (Each.m_task != Run.m_task)
        Active.push_back({Each.m_task, Each.m_run, "", 50, 0});
    std::erase_if(m_sentStarts[Name], [&](const StartOrder &Each) {
      return Each.m_task == Run.m_task;
    });
    answerPoll(Name, Active,
               {{++m_endCounts[Name], Run.m_task, Run.m_run, How, ""}});
  }

  static Submission makeJob(const std::string &Name, std::uint32_t Tasks) {
    Submission Job;
    Job.m_id = Name;
    Job.m_policy = {"counts", "tally", 0, 2, 1.5, Milliseconds(250)};
    StepSpec Step;
    Step.m_count = Tasks;
    Step.m_request = {1000, 1000, 0};
    Step.m_estimate = Milliseconds(500);
    Job.m_spec.m_steps.push_back(Step);
    return Job;
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TESTING_SCHEDULER_FIXTURE_H
