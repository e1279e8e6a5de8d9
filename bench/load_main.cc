// Open-loop load generator: requests are sent on a fixed schedule, independent
// of how fast responses arrive.
//
//   catkinseam-load --target 127.0.0.1:8080 --profile 0:500,10:500
//       --kind short:95:50:500:1 --kind long:5:1500:6000:1
//
// A kind is NAME:WEIGHT:WORK_MS:DEADLINE_MS:IDEMPOTENT(0|1). Latency is
// measured from the scheduled time. Prints a table; --json FILE also writes
// JSON. With an --admin for each target it behaves like a load balancer: it
// polls /readyz and sends to ready entries only.
#include "catkinseam/base/hash.h"
#include "catkinseam/base/ticker.h"
#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"
#include "standin/history.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace {

using namespace catkinseam;
namespace po = boost::program_options;

constexpr std::uint32_t ScheduleSeed = 20261204;
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// Added to the deadline as the call timeout, so that late responses are seen.
constexpr Duration LateResponseWait = std::chrono::seconds(2);

struct Kind {
  std::string m_name;
  double m_weight = 1;
  double m_workMs = 1;
  Milliseconds m_deadline{1000};
  bool m_isIdempotent = true;
};

struct Arrival {
  Duration m_scheduledAt{0};
  std::size_t m_kind = 0;
};

enum class CallOutcome { Answered, NotRun, Unknown, WrongResponse, NoResponse };

struct Sample {
  std::size_t m_kind = 0;
  CallOutcome m_outcome = CallOutcome::NoResponse;
  Duration m_latency{0};
  Duration m_scheduledAt{0};
};

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

Kind parseKind(const std::string &Text) {
  const std::vector<std::string> Parts = split(Text, ':');
  Kind Parsed;
  Parsed.m_name = Parts.at(0);
  Parsed.m_weight = std::stod(Parts.at(1));
  Parsed.m_workMs = std::stod(Parts.at(2));
  Parsed.m_deadline = Milliseconds(std::stol(Parts.at(3)));
  Parsed.m_isIdempotent = Parts.at(4) == "1";
  return Parsed;
}

/// Points of the load profile: seconds and requests per second.
using Profile = std::vector<std::pair<double, double>>;

Profile parseProfile(const std::string &Text) {
  Profile Points;
  for (const std::string &Point : split(Text, ',')) {
    const std::vector<std::string> Parts = split(Point, ':');
    Points.emplace_back(std::stod(Parts.at(0)), std::stod(Parts.at(1)));
  }
  return Points;
}

double rateAt(const Profile &Points, double Seconds) {
  for (std::size_t Index = 1; Index < Points.size(); ++Index) {
    const auto [From, Low] = Points[Index - 1];
    const auto [To, High] = Points[Index];
    if (Seconds <= To)
      return Low + (High - Low) * (Seconds - From) / (To - From);
  }
  return Points.back().second;
}

/// Returns Poisson arrivals that follow the profile; deterministic per seed.
std::vector<Arrival> makeSchedule(const Profile &Points,
                                  const std::vector<Kind> &Kinds,
                                  std::uint32_t Seed) {
  std::mt19937 Generator(Seed);
  std::exponential_distribution<double> Gap(1);
  std::vector<double> Weights;
  Weights.reserve(Kinds.size());
  for (const Kind &Each : Kinds)
    Weights.push_back(Each.m_weight);
  std::discrete_distribution<std::size_t> Pick(Weights.begin(), Weights.end());
  std::vector<Arrival> Schedule;
  double Now = Points.front().first;
  while (true) {
    Now += Gap(Generator) / std::max(1.0, rateAt(Points, Now));
    if (Now >= Points.back().first)
      return Schedule;
    Schedule.push_back({std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Now)),
                        Pick(Generator)});
  }
}

/// Tracks which entries are ready, as a load balancer does.
class TargetPool {
public:
  TargetPool(std::vector<Endpoint> Callers, std::vector<Endpoint> Admins)
      : m_callers(std::move(Callers)), m_admins(std::move(Admins)),
        m_isReady(m_callers.size()) {
    for (std::atomic<bool> &Each : m_isReady)
      Each = true;
    if (!m_admins.empty())
      m_poller = std::make_unique<Ticker>(PollInterval, [this] { poll(); });
  }

  const Endpoint &at(std::size_t Index) const { return m_callers[Index]; }
  bool isReady(std::size_t Index) const { return m_isReady[Index]; }

  /// Returns the first ready target from index `From` on, wrapping around, or
  /// `From` if none is ready.
  std::size_t nextReady(std::size_t From) const {
    for (std::size_t Step = 0; Step < m_callers.size(); ++Step) {
      const std::size_t Index = (From + Step) % m_callers.size();
      if (m_isReady[Index])
        return Index;
    }
    return From % m_callers.size();
  }

private:
  static constexpr Duration PollInterval = std::chrono::milliseconds(50);
  static constexpr Duration PollTimeout = std::chrono::milliseconds(500);

  void poll() {
    HttpRequest Request;
    Request.m_path = "/readyz";
    for (std::size_t Index = 0; Index < m_admins.size(); ++Index) {
      const CallResult Answer =
          m_client.call(m_admins[Index], Request, PollTimeout);
      m_isReady[Index] =
          Answer.m_response && Answer.m_response->m_status == 200;
    }
  }

  const std::vector<Endpoint> m_callers;
  const std::vector<Endpoint> m_admins;
  std::vector<std::atomic<bool>> m_isReady;
  HttpClient m_client;
  std::unique_ptr<Ticker> m_poller;
};

class LoadGenerator {
public:
  LoadGenerator(const TargetPool &Pool, std::vector<Kind> Kinds,
                std::vector<Arrival> Schedule, standin::HistoryFile &History,
                std::string Prefix)
      : m_targetPool(Pool), m_kinds(std::move(Kinds)),
        m_schedule(std::move(Schedule)), m_history(History),
        m_prefix(std::move(Prefix)) {
    m_samples.resize(m_schedule.size());
  }

  void run(std::size_t Threads) {
    m_start = m_clock.now() + std::chrono::milliseconds(100);
    std::vector<std::thread> Senders;
    for (std::size_t Index = 0; Index < Threads; ++Index)
      Senders.emplace_back([this, Index] { send(Index); });
    for (std::thread &Each : Senders)
      Each.join();
  }

  const std::vector<Sample> &samples() const { return m_samples; }
  const std::vector<Kind> &kinds() const { return m_kinds; }

private:
  void send(std::size_t Sender) {
    std::size_t Target = m_targetPool.nextReady(Sender);
    HttpConnection Connection(m_targetPool.at(Target));
    while (true) {
      const std::size_t Index = m_next++;
      if (Index >= m_schedule.size())
        return;
      const Arrival &NextArrival = m_schedule[Index];
      std::this_thread::sleep_until(m_start + NextArrival.m_scheduledAt);
      if (!m_targetPool.isReady(Target) || !Connection.isUsable()) {
        Target =
            m_targetPool.nextReady(Target + (Connection.isUsable() ? 1 : 0));
        Connection = HttpConnection(m_targetPool.at(Target));
      }
      m_samples[Index] = sendOne(Connection, Index, NextArrival);
    }
  }

  Sample sendOne(HttpConnection &Connection, std::size_t Index,
                 const Arrival &NextArrival) {
    const Kind &RequestKind = m_kinds[NextArrival.m_kind];
    const std::string Id = m_prefix + std::to_string(Index);
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = "/" + RequestKind.m_name;
    Request.m_query = "work_ms=" + std::to_string(RequestKind.m_workMs);
    Request.m_body = "body of " + Id;
    Request.m_headers = {{"Request-Id", Id},
                         {"Catkinseam-Kind", RequestKind.m_name},
                         {"Catkinseam-Deadline-Ms",
                          std::to_string(RequestKind.m_deadline.count())}};
    if (!RequestKind.m_isIdempotent)
      Request.m_headers.emplace_back("Idempotency-Key", Id);
    if (!Connection.isUsable())
      attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Connection.connect(ConnectTimeout));
        return true;
      });
    const CallResult Answer =
        Connection.call(Request, RequestKind.m_deadline + LateResponseWait);
    Sample Observed;
    Observed.m_kind = NextArrival.m_kind;
    Observed.m_scheduledAt = NextArrival.m_scheduledAt;
    Observed.m_latency = m_clock.now() - (m_start + NextArrival.m_scheduledAt);
    Observed.m_outcome = classify(Answer, Id, Request.m_body);
    static constexpr const char *OutcomeNames[] = {
        "answered", "not_run", "unknown", "wrong", "no_answer"};
    m_history.write(
        "told", {Id, RequestKind.m_isIdempotent ? "idempotent" : "once",
                 OutcomeNames[static_cast<std::size_t>(Observed.m_outcome)]});
    return Observed;
  }

  static CallOutcome classify(const CallResult &Answer, const std::string &Id,
                              const std::string &Body) {
    if (!Answer.m_response)
      return CallOutcome::NoResponse;
    const std::string *Outcome =
        Answer.m_response->header("Catkinseam-Outcome");
    const std::string Name = Outcome == nullptr ? "answered" : *Outcome;
    if (Name == "not_run")
      return CallOutcome::NotRun;
    if (Name == "unknown" || Answer.m_response->m_status >= 500)
      return CallOutcome::Unknown;
    const std::string &Text = Answer.m_response->m_body;
    const bool IsMatching = Text.rfind("served " + Id + " by ", 0) == 0 &&
                            Text.size() > Body.size() &&
                            Text.substr(Text.size() - Body.size()) == Body;
    return IsMatching ? CallOutcome::Answered : CallOutcome::WrongResponse;
  }

  const SystemClock m_clock;
  const TargetPool &m_targetPool;
  const std::vector<Kind> m_kinds;
  const std::vector<Arrival> m_schedule;
  standin::HistoryFile &m_history;
  const std::string m_prefix;
  TimePoint m_start;
  std::atomic<std::size_t> m_next{0};
  std::vector<Sample> m_samples;
};

double millisecondsOf(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

double quantile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Position = static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  return Values[Position];
}

struct Summary {
  std::size_t m_offered = 0;
  std::size_t m_inTime = 0;
  std::size_t m_late = 0;
  std::size_t m_afterDeadline = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_wrong = 0;
  std::size_t m_noAnswer = 0;
  std::vector<double> m_latencyMs;
  std::vector<double> m_notRunMs;
};

/// A call that ends later than this after its deadline, with any outcome,
/// counts in after_deadline_10ms.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(10);

Summary summarize(const LoadGenerator &Finished, std::size_t KindIndex,
                  Duration From, Duration To) {
  Summary Totals;
  const Kind &RequestKind = Finished.kinds()[KindIndex];
  for (const Sample &Observed : Finished.samples()) {
    if (Observed.m_kind != KindIndex || Observed.m_scheduledAt < From ||
        Observed.m_scheduledAt >= To)
      continue;
    ++Totals.m_offered;
    if (Observed.m_latency > RequestKind.m_deadline + DeadlineGrace)
      ++Totals.m_afterDeadline;
    switch (Observed.m_outcome) {
    case CallOutcome::Answered:
      ++(Observed.m_latency <= RequestKind.m_deadline ? Totals.m_inTime
                                                      : Totals.m_late);
      Totals.m_latencyMs.push_back(millisecondsOf(Observed.m_latency));
      break;
    case CallOutcome::NotRun:
      ++Totals.m_notRun;
      Totals.m_notRunMs.push_back(millisecondsOf(Observed.m_latency));
      break;
    case CallOutcome::Unknown:
      ++Totals.m_unknown;
      break;
    case CallOutcome::WrongResponse:
      ++Totals.m_wrong;
      break;
    case CallOutcome::NoResponse:
      ++Totals.m_noAnswer;
      break;
    }
  }
  return Totals;
}

JsonObject toJson(Summary &Totals, const Kind &RequestKind) {
  JsonObject Row = newObject();
  Row->set("kind", RequestKind.m_name);
  Row->set("offered", Totals.m_offered);
  Row->set("in_time", Totals.m_inTime);
  Row->set("late", Totals.m_late);
  Row->set("after_deadline_10ms", Totals.m_afterDeadline);
  Row->set("not_run", Totals.m_notRun);
  Row->set("unknown", Totals.m_unknown);
  Row->set("wrong", Totals.m_wrong);
  Row->set("no_answer", Totals.m_noAnswer);
  Row->set("p50_ms", quantile(Totals.m_latencyMs, 0.5));
  Row->set("p90_ms", quantile(Totals.m_latencyMs, 0.9));
  Row->set("p99_ms", quantile(Totals.m_latencyMs, 0.99));
  Row->set("refusal_p99_ms", quantile(Totals.m_notRunMs, 0.99));
  Row->set("useful_slot_seconds",
           static_cast<double>(Totals.m_inTime) * RequestKind.m_workMs / 1000);
  return Row;
}

void report(const LoadGenerator &Finished, Duration From, Duration To,
            const std::string &JsonPath) {
  JsonArray Rows = newArray();
  const std::vector<const char *> Columns = {
      "kind",  "offered",   "in_time", "late",   "not_run", "unknown",
      "wrong", "no_answer", "p50_ms",  "p90_ms", "p99_ms",  "refusal_p99_ms"};
  for (const char *Title : Columns)
    std::cout << std::setw(11) << Title;
  std::cout << "\n";
  for (std::size_t Index = 0; Index < Finished.kinds().size(); ++Index) {
    Summary Totals = summarize(Finished, Index, From, To);
    const JsonObject Row = toJson(Totals, Finished.kinds()[Index]);
    for (const char *Title : Columns) {
      const Poco::Dynamic::Var Cell = Row->get(Title);
      std::cout << std::setw(11);
      if (Cell.type() == typeid(double))
        std::cout << std::fixed << std::setprecision(2)
                  << Cell.convert<double>();
      else
        std::cout << Cell.convert<std::string>();
    }
    std::cout << "\n";
    Rows->add(Row);
  }
  if (JsonPath.empty())
    return;
  JsonObject Body = newObject();
  Body->set("kinds", Rows);
  std::ofstream(JsonPath) << toText(Body) << "\n";
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

std::vector<Endpoint> endpoints(const po::variables_map &Values,
                                const char *Option) {
  std::vector<Endpoint> Found;
  if (Values.count(Option) > 0)
    for (const std::string &Text :
         Values[Option].as<std::vector<std::string>>())
      Found.push_back(parseEndpoint(Text).value());
  return Found;
}

int run(const po::variables_map &Values) {
  std::signal(SIGPIPE, SIG_IGN);
  const TargetPool Pool(endpoints(Values, "target"),
                        endpoints(Values, "admin"));
  std::vector<Kind> Kinds;
  for (const std::string &Text : Values["kind"].as<std::vector<std::string>>())
    Kinds.push_back(parseKind(Text));
  const Profile Points = parseProfile(Values["profile"].as<std::string>());
  standin::HistoryFile History(Values["history"].as<std::string>());
  LoadGenerator Runner(
      Pool, Kinds,
      makeSchedule(Points, Kinds, Values["seed"].as<std::uint32_t>()), History,
      Values["prefix"].as<std::string>());
  Runner.run(Values["threads"].as<std::size_t>());
  report(Runner, fromSeconds(Values["from"].as<double>()),
         fromSeconds(Values["to"].as<double>()),
         Values["json"].as<std::string>());
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  po::options_description Options("options");
  Options.add_options()("target",
                        po::value<std::vector<std::string>>()->required(),
                        "IP:PORT of an entry; repeat for each")(
      "admin", po::value<std::vector<std::string>>(),
      "IP:PORT of the same entry's administration API; repeat for each")(
      "kind", po::value<std::vector<std::string>>()->required(),
      "NAME:WEIGHT:WORK_MS:DEADLINE_MS:IDEMPOTENT; repeat for each")(
      "profile", po::value<std::string>()->required(),
      "SECONDS:RATE,... in requests per second, interpolated linearly")(
      "threads", po::value<std::size_t>()->default_value(64),
      "number of connections, one thread each")(
      "seed", po::value<std::uint32_t>()->default_value(ScheduleSeed),
      "random seed of the schedule")(
      "from", po::value<double>()->default_value(0),
      "start of the summarized arrivals, in seconds")(
      "to", po::value<double>()->default_value(1e6),
      "end of the summarized arrivals, in seconds")(
      "json", po::value<std::string>()->default_value(""),
      "file to write the summary to, as JSON")(
      "history", po::value<std::string>()->default_value(""),
      "file to append the outcomes that callers saw to")(
      "prefix", po::value<std::string>()->default_value("r"),
      "prefix of request IDs");
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(ArgCount, Args, Options), Values);
    po::notify(Values);
    return run(Values);
  } catch (const std::exception &Error) {
    std::cerr << "catkinseam-load: " << Error.what() << "\n" << Options;
    return 2;
  }
}
