// Gangs that wait for room, after a worker was lost for good, are shown as in
// progress and not counted as pending although none of their tasks has begun.
#include "../standin-2/world.h"

#include <string>

using namespace review;

namespace {

int runCase9(Record &Log) {
  Store &Platform = *new Store;
  Platform.put("keyed.op", "config", config(1, {"/lohu930/"}));
  Workers &Service = *new Workers(Platform, Log, {.m_count = 12});
  Service.m_plan = [](const std::string &, int, int) { return Plan{2000, false}; };
  Nodes System(Platform, Log, 6000);
  const std::vector<std::string> Names = {"edge-a-1", "edge-b-1", "edge-c-1"};
  for (const std::string &Each : Names)
    System.start(Each, {});
  if (!System.waitReady(15000) || !System.waitOwner("", 15000)) {
    Log.line("nodes don't start");
    return 2;
  }
  sleepMs(2000);
  if (!isCalm()) {
    Service.crash(11);
    sleepMs(8000); // longer than all leases and contactMs
  }
  // Each needs all 12 workers.
  const std::string Body =
      R"({"spec":"s","steps":[{"count":12,"cpu":3000,"memMb":100,"estimatedMs":2000,"gang":true,"antiAffinity":1}]})";
  constexpr int Jobs = 4;
  const std::int64_t Begin = nowMs();
  for (int At = 0; At < Jobs; ++At) {
    const std::string Id = "5c0e7a21d94b36f" + std::to_string(At);
    Service.know(Id, json::parse(Body));
    const Response Answer = call(System.port(Names[At % 3]), "POST",
                                 "/lohu930/" + Id, HostName, Body);
    Log.line("POST " + Id + " -> " + std::to_string(Answer.m_status));
    if (Answer.m_status != 200)
      return 2;
  }
  // Later than visible_ms + 2 s after the acceptance.
  bool IsBroken = false;
  while (nowMs() - Begin < 20000) {
    sleepMs(1000);
    int Waiting = 0;
    for (int At = 0; At < Jobs; ++At)
      Waiting += Service.started("5c0e7a21d94b36f" + std::to_string(At)) == 0;
    for (const std::string &Name : Names) {
      const Response Pending =
          call(System.port(Name), "GET", "/lohu930/", HostName, "");
      std::string States;
      for (int At = 0; At < Jobs; ++At)
        States += " " + call(System.port(Name), "GET",
                             "/lohu930/5c0e7a21d94b36f" + std::to_string(At),
                             HostName, "")
                            .m_body;
      Log.line(Name + " GET /lohu930/ -> " + std::to_string(Pending.m_status) +
               " " + Pending.m_body + "; not begun " + std::to_string(Waiting) +
               "; states" + States);
      boost::system::error_code Ec;
      const json::value Read = json::parse(Pending.m_body, Ec);
      if (Pending.m_status != 200 || Ec || nowMs() - Begin < 6000)
        continue;
      IsBroken |= 2 * Read.at("pending").to_number<int>() < Waiting;
    }
  }
  return IsBroken ? 1 : 0;
}

} // namespace

int main(int, char **Args) { runCase(Args, runCase9); }
