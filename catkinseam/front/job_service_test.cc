// Outcomes reported to customers while the log is down, slow or loses replies.
#define BOOST_TEST_MODULE job_service
#include "catkinseam/front/job_service.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/ownership/testing/simulated_cluster.h"

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
  Ledger m_ledger;
  JobService m_jobService{m_host, m_view, m_ledger, {}};
  std::optional<SubmitOutcome> m_outcome;

  void submit(const std::string &Job = Id, Milliseconds Time = Budget) {
    const Submission Submitted = batchJob(Job, 2);
    m_outcome.reset();
    m_jobService.submit(Submitted.m_policy, Job, Submitted.m_spec, Time,
                        [this](SubmitOutcome Outcome) { m_outcome = Outcome; });
  }

  bool isStored(const std::string &Job = Id) const {
    return m_log.newestOf(LogTopic::Jobs, submissionKey(Job)).has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AcceptsOnlyStoredJobs, Fixture) {
  submit();
  BOOST_TEST(!m_outcome.has_value());
  m_host.advance(Milliseconds(20));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
  BOOST_TEST(isStored());
  BOOST_TEST((m_jobService.stateOf(Id) == JobState::Queued));
}

BOOST_FIXTURE_TEST_CASE(RefusesImmediatelyWhenLogIsDown, Fixture) {
  m_log.m_faults.m_isDown = true;
  submit();
  m_host.advance(Milliseconds(20));
  BOOST_TEST((m_outcome == SubmitOutcome::NotAccepted));
  m_log.m_faults.m_isDown = false;
  m_host.advance(Budget);
  BOOST_TEST(!isStored());
}

// After an append of unknown outcome, a refused retry must not turn the result
// into NotAccepted (a 503).
BOOST_FIXTURE_TEST_CASE(InDoubtSubmissionIsNeverReportedNotAccepted, Fixture) {
  m_log.m_faults.m_delayedRate = 1.0;
  submit();
  m_host.advance(Milliseconds(430));
  m_log.m_faults.m_isDown = true;
  m_host.advance(Budget);
  BOOST_TEST((m_outcome == SubmitOutcome::Unknown));
  BOOST_TEST(isStored());
}

BOOST_FIXTURE_TEST_CASE(RetriesAppendAfterLostReply, Fixture) {
  m_log.m_faults.m_lostReplyRate = 1.0;
  submit();
  m_host.advance(Milliseconds(200));
  m_log.m_faults.m_lostReplyRate = 0.0;
  m_host.advance(Milliseconds(800));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
}

// The log processes appends sequentially and slowly. Submissions that arrive
// during an append are batched, so that the log's queue does not grow.
BOOST_FIXTURE_TEST_CASE(BatchesSubmissionsDuringAppend, Fixture) {
  m_log.m_faults.m_latency = Milliseconds(350);
  int Accepted = 0;
  for (int Number = 0; Number < 30; ++Number) {
    const std::string Job = "00000000000000" + std::to_string(10 + Number);
    const Submission Submitted = batchJob(Job, 1);
    m_jobService.submit(Submitted.m_policy, Job, Submitted.m_spec, Budget,
                        [&](SubmitOutcome Outcome) {
                          Accepted += Outcome == SubmitOutcome::Accepted;
                        });
  }
  m_host.advance(Milliseconds(750));
  BOOST_TEST(Accepted == 30);
}

// The log accepts calls and answers none. The first caller gets Unknown well
// before its time budget ends; later callers are refused immediately, because
// their records were not sent.
BOOST_FIXTURE_TEST_CASE(UnresponsiveLogDoesNotBlockCallers, Fixture) {
  m_log.m_faults.m_delayedRate = 1.0;
  submit();
  m_host.advance(Milliseconds(450));
  std::optional<SubmitOutcome> Second;
  const Submission Submitted = batchJob("00000000000000a2", 1);
  m_jobService.submit(Submitted.m_policy, Submitted.m_id, Submitted.m_spec,
                      Budget, [&](SubmitOutcome Outcome) { Second = Outcome; });
  m_host.advance(Milliseconds(20));
  BOOST_TEST((Second == SubmitOutcome::NotAccepted));
  m_host.advance(Milliseconds(1500));
  BOOST_TEST((m_outcome == SubmitOutcome::Unknown));
  m_host.advance(Budget);
  BOOST_TEST(!isStored("00000000000000a2"));
}

// Load: the log has become slow, and callers come back with little time left.
// What cannot be stored in time must be refused when it arrives.
BOOST_FIXTURE_TEST_CASE(RefusesAtOnceWhatCannotBeStoredInTime, Fixture) {
  m_log.m_faults.m_latency = Milliseconds(300);
  submit();
  m_host.advance(Milliseconds(400));
  BOOST_REQUIRE((m_outcome == SubmitOutcome::Accepted));
  submit("00000000000000a2", Milliseconds(350));
  BOOST_TEST((m_outcome == SubmitOutcome::NotAccepted));
  submit("00000000000000a3", Milliseconds(600));
  m_host.advance(Milliseconds(350));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
  BOOST_TEST(!isStored("00000000000000a2"));
}

// Guards against callers that are held beyond their deadline without an answer:
// one whose record waits for an append that takes longer than expected was not
// stored, and one whose record is being appended is in doubt.
BOOST_FIXTURE_TEST_CASE(AnswersBeforeTheDeadline, Fixture) {
  m_log.m_faults.m_latency = Milliseconds(390);
  submit("00000000000000a1", Milliseconds(300));
  std::optional<SubmitOutcome> Second;
  const Submission Submitted = batchJob("00000000000000a2", 1);
  m_jobService.submit(Submitted.m_policy, Submitted.m_id, Submitted.m_spec,
                      Milliseconds(300),
                      [&](SubmitOutcome Outcome) { Second = Outcome; });
  m_host.advance(Milliseconds(199));
  BOOST_TEST(!m_outcome.has_value());
  BOOST_TEST(!Second.has_value());
  m_host.advance(Milliseconds(1));
  BOOST_TEST((m_outcome == SubmitOutcome::Unknown));
  BOOST_TEST((Second == SubmitOutcome::NotAccepted));
  m_host.advance(Milliseconds(3000));
  BOOST_TEST(isStored("00000000000000a1"));
  BOOST_TEST(!isStored("00000000000000a2"));
}

// The log is unresponsive for seconds. Only the append in flight at the start
// is in doubt. Later callers are refused immediately for the whole outage and
// accepted again within 0.7 s of its end.
BOOST_FIXTURE_TEST_CASE(LongOutageLeavesNoOtherCallerInDoubt, Fixture) {
  m_log.m_faults.m_delayedRate = 1.0;
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
  m_log.m_faults.m_delayedRate = 0.0;
  m_host.advance(Milliseconds(700));
  m_outcome.reset();
  submit("00000000000000b1");
  m_host.advance(Milliseconds(50));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
}

// One record that the log rejects must not refuse the others of its batch.
BOOST_FIXTURE_TEST_CASE(TooLongRecordRefusesOnlyItsCaller, Fixture) {
  m_log.m_limits.m_maxRecordBytes = 2000;
  submit("00000000000000a0");
  std::vector<std::optional<SubmitOutcome>> Outcomes(3);
  for (std::size_t At = 0; At < Outcomes.size(); ++At) {
    Submission Job = batchJob("00000000000000b" + std::to_string(At), 1);
    if (At == 1)
      Job.m_spec.m_payload.assign(2000, 'x');
    m_jobService.submit(
        Job.m_policy, Job.m_id, Job.m_spec, Budget,
        [&Outcomes, At](SubmitOutcome Outcome) { Outcomes[At] = Outcome; });
  }
  m_host.advance(Milliseconds(100));
  BOOST_TEST((Outcomes[0] == SubmitOutcome::Accepted));
  BOOST_TEST((Outcomes[1] == SubmitOutcome::NotAccepted));
  BOOST_TEST((Outcomes[2] == SubmitOutcome::Accepted));
}

// Jobs whose records would not fit are refused before they are accepted.
BOOST_FIXTURE_TEST_CASE(ChecksSizeOfJobs, Fixture) {
  const auto ErrorOf = [&](const JobSpec &Spec) {
    const auto Checked = attempt([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(m_jobService.checkSize(Spec));
      return true;
    });
    return Checked ? std::string() : Checked.error().m_message;
  };
  BOOST_TEST(ErrorOf(batchJob(Id, 2000).m_spec).empty());
  BOOST_TEST(ErrorOf(batchJob(Id, 3000).m_spec) ==
             "field \"steps\" needs 330072 bytes for the progress of its tasks;"
             " the limit is 262144");
  JobSpec ManySteps = batchJob(Id, 1).m_spec;
  ManySteps.m_steps.front().m_image.assign(2000, 'i');
  ManySteps.m_steps.resize(150, ManySteps.m_steps.front());
  BOOST_TEST(ErrorOf(ManySteps).find("for their description") !=
             std::string::npos);
}

// An id may be used again once its job has been forgotten. Guards against a
// node that accepts it without storing the new job.
BOOST_FIXTURE_TEST_CASE(ForgottenIdIsStoredAnew, Fixture) {
  submit();
  m_host.advance(Milliseconds(20));
  m_ledger.apply(0, submissionKey(Id),
                 m_log.newestOf(LogTopic::Jobs, submissionKey(Id)));
  submit("00000000000000a2");
  m_ledger.apply(1, submissionKey(Id), std::nullopt);
  m_log.put(LogTopic::Jobs, submissionKey(Id), std::nullopt);
  BOOST_TEST(!m_jobService.stateOf(Id).has_value());
  m_outcome.reset();
  submit();
  m_host.advance(Milliseconds(50));
  BOOST_TEST((m_outcome == SubmitOutcome::Accepted));
  BOOST_TEST(isStored());
}

BOOST_AUTO_TEST_CASE(LongestPrefixSelectsQueue) {
  OperatorConfig Config;
  Config.m_routes.resize(3);
  Config.m_routes[0] = {"a.example", "/x/", {}, Milliseconds(3000), false};
  Config.m_routes[1] = {"a.example", "/x/y/", {}, Milliseconds(3000), false};
  Config.m_routes[2] = {"b.example", "/x/", {}, Milliseconds(3000), false};
  BOOST_TEST(Config.findRoute("a.example", "/x/y/1") == &Config.m_routes[1]);
  BOOST_TEST(Config.findRoute("a.example:80", "/x/1") == &Config.m_routes[0]);
  BOOST_TEST(Config.findRoute("b.example", "/x/y/1") == &Config.m_routes[2]);
  BOOST_TEST(!Config.findRoute("c.example", "/x/1"));
}

} // namespace catkinseam
