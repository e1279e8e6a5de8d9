// Stand-in for the platform: log service, instance list and trace collector.
//
//   standin-platform --listen 127.0.0.1:7000 --retention-ms 86400000
//
// POST /control {"log":"up|down|lose_answers|slow"} injects a fault into the
// log. POST /instances adds, changes or (state "gone") removes workers.
// GET /stats returns the log's appends and bytes and the trace spans received.
#include "standin/log_store.h"

#include "catkinseam/base/signals.h"
#include "catkinseam/net/http_server.h"
#include "catkinseam/platform/json.h"

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace {

using namespace catkinseam;

enum class LogFault { None, Unavailable, LoseResponses, Slow };

std::string encodeBase64(const std::string &Bytes) {
  std::ostringstream Text;
  Poco::Base64Encoder Encoder(Text);
  Encoder.rdbuf()->setLineLength(0);
  Encoder << Bytes;
  Encoder.close();
  return Text.str();
}

class Platform {
public:
  explicit Platform(Duration Retention) : m_log(Retention) {}

  HttpResponse handle(const HttpRequest &Request) {
    const bool IsPost = Request.m_method == "POST";
    if (Request.m_path == "/streams/catkinseam/records")
      return IsPost ? appendRecord(Request) : readRecords(Request);
    if (Request.m_path == "/instances")
      return IsPost ? addInstances(Request) : listInstances();
    if (Request.m_path == "/control" && IsPost)
      return setLogFault(Request);
    if (Request.m_path == "/v1/traces" && IsPost)
      return countSpans(Request);
    if (Request.m_path == "/stats")
      return statsResponse();
    return problemResponse({ErrorCode::NotFound, Request.m_path});
  }

private:
  static HttpResponse logUnavailable() {
    return problemResponse({ErrorCode::Unavailable,
                            "the log service is unavailable (injected fault)"});
  }

  HttpResponse appendRecord(const HttpRequest &Request) {
    constexpr auto SlowAppendDelay = std::chrono::milliseconds(800);
    if (m_fault == LogFault::Unavailable)
      return logUnavailable();
    if (m_fault == LogFault::Slow)
      std::this_thread::sleep_for(SlowAppendDelay);
    const std::uint64_t Offset = m_log.append(Request.m_body);
    if (m_fault == LogFault::LoseResponses)
      return logUnavailable(); // The append took effect.
    JsonObject Body = newObject();
    Body->set("offset", Offset);
    return jsonResponse(200, toText(Body));
  }

  HttpResponse readRecords(const HttpRequest &Request) {
    if (m_fault == LogFault::Unavailable)
      return logUnavailable();
    const LogPage Page =
        m_log.read(std::stoull(Request.queryValue("from", "0")),
                   std::stoull(Request.queryValue("max", "100")),
                   Milliseconds(std::stol(Request.queryValue("wait_ms", "0"))));
    if (m_fault == LogFault::Unavailable)
      return logUnavailable();
    JsonObject Body = newObject();
    Body->set("first", Page.m_first);
    Body->set("end", Page.m_end);
    JsonArray Records = newArray();
    for (const LogEntry &Entry : Page.m_entries) {
      JsonObject Item = newObject();
      Item->set("offset", Entry.m_offset);
      Item->set("data", encodeBase64(Entry.m_bytes));
      Records->add(Item);
    }
    Body->set("records", Records);
    return jsonResponse(200, toText(Body));
  }

  HttpResponse addInstances(const HttpRequest &Request) {
    const Outcome<JsonObject> Body =
        attempt([&] { return parseJsonObject(Request.m_body); });
    if (!Body)
      return problemResponse(Body.error());
    const std::lock_guard Lock(m_mutex);
    const JsonArray Items = jsonArray(Body.value(), "instances");
    for (std::size_t Index = 0; Index < Items->size(); ++Index) {
      const JsonObject Item = Items->getObject(static_cast<unsigned>(Index));
      const std::string Name = jsonString(Item, "name");
      if (jsonString(Item, "state") == "gone") {
        m_instances.erase(Name);
        continue;
      }
      JsonObject &Instance =
          m_instances.try_emplace(Name, newObject()).first->second;
      for (const std::string &Key : Item->getNames())
        Instance->set(Key, Item->get(Key));
    }
    return jsonResponse(200, "{}");
  }

  HttpResponse listInstances() {
    const std::lock_guard Lock(m_mutex);
    JsonArray Items = newArray();
    for (const auto &[Name, Item] : m_instances)
      Items->add(Item);
    JsonObject Body = newObject();
    Body->set("instances", Items);
    return jsonResponse(200, toText(Body));
  }

  HttpResponse setLogFault(const HttpRequest &Request) {
    static const std::map<std::string, LogFault> Faults = {
        {"up", LogFault::None},
        {"down", LogFault::Unavailable},
        {"lose_answers", LogFault::LoseResponses},
        {"slow", LogFault::Slow}};
    const Outcome<JsonObject> Body =
        attempt([&] { return parseJsonObject(Request.m_body); });
    if (!Body || Faults.count(jsonString(Body.value(), "log")) == 0)
      return problemResponse({ErrorCode::Invalid, "unknown log fault"});
    m_fault = Faults.at(jsonString(Body.value(), "log"));
    return jsonResponse(200, "{}");
  }

  HttpResponse countSpans(const HttpRequest &Request) {
    std::size_t SpanCount = 0;
    for (std::size_t Position = Request.m_body.find("\"spanId\"");
         Position != std::string::npos;
         Position = Request.m_body.find("\"spanId\"", Position + 1))
      ++SpanCount;
    m_receivedSpans += SpanCount;
    return jsonResponse(200, "{}");
  }

  HttpResponse statsResponse() {
    JsonObject Body = newObject();
    Body->set("appends", m_log.appendCount());
    Body->set("bytes", m_log.appendedBytes());
    Body->set("spans", m_receivedSpans.load());
    return jsonResponse(200, toText(Body));
  }

  standin::LogStore m_log;
  std::atomic<LogFault> m_fault{LogFault::None};
  std::atomic<std::uint64_t> m_receivedSpans{0};
  std::mutex m_mutex;
  std::map<std::string, JsonObject> m_instances;
};

} // namespace

int main(int ArgCount, char **Args) {
  namespace po = boost::program_options;
  po::options_description Options("options");
  Options.add_options()("listen", po::value<std::string>()->required(),
                        "IP:PORT")(
      "retention-ms", po::value<long>()->default_value(24L * 3600 * 1000),
      "retention of log records in milliseconds");
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(ArgCount, Args, Options), Values);
    po::notify(Values);
  } catch (const po::error &Error) {
    std::cerr << "standin-platform: " << Error.what() << "\n" << Options;
    return 2;
  }
  blockStopSignals();
  Platform Service{Milliseconds(Values["retention-ms"].as<long>())};
  const Outcome<Endpoint> Listen = attempt(
      [&] { return parseEndpoint(Values["listen"].as<std::string>()); });
  if (!Listen) {
    std::cerr << "standin-platform: " << Listen.error().m_message << "\n";
    return 2;
  }
  HttpServer::Options ServerOptions;
  ServerOptions.m_listen = Listen.value();
  ServerOptions.m_maxBodyBytes = 64 * 1024 * 1024;
  try {
    const HttpServer Server(ServerOptions, [&](const HttpRequest &Request) {
      return Service.handle(Request);
    });
    waitForStopSignal();
  } catch (const Poco::Exception &Error) {
    std::cerr << "standin-platform: cannot listen on "
              << Values["listen"].as<std::string>() << ": "
              << Error.displayText() << "\n";
    return 5;
  }
  return 0;
}
