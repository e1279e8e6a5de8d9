// Fitting the interference of fillers with services, and throttling by it.
#define BOOST_TEST_MODULE interference
#include "catkinseam/base/codec.h"
#include "catkinseam/scheduler/filler_throttle.h"
#include "catkinseam/scheduler/placement.h"
#include "catkinseam/scheduler/reservations.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

namespace catkinseam {

namespace {

/// One worker with a service and a filler. The service's tail latency is
/// proportional to 1 / (1 - load), as that of a queue.
struct Fixture {
  ManualClock m_clock;
  InterferenceModel m_model{{}};
  FillerThrottle m_throttle{{}};
  WorkerInfo m_worker;
  StepSpec m_serviceSpec;
  StepSpec m_fillerSpec;
  StepInfo m_serviceStep;
  StepInfo m_fillerStep;
  TaskInfo m_service;
  TaskInfo m_filler;

  Fixture() {
    m_worker.m_registration.m_capacity = {10000, 64000, 0};
    m_serviceSpec.m_isService = true;
    m_serviceSpec.m_targetTailLatency = Milliseconds(18);
    m_serviceSpec.m_request = {4000, 1000, 0};
    m_fillerSpec.m_isFiller = true;
    m_fillerSpec.m_request = {2000, 1000, 0};
    m_serviceStep.m_spec = &m_serviceSpec;
    m_serviceStep.m_image = m_model.acquireImage("clock");
    m_fillerStep.m_spec = &m_fillerSpec;
    m_fillerStep.m_image = m_model.acquireImage("ledger");
    addRun(m_service, m_serviceStep);
    addRun(m_filler, m_fillerStep);
    m_worker.m_services = 1;
    m_worker.m_fillers = 1;
  }

  void addRun(TaskInfo &Task, StepInfo &Step) {
    Task.m_step = &Step;
    RunInfo Run;
    Run.m_number = 1;
    Run.m_phase = RunPhase::Running;
    Run.m_worker = &m_worker;
    Run.m_percent = 100;
    Task.m_runs.push_back(Run);
    m_worker.m_runs.push_back({&Task, 1});
  }

  /// Processes the worker's next report: the filler runs at its CPU rate and
  /// adds `Coefficient` times its processor share to the service's load.
  void report(double IntrinsicLoad, double Coefficient) {
    RunInfo &Filler = m_filler.m_runs.front();
    Filler.m_confirmedCpuRatePercent = Filler.m_cpuRatePercent;
    Filler.m_measurement = 20 * Filler.m_cpuRatePercent;
    const double Share = static_cast<double>(Filler.m_measurement) / 10000.0;
    const double Load = std::min(0.98, IntrinsicLoad + Coefficient * Share);
    m_service.m_runs.front().m_measurement =
        static_cast<std::int64_t>(std::lround(4.0 / (1.0 - Load)));
    m_worker.m_areLoadHeadroomsStale = true;
    m_clock.advance(Milliseconds(300));
    m_model.observe(m_worker, m_clock.now());
    m_throttle.adjust(m_worker, m_model, m_clock.now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(DistinguishesInterferingFromHarmlessFillers, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_cpuRatePercent = Step % 2 == 0 ? 100 : 25;
    report(0.3 + 0.02 * (Step % 5), 1.4);
  }
  BOOST_TEST(m_model.interferenceCoefficient(m_serviceStep.m_image,
                                             m_fillerStep.m_image) > 0.9);

  Fixture Harmless;
  for (int Step = 0; Step < 40; ++Step) {
    Harmless.m_filler.m_runs.front().m_cpuRatePercent =
        Step % 2 == 0 ? 100 : 25;
    Harmless.report(0.3 + 0.02 * (Step % 5), 0.0);
  }
  BOOST_TEST(
      Harmless.m_model.interferenceCoefficient(
          Harmless.m_serviceStep.m_image, Harmless.m_fillerStep.m_image) < 0.4);
}

BOOST_FIXTURE_TEST_CASE(RestoredStateYieldsTheSameCoefficients, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_cpuRatePercent = Step % 2 == 0 ? 100 : 25;
    report(0.3 + 0.02 * (Step % 5), 1.4);
  }
  InterferenceModel Next{{}};
  Next.restore(m_model.state(), m_clock.now());
  const ImageIndex Service = Next.acquireImage("clock");
  const ImageIndex Filler = Next.acquireImage("ledger");
  BOOST_TEST(std::abs(Next.interferenceCoefficient(Service, Filler) -
                      m_model.interferenceCoefficient(
                          m_serviceStep.m_image, m_fillerStep.m_image)) < 0.1);
}

// The state of some dozens of images grew with the cube of their number and
// exceeded what one record may hold.
BOOST_AUTO_TEST_CASE(EncodedStateOfManyImagesKeepsWithinItsLimit) {
  constexpr std::size_t Images = 60;
  constexpr std::size_t MaxBytes = 65536;
  InterferenceModel Model{{}};
  ManualClock Clock;
  WorkerInfo Worker;
  Worker.m_registration.m_capacity = {100000, 640000, 0};
  StepSpec ServiceSpec;
  ServiceSpec.m_isService = true;
  ServiceSpec.m_targetTailLatency = Milliseconds(18);
  StepSpec FillerSpec;
  FillerSpec.m_isFiller = true;
  std::vector<StepInfo> Steps(2 * Images);
  std::vector<TaskInfo> Tasks(Steps.size());
  for (std::size_t At = 0; At < Steps.size(); ++At) {
    Steps[At].m_spec = At < Images ? &ServiceSpec : &FillerSpec;
    Steps[At].m_image = Model.acquireImage("image-" + std::to_string(At));
    Tasks[At].m_step = &Steps[At];
    RunInfo &Run = Tasks[At].m_runs.emplace_back();
    Run.m_number = 1;
    Run.m_phase = RunPhase::Running;
    Run.m_percent = 100;
    Worker.m_runs.push_back({&Tasks[At], 1});
  }
  for (std::size_t Report = 0; Report < 200; ++Report) {
    for (std::size_t At = 0; At < Steps.size(); ++At)
      Tasks[At].m_runs.front().m_measurement =
          static_cast<std::int64_t>(5 + (At * 7 + Report * At * 13) % 900);
    Clock.advance(Milliseconds(300));
    Model.observe(Worker, Clock.now());
  }
  BOOST_TEST(encode(Model.state()).size() > 262144U);
  const InterferenceModel::EncodedState Cut = Model.encodedState(MaxBytes);
  BOOST_TEST(!Cut.m_bytes.empty());
  BOOST_TEST(Cut.m_bytes.size() <= MaxBytes);
  BOOST_TEST(Cut.m_minWeight > 0.0);
  auto Decoded =
      attempt([&] { return decode<InterferenceModel::State>(Cut.m_bytes); });
  BOOST_REQUIRE(Decoded);
  BOOST_TEST(Decoded.value().m_services.size() == Images);
}

// A deployment sees new images every day. Those of ended jobs must not be kept
// for ever.
BOOST_AUTO_TEST_CASE(ImagesWithoutUsersAreForgotten) {
  InterferenceModel::Options Values;
  Values.m_maxImages = 10;
  InterferenceModel Model(Values);
  const ImageIndex Kept = Model.acquireImage("kept");
  for (int Number = 0; Number < 1000; ++Number)
    Model.releaseImage(Model.acquireImage("image-" + std::to_string(Number)));
  BOOST_TEST(Model.images() == 10U);
  BOOST_TEST(Model.acquireImage("kept") == Kept);
  // Images in use are never forgotten, even beyond the limit.
  for (int Number = 0; Number < 20; ++Number)
    Model.acquireImage("used-" + std::to_string(Number));
  BOOST_TEST(Model.images() == 21U);
}

// The load of all instances of a service varies together, and a harmless filler
// runs whenever the load is high. Guards against attributing load that the
// instances have in common to the filler.
BOOST_AUTO_TEST_CASE(PeriodicLoadIsNotAttributedToFillers) {
  Fixture WithFiller;
  Fixture WithoutFiller;
  // A second worker holds another instance of the same service and no filler.
  WithoutFiller.m_worker.m_runs.pop_back();
  WithoutFiller.m_worker.m_fillers = 0;
  WithoutFiller.m_worker.m_runs.front().m_task = &WithoutFiller.m_service;
  WithoutFiller.m_service.m_step = &WithFiller.m_serviceStep;
  for (int Step = 0; Step < 200; ++Step) {
    const double IntrinsicLoad = 0.45 + 0.2 * std::sin(Step * 0.19);
    WithFiller.m_filler.m_runs.front().m_cpuRatePercent =
        IntrinsicLoad > 0.45 ? 100 : 0;
    WithoutFiller.m_service.m_runs.front().m_measurement =
        static_cast<std::int64_t>(std::lround(4.0 / (1.0 - IntrinsicLoad)));
    WithFiller.m_model.observe(WithoutFiller.m_worker,
                               WithFiller.m_clock.now());
    WithFiller.report(IntrinsicLoad, 0.0);
  }
  BOOST_TEST(WithFiller.m_model.interferenceCoefficient(
                 WithFiller.m_serviceStep.m_image,
                 WithFiller.m_fillerStep.m_image) < 0.15);
}

// A service's intrinsic load rises while an interfering filler runs on its
// worker. Guards against the tail latency exceeding its target for 4 s.
BOOST_FIXTURE_TEST_CASE(TargetViolationEndsWithinLimit, Fixture) {
  for (int Step = 0; Step < 20; ++Step)
    report(0.3, 1.4);
  int ReportsOver = 0;
  int MostReportsOver = 0;
  for (int Step = 0; Step < 40; ++Step) {
    report(0.3 + 0.35 * std::sin(Step * 0.16), 1.4);
    ReportsOver =
        tailLatencyRatio(m_worker.m_runs[0]) > 1.0 ? ReportsOver + 1 : 0;
    MostReportsOver = std::max(MostReportsOver, ReportsOver);
  }
  // Reports come every 0.3 s.
  BOOST_TEST(MostReportsOver * 300 < 4000);
}

// A filler that the model considers harmless starts to interfere. Guards
// against throttling that relies on the model alone: the target violation must
// end within 4 s nevertheless.
BOOST_FIXTURE_TEST_CASE(ViolationByFillerModelledAsHarmlessEnds, Fixture) {
  // The filler runs at its full CPU rate only while the service has little
  // load, which makes it look harmless.
  for (int Step = 0; Step < 400; ++Step) {
    m_filler.m_runs.front().m_cpuRatePercent = Step % 2 == 0 ? 100 : 25;
    report(Step % 2 == 0 ? 0.2 : 0.5, 0.0);
  }
  m_filler.m_runs.front().m_cpuRatePercent = 100;
  int ReportsOver = 0;
  int MostReportsOver = 0;
  for (int Step = 0; Step < 60; ++Step) {
    report(0.72, 0.6);
    ReportsOver =
        tailLatencyRatio(m_worker.m_runs[0]) > 1.0 ? ReportsOver + 1 : 0;
    MostReportsOver = std::max(MostReportsOver, ReportsOver);
  }
  BOOST_TEST(MostReportsOver * 300 < 4000);
}

BOOST_FIXTURE_TEST_CASE(IntrinsicLoadDoesNotThrottleAtOnce, Fixture) {
  for (int Step = 0; Step < 40; ++Step) {
    m_filler.m_runs.front().m_cpuRatePercent = Step % 2 == 0 ? 100 : 25;
    report(0.4, 0.0);
  }
  m_filler.m_runs.front().m_cpuRatePercent = 100;
  m_worker.m_throttledAt = TimePoint();
  for (int Step = 0; Step < 3; ++Step)
    report(0.85, 0.0);
  BOOST_TEST(m_filler.m_runs.front().m_cpuRatePercent == 100);
}

BOOST_FIXTURE_TEST_CASE(ThrottledFillerRecovers, Fixture) {
  for (int Step = 0; Step < 30; ++Step)
    report(0.6, 1.4);
  BOOST_TEST(m_filler.m_runs.front().m_cpuRatePercent < 100);
  for (int Step = 0; Step < 30; ++Step)
    report(0.2, 1.4);
  BOOST_TEST(m_filler.m_runs.front().m_cpuRatePercent == 100);
}

// A filler is paused because of a service, and the service's job is cancelled.
// Guards against the filler staying paused when no service is left on the
// worker.
BOOST_FIXTURE_TEST_CASE(FillerResumesWhenTheLastServiceLeaves, Fixture) {
  m_filler.m_runs.front().m_cpuRatePercent = 0;
  m_worker.m_runs.erase(m_worker.m_runs.begin());
  m_worker.m_services = 0;
  m_throttle.adjust(m_worker, m_model, m_clock.now());
  BOOST_TEST(m_filler.m_runs.front().m_cpuRatePercent == 100);
}

// The load: batch work waits beside services that tolerate only a part of it.
// Guards against starting fillers that are throttled from their start.
BOOST_FIXTURE_TEST_CASE(FillerWaitsWhereItWouldStartThrottled, Fixture) {
  m_worker.m_runs.pop_back();
  m_worker.m_fillers = 0;
  m_worker.m_isListed = true;
  m_worker.m_hasAcceptedToken = true;
  m_worker.m_isReachable = true;
  m_worker.m_isClockKnown = true;
  const Reservations NoneKept({});
  const std::vector<WorkerInfo *> Workers{&m_worker};
  TaskInfo Waiting;
  Waiting.m_step = &m_fillerStep;
  const auto Starts = [&](std::int64_t MilliProcessors) {
    m_fillerSpec.m_request.m_milliProcessors = MilliProcessors;
    return chooseWorker(Waiting, Workers, m_model, NoneKept, m_clock.now())
               .m_worker == &m_worker;
  };
  const auto CpuRate = [&](double MilliProcessors) {
    return m_model
        .estimateFiller(m_worker, m_fillerStep.m_image, MilliProcessors,
                        m_clock.now())
        .m_cpuRateFraction;
  };
  BOOST_TEST_REQUIRE(CpuRate(900.0) < 0.8);
  BOOST_TEST_REQUIRE(CpuRate(900.0) > 0.4);
  BOOST_TEST(!Starts(900));
  BOOST_TEST_REQUIRE(CpuRate(700.0) > 0.8);
  BOOST_TEST(Starts(700));
}

} // namespace catkinseam
