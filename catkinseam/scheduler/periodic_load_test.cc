// Fitting a service's periodic load and predicting it.
#define BOOST_TEST_MODULE periodic_load
#include "catkinseam/scheduler/periodic_load.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numbers>
#include <random>

namespace catkinseam {

namespace {

double sineLoad(TimePoint Time, Milliseconds Period, double Mean,
                double Amplitude) {
  const double Cycles =
      std::chrono::duration<double>(Time.time_since_epoch()).count() /
      std::chrono::duration<double>(Period).count();
  return Mean + Amplitude * std::sin(2.0 * std::numbers::pi * Cycles);
}

/// Reports of one service, twelve a second, with Gaussian noise of standard
/// deviation 0.05.
struct Fixture {
  ManualClock m_clock;
  PeriodicLoad m_model{{}};
  PeriodicLoad::PeriodErrors m_sharedErrors{};
  std::mt19937 m_random{17};
  std::normal_distribution<double> m_noise{0.0, 0.05};

  void report(Duration Length, Milliseconds Period) {
    const TimePoint End = m_clock.now() + Length;
    while (m_clock.now() < End) {
      m_clock.advance(Milliseconds(83));
      m_model.observe(m_clock.now(),
                      sineLoad(m_clock.now(), Period, 0.45, 0.2) +
                          m_noise(m_random));
      m_model.fit(m_sharedErrors);
    }
  }

  double maxError(Milliseconds Period) const {
    double MaxError = 0.0;
    for (int Step = 0; Step <= 20; ++Step) {
      const TimePoint Time = m_clock.now() + Step * Milliseconds(100);
      MaxError =
          std::max(MaxError, std::abs(m_model.loadAt(Time) -
                                      sineLoad(Time, Period, 0.45, 0.2)));
    }
    return MaxError;
  }
};

} // namespace

// A sinusoidal load of mean 0.45 and amplitude 0.2, with periods around 10 s.
// Guards against prediction errors above a tenth of the mean load, which is far
// below the margin between a service's peak load and its target.
BOOST_FIXTURE_TEST_CASE(PredictsPeriodicLoad, Fixture) {
  for (const Milliseconds Period :
       {Milliseconds(7000), Milliseconds(10000), Milliseconds(14000)}) {
    Fixture Service;
    Service.report(Milliseconds(25000), Period);
    BOOST_TEST(Service.m_model.hasEnoughHistory());
    BOOST_TEST(Service.maxError(Period) < 0.045);
  }
}

BOOST_FIXTURE_TEST_CASE(LacksHistoryBeforeReports, Fixture) {
  m_model.fit(m_sharedErrors);
  BOOST_TEST(!m_model.hasEnoughHistory());
}

// A service starts while other services have already established the period.
// Guards against the model waiting for the full history instead of using the
// shared period errors; 2.5 s of reports suffice.
BOOST_FIXTURE_TEST_CASE(SharedPeriodErrorsShortenFitting, Fixture) {
  report(Milliseconds(30000), Milliseconds(10000));
  Fixture Next;
  Next.m_sharedErrors = m_sharedErrors;
  Next.m_clock.advance(Milliseconds(3000));
  Next.report(Milliseconds(2500), Milliseconds(10000));
  BOOST_TEST(Next.m_model.hasEnoughHistory());
  BOOST_TEST(Next.maxError(Milliseconds(10000)) < 0.15);
}

BOOST_FIXTURE_TEST_CASE(ConstantLoadIsPredictedConstant, Fixture) {
  for (int Step = 0; Step < 200; ++Step) {
    m_clock.advance(Milliseconds(83));
    m_model.observe(m_clock.now(), 0.5);
    m_model.fit(m_sharedErrors);
  }
  BOOST_TEST(std::abs(m_model.maxLoad(m_clock.now(), Milliseconds(2000)) -
                      0.5) < 0.01);
}

BOOST_FIXTURE_TEST_CASE(MaxLoadIsThePeakWithinTheInterval, Fixture) {
  report(Milliseconds(30000), Milliseconds(10000));
  const TimePoint Now = m_clock.now();
  double MaxLoad = 0.0;
  for (int Step = 0; Step <= 400; ++Step)
    MaxLoad = std::max(MaxLoad, m_model.loadAt(Now + Step * Milliseconds(10)));
  BOOST_TEST(std::abs(m_model.maxLoad(Now, Milliseconds(4000)) - MaxLoad) <
             0.001);
  BOOST_TEST(m_model.maxLoad(Now, Milliseconds(10000)) >= 0.6);
}

} // namespace catkinseam
