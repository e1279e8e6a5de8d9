// Learning which fillers press on which services, and pacing by it.
#define BOOST_TEST_MODULE interference
#include "catkinseam/scheduler/pacing.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

namespace catkinseam {

namespace {

/// One worker with a service and a filler, whose tail follows a queue's law.
struct Fixture {
  ManualClock m_clock;
  Interference m_learned{{}};
  Pacing m_pacing{{}};
  PlannedWorker m_worker;
  StepSpec m_serviceSpec;
  StepSpec m_fillerSpec;
  PlannedStep m_serviceStep;
  PlannedStep m_fillerStep;
  PlannedTask m_service;
  PlannedTask m_filler;

  Fixture() {
    m_worker.m_report.m_capacity = {10000, 64000, 0};
    m_serviceSpec.m_isService = true;
    m_serviceSpec.m_targetTail = Milliseconds(18);
    m_serviceSpec.m_request = {4000, 1000, 0};
    m_fillerSpec.m_isFiller = true;
    m_fillerSpec.m_request = {2000, 1000, 0};
    m_serviceStep.m_spec = &m_serviceSpec;
    m_serviceStep.m_image = m_learned.numberOf("clock");
    m_fillerStep.m_spec = &m_fillerSpec;
    m_fillerStep.m_image = m_learned.numberOf("ledger");
    put(m_service, m_serviceStep);
    put(m_filler, m_fillerStep);
    m_worker.m_services = 1;
    m_worker.m_fillers = 1;
  }

  void put(PlannedTask &Task, PlannedStep &Step) {
    Task.m_step = &Step;
    PlannedRun Run;
    Run.m_number = 1;
    Run.m_phase = RunPhase::Running;
    Run.m_worker = &m_worker;
    Run.m_percent = 100;
    Task.m_runs.push_back(Run);
    m_worker.m_runs.push_back({&Task, 1});
  }

  /// The worker's next report: a filler at its pace, a service with a load of
  /// its own and what the filler adds.
  void report(double OwnLoad, double Pressure) {
    PlannedRun &Filler = m_filler.m_runs.front();
    Filler.m_paceSent = Filler.m_pace;
    Filler.m_figure = 20 * Filler.m_pace;
    const double Share = static_cast<double>(Filler.m_figure) / 10000.0;
    const double Load = std::min(0.98, OwnLoad + Pressure * Share);
    m_service.m_runs.front().m_figure =
        static_cast<std::int64_t>(std::lround(4.0 / (1.0 - Load)));
    m_worker.m_areTailsStale = true;
    m_clock.advance(Milliseconds(300));
    m_learned.observe(m_worker, m_clock.now());
    m_pacing.adjust(m_worker, m_learned, m_clock.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TellsPressingFromHarmlessFillers, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_pace = Step % 2 == 0 ? 100 : 25;
    report(0.3 + 0.02 * (Step % 5), 1.4);
  }
  BOOST_TEST(m_learned.pressure(m_serviceStep.m_image, m_fillerStep.m_image) >
             0.9);

  Fixture Harmless;
  for (int Step = 0; Step < 40; ++Step) {
    Harmless.m_filler.m_runs.front().m_pace = Step % 2 == 0 ? 100 : 25;
    Harmless.report(0.3 + 0.02 * (Step % 5), 0.0);
  }
  BOOST_TEST(Harmless.m_learned.pressure(Harmless.m_serviceStep.m_image,
                                         Harmless.m_fillerStep.m_image) < 0.4);
}

BOOST_FIXTURE_TEST_CASE(ASuccessorKnowsWhatWasLearned, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_pace = Step % 2 == 0 ? 100 : 25;
    report(0.3 + 0.02 * (Step % 5), 1.4);
  }
  Interference Next{{}};
  Next.adopt(m_learned.knowledge(), m_clock.now());
  const ImageNumber Service = Next.numberOf("clock");
  const ImageNumber Filler = Next.numberOf("ledger");
  BOOST_TEST(std::abs(Next.pressure(Service, Filler) -
                      m_learned.pressure(m_serviceStep.m_image,
                                         m_fillerStep.m_image)) < 0.1);
}

// Pattern: all instances of a service swing together, and a harmless filler is
// at work whenever they are busy. Their common swing says nothing against it.
BOOST_AUTO_TEST_CASE(ASwingIsNotTakenForPressure) {
  Fixture Beside;
  Fixture Alone;
  // A second worker holds another instance of the same service and no filler.
  Alone.m_worker.m_runs.pop_back();
  Alone.m_worker.m_fillers = 0;
  Alone.m_worker.m_runs.front().m_task = &Alone.m_service;
  Alone.m_service.m_step = &Beside.m_serviceStep;
  for (int Step = 0; Step < 200; ++Step) {
    const double Own = 0.45 + 0.2 * std::sin(Step * 0.19);
    Beside.m_filler.m_runs.front().m_pace = Own > 0.45 ? 100 : 0;
    Alone.m_service.m_runs.front().m_figure =
        static_cast<std::int64_t>(std::lround(4.0 / (1.0 - Own)));
    Beside.m_learned.observe(Alone.m_worker, Beside.m_clock.now());
    Beside.report(Own, 0.0);
  }
  BOOST_TEST(Beside.m_learned.pressure(Beside.m_serviceStep.m_image,
                                       Beside.m_fillerStep.m_image) < 0.15);
}

// Pattern: a service's own load swings up while a pressing filler runs beside
// it. Its tail must not stay over its target for four seconds.
BOOST_FIXTURE_TEST_CASE(HarmEndsWithinItsBound, Fixture) {
  for (int Step = 0; Step < 20; ++Step)
    report(0.3, 1.4);
  int Over = 0;
  int Longest = 0;
  for (int Step = 0; Step < 40; ++Step) {
    report(0.3 + 0.35 * std::sin(Step * 0.16), 1.4);
    Over = tailOf(m_worker.m_runs[0]) > 1.0 ? Over + 1 : 0;
    Longest = std::max(Longest, Over);
  }
  // Reports come every 0.3 s.
  BOOST_TEST(Longest * 300 < 4000);
}

// Pattern: a filler that was harmless so far begins to press. What was learned
// says to let it be; the harm has to end within four seconds all the same.
BOOST_FIXTURE_TEST_CASE(HarmByAFillerThoughtHarmlessEndsToo, Fixture) {
  // It ran, by chance, while the service was idle.
  for (int Step = 0; Step < 400; ++Step) {
    m_filler.m_runs.front().m_pace = Step % 2 == 0 ? 100 : 25;
    report(Step % 2 == 0 ? 0.2 : 0.5, 0.0);
  }
  m_filler.m_runs.front().m_pace = 100;
  int Over = 0;
  int Longest = 0;
  for (int Step = 0; Step < 60; ++Step) {
    report(0.72, 0.6);
    Over = tailOf(m_worker.m_runs[0]) > 1.0 ? Over + 1 : 0;
    Longest = std::max(Longest, Over);
  }
  BOOST_TEST(Longest * 300 < 4000);
}

BOOST_FIXTURE_TEST_CASE(OwnLoadSlowsNobodyAtOnce, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_pace = Step % 2 == 0 ? 100 : 25;
    report(0.4, 0.0);
  }
  m_filler.m_runs.front().m_pace = 100;
  m_worker.m_pacedAt = TimePoint();
  for (int Step = 0; Step < 3; ++Step)
    report(0.85, 0.0);
  BOOST_TEST(m_filler.m_runs.front().m_pace == 100);
}

BOOST_FIXTURE_TEST_CASE(ASlowedFillerComesBack, Fixture) {
  for (int Step = 0; Step < 30; ++Step)
    report(0.6, 1.4);
  BOOST_TEST(m_filler.m_runs.front().m_pace < 100);
  for (int Step = 0; Step < 30; ++Step)
    report(0.2, 1.4);
  BOOST_TEST(m_filler.m_runs.front().m_pace == 100);
}

// Pattern: a filler stands still beside a service, and the service's job is
// cancelled. Nobody is left to be harmed.
BOOST_FIXTURE_TEST_CASE(AFillerGoesOnWhenTheLastServiceLeaves, Fixture) {
  m_filler.m_runs.front().m_pace = 0;
  m_worker.m_runs.erase(m_worker.m_runs.begin());
  m_worker.m_services = 0;
  m_pacing.adjust(m_worker, m_learned, m_clock.now());
  BOOST_TEST(m_filler.m_runs.front().m_pace == 100);
}

} // namespace catkinseam
