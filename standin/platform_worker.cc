// A worker of the stand-in platform.
#include "standin/platform_worker.h"

#include <boost/json/serialize.hpp>
#include <iostream>

namespace catkinseam {

namespace {

namespace json = boost::json;

constexpr const char *Service = "tally";
/// Registrations of workers that are silent for this long are removed.
constexpr Milliseconds RegistrationTimeout{1500};

} // namespace

PlatformWorker::PlatformWorker(EventLoop &Loop, FakeLog &Log,
                               RunHistory &History, std::mt19937_64 &Random,
                               std::size_t Index, std::uint16_t Port,
                               const Resources &Capacity)
    : m_loop(Loop), m_log(Log), m_index(static_cast<std::int64_t>(Index)),
      m_name("w" + std::to_string(Index)), m_port(Port), m_capacity(Capacity),
      m_worker(Loop, Random, History, m_name, Capacity), m_api(Loop, m_worker),
      m_endOfCut(Loop) {}

Result<void> PlatformWorker::listen() {
  if (m_listener)
    return {};
  BOOST_LEAF_ASSIGN(m_listener,
                    HttpListener::open(m_loop, {"127.0.0.1", m_port}, {},
                                       [this](const HttpRequest &Request,
                                              const HttpResponder &Respond) {
                                         m_api.onCall(Request, Respond);
                                       }));
  return {};
}

void PlatformWorker::renewRegistration(std::int64_t Sequence) {
  if (m_isDown || m_loop.now() < m_unlistedUntil)
    return;
  json::object Record{{"service", Service},
                      {"address", "127.0.0.1:" + std::to_string(m_port)},
                      {"zone", "a"},
                      {"state", m_isDraining ? "draining" : "ready"},
                      {"born", m_api.startedMs()},
                      {"capacity",
                       {{"cpu", m_capacity.m_milliProcessors},
                        {"memMb", m_capacity.m_memoryMb},
                        {"gpu", 0}}},
                      {"labels", json::array{"a", "r1"}},
                      {"sequence", Sequence}};
  if (m_isDraining)
    Record["remainingMs"] = std::max(std::chrono::duration_cast<Milliseconds>(
                                         m_leavesAt - m_loop.now()),
                                     Milliseconds::zero())
                                .count();
  m_log.put(LogTopic::Workers, m_worker.id(), json::serialize(Record));
}

void PlatformWorker::removeRegistration(const std::string &Id) {
  m_log.put(LogTopic::Workers, Id, std::nullopt);
}

void PlatformWorker::crash(Milliseconds DownTime, bool ChangesId) {
  if (m_isDown)
    return;
  m_isDown = true;
  m_isDraining = false;
  m_listener.reset();
  const std::string Id = m_worker.id();
  m_worker.m_changesId = ChangesId;
  m_worker.crash();
  m_loop.schedule(DownTime, [this] { restart(); });
  m_loop.schedule(RegistrationTimeout, [this, Id] {
    if (m_isDown || m_worker.id() != Id)
      removeRegistration(Id);
  });
}

void PlatformWorker::goDark(DarkKind How, Milliseconds DownTime) {
  if (m_isDown)
    return;
  m_isDown = true;
  m_isDraining = false;
  m_api.setCut(How == DarkKind::Keep ? WorkerApi::Cut::Delayed
                                     : WorkerApi::Cut::Calls);
  m_worker.m_changesId = false;
  m_worker.crash();
  m_worker.m_isDown = true;
  m_loop.schedule(DownTime, [this, How] {
    m_worker.m_isDown = false;
    if (How == DarkKind::Reset)
      m_listener.reset();
    m_api.setCut(WorkerApi::Cut::None);
    restart();
    m_api.resumeCalls();
  });
}

void PlatformWorker::restart() {
  m_isDown = false;
  m_api.restart();
  if (!m_refusesCalls)
    acceptCalls();
}

void PlatformWorker::acceptCalls() {
  auto Listened = attempt([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(listen());
    return true;
  });
  if (!Listened)
    std::cerr << Listened.error().m_message << "\n";
}

void PlatformWorker::cut(CutKind How, Milliseconds Time, bool IsReborn) {
  if (m_isDown)
    return;
  if (How == CutKind::Reset) {
    m_refusesCalls = true;
    m_listener.reset();
  } else {
    m_api.setCut(How == CutKind::Silent ? WorkerApi::Cut::Calls
                                        : WorkerApi::Cut::Replies);
  }
  if (IsReborn)
    m_loop.schedule(Time / 2, [this] {
      if (m_isDown)
        return;
      m_worker.m_changesId = false;
      m_worker.crash();
      m_api.restart();
    });
  m_endOfCut.start(Time, [this] {
    m_api.setCut(WorkerApi::Cut::None);
    m_refusesCalls = false;
    if (!m_isDown)
      acceptCalls();
  });
}

void PlatformWorker::unlist(Milliseconds Time) {
  m_unlistedUntil = m_loop.now() + Time;
  removeRegistration(m_worker.id());
}

void PlatformWorker::drain(Milliseconds Remaining, Milliseconds DownTime,
                           bool ChangesId) {
  if (m_isDown || m_isDraining)
    return;
  m_isDraining = true;
  m_leavesAt = m_loop.now() + Remaining;
  m_loop.schedule(Remaining, [this, DownTime, ChangesId] {
    if (!m_isDraining)
      return;
    const std::string Id = m_worker.id();
    crash(DownTime, ChangesId);
    removeRegistration(Id);
  });
}

} // namespace catkinseam
