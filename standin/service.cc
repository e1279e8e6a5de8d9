// Implementation of the stand-in service.
#include "standin/service.h"

#include "catkinseam/base/clock.h"

#include <thread>

namespace standin {

using namespace catkinseam;

namespace {

/// Delay of the answer to a dropped request, and of a dropped response.
constexpr auto DroppedMessageDelay = std::chrono::seconds(20);

} // namespace

SlotService::SlotService(std::string Worker, std::uint32_t Slots,
                         HistoryFile &History)
    : m_worker(std::move(Worker)), m_slots(Slots), m_history(History) {}

bool SlotService::decrementIfPositive(std::atomic<int> &Count) {
  int Remaining = Count;
  while (Remaining > 0)
    if (Count.compare_exchange_weak(Remaining, Remaining - 1))
      return true;
  return false;
}

void SlotService::acquireSlot() {
  std::unique_lock Lock(m_mutex);
  const std::uint64_t Ticket = m_nextTicket++;
  m_slotsChanged.wait(Lock, [&] {
    return Ticket == m_nextServedTicket && m_busySlots < m_slots;
  });
  ++m_nextServedTicket;
  ++m_busySlots;
  Lock.unlock();
  m_slotsChanged.notify_all();
}

void SlotService::releaseSlot() {
  {
    const std::lock_guard Lock(m_mutex);
    --m_busySlots;
  }
  m_slotsChanged.notify_all();
}

HttpResponse SlotService::handle(const HttpRequest &Request) {
  const std::string *IdHeader = Request.header("Request-Id");
  const std::string Id = IdHeader == nullptr ? "" : *IdHeader;
  if (decrementIfPositive(m_requestsToDrop)) {
    std::this_thread::sleep_for(DroppedMessageDelay);
    return problemResponse(
        {ErrorCode::Unavailable, "request dropped by an injected fault"});
  }
  if (m_isFailing)
    return problemResponse(
        {ErrorCode::Internal, "failed by an injected fault"});
  const double WorkMs =
      std::strtod(Request.queryValue("work_ms", "1").c_str(), nullptr);
  acquireSlot();
  m_history.write("request_start", {m_worker, Id});
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(WorkMs * m_slowdownFactor));
  m_history.write("request_end", {m_worker, Id});
  releaseSlot();
  if (decrementIfPositive(m_responsesToDrop))
    std::this_thread::sleep_for(DroppedMessageDelay);
  HttpResponse Response;
  Response.m_headers = {{"Content-Type", "text/plain"}, {"Request-Id", Id}};
  Response.m_body = "served " + Id + " by " + m_worker + "\n" + Request.m_body;
  return Response;
}

} // namespace standin
