// Open-loop load: requests leave on a fixed schedule, however slow answers are.
//
//   catkinseam-load --target 127.0.0.1:8080 --profile 0:500,10:500
//       --kind short:95:50:500:1 --kind long:5:1500:6000:1
//
// A kind is NAME:WEIGHT:WORK_MS:DEADLINE_MS:IDEMPOTENT(0|1). Latency counts
// from the scheduled time. Prints a table, and JSON with --json FILE. With
// --admin for each target it does as a balancer does: it asks /readyz and uses
// ready entries only.
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
/// The load waits this much longer than the deadline, to see late answers.
constexpr Duration Patience = std::chrono::seconds(2);

struct Kind {
  std::string m_name;
  double m_weight = 1;
  double m_workMs = 1;
  Milliseconds m_deadline{1000};
  bool m_isIdempotent = true;
};

struct Arrival {
  Duration m_at{0};
  std::size_t m_kind = 0;
};

enum class Told { Answered, NotRun, Unknown, Wrong, NoAnswer };

struct Sample {
  std::size_t m_kind = 0;
  Told m_told = Told::NoAnswer;
  Duration m_latency{0};
  Duration m_at{0};
};

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Mark);)
    Parts.push_back(Part);
  return Parts;
}

Kind parseKind(const std::string &Text) {
  const std::vector<std::string> Parts = split(Text, ':');
  Kind Read;
  Read.m_name = Parts.at(0);
  Read.m_weight = std::stod(Parts.at(1));
  Read.m_workMs = std::stod(Parts.at(2));
  Read.m_deadline = Milliseconds(std::stol(Parts.at(3)));
  Read.m_isIdempotent = Parts.at(4) == "1";
  return Read;
}

/// Points of the profile: seconds and requests per second.
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

/// Poisson arrivals along the profile, the same for the same seed.
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

/// Which entries the load may use, as a balancer keeps it.
class Targets {
public:
  Targets(std::vector<Endpoint> Callers, std::vector<Endpoint> Admins)
      : m_callers(std::move(Callers)), m_admins(std::move(Admins)),
        m_isReady(m_callers.size()) {
    for (std::atomic<bool> &Each : m_isReady)
      Each = true;
    if (!m_admins.empty())
      m_poller = std::make_unique<Ticker>(PollEvery, [this] { poll(); });
  }

  const Endpoint &at(std::size_t Index) const { return m_callers[Index]; }
  bool isReady(std::size_t Index) const { return m_isReady[Index]; }

  /// Returns the first ready target from `From` on, or `From` itself.
  std::size_t nextReady(std::size_t From) const {
    for (std::size_t Step = 0; Step < m_callers.size(); ++Step) {
      const std::size_t Index = (From + Step) % m_callers.size();
      if (m_isReady[Index])
        return Index;
    }
    return From % m_callers.size();
  }

private:
  static constexpr Duration PollEvery = std::chrono::milliseconds(50);
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

class Load {
public:
  Load(const Targets &Where, std::vector<Kind> Kinds,
       std::vector<Arrival> Schedule, standin::HistoryFile &History,
       std::string Prefix)
      : m_targets(Where), m_kinds(std::move(Kinds)),
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
    std::size_t Target = m_targets.nextReady(Sender);
    HttpConnection Connection(m_targets.at(Target));
    while (true) {
      const std::size_t Index = m_next++;
      if (Index >= m_schedule.size())
        return;
      const Arrival &Due = m_schedule[Index];
      std::this_thread::sleep_until(m_start + Due.m_at);
      if (!m_targets.isReady(Target) || !Connection.isUsable()) {
        Target = m_targets.nextReady(Target + (Connection.isUsable() ? 1 : 0));
        Connection = HttpConnection(m_targets.at(Target));
      }
      m_samples[Index] = sendOne(Connection, Index, Due);
    }
  }

  Sample sendOne(HttpConnection &Connection, std::size_t Index,
                 const Arrival &Due) {
    const Kind &What = m_kinds[Due.m_kind];
    const std::string Id = m_prefix + std::to_string(Index);
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = "/" + What.m_name;
    Request.m_query = "work_ms=" + std::to_string(What.m_workMs);
    Request.m_body = "body of " + Id;
    Request.m_headers = {
        {"Request-Id", Id},
        {"Catkinseam-Kind", What.m_name},
        {"Catkinseam-Deadline-Ms", std::to_string(What.m_deadline.count())}};
    if (!What.m_isIdempotent)
      Request.m_headers.emplace_back("Idempotency-Key", Id);
    if (!Connection.isUsable())
      attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Connection.connect(ConnectTimeout));
        return true;
      });
    const CallResult Answer =
        Connection.call(Request, What.m_deadline + Patience);
    Sample Seen;
    Seen.m_kind = Due.m_kind;
    Seen.m_at = Due.m_at;
    Seen.m_latency = m_clock.now() - (m_start + Due.m_at);
    Seen.m_told = judge(Answer, Id, Request.m_body);
    static constexpr const char *Names[] = {"answered", "not_run", "unknown",
                                            "wrong", "no_answer"};
    m_history.write("told", {Id, What.m_isIdempotent ? "idempotent" : "once",
                             Names[static_cast<std::size_t>(Seen.m_told)]});
    return Seen;
  }

  static Told judge(const CallResult &Answer, const std::string &Id,
                    const std::string &Body) {
    if (!Answer.m_response)
      return Told::NoAnswer;
    const std::string *Outcome =
        Answer.m_response->header("Catkinseam-Outcome");
    const std::string Name = Outcome == nullptr ? "answered" : *Outcome;
    if (Name == "not_run")
      return Told::NotRun;
    if (Name == "unknown" || Answer.m_response->m_status >= 500)
      return Told::Unknown;
    const std::string &Text = Answer.m_response->m_body;
    const bool IsOwn = Text.rfind("served " + Id + " by ", 0) == 0 &&
                       Text.size() > Body.size() &&
                       Text.substr(Text.size() - Body.size()) == Body;
    return IsOwn ? Told::Answered : Told::Wrong;
  }

  const SystemClock m_clock;
  const Targets &m_targets;
  const std::vector<Kind> m_kinds;
  const std::vector<Arrival> m_schedule;
  standin::HistoryFile &m_history;
  const std::string m_prefix;
  TimePoint m_start;
  std::atomic<std::size_t> m_next{0};
  std::vector<Sample> m_samples;
};

double toMs(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

double quantile(std::vector<double> &Values, double Rank) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Place =
      static_cast<std::size_t>(Rank * static_cast<double>(Values.size() - 1));
  return Values[Place];
}

struct Summary {
  std::size_t m_offered = 0;
  std::size_t m_inTime = 0;
  std::size_t m_lateAnswers = 0;
  std::size_t m_afterDeadline = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_wrong = 0;
  std::size_t m_noAnswer = 0;
  std::vector<double> m_latencyMs;
  std::vector<double> m_refusalMs;
};

/// An answer of any sort later than this after the deadline is counted.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(10);

Summary summarize(const Load &Done, std::size_t KindIndex, Duration From,
                  Duration To) {
  Summary Sum;
  const Kind &What = Done.kinds()[KindIndex];
  for (const Sample &Seen : Done.samples()) {
    if (Seen.m_kind != KindIndex || Seen.m_at < From || Seen.m_at >= To)
      continue;
    ++Sum.m_offered;
    if (Seen.m_latency > What.m_deadline + DeadlineGrace)
      ++Sum.m_afterDeadline;
    switch (Seen.m_told) {
    case Told::Answered:
      ++(Seen.m_latency <= What.m_deadline ? Sum.m_inTime : Sum.m_lateAnswers);
      Sum.m_latencyMs.push_back(toMs(Seen.m_latency));
      break;
    case Told::NotRun:
      ++Sum.m_notRun;
      Sum.m_refusalMs.push_back(toMs(Seen.m_latency));
      break;
    case Told::Unknown:
      ++Sum.m_unknown;
      break;
    case Told::Wrong:
      ++Sum.m_wrong;
      break;
    case Told::NoAnswer:
      ++Sum.m_noAnswer;
      break;
    }
  }
  return Sum;
}

JsonObject toJson(Summary &Sum, const Kind &What) {
  JsonObject Row = newObject();
  Row->set("kind", What.m_name);
  Row->set("offered", Sum.m_offered);
  Row->set("in_time", Sum.m_inTime);
  Row->set("late", Sum.m_lateAnswers);
  Row->set("after_deadline_10ms", Sum.m_afterDeadline);
  Row->set("not_run", Sum.m_notRun);
  Row->set("unknown", Sum.m_unknown);
  Row->set("wrong", Sum.m_wrong);
  Row->set("no_answer", Sum.m_noAnswer);
  Row->set("p50_ms", quantile(Sum.m_latencyMs, 0.5));
  Row->set("p90_ms", quantile(Sum.m_latencyMs, 0.9));
  Row->set("p99_ms", quantile(Sum.m_latencyMs, 0.99));
  Row->set("refusal_p99_ms", quantile(Sum.m_refusalMs, 0.99));
  Row->set("useful_slot_seconds",
           static_cast<double>(Sum.m_inTime) * What.m_workMs / 1000);
  return Row;
}

void report(const Load &Done, Duration From, Duration To,
            const std::string &JsonPath) {
  JsonArray Rows = newArray();
  const std::vector<const char *> Columns = {
      "kind",  "offered",   "in_time", "late",   "not_run", "unknown",
      "wrong", "no_answer", "p50_ms",  "p90_ms", "p99_ms",  "refusal_p99_ms"};
  for (const char *Title : Columns)
    std::cout << std::setw(11) << Title;
  std::cout << "\n";
  for (std::size_t Index = 0; Index < Done.kinds().size(); ++Index) {
    Summary Sum = summarize(Done, Index, From, To);
    const JsonObject Row = toJson(Sum, Done.kinds()[Index]);
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

std::vector<Endpoint> endpoints(const po::variables_map &Given,
                                const char *Option) {
  std::vector<Endpoint> Found;
  if (Given.count(Option) > 0)
    for (const std::string &Text : Given[Option].as<std::vector<std::string>>())
      Found.push_back(parseEndpoint(Text).value());
  return Found;
}

int run(const po::variables_map &Given) {
  std::signal(SIGPIPE, SIG_IGN);
  const Targets Where(endpoints(Given, "target"), endpoints(Given, "admin"));
  std::vector<Kind> Kinds;
  for (const std::string &Text : Given["kind"].as<std::vector<std::string>>())
    Kinds.push_back(parseKind(Text));
  const Profile Points = parseProfile(Given["profile"].as<std::string>());
  standin::HistoryFile History(Given["history"].as<std::string>());
  Load Running(Where, Kinds,
               makeSchedule(Points, Kinds, Given["seed"].as<std::uint32_t>()),
               History, Given["prefix"].as<std::string>());
  Running.run(Given["threads"].as<std::size_t>());
  report(Running, fromSeconds(Given["from"].as<double>()),
         fromSeconds(Given["to"].as<double>()),
         Given["json"].as<std::string>());
  return 0;
}

} // namespace

int main(int Count, char **Words) {
  po::options_description Options("options");
  Options.add_options()("target",
                        po::value<std::vector<std::string>>()->required(),
                        "IP:PORT of an entry; repeat for each")(
      "admin", po::value<std::vector<std::string>>(),
      "IP:PORT of the same entry's administration; repeat for each")(
      "kind", po::value<std::vector<std::string>>()->required(),
      "NAME:WEIGHT:WORK_MS:DEADLINE_MS:IDEMPOTENT; repeat for each")(
      "profile", po::value<std::string>()->required(),
      "SECONDS:RATE,... requests a second, linear between the points")(
      "threads", po::value<std::size_t>()->default_value(64),
      "connections, each with a thread")(
      "seed", po::value<std::uint32_t>()->default_value(ScheduleSeed),
      "seed of the schedule")("from", po::value<double>()->default_value(0),
                              "summarise arrivals from this second on")(
      "to", po::value<double>()->default_value(1e6), "and up to this second")(
      "json", po::value<std::string>()->default_value(""),
      "JSON file")("history", po::value<std::string>()->default_value(""),
                   "file for what callers were told")(
      "prefix", po::value<std::string>()->default_value("r"),
      "start of request ids");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Words, Options), Given);
    po::notify(Given);
    return run(Given);
  } catch (const std::exception &Fault) {
    std::cerr << "catkinseam-load: " << Fault.what() << "\n" << Options;
    return 2;
  }
}
