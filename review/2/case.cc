// A worker crashes shortly after it has started a task that lasts. Small jobs
// keep coming. Does the task run again while there is room for it?
#include "review/standin/world.h"

using namespace review;

namespace {

constexpr std::size_t Workers = 17;
constexpr std::int64_t WorkerCpu = 16000;
constexpr std::int64_t ServiceCpu = 2000;

struct Load {
  std::size_t m_handedIn = 0, m_accepted = 0;
  bool m_isOver = false;
};

Async<void> handIn(World &All, Load &Sent, std::size_t Number) {
  const std::string Body =
      R"({"spec":"s","steps":[{"count":17,"cpu":300,"memMb":100,"estimatedMs":300}]})";
  ++Sent.m_handedIn;
  const Reply Answer =
      co_await All.callAny("POST", "/drift/" + jobId(Number), Body);
  Sent.m_accepted += Answer.m_status == 200;
}

/// One small job every 120 ms.
Async<void> sendSmallJobs(World &All, Load &Sent) {
  for (std::size_t At = 1000; !Sent.m_isOver; ++At) {
    asio::co_spawn(All.m_context, handIn(All, Sent, At), asio::detached);
    co_await sleepMs(120);
  }
}

Async<int> play(World &All) {
  const std::string Service = jobId(1);
  All.m_model = [Service](const std::string &Task) {
    if (jobOf(Task) == Service)
      return TaskModel{.m_workMs = 1,
                       .m_cpu = ServiceCpu,
                       .m_memMb = 1000,
                       .m_isService = true};
    return TaskModel{.m_workMs = 300, .m_cpu = 300, .m_memMb = 100};
  };
  All.configure(All.route("drift", 0) + "," + All.route("watch", 0));
  All.addWorkers(Workers, WorkerCpu, 64000);
  for (const char *Name : {"edge-1", "edge-2", "edge-3"})
    All.addNode(Name);
  if (!co_await All.waitUntilReady())
    co_return 2;
  Load Sent;
  asio::co_spawn(All.m_context, sendSmallJobs(All, Sent), asio::detached);
  co_await sleepMs(5000);
  const Reply Answer = co_await All.callAny(
      "POST", "/watch/" + Service,
      R"({"spec":"s","steps":[{"count":1,"cpu":2000,"memMb":1000,"estimatedMs":300,"longRunning":true}]})");
  All.note("job " + Service + " handed in: " + std::to_string(Answer.m_status));
  if (Answer.m_status != 200)
    co_return 2;
  Worker *At = nullptr;
  for (int Round = 0; Round < 2000 && !At; ++Round) {
    co_await sleepMs(5);
    for (const auto &Each : All.m_workers)
      if (Each->runs(Service + ".0.0.0"))
        At = Each.get();
  }
  if (!At)
    co_return 2;
  std::int64_t CalmSince = All.now();
  if (hasTrouble()) {
    co_await sleepMs(200);
    At->crash();
    CalmSince = All.now();
    // Its entry goes after three heartbeats.
    co_await sleepMs(4500);
    At->withdraw();
  }
  std::int64_t AwaySince = -1, LastRun = All.now(), LongestAway = 0;
  double MostInUse = 0.0;
  bool IsBroken = false;
  const std::int64_t End = All.now() + 30000;
  while (All.now() < End) {
    co_await sleepMs(20);
    bool IsRunning = false, HasRoom = false;
    std::int64_t InUse = 0, Up = 0, Fitting = 0;
    for (const auto &Each : All.m_workers) {
      IsRunning = IsRunning || Each->runs(Service + ".0.0.0");
      if (!Each->isUp())
        continue;
      InUse += Each->cpuInUse();
      Up += Each->cpu();
      Fitting += (Each->cpu() - Each->cpuInUse()) / ServiceCpu;
    }
    HasRoom = Fitting >= 2;
    if (IsRunning)
      LastRun = All.now();
    const double Share = static_cast<double>(InUse) / static_cast<double>(Up);
    MostInUse = std::max(MostInUse, Share);
    // The 3 s and the 4 s before them are calm, and the last run is 6 s ago.
    const bool Counts = !IsRunning && HasRoom && Share < 0.5 &&
                        All.now() - LastRun >= 6000 &&
                        All.now() - CalmSince >= 4000;
    if (!Counts)
      AwaySince = -1;
    else if (AwaySince < 0)
      AwaySince = All.now();
    if (AwaySince >= 0)
      LongestAway = std::max(LongestAway, All.now() - AwaySince);
    if (LongestAway >= 3000 && !IsBroken) {
      IsBroken = true;
      All.note("LOST broken: nothing of job " + Service +
               " runs, though there is room for it " + std::to_string(Fitting) +
               " times and " + std::to_string(Share) +
               " of the service is in use");
    }
  }
  Sent.m_isOver = true;
  All.note("small jobs handed in " + std::to_string(Sent.m_handedIn) +
           ", accepted " + std::to_string(Sent.m_accepted));
  All.note(
      "longest span that counts without a run: " + std::to_string(LongestAway) +
      " ms; most in use: " + std::to_string(MostInUse));
  All.note("state shown: " + co_await All.stateOf("/watch/" + Service));
  co_return IsBroken ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  World All(Arguments[1], Arguments[2]);
  return All.run([&] { return play(All); });
}
