// A scheduled job whose occurrences overlap is declared failed, though no task
// of it has failed: the record of its progress outgrows the store's limit.
#include "../standin-2/world.h"

#include <string>

using namespace review;

namespace {

int runCase6(Record &Log) {
  Store &Platform = *new Store;
  Platform.put("keyed.op", "config", config(1, {"/lohu930/"}));
  Workers &Service = *new Workers(Platform, Log, {.m_count = 12});
  Service.m_plan = [](const std::string &, int, int) { return Plan{20000, false}; };
  Nodes System(Platform, Log, 6000);
  const std::vector<std::string> Names = {"edge-a-1", "edge-b-1", "edge-c-1"};
  for (const std::string &Each : Names)
    System.start(Each, {});
  if (!System.waitReady(15000) || !System.waitOwner("", 15000))
    return 2;
  sleepMs(2000);
  const std::string Id = "5c0e7a21d94b36f0";
  // A large job, and without the disruption one of its 2.6th part.
  const int Count = isCalm() ? 770 : 2000;
  const json::value Body = {
      {"spec", "s"},
      {"repetitions", 4},
      {"firstRunMs", unixMs() + 1000},
      {"intervalMs", 3000},
      {"steps",
       json::array{json::object{{"count", Count},
                                {"cpu", 20},
                                {"memMb", 5},
                                {"estimatedMs", 20000},
                                {"checkpointing", true}}}}};
  Service.know(Id, Body);
  const Response Accepted = call(System.port(Names[0]), "POST", "/lohu930/" + Id,
                                 HostName, json::serialize(Body));
  Log.line("POST " + Id + " " + json::serialize(Body) + " -> " +
           std::to_string(Accepted.m_status) + " " + Accepted.m_body);
  if (Accepted.m_status != 200)
    return 2;
  const std::int64_t Begin = nowMs();
  std::string State;
  while (nowMs() - Begin < 75000) {
    sleepMs(1000);
    const Response Answer =
        call(System.port(Names[1]), "GET", "/lohu930/" + Id, HostName, "");
    int Failed = 0, Done = 0;
    for (const Workers::RunSeen &Each : Service.runs()) {
      Failed += Each.m_how == "failed";
      Done += Each.m_how == "done";
    }
    Log.line("GET -> " + std::to_string(Answer.m_status) + " " + Answer.m_body +
             "; at work " + std::to_string(Service.active(Id)) + ", done " +
             std::to_string(Done) + ", failed " + std::to_string(Failed) +
             "; largest record " + std::to_string(Platform.largestRecord()));
    if (Answer.m_status != 200)
      continue;
    State = json::parse(Answer.m_body).at("state").as_string().c_str();
    if (State == "failed" && Failed == 0)
      return 1;
    if (State == "completed")
      return 0;
  }
  Log.line("last state " + State);
  return 0;
}

} // namespace

int main(int, char **Args) { runCase(Args, runCase6); }
