// What customers are told, over a log that is down, slow or loses answers.
#define BOOST_TEST_MODULE front
#include "catkinseam/front/front.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/ownership/testing/installation.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";
constexpr Milliseconds Budget{3000};

struct Fixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  FakeLog m_log{m_host, m_random};
  FakeLog::View m_view{m_log};
  Ledger m_jobs;
  Front m_front{m_host, m_view, m_jobs, {}};
  std::optional<SubmitOutcome> m_outcome;

  void submit(const std::string &Job = Id) {
    const Submission Asked = batchJob(Job, 2);
    m_front.submit(Asked.m_terms, Job, Asked.m_spec, Budget,
                   [this](SubmitOutcome Outcome) { m_outcome = Outcome; });
  }

  bool isStored(const std::string &Job = Id) const {
    return m_log.newestOf(LogTopic::Jobs, submissionKey(Job)).has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AcceptsOnlyWhatIsStored, Fixture) {
  submit();
  BOOST_TEST(!m_outcome.has_value());
  m_host.advance(Milliseconds(20));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
  BOOST_TEST(isStored());
  BOOST_TEST((m_front.stateOf(Id) == JobState::Queued));
}

BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhenNothingCanBeStored, Fixture) {
  m_log.m_faults.m_isDown = true;
  submit();
  m_host.advance(Milliseconds(20));
  BOOST_TEST((m_outcome == SubmitOutcome::NotAccepted));
  m_log.m_faults.m_isDown = false;
  m_host.advance(Budget);
  BOOST_TEST(!isStored());
}

// Once an attempt is in doubt, a later refusal must not become a 503.
BOOST_FIXTURE_TEST_CASE(NeverSaysNotAcceptedOfWhatMayBeStored, Fixture) {
  m_log.m_faults.m_lateShare = 1.0;
  submit();
  m_host.advance(Milliseconds(430));
  m_log.m_faults.m_isDown = true;
  m_host.advance(Budget);
  BOOST_TEST((m_outcome == SubmitOutcome::Unknown));
  BOOST_TEST(isStored());
}

BOOST_FIXTURE_TEST_CASE(AnAnswerLostIsAskedForAgain, Fixture) {
  m_log.m_faults.m_lostShare = 1.0;
  submit();
  m_host.advance(Milliseconds(200));
  m_log.m_faults.m_lostShare = 0.0;
  m_host.advance(Milliseconds(800));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
}

// Pattern: the log takes its appends one by one and slowly. A node's jobs go
// together, so that the queue at the log does not grow.
BOOST_FIXTURE_TEST_CASE(WhatComesMeanwhileGoesTogether, Fixture) {
  m_log.m_faults.m_latency = Milliseconds(350);
  int Accepted = 0;
  for (int Number = 0; Number < 30; ++Number) {
    const std::string Job = "00000000000000" + std::to_string(10 + Number);
    const Submission Asked = batchJob(Job, 1);
    m_front.submit(Asked.m_terms, Job, Asked.m_spec, Budget,
                   [&](SubmitOutcome Outcome) {
                     Accepted += Outcome == SubmitOutcome::Accepted;
                   });
  }
  m_host.advance(Milliseconds(750));
  BOOST_TEST(Accepted == 30);
}

// Pattern: the log takes calls and answers none. The first caller is in doubt
// and told so well before its time is up; those after it are refused at once,
// since nothing of theirs was sent.
BOOST_FIXTURE_TEST_CASE(ASilentLogHoldsNobody, Fixture) {
  m_log.m_faults.m_lateShare = 1.0;
  submit();
  m_host.advance(Milliseconds(450));
  std::optional<SubmitOutcome> Second;
  const Submission Asked = batchJob("00000000000000a2", 1);
  m_front.submit(Asked.m_terms, Asked.m_id, Asked.m_spec, Budget,
                 [&](SubmitOutcome Outcome) { Second = Outcome; });
  m_host.advance(Milliseconds(20));
  BOOST_TEST((Second == SubmitOutcome::NotAccepted));
  m_host.advance(Milliseconds(1500));
  BOOST_TEST((m_outcome == SubmitOutcome::Unknown));
  m_host.advance(Budget);
  BOOST_TEST(!isStored("00000000000000a2"));
}

// Pattern: the log is silent for seconds. Only what was under way as it fell
// silent is in doubt; later callers are refused at once, however long it lasts,
// and taken in again within 0.7 s of its return.
BOOST_FIXTURE_TEST_CASE(ALongSilenceLeavesNoOtherCallerInDoubt, Fixture) {
  m_log.m_faults.m_lateShare = 1.0;
  submit();
  m_host.advance(Milliseconds(1000));
  for (int Number = 0; Number < 15; ++Number) {
    const std::string Job = "00000000000000" + std::to_string(10 + Number);
    m_outcome.reset();
    submit(Job);
    m_host.advance(Milliseconds(1));
    BOOST_TEST((m_outcome == SubmitOutcome::NotAccepted));
    m_host.advance(Milliseconds(300));
    BOOST_TEST(!isStored(Job));
  }
  m_log.m_faults.m_lateShare = 0.0;
  m_host.advance(Milliseconds(700));
  m_outcome.reset();
  submit("00000000000000b1");
  m_host.advance(Milliseconds(50));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
}

BOOST_FIXTURE_TEST_CASE(CancelsWaitForAnotherNodesRecord, Fixture) {
  std::optional<CancelOutcome> Outcome;
  m_front.cancel(Id, Budget, [&](CancelOutcome Told) { Outcome = Told; });
  m_host.advance(Milliseconds(50));
  BOOST_TEST(!Outcome.has_value());
  m_jobs.apply(0, submissionKey(Id), std::nullopt);
  m_host.advance(Milliseconds(400));
  BOOST_TEST((Outcome == CancelOutcome::NoSuchJob));
}

BOOST_AUTO_TEST_CASE(TheLongestPrefixFindsTheQueue) {
  OperatorConfig Config;
  Config.m_routes.resize(3);
  Config.m_routes[0] = {"a.example", "/x/", {}, Milliseconds(3000), false};
  Config.m_routes[1] = {"a.example", "/x/y/", {}, Milliseconds(3000), false};
  Config.m_routes[2] = {"b.example", "/x/", {}, Milliseconds(3000), false};
  BOOST_TEST(Config.find("a.example", "/x/y/1") == &Config.m_routes[1]);
  BOOST_TEST(Config.find("a.example:80", "/x/1") == &Config.m_routes[0]);
  BOOST_TEST(Config.find("b.example", "/x/y/1") == &Config.m_routes[2]);
  BOOST_TEST(!Config.find("c.example", "/x/1"));
}

} // namespace catkinseam
