// A scheduler under test, and workers that answer as the test says.
//
//   BOOST_FIXTURE_TEST_CASE(Name, PlanFixture) {
//     addWorker("w1");
//     m_plan.addJob(job(Id, 4), nullptr);
//     BOOST_TEST(step() == 4U);
//   }
#ifndef CATKINSEAM_SCHEDULER_TESTING_PLAN_FIXTURE_H
#define CATKINSEAM_SCHEDULER_TESTING_PLAN_FIXTURE_H

#include "catkinseam/scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// A scheduler with workers that answer as the test says.
struct PlanFixture {
  ManualClock m_clock;
  Scheduler m_plan{m_clock, {}};
  /// Runs by worker, as the last release() sent them.
  std::map<std::string, std::vector<StartOrder>> m_sent;
  std::map<std::string, std::uint64_t> m_ends;

  void addWorker(const std::string &Name, Resources Capacity = {4000, 8000, 0},
                 const std::string &Rack = "r1") {
    WorkerReport Report;
    Report.m_id = Name;
    Report.m_bornMs = 1;
    Report.m_service = "tally";
    Report.m_capacity = Capacity;
    Report.m_labels = {"a", Rack};
    m_plan.updateWorker(Report);
    look(Name, {}, {});
  }

  void look(const std::string &Name, std::vector<ActiveRun> Active,
            std::vector<EndedRun> Ended) {
    const auto Order = m_plan.nextHold(Name);
    BOOST_REQUIRE(Order.has_value());
    HoldReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_look.m_bornMs = 1;
    Reply.m_look.m_clock = Milliseconds(1000);
    Reply.m_look.m_active = std::move(Active);
    Reply.m_look.m_ended = std::move(Ended);
    m_plan.onHold(*Order, m_clock.now(), Reply);
  }

  /// Decides, stores and sends; every start is answered with Done.
  std::size_t step() {
    const Decisions Next = m_plan.decide();
    const std::vector<StartOrder> Starts = m_plan.release(Next, false);
    for (const StartOrder &Each : Starts) {
      m_sent[Each.m_worker].push_back(Each);
      m_plan.onStart(Each, {OrderOutcome::Done, Milliseconds(1000)});
    }
    m_clock.advance(Milliseconds(50));
    return Starts.size();
  }

  void end(const std::string &Name, StartOrder Run, RunEnd How) {
    std::vector<ActiveRun> Active;
    for (const StartOrder &Each : m_sent[Name])
      if (Each.m_task != Run.m_task)
        Active.push_back({Each.m_task, Each.m_run, "", 50, 0});
    std::erase_if(m_sent[Name], [&](const StartOrder &Each) {
      return Each.m_task == Run.m_task;
    });
    look(Name, Active, {{++m_ends[Name], Run.m_task, Run.m_run, How, ""}});
  }

  static Submission job(const std::string &Name, std::uint32_t Tasks) {
    Submission Job;
    Job.m_id = Name;
    Job.m_terms = {"counts", "tally", 0, 2, 1.5, Milliseconds(250)};
    StepSpec Step;
    Step.m_count = Tasks;
    Step.m_request = {1000, 1000, 0};
    Step.m_estimate = Milliseconds(500);
    Job.m_spec.m_steps.push_back(Step);
    return Job;
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TESTING_PLAN_FIXTURE_H
