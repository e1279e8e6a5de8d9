// Answers to customers about jobs that this node has not read yet.
#define BOOST_TEST_MODULE job_lookup
#include "catkinseam/ownership/candidate.h"
#include "catkinseam/ownership/testing/simulated_cluster.h"
#include "catkinseam/platform/ingress.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";
const std::string CompletedId = "00000000000000a9";
const std::string Prefix = "/counts/";

Candidate::Options candidateOptions() {
  Candidate::Options Values;
  Values.m_node = "edge-1";
  Values.m_bootId = "b1";
  return Values;
}

/// One node that has not been started, while another node is the owner.
struct IdleFixture {
  ManualRuntime m_host;
  std::mt19937_64 m_random{1};
  FakeLog m_log{m_host, m_random};
  FakeLog::View m_view{m_log};
  Ledger m_ledger;
  Evacuations m_evacuations{m_host.clock(), {}};
  Candidate m_candidate{
      m_host,
      m_view,
      m_ledger,
      m_evacuations,
      [](const WorkerRegistration &) { return std::unique_ptr<WorkerLink>(); },
      [](const std::string &, const std::string &)
          -> Result<WorkerRegistration> { return WorkerRegistration{}; },
      candidateOptions()};
  JobService m_jobService{m_host, m_view, m_ledger, {}};
  Metrics m_metrics;
  OperatorConfig m_config;
  bool m_isConfigCurrent = true;
  JobLookup m_jobLookup{m_jobService,
                        {[this] { return m_candidate.hasCaughtUp(); },
                         [this](std::function<void(bool)> Done) {
                           m_candidate.cover(std::move(Done));
                         }}};
  std::unique_ptr<Ingress> m_ingress = std::make_unique<Ingress>(
      m_jobService, m_jobLookup, m_metrics, m_host,
      Ingress::Callbacks{
          [this] { return &m_config; }, [this] { return m_isConfigCurrent; },
          [this] { return m_candidate.isCurrent(); },
          [this] { return m_candidate.ledgerAge(); }, [] { return true; }});
  std::vector<int> m_statuses;
  std::vector<std::string> m_bodies;
  /// Responses with a Retry-After header.
  int m_retryLater = 0;
  /// When the last response arrived.
  TimePoint m_respondedAt;

  IdleFixture() {
    QueueRoute Route;
    Route.m_host = "tally.example";
    Route.m_pathPrefix = Prefix;
    Route.m_policy = batchJob(Id, 1).m_policy;
    m_config.m_routes.push_back(Route);
  }

  /// Lets time pass while the owner sends its heartbeats.
  void run(Milliseconds Time) {
    constexpr Milliseconds Step{10};
    constexpr int StepsPerHeartbeat = 20;
    for (int At = 0; At * Step < Time; ++At) {
      if (At % StepsPerHeartbeat == 0)
        m_log.put(LogTopic::Jobs, OwnerKey,
                  encode(OwnerRecord{1, "edge-2", "b2", false, 1.0, ""}));
      m_host.advance(Step);
    }
  }

  /// Another node accepts the job.
  void acceptElsewhere(const std::string &Job = Id) {
    m_log.put(LogTopic::Jobs, submissionKey(Job), encode(batchJob(Job, 1)));
  }

  void call(const char *Method, const std::string &Job = Id,
            Milliseconds Timeout = Milliseconds(5000)) {
    HttpRequest Request;
    Request.m_method = Method;
    Request.m_path = Prefix + Job;
    Request.m_headers = {
        {"Host", "tally.example"},
        {"X-Catkinseam-Deadline-Ms", std::to_string(Timeout.count())}};
    m_ingress->onCall(Request, [this](const HttpResponse &Response) {
      m_statuses.push_back(Response.m_status);
      m_bodies.push_back(Response.m_body);
      m_respondedAt = m_host.now();
      for (const auto &[Name, Value] : Response.m_headers)
        m_retryLater += Name == "Retry-After" ? 1 : 0;
    });
  }

  /// Other nodes accept enough jobs for several pages of newest records.
  void acceptManyElsewhere() {
    constexpr std::uint64_t Count = 200;
    for (std::uint64_t Number = 0; Number < Count; ++Number)
      acceptElsewhere(jobId(0xb000 + Number));
  }

  /// The owner records the state of a job.
  void recordState(const std::string &Job, JobState State) {
    JobProgress Progress;
    Progress.m_state = State;
    m_log.put(LogTopic::Jobs, progressKey(Job), encodeProgress(Progress));
  }

  void acceptCompletedElsewhere() {
    acceptElsewhere(CompletedId);
    recordState(CompletedId, JobState::Completed);
  }

  /// Lets time pass until a read has delivered records.
  void runUntilRead() {
    const std::size_t Before = m_view.m_bytesRead;
    while (m_view.m_bytesRead == Before)
      run(Milliseconds(10));
  }
};

/// One node that follows the log.
struct Fixture : IdleFixture {
  Fixture() {
    m_candidate.start();
    run(Milliseconds(1000));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(UnknownJobIsDenied, Fixture) {
  call("GET");
  call("DELETE");
  run(Milliseconds(1000));
  BOOST_TEST(m_statuses == std::vector<int>({410, 410}),
             boost::test_tools::per_element());
}

// Another node has just accepted the job; a DELETE must neither be denied nor
// have no effect.
BOOST_FIXTURE_TEST_CASE(CancelWaitsForRecordOfOtherNode, Fixture) {
  acceptElsewhere();
  call("DELETE");
  BOOST_TEST(m_statuses.empty());
  run(Milliseconds(300));
  BOOST_TEST(m_statuses == std::vector<int>({200}),
             boost::test_tools::per_element());
  BOOST_TEST(m_log.newestOf(LogTopic::Jobs, cancelKey(Id)).has_value());
}

// Guards against a 404 for a route that was added while this node could not
// read the configuration.
BOOST_FIXTURE_TEST_CASE(RouteIsNotDeniedByAnOldConfiguration, IdleFixture) {
  m_config.m_routes.clear();
  call("POST");
  m_isConfigCurrent = false;
  call("POST");
  BOOST_TEST(m_statuses == std::vector<int>({404, 503}),
             boost::test_tools::per_element());
  BOOST_TEST(m_retryLater == 1);
}

// A late reader. The connection to the log has gone silent, so the read that
// waits there delivers nothing, and the node has not yet noticed.
BOOST_FIXTURE_TEST_CASE(JobIsNotDeniedWhileReadsAreSilent, Fixture) {
  m_view.m_isPartitioned = true;
  run(Milliseconds(300));
  acceptElsewhere();
  run(Milliseconds(100));
  call("GET");
  call("DELETE");
  run(Milliseconds(3000));
  BOOST_TEST(m_statuses == std::vector<int>({503, 503}),
             boost::test_tools::per_element());
}

// A reload. The record of the job is on neither the pages of the newest records
// nor, yet, in the reads that follow them.
BOOST_FIXTURE_TEST_CASE(JobAcceptedDuringReloadIsNotDenied, Fixture) {
  acceptManyElsewhere();
  m_view.m_isPartitioned = true;
  run(Milliseconds(3000));
  m_log.compact();
  m_log.m_faults.m_latency = Milliseconds(80);
  m_view.m_isPartitioned = false;
  // The job's key precedes all others, so its page is read first.
  runUntilRead();
  acceptElsewhere();
  for (int At = 0; At < 300; ++At) {
    call("GET");
    run(Milliseconds(10));
  }
  run(Milliseconds(2000));
  BOOST_TEST(m_statuses.size() == 300U);
  BOOST_TEST(std::count(m_statuses.begin(), m_statuses.end(), 410) == 0);
  BOOST_TEST(std::count(m_statuses.begin(), m_statuses.end(), 200) > 0);
}

// Guards against lookups that hang during a reload, or show a state that
// another node has already shown as over: the history was deleted although no
// read had failed. A completed job is answered from the ledger, and an
// unfinished one and an unknown id are refused.
BOOST_FIXTURE_TEST_CASE(LookupsAreAnsweredAtOnceDuringReload, Fixture) {
  acceptElsewhere();
  acceptCompletedElsewhere();
  run(Milliseconds(500));
  acceptManyElsewhere();
  m_log.compact();
  m_log.m_faults.m_latency = Milliseconds(80);
  run(Milliseconds(200));
  for (int At = 0; At < 50; ++At) {
    m_statuses.clear();
    call("GET");
    call("GET", jobId(0xa2));
    call("GET", CompletedId);
    BOOST_TEST(m_statuses == std::vector<int>({503, 503, 200}),
               boost::test_tools::per_element());
    run(Milliseconds(10));
  }
}

// Guards against lookups that hang because the read that they wait for finds
// the history deleted.
BOOST_FIXTURE_TEST_CASE(WaitingLookupsAreAnsweredWhenReloadBegins, Fixture) {
  acceptElsewhere();
  run(Milliseconds(500));
  runUntilRead();
  call("GET");
  call("GET", jobId(0xa2));
  BOOST_TEST(m_statuses.empty());
  acceptManyElsewhere();
  m_log.compact();
  m_log.m_faults.m_latency = Milliseconds(80);
  m_host.advance(Milliseconds(10));
  BOOST_TEST(m_statuses == std::vector<int>({503, 503}),
             boost::test_tools::per_element());
}

// Guards against lookups that hang while the pages of a reload fail.
BOOST_FIXTURE_TEST_CASE(LookupsAreAnsweredAtOnceWhenReloadFails, Fixture) {
  acceptElsewhere();
  acceptCompletedElsewhere();
  run(Milliseconds(500));
  acceptManyElsewhere();
  m_log.compact();
  m_log.m_faults.m_latency = Milliseconds(80);
  run(Milliseconds(200));
  m_view.m_isPartitioned = true;
  for (int At = 0; At < 30; ++At) {
    m_statuses.clear();
    call("GET");
    call("GET", jobId(0xa2));
    call("GET", CompletedId);
    BOOST_TEST(m_statuses == std::vector<int>({503, 503, 200}),
               boost::test_tools::per_element());
    run(Milliseconds(100));
  }
}

// Guards against states from a partly read ledger: a node that loaded for the
// first time showed a completed job as queued, and as cancelled one that had
// completed before its cancellation took effect.
BOOST_FIXTURE_TEST_CASE(FirstLoadShowsNoStates, IdleFixture) {
  const std::string Cancelled = jobId(0xa2);
  acceptManyElsewhere();
  for (const std::string &Job : {Id, Cancelled}) {
    acceptElsewhere(Job);
    recordState(Job, JobState::Completed);
  }
  m_log.put(LogTopic::Jobs, cancelKey(Cancelled), "1");
  m_log.m_faults.m_latency = Milliseconds(80);
  m_candidate.start();
  for (int At = 0; At < 300; ++At) {
    call("GET");
    call("GET", Cancelled);
    run(Milliseconds(10));
  }
  BOOST_TEST(m_statuses.size() == 600U);
  for (std::size_t At = 0; At < m_statuses.size(); ++At)
    BOOST_TEST((m_statuses[At] == 503 ||
                m_bodies[At].find("completed") != std::string::npos));
  BOOST_TEST(m_statuses.back() == 200);
}

// Guards against states that are out of date after the first load: a job that
// completes while the node loads is only in the read that follows the pages.
BOOST_FIXTURE_TEST_CASE(LoadedNodeShowsNoStatesBeforeItReadsOn, IdleFixture) {
  acceptManyElsewhere();
  acceptElsewhere();
  recordState(Id, JobState::InProgress);
  m_log.m_faults.m_latency = Milliseconds(80);
  m_candidate.start();
  const auto IsProgressRead = [&] {
    const LedgerJob *Found = m_ledger.find(Id);
    return Found && Found->state() == JobState::InProgress;
  };
  while (!IsProgressRead())
    run(Milliseconds(10));
  recordState(Id, JobState::Completed);
  for (int At = 0; At < 100; ++At) {
    call("GET");
    run(Milliseconds(10));
  }
  BOOST_TEST(m_statuses.size() == 100U);
  for (std::size_t At = 0; At < m_statuses.size(); ++At)
    BOOST_TEST((m_statuses[At] == 503 ||
                m_bodies[At].find("completed") != std::string::npos));
  BOOST_TEST(m_statuses.back() == 200);
}

// Guards against a node that reports itself ready and refuses lookups: it had
// loaded, and its first read after that waited at the log.
BOOST_FIXTURE_TEST_CASE(ReadyNodeAnswersLookups, IdleFixture) {
  acceptElsewhere();
  m_host.advance(Milliseconds(10));
  m_candidate.start();
  while (!m_candidate.isCurrent())
    m_host.advance(Milliseconds(1));
  call("GET");
  call("DELETE");
  run(Milliseconds(1000));
  BOOST_TEST(m_statuses == std::vector<int>({200, 200}),
             boost::test_tools::per_element());
}

/// A node whose reads never reach the end of the log, so that no read covers
/// the time of a call.
struct LaggingFixture : Fixture {
  LaggingFixture() {
    m_log.m_faults.m_maxReadRecords = 1;
    for (int Round = 0; Round < 10; ++Round)
      acceptManyElsewhere();
    run(Milliseconds(200));
  }
};

// Guards against calls that outlive their callers: a reader that stays behind
// must not keep a lookup for longer than its caller waits.
BOOST_FIXTURE_TEST_CASE(LookupIsRefusedBeforeCallerGivesUp, LaggingFixture) {
  for (const char *Method : {"GET", "DELETE"}) {
    m_statuses.clear();
    m_retryLater = 0;
    const TimePoint Start = m_host.now();
    call(Method, Id, Milliseconds(400));
    run(Milliseconds(400));
    BOOST_TEST(m_statuses == std::vector<int>({503}),
               boost::test_tools::per_element());
    BOOST_TEST(m_retryLater == 1);
    BOOST_TEST((m_respondedAt - Start >= Milliseconds(250)));
    BOOST_TEST((m_respondedAt - Start <= Milliseconds(350)));
  }
}

// Guards against a second response, and a cancellation without a caller, when
// the node catches up after the call has been refused.
BOOST_FIXTURE_TEST_CASE(RefusedLookupHasNoLateEffect, LaggingFixture) {
  acceptElsewhere();
  call("GET", Id, Milliseconds(400));
  call("DELETE", Id, Milliseconds(400));
  run(Milliseconds(400));
  BOOST_TEST(m_statuses == std::vector<int>({503, 503}),
             boost::test_tools::per_element());
  m_log.m_faults.m_maxReadRecords = FakeLog::Faults{}.m_maxReadRecords;
  run(Milliseconds(1000));
  BOOST_TEST(m_statuses.size() == 2U);
  BOOST_TEST(!m_log.newestOf(LogTopic::Jobs, cancelKey(Id)).has_value());
  call("GET");
  run(Milliseconds(1000));
  BOOST_TEST(m_statuses.back() == 200);
}

// Guards against callbacks of pending lookups that run after the ingress is
// gone.
BOOST_FIXTURE_TEST_CASE(PendingLookupEndsWithIngress, LaggingFixture) {
  call("GET", Id, Milliseconds(400));
  call("GET", Id, Milliseconds(5000));
  m_ingress.reset();
  run(Milliseconds(400));
  m_log.m_faults.m_maxReadRecords = FakeLog::Faults{}.m_maxReadRecords;
  run(Milliseconds(1000));
  BOOST_TEST(m_statuses.empty());
}

/// A node that knows a job as in progress, on a log where records are always
/// ready. Its last read has just been delivered.
struct BusyLogFixture : Fixture {
  void prepare(Milliseconds Latency) {
    acceptElsewhere();
    recordState(Id, JobState::InProgress);
    m_log.m_faults.m_latency = Latency;
    for (int Reads = 0; Reads < 5; ++Reads)
      runUntilRead();
  }

  /// Asks for the job's state, which must be the one in the log.
  void expectCompleted() {
    call("GET");
    run(Milliseconds(1000));
    BOOST_REQUIRE(m_bodies.size() == 1U);
    BOOST_TEST(m_bodies.front().find("completed") != std::string::npos);
  }
};

// Guards against a state that is taken back: the read in flight has not arrived
// at the log, so it does not show that nothing was appended.
BOOST_FIXTURE_TEST_CASE(ReadOnItsWayIsWaitedFor, BusyLogFixture) {
  prepare(Milliseconds(80));
  m_host.advance(Milliseconds(110));
  recordState(Id, JobState::Completed);
  expectCompleted();
}

// Guards against a state that is taken back: the reply of the read in flight is
// overdue, as after a pause of the process.
BOOST_FIXTURE_TEST_CASE(OverdueReadIsWaitedFor, BusyLogFixture) {
  prepare(Milliseconds(4));
  recordState(Id, JobState::Completed);
  m_log.m_faults.m_replyLatency = Milliseconds(400);
  m_host.advance(Milliseconds(300));
  expectCompleted();
}

} // namespace catkinseam
