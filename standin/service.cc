// The stand-in worker's service side.
#include "standin/service.h"

#include "catkinseam/base/clock.h"

#include <thread>

namespace standin {

using namespace catkinseam;

namespace {

constexpr auto SilentFor = std::chrono::seconds(20);

} // namespace

SlotService::SlotService(std::string Worker, std::uint32_t Slots,
                         HistoryFile &History)
    : m_worker(std::move(Worker)), m_slots(Slots), m_history(History) {}

bool SlotService::takeOne(std::atomic<int> &Count) {
  int Left = Count;
  while (Left > 0)
    if (Count.compare_exchange_weak(Left, Left - 1))
      return true;
  return false;
}

void SlotService::takeSlot() {
  std::unique_lock Lock(m_mutex);
  const std::uint64_t Ticket = m_nextTicket++;
  m_freed.wait(Lock,
               [&] { return Ticket == m_nowServing && m_busy < m_slots; });
  ++m_nowServing;
  ++m_busy;
  Lock.unlock();
  m_freed.notify_all();
}

void SlotService::freeSlot() {
  {
    const std::lock_guard Lock(m_mutex);
    --m_busy;
  }
  m_freed.notify_all();
}

HttpResponse SlotService::handle(const HttpRequest &Request) {
  const std::string *Named = Request.header("Request-Id");
  const std::string Id = Named == nullptr ? "" : *Named;
  if (takeOne(m_silent)) {
    std::this_thread::sleep_for(SilentFor);
    return problemResponse({ErrorCode::Unavailable, "was silent"});
  }
  if (m_isFailing)
    return problemResponse({ErrorCode::Internal, "fails everything"});
  const double WorkMs =
      std::strtod(Request.queryValue("work_ms", "1").c_str(), nullptr);
  takeSlot();
  m_history.write("request_start", {m_worker, Id});
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(WorkMs * m_slowness));
  m_history.write("request_end", {m_worker, Id});
  freeSlot();
  if (takeOne(m_loseAnswers))
    std::this_thread::sleep_for(SilentFor);
  HttpResponse Answer;
  Answer.m_headers = {{"Content-Type", "text/plain"}, {"Request-Id", Id}};
  Answer.m_body = "served " + Id + " by " + m_worker + "\n" + Request.m_body;
  return Answer;
}

} // namespace standin
