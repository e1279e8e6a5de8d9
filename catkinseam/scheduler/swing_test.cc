// Learning a service's swing and foretelling it.
#define BOOST_TEST_MODULE swing
#include "catkinseam/scheduler/swing.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numbers>
#include <random>

namespace catkinseam {

namespace {

double waveAt(TimePoint When, Milliseconds Period, double Mean, double Part) {
  const double Turns =
      std::chrono::duration<double>(When.time_since_epoch()).count() /
      std::chrono::duration<double>(Period).count();
  return Mean + Part * std::sin(2.0 * std::numbers::pi * Turns);
}

/// Reports of one service: rough by 0.05, twelve a second.
struct Fixture {
  ManualClock m_clock;
  Swing m_swing{{}};
  Swing::Votes m_votes{};
  std::mt19937 m_seed{17};
  std::normal_distribution<double> m_rough{0.0, 0.05};

  void report(Duration For, Milliseconds Period) {
    const TimePoint End = m_clock.now() + For;
    while (m_clock.now() < End) {
      m_clock.advance(Milliseconds(83));
      m_swing.observe(m_clock.now(), waveAt(m_clock.now(), Period, 0.45, 0.2) +
                                         m_rough(m_seed));
      m_swing.fit(m_votes);
    }
  }

  double worstMiss(Milliseconds Period) const {
    double Worst = 0.0;
    for (int Step = 0; Step <= 20; ++Step) {
      const TimePoint When = m_clock.now() + Step * Milliseconds(100);
      Worst = std::max(
          Worst, std::abs(m_swing.at(When) - waveAt(When, Period, 0.45, 0.2)));
    }
    return Worst;
  }
};

} // namespace

// Pattern: a service whose load swings in ten seconds by half. A tenth of its
// load is far less than what lies between its crest and its target.
BOOST_FIXTURE_TEST_CASE(ForetellsASwing, Fixture) {
  for (const Milliseconds Period :
       {Milliseconds(7000), Milliseconds(10000), Milliseconds(14000)}) {
    Fixture Each;
    Each.report(Milliseconds(25000), Period);
    BOOST_TEST(Each.m_swing.isKnown());
    BOOST_TEST(Each.worstMiss(Period) < 0.045);
  }
}

BOOST_FIXTURE_TEST_CASE(KnowsNothingBeforeReports, Fixture) {
  m_swing.fit(m_votes);
  BOOST_TEST(!m_swing.isKnown());
}

// Pattern: a service begins beside others whose period is known: two seconds
// are enough.
BOOST_FIXTURE_TEST_CASE(APeriodKnownFromOthersHelps, Fixture) {
  report(Milliseconds(30000), Milliseconds(10000));
  Fixture Next;
  Next.m_votes = m_votes;
  Next.m_clock.advance(Milliseconds(3000));
  Next.report(Milliseconds(2500), Milliseconds(10000));
  BOOST_TEST(Next.m_swing.isKnown());
  BOOST_TEST(Next.worstMiss(Milliseconds(10000)) < 0.15);
}

BOOST_FIXTURE_TEST_CASE(ASteadyLoadStaysSteady, Fixture) {
  for (int Step = 0; Step < 200; ++Step) {
    m_clock.advance(Milliseconds(83));
    m_swing.observe(m_clock.now(), 0.5);
    m_swing.fit(m_votes);
  }
  BOOST_TEST(std::abs(m_swing.most(m_clock.now(), Milliseconds(2000)) - 0.5) <
             0.01);
}

BOOST_FIXTURE_TEST_CASE(MostIsTheCrestWithinASpan, Fixture) {
  report(Milliseconds(30000), Milliseconds(10000));
  const TimePoint Now = m_clock.now();
  double Most = 0.0;
  for (int Step = 0; Step <= 400; ++Step)
    Most = std::max(Most, m_swing.at(Now + Step * Milliseconds(10)));
  BOOST_TEST(std::abs(m_swing.most(Now, Milliseconds(4000)) - Most) < 0.001);
  BOOST_TEST(m_swing.most(Now, Milliseconds(10000)) >= 0.6);
}

} // namespace catkinseam
