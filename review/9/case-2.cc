// After one worker has crashed, tasks that last and had just started there stay
// away for much longer than the rule allows, beside free workers.
#include "../standin-2/world.h"

#include <algorithm>
#include <string>

using namespace review;

namespace {

int runCase9(Record &Log) {
  Store &Platform = *new Store;
  Platform.put("keyed.op", "config", config(1, {"/lohu930/"}));
  // Worker 0 is the only one of kind b.
  Workers &Service = *new Workers(
      Platform, Log, {.m_count = 12, .m_labels = [](int Number) {
                        return json::array{Number == 0 ? "b" : "a",
                                           "r1-" + std::to_string(Number / 6)};
                      }});
  Service.m_plan = [](const std::string &, int, int) { return Plan{-1, false}; };
  Nodes System(Platform, Log, 6000);
  const std::vector<std::string> Names = {"edge-a-1", "edge-b-1", "edge-c-1"};
  for (const std::string &Each : Names)
    System.start(Each, {});
  if (!System.waitReady(15000) || !System.waitOwner("", 15000))
    return 2;
  sleepMs(2000);
  // A burst of jobs that last.
  constexpr int Jobs = 4, Count = 6;
  const std::string Body =
      R"({"spec":"s","steps":[{"count":6,"cpu":200,"memMb":500,"longRunning":true,"requirements":"b"}]})";
  for (int At = 0; At < Jobs; ++At) {
    const std::string Id = "5c0e7a21d94b36f" + std::to_string(At);
    Service.know(Id, json::parse(Body));
    const Response Answer = call(System.port(Names[At % 3]), "POST",
                                 "/lohu930/" + Id, HostName, Body);
    Log.line("POST " + Id + " -> " + std::to_string(Answer.m_status));
    if (Answer.m_status != 200)
      return 2;
  }
  sleepMs(300);
  // The worker with the most tasks crashes, and is back after 1.5 s.
  std::map<int, int> OnWorker;
  for (const Workers::RunSeen &Each : Service.runs())
    ++OnWorker[Each.m_worker];
  const auto Fullest = std::max_element(
      OnWorker.begin(), OnWorker.end(),
      [](const auto &One, const auto &Other) { return One.second < Other.second; });
  Log.line("tasks at work " + std::to_string(Service.runs().size()) +
           ", on the fullest worker " + std::to_string(Fullest->second));
  if (!isCalm()) {
    Service.crash(Fullest->first);
    sleepMs(1500);
    Service.restart(Fullest->first, false);
  }
  const std::int64_t Calm = nowMs();
  Log.line("calm from here");
  // 4 s of calm, then any 3 s in which a task isn't at work.
  std::map<std::string, std::int64_t> Seen;
  bool IsBroken = false;
  std::int64_t Longest = 0;
  while (nowMs() - Calm < 45000) {
    sleepMs(100);
    const std::int64_t Now = nowMs();
    for (int At = 0; At < Jobs; ++At)
      for (int Index = 0; Index < Count; ++Index)
        Seen.emplace("5c0e7a21d94b36f" + std::to_string(At) + ".0.0." +
                         std::to_string(Index),
                     Calm);
    for (const Workers::RunSeen &Each : Service.runs())
      if (Each.m_to == 0)
        Seen[Each.m_task] = Now;
    int Away = 0;
    for (const auto &[Task, At] : Seen) {
      Away += Now - At > 1000;
      if (Now - Calm >= 7000 && Now - At >= 3000) {
        IsBroken = true;
        Longest = std::max(Longest, Now - At);
      }
    }
    if ((Now - Calm) / 1000 != (Now - Calm - 100) / 1000)
      Log.line("away: " + std::to_string(Away) + " of " +
               std::to_string(Seen.size()));
  }
  Log.line("longest absence in calm " + std::to_string(Longest) + " ms");
  return IsBroken ? 1 : 0;
}

} // namespace

int main(int, char **Args) { runCase(Args, runCase9); }
