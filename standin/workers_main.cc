// Stand-in workers: any number in one process, each with a service listener and
// a task listener.
//
//   standin-workers --count 50 --base-port 9000 --platform 127.0.0.1:7000
//
// Worker N, counted from 0, listens on base-port+2N (service) and
// base-port+2N+1 (tasks, and POST /control
// {"slow":3,"fail_service":true,"fail_tasks":true,
// "silent":10,"lose_answers":5} to inject faults).
#include "standin/service.h"
#include "standin/task_runner.h"

#include "catkinseam/base/signals.h"
#include "catkinseam/base/ticker.h"
#include "catkinseam/net/http_client.h"
#include "catkinseam/net/http_server.h"
#include "catkinseam/platform/json.h"
#include "catkinseam/platform/worker_wire.h"

#include <Poco/Exception.h>
#include <boost/program_options.hpp>
#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace catkinseam;
namespace po = boost::program_options;

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration RegistrationTimeout = std::chrono::seconds(5);
constexpr std::int64_t MilliPerBusySlot = 1000;

class Worker {
public:
  struct Options {
    std::string m_name;
    std::uint32_t m_slots = 8;
    Resources m_capacity;
    Endpoint m_service;
    Endpoint m_tasks;
    std::size_t m_connections = 60;
  };

  Worker(const Options &Given, standin::HistoryFile &History)
      : m_options(Given), m_service(Given.m_name, Given.m_slots, History),
        m_historyListener(History),
        m_tasks(m_clock, Given.m_name, Given.m_capacity, m_historyListener) {
    HttpServer::Options Service;
    Service.m_listen = Given.m_service;
    Service.m_maxConnections = Given.m_connections;
    m_serviceServer = std::make_unique<HttpServer>(
        Service, [this](const HttpRequest &Request) {
          return m_service.handle(Request);
        });
    HttpServer::Options Tasks;
    Tasks.m_listen = Given.m_tasks;
    m_taskServer =
        std::make_unique<HttpServer>(Tasks, [this](const HttpRequest &Request) {
          return handleTaskRequest(Request);
        });
  }

  void tick() {
    m_tasks.tick();
    m_tasks.setServiceMilli(m_service.busySlots() * MilliPerBusySlot);
  }

  JsonObject instanceEntry() const {
    JsonObject Item = newObject();
    Item->set("name", m_options.m_name);
    Item->set("service", toString(m_options.m_service));
    Item->set("tasks", toString(m_options.m_tasks));
    Item->set("state", "live");
    return Item;
  }

private:
  HttpResponse handleTaskRequest(const HttpRequest &Request) {
    if (Request.m_path == "/control")
      return setFaults(Request);
    const Outcome<WorkerCommands> Commands =
        attempt([&] { return commandsFromJson(Request.m_body); });
    if (!Commands)
      return problemResponse(Commands.error());
    return jsonResponse(200, statusToJson(m_tasks.sync(Commands.value())));
  }

  HttpResponse setFaults(const HttpRequest &Request) {
    const Outcome<JsonObject> Parsed =
        attempt([&] { return parseJsonObject(Request.m_body); });
    if (!Parsed)
      return problemResponse(Parsed.error());
    const JsonObject &Body = Parsed.value();
    if (Body->has("slow"))
      m_service.setSlowdownFactor(Body->getValue<double>("slow"));
    if (Body->has("fail_service"))
      m_service.setFailingStarts(jsonBool(Body, "fail_service"));
    if (Body->has("fail_tasks"))
      m_tasks.setFailingStarts(jsonBool(Body, "fail_tasks"));
    if (Body->has("silent"))
      m_service.dropRequests(static_cast<int>(jsonInteger(Body, "silent")));
    if (Body->has("lose_answers"))
      m_service.dropResponses(
          static_cast<int>(jsonInteger(Body, "lose_answers")));
    return jsonResponse(200, "{}");
  }

  const Options m_options;
  const SystemClock m_clock;
  standin::SlotService m_service;
  standin::HistoryFileListener m_historyListener;
  standin::TaskRunner m_tasks;
  std::unique_ptr<HttpServer> m_serviceServer;
  std::unique_ptr<HttpServer> m_taskServer;
};

po::options_description describeOptions() {
  po::options_description Options("options");
  Options.add_options()("count", po::value<int>()->default_value(2),
                        "number of workers")(
      "first", po::value<int>()->default_value(1),
      "number of the first worker, used in its name")(
      "ip", po::value<std::string>()->default_value("127.0.0.1"),
      "address to listen on")(
      "base-port", po::value<int>()->default_value(9000),
      "first port")("platform", po::value<std::string>()->required(),
                    "IP:PORT of the platform to register the workers with")(
      "slots", po::value<int>()->default_value(8), "service slots per worker")(
      "connections", po::value<int>()->default_value(60),
      "service connections per worker")(
      "processors-milli", po::value<long>()->default_value(16000),
      "processors per worker, in thousandths")(
      "memory-mb", po::value<long>()->default_value(60000),
      "memory per worker, in MB")(
      "history", po::value<std::string>()->default_value(""),
      "file to append the request and task history to");
  return Options;
}

void registerWorkers(const std::string &Platform,
                     const std::vector<std::unique_ptr<Worker>> &Workers) {
  JsonArray Items = newArray();
  for (const auto &Each : Workers)
    Items->add(Each->instanceEntry());
  JsonObject Body = newObject();
  Body->set("instances", Items);
  HttpRequest Request;
  Request.m_method = "POST";
  Request.m_path = "/instances";
  Request.m_body = toText(Body);
  HttpClient Client;
  const Outcome<Endpoint> PlatformEndpoint =
      attempt([&] { return parseEndpoint(Platform); });
  if (!PlatformEndpoint ||
      !Client.call(PlatformEndpoint.value(), Request, RegistrationTimeout)
           .m_response)
    std::cerr << "standin-workers: cannot register with the platform at "
              << Platform << "\n";
}

Endpoint endpointAt(const po::variables_map &Given, int Offset) {
  return {Given["ip"].as<std::string>(),
          static_cast<std::uint16_t>(Given["base-port"].as<int>() + Offset)};
}

int run(const po::variables_map &Given) {
  blockStopSignals();
  standin::HistoryFile History(Given["history"].as<std::string>());
  std::vector<std::unique_ptr<Worker>> Workers;
  for (int Index = 0; Index < Given["count"].as<int>(); ++Index) {
    Worker::Options Each;
    Each.m_name = "w" + std::to_string(Given["first"].as<int>() + Index);
    Each.m_slots = static_cast<std::uint32_t>(Given["slots"].as<int>());
    Each.m_connections =
        static_cast<std::size_t>(Given["connections"].as<int>());
    Each.m_capacity = {Given["processors-milli"].as<long>(),
                       Given["memory-mb"].as<long>(), 0};
    Each.m_service = endpointAt(Given, 2 * Index);
    Each.m_tasks = endpointAt(Given, 2 * Index + 1);
    Workers.push_back(std::make_unique<Worker>(Each, History));
  }
  registerWorkers(Given["platform"].as<std::string>(), Workers);
  const Ticker TickTimer(TickInterval, [&] {
    for (const auto &Each : Workers)
      Each->tick();
  });
  waitForStopSignal();
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  const po::options_description Options = describeOptions();
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(ArgCount, Args, Options), Given);
    po::notify(Given);
  } catch (const po::error &Error) {
    std::cerr << "standin-workers: " << Error.what() << "\n" << Options;
    return 2;
  }
  try {
    return run(Given);
  } catch (const Poco::Exception &Error) {
    std::cerr << "standin-workers: cannot start: " << Error.displayText()
              << "\n";
    return 5;
  }
}
