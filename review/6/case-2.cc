// A node loses the reply to a submission that it has relayed when it asks the
// next owner to hand over. From then on it refuses all submissions and
// cancellations.
#include "../standin-2/world.h"

#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr int AckTimeoutMs = 4000;
constexpr int RetryAfterMs = 1000;

std::string jobId(int Number) {
  char Id[20];
  std::snprintf(Id, sizeof(Id), "5c0e7a21d94b%04x", Number);
  return Id;
}

int runCase6(Record &Log) {
  Store &Platform = *new Store;
  Platform.put("keyed.op", "config", config(1, {"/lohu930/"}));
  Workers &Service = *new Workers(Platform, Log, {.m_count = 12});
  Service.m_plan = [](const std::string &, int, int) {
    return Plan{100000, false};
  };
  const std::string Body =
      R"({"spec":"s","steps":[{"count":2,"cpu":500,"memMb":100,"estimatedMs":60000}]})";
  int Next = 0;
  Nodes System(Platform, Log, 6000);
  const auto Submit = [&](const std::string &Node) {
    const std::string Id = jobId(Next++);
    Service.know(Id, json::parse(Body));
    const Response Answer =
        call(System.port(Node), "POST", "/lohu930/" + Id, HostName, Body);
    Log.line("POST " + Id + " to " + Node + " -> " +
             std::to_string(Answer.m_status) + " " + Answer.m_body);
    return Answer.m_status == 200 ? Id : std::string();
  };
  // One node in each zone. The sizes are within those of the grown deployments.
  const std::string First = "edge-tt-south-a-1", Second = "edge-tt-south-d-1",
                    Large = "edge-tt-south-b-1";
  System.start(First, {.m_cpuShare = 0.1, .m_zone = "tt-south-a"});
  if (!System.waitOwner(First, 15000))
    return 2;
  System.start(Second, {.m_cpuShare = 0.1, .m_zone = "tt-south-d"});
  if (!System.waitReady(15000))
    return 2;
  sleepMs(3000);
  if (!System.isOwner(First))
    return 2;
  System.start(Large, {.m_cpuShare = 0.25, .m_zone = "tt-south-b"});
  for (int Tries = 0; !System.isReady(Large); ++Tries) {
    if (Tries > 1000)
      return 2;
    sleepMs(10);
  }
  // Three jobs of the clients of each zone.
  std::map<std::string, std::vector<std::string>> Accepted;
  for (const std::string &Node : {First, Second, Large})
    for (int At = 0; At < 3; ++At)
      Accepted[Node].push_back(Submit(Node));
  const std::int64_t Slow = nowMs();
  if (!isCalm()) {
    Log.line("the store's answers take 100 ms");
    Platform.setLatency(100);
    sleepMs(1500);
    System.signal(First, SIGSTOP);
  }
  const std::int64_t Frozen = nowMs();
  std::thread Client([&] {
    sleepMs(1300);
    Submit(Large);
  });
  std::string Owner = First;
  while (nowMs() < Slow + 4500) {
    sleepMs(50);
    for (const std::string &Each : {Second, Large})
      if (Owner != Each && System.isOwner(Each)) {
        Owner = Each;
        Log.line("owner " + Each + ", " + std::to_string(nowMs() - Frozen) +
                 " ms after the freeze");
      }
  }
  Platform.setLatency(4);
  Log.line("the store's answers take 4 ms");
  Client.join();
  sleepMs(std::max<std::int64_t>(0, Frozen + 4000 - nowMs()));
  if (!isCalm())
    System.signal(First, SIGCONT);
  // Longer than contactMs.
  sleepMs(8000);
  // Clients cancel. The platform sends a client's calls to the nodes of its
  // zone, also when it comes again.
  int Cancels = 0, Missing = 0;
  for (const auto &[Node, Ids] : Accepted)
    for (const std::string &Id : Ids) {
      if (Id.empty())
        return 2;
      const std::int64_t Begin = nowMs();
      int Status = 0;
      while (Status != 200 && nowMs() - Begin < AckTimeoutMs) {
        Status = call(System.port(Node), "DELETE", "/lohu930/" + Id, HostName, "")
                     .m_status;
        Log.line("DELETE " + Id + " to " + Node + " -> " +
                 std::to_string(Status));
        if (Status == 410)
          Status = 200;
        if (Status != 200)
          sleepMs(RetryAfterMs);
      }
      ++Cancels;
      Missing += Status != 200;
    }
  Submit(Large);
  sleepMs(10000);
  int Refused = 0;
  for (int At = 0; At < 5; ++At) {
    Refused += Submit(Large).empty();
    sleepMs(500);
  }
  Log.line("owner " + System.owner() + "; " + Large +
           (System.isReady(Large) ? " is ready" : " is not ready") +
           "; cancels without 2xx or 410 after " + std::to_string(AckTimeoutMs) +
           " ms: " + std::to_string(Missing) + " of " + std::to_string(Cancels) +
           "; later submissions refused there: " + std::to_string(Refused) +
           " of 5");
  return Missing >= 3 && 10 * Missing > Cancels ? 1 : 0;
}

} // namespace

int main(int, char **Args) { runCase(Args, runCase6); }
