// Customers of nodes that run as separate processes. Submits jobs to the queues
// of node-platform at a given rate, asks for their states, cancels those that
// last, and checks the answers. Asks all accepted jobs until they are final and
// exits with 1 if an answer was wrong.
//
//   node-callers --port 18500 --nodes 3 --seed 7 --seconds 20 --rate 4
//
// Everything that is drawn depends on the seed only; the nodes' answers decide
// how often a request is repeated.
#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/aio/event_loop.h"
#include "catkinseam/platform/boost_json.h"
#include "standin/caller_jobs.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <cmath>
#include <ctime>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

namespace catkinseam {

namespace {

namespace po = boost::program_options;

constexpr const char *HostName = "tally.example";
/// An accepted job is known to every node from this time on.
constexpr Milliseconds VisibilityDelay{3000};
constexpr Milliseconds CallTimeout{3000};
constexpr Milliseconds ReadinessInterval{500};
constexpr Milliseconds ReadinessTimeout{400};
constexpr int MaxSubmitAttempts = 12;
constexpr std::size_t ConnectionsPerNode = 24;

std::string timeText() {
  const auto Now = std::chrono::system_clock::now();
  const std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  const auto Millis =
      std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch()).count() %
      1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%FT%T", &Parts);
  std::string Fraction = std::to_string(1000 + Millis);
  Fraction[0] = '.';
  return Text + Fraction + "Z";
}

struct CallerOptions {
  std::uint16_t m_port = 0;
  std::size_t m_nodes = 3;
  std::uint64_t m_seed = 1;
  Milliseconds m_duration{10000};
  Milliseconds m_settleTime{120000};
  double m_rate = 4;
  double m_deadlyShare = 0;
};

class Callers {
public:
  Callers(EventLoop &Loop, const CallerOptions &Options)
      : m_loop(Loop), m_options(Options),
        m_source(Options.m_seed, Options.m_deadlyShare),
        m_random(Options.m_seed + 1), m_arrivalTimer(Loop) {
    for (std::size_t At = 0; At < Options.m_nodes; ++At)
      m_nodes.push_back(std::make_unique<NodeSide>(Loop, callerPort(At)));
  }

  void start() {
    for (std::size_t At = 0; At < m_nodes.size(); ++At)
      pollReadiness(At);
    scheduleArrival();
    m_loop.schedule(m_options.m_duration, [this] { beginSettling(); });
  }

  /// Prints the totals and returns the exit code.
  int report() {
    std::map<std::string, std::size_t> Totals;
    for (const auto &[Id, Each] : m_jobs) {
      if (!Each.m_acceptedAt) {
        ++Totals["not_accepted"];
        continue;
      }
      const std::string &State = Each.m_finalState;
      ++Totals["accepted"];
      ++Totals[std::string(jobKindName(Each.m_kind)) + "." +
               (State.empty() ? "not_final" : State)];
      if (State.empty())
        violation("job " + Id + " is not final at the end; last state \"" +
                  m_lastStates[Id] + "\"");
    }
    std::cout << "callers:";
    for (const auto &[Name, Count] : Totals)
      std::cout << " " << Name << "=" << Count;
    std::cout << " submits=" << m_submits << " asks=" << m_asks
              << " denied_while_not_ready=" << m_deniedWhileNotReady
              << " violations=" << m_violations << std::endl;
    return m_violations == 0 ? 0 : 1;
  }

private:
  struct NodeSide {
    NodeSide(EventLoop &Loop, std::uint16_t Port)
        : m_jobs(Loop, {"127.0.0.1", Port},
                 {.m_maxConnections = ConnectionsPerNode}),
          m_readiness(Loop, {"127.0.0.1", static_cast<std::uint16_t>(Port + 1)},
                      {.m_maxConnections = 1}) {}
    AsyncHttpClient m_jobs;
    AsyncHttpClient m_readiness;
    bool m_isReady = false;
  };

  std::uint16_t callerPort(std::size_t At) const {
    return static_cast<std::uint16_t>(m_options.m_port + 100 + 10 * (At + 1));
  }

  void violation(const std::string &Text) {
    ++m_violations;
    std::cout << timeText() << " violation: " << Text << std::endl;
  }

  std::int64_t between(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(m_random);
  }

  /// A node that is ready, or any if there is none; not `Avoided` if there is
  /// another.
  std::size_t chooseNode(std::optional<std::size_t> Avoided) {
    std::vector<std::size_t> Ready;
    for (std::size_t At = 0; At < m_nodes.size(); ++At)
      if (m_nodes[At]->m_isReady && At != Avoided)
        Ready.push_back(At);
    if (Ready.empty())
      return static_cast<std::size_t>(
          between(0, static_cast<std::int64_t>(m_nodes.size()) - 1));
    return Ready[static_cast<std::size_t>(
        between(0, static_cast<std::int64_t>(Ready.size()) - 1))];
  }

  void pollReadiness(std::size_t At) {
    HttpCall Call;
    Call.m_target = "/api/readyz";
    Call.m_timeout = ReadinessTimeout;
    m_nodes[At]->m_readiness.call(
        std::move(Call), [this, At](const HttpReply &Reply) {
          m_nodes[At]->m_isReady = Reply.isAnswered(200);
          m_loop.schedule(ReadinessInterval, [this, At] { pollReadiness(At); });
        });
  }

  void call(std::size_t Node, const std::string &Method, const Job &Of,
            const std::string &Body, HttpReplyHandler Handler) {
    HttpCall Call;
    Call.m_method = Method;
    Call.m_target = Of.target();
    Call.m_headers = {
        {"Host", HostName},
        {"X-Catkinseam-Deadline-Ms", std::to_string(CallTimeout.count())}};
    if (!Body.empty())
      Call.m_headers.emplace_back("Content-Type", "application/json");
    Call.m_body = Body;
    Call.m_timeout = CallTimeout;
    m_nodes[Node]->m_jobs.call(std::move(Call), std::move(Handler));
  }

  void scheduleArrival() {
    const double Seconds =
        -std::log(1.0 - m_source.uniform()) / m_options.m_rate;
    m_arrivalTimer.start(
        Milliseconds(static_cast<std::int64_t>(1000 * Seconds)), [this] {
          const Job Drawn = m_source.next();
          m_jobs[Drawn.m_id] = Drawn;
          submit(Drawn.m_id, std::nullopt);
          scheduleArrival();
        });
  }

  void submit(const std::string &Id, std::optional<std::size_t> Avoided) {
    Job &Submitted = m_jobs[Id];
    const std::size_t Node = chooseNode(Avoided);
    ++Submitted.m_attempts;
    ++m_submits;
    call(Node, "POST", Submitted, Submitted.m_body,
         [this, Id, Node](const HttpReply &Reply) {
           onSubmitReply(Id, Node, Reply);
         });
  }

  void onSubmitReply(const std::string &Id, std::size_t Node,
                     const HttpReply &Reply) {
    Job &Submitted = m_jobs[Id];
    if (Reply.m_outcome == CallOutcome::Answered) {
      if (Reply.m_status >= 200 && Reply.m_status < 300)
        return onAccepted(Submitted, Node);
      static const std::set<int> Retried = {429, 502, 503, 504};
      Submitted.m_isInDoubt |= Reply.m_status == 502 || Reply.m_status == 504;
      if (!Retried.contains(Reply.m_status)) {
        Submitted.m_isDenied = true;
        return violation("job " + Id + ": node " + std::to_string(Node + 1) +
                         " answers a valid job with " +
                         std::to_string(Reply.m_status));
      }
    }
    Submitted.m_isInDoubt |= Reply.m_outcome == CallOutcome::NoResponse;
    if (Submitted.m_acceptedAt)
      return;
    if (Submitted.m_attempts >= MaxSubmitAttempts)
      return scheduleAsk(Id);
    m_loop.schedule(Milliseconds(between(50, 500)),
                    [this, Id, Node] { submit(Id, Node); });
  }

  void onAccepted(Job &Accepted, std::size_t Node) {
    if (Accepted.m_acceptedAt)
      return;
    Accepted.m_acceptedAt = m_loop.now();
    Accepted.m_acceptance =
        "by node " + std::to_string(Node + 1) + " at " + timeText();
    if (!Accepted.m_isAsked)
      scheduleAsk(Accepted.m_id);
    if (Accepted.isLasting())
      m_loop.schedule(Accepted.m_cancelAfter,
                      [this, Id = Accepted.m_id] { cancel(Id); });
    // A repeat of a request may be delivered seconds after its answer.
    if (between(0, 19) == 0)
      m_loop.schedule(Milliseconds(between(500, 5000)),
                      [this, Id = Accepted.m_id] { submit(Id, std::nullopt); });
  }

  void cancel(const std::string &Id) {
    Job &Cancelled = m_jobs[Id];
    if (Cancelled.m_isCancelled)
      return;
    Cancelled.m_isCancelSent = true;
    const std::size_t Node = chooseNode(std::nullopt);
    const TimePoint SentAt = m_loop.now();
    call(Node, "DELETE", Cancelled, "",
         [this, Id, Node, SentAt](const HttpReply &Reply) {
           Job &Answered = m_jobs[Id];
           if (Reply.isAnswered(410))
             checkDenial(Answered, Node, SentAt);
           if (Reply.isAnswered(200) || Reply.isAnswered(204)) {
             Answered.m_isCancelled = true;
             return;
           }
           m_loop.schedule(Milliseconds(between(100, 500)),
                           [this, Id] { cancel(Id); });
         });
  }

  void scheduleAsk(const std::string &Id) {
    Job &Asked = m_jobs[Id];
    Asked.m_isAsked = true;
    Milliseconds Delay(between(500, 2500));
    if (!Asked.m_finalState.empty())
      Delay = Milliseconds(between(3000, 12000));
    else if (m_isSettling)
      Delay = Milliseconds(between(200, 600));
    m_loop.schedule(Delay, [this, Id] { ask(Id); });
  }

  void ask(const std::string &Id) {
    const std::size_t Node = chooseNode(std::nullopt);
    const TimePoint SentAt = m_loop.now();
    ++m_asks;
    call(Node, "GET", m_jobs[Id], "",
         [this, Id, Node, SentAt](const HttpReply &Reply) {
           Job &Asked = m_jobs[Id];
           if (Reply.isAnswered(200))
             onState(Asked, Node, Reply.m_body);
           else if (Reply.isAnswered(410))
             checkDenial(Asked, Node, SentAt);
           if (Asked.m_acceptedAt || !Asked.m_isDenied)
             scheduleAsk(Id);
         });
  }

  void checkDenial(Job &Denied, std::size_t Node, TimePoint SentAt) {
    if (!Denied.m_acceptedAt)
      Denied.m_isDenied = true;
    if (!Denied.m_acceptedAt ||
        SentAt - *Denied.m_acceptedAt <= VisibilityDelay)
      return;
    if (!m_nodes[Node]->m_isReady) {
      ++m_deniedWhileNotReady;
      return;
    }
    if (std::exchange(Denied.m_isDenied, true))
      return;
    violation("job " + Denied.m_id + " was accepted " + Denied.m_acceptance +
              ", and node " + std::to_string(Node + 1) + " answers 410");
  }

  void onState(Job &Asked, std::size_t Node, const std::string &Body) {
    auto State = attempt([&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(Parsed, parseJsonBody(Body));
      return stringMember(Parsed, "state");
    });
    const std::string At = " at node " + std::to_string(Node + 1);
    if (!State)
      return violation("job " + Asked.m_id + ": unreadable state" + At);
    const std::string &Shown = State.value();
    if (!Asked.m_acceptedAt) {
      if (!Asked.m_isInDoubt)
        violation("job " + Asked.m_id + " was refused by all, and is " + Shown +
                  At);
      onAccepted(Asked, Node);
    }
    m_lastStates[Asked.m_id] = Shown;
    if (!Asked.m_finalState.empty()) {
      // An answer may have been overtaken by that of another node, but a node
      // that is asked after a final state was shown must show it too.
      if (Shown != Asked.m_finalState)
        violation("job " + Asked.m_id + " was shown as " + Asked.m_finalState +
                  " and is " + Shown + At);
      return;
    }
    if (Shown != "completed" && Shown != "failed" && Shown != "cancelled")
      return;
    Asked.m_finalState = Shown;
    if (Shown == "failed")
      std::cout << timeText() << " failed: job " << Asked.m_id << " kind "
                << jobKindName(Asked.m_kind) << At << std::endl;
    if (Shown == "cancelled" && !Asked.m_isCancelSent)
      violation("job " + Asked.m_id + " is cancelled without a request" + At);
    if (Shown == "completed" && Asked.isLasting())
      violation("job " + Asked.m_id + " lasts and is shown as completed" + At);
  }

  void beginSettling() {
    m_isSettling = true;
    m_arrivalTimer.cancel();
    for (const auto &[Id, Each] : m_jobs)
      if (Each.m_acceptedAt && Each.isLasting() && !Each.m_isCancelSent)
        cancel(Id);
    m_loop.schedule(m_options.m_settleTime, [this] { m_loop.stop(); });
    checkSettled();
  }

  void checkSettled() {
    for (const auto &[Id, Each] : m_jobs) {
      const bool IsSubmitting = !Each.m_acceptedAt && !Each.m_isDenied;
      const bool IsWaiting = Each.m_acceptedAt && Each.m_finalState.empty();
      if (IsSubmitting || IsWaiting) {
        m_loop.schedule(Milliseconds(200), [this] { checkSettled(); });
        return;
      }
    }
    m_loop.stop();
  }

  EventLoop &m_loop;
  const CallerOptions m_options;
  /// Draws the jobs; separate from `m_random`, whose use depends on answers.
  JobSource m_source;
  std::mt19937_64 m_random;
  Timer m_arrivalTimer;
  std::vector<std::unique_ptr<NodeSide>> m_nodes;
  std::map<std::string, Job> m_jobs;
  std::map<std::string, std::string> m_lastStates;
  bool m_isSettling = false;
  std::size_t m_submits = 0;
  std::size_t m_asks = 0;
  std::size_t m_deniedWhileNotReady = 0;
  std::size_t m_violations = 0;
};

int run(int ArgCount, char **Args) {
  CallerOptions Values;
  std::int64_t Seconds = 10;
  std::int64_t SettleSeconds = 120;
  po::options_description Options("node-callers");
  Options.add_options()(
      "port", po::value(&Values.m_port)->required(),
      "port of the log service; the nodes' ports follow from it")(
      "nodes", po::value(&Values.m_nodes),
      "number of nodes")("seed", po::value(&Values.m_seed), "seed of the jobs")(
      "seconds", po::value(&Seconds), "how long jobs are submitted")(
      "settle", po::value(&SettleSeconds),
      "seconds after which accepted jobs must be final")(
      "rate", po::value(&Values.m_rate),
      "jobs per second")("deadly", po::value(&Values.m_deadlyShare),
                         "share of jobs that crash their workers");
  po::variables_map Variables;
  po::store(po::parse_command_line(ArgCount, Args, Options), Variables);
  po::notify(Variables);
  Values.m_duration = std::chrono::seconds(Seconds);
  Values.m_settleTime = std::chrono::seconds(SettleSeconds);
  EventLoop Loop;
  boost::asio::signal_set Signals(Loop.context(), SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Loop.stop(); });
  Callers All(Loop, Values);
  All.start();
  Loop.run();
  return All.report();
}

} // namespace

} // namespace catkinseam

int main(int ArgCount, char **Args) {
  try {
    return catkinseam::run(ArgCount, Args);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}
