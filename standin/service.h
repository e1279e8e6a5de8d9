// Stand-in for a worker's service: a fixed number of slots, a FIFO queue in
// front of them, and injected faults.
//
//   SlotService Service("w1", 8, History);
//   HttpResponse Answer = Service.handle(Request);
//
// The query parameter work_ms sets how long a request occupies a slot (default
// 1 ms). The response echoes the request's Request-Id header and its body.
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include "catkinseam/net/http.h"
#include "standin/history.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace standin {

/// Thread-safe; handle() blocks while the request waits and runs.
class SlotService {
public:
  SlotService(std::string Worker, std::uint32_t Slots, HistoryFile &History);

  catkinseam::HttpResponse handle(const catkinseam::HttpRequest &Request);

  /// Makes every request run `Factor` times as long.
  void setSlowdownFactor(double Factor) { m_slowdownFactor = Factor; }
  /// While set, every request is answered with status 500 without running.
  void setFailingStarts(bool IsFailing) { m_isFailing = IsFailing; }
  /// Leaves the next `RequestCount` requests unanswered for 20 s without
  /// running them, then answers them with an error.
  void dropRequests(int RequestCount) { m_requestsToDrop = RequestCount; }
  /// Runs the next `RequestCount` requests but delays their responses by 20 s,
  /// as if they had been lost.
  void dropResponses(int RequestCount) { m_responsesToDrop = RequestCount; }

  /// Number of requests that occupy a slot.
  std::uint32_t busySlots() const { return m_busySlots; }

private:
  void acquireSlot();
  void releaseSlot();
  /// Decrements `Count` if it is positive; returns whether it did.
  static bool decrementIfPositive(std::atomic<int> &Count);

  const std::string m_worker;
  const std::uint32_t m_slots;
  HistoryFile &m_history;
  std::atomic<double> m_slowdownFactor{1};
  std::atomic<bool> m_isFailing{false};
  std::atomic<int> m_requestsToDrop{0};
  std::atomic<int> m_responsesToDrop{0};
  std::atomic<std::uint32_t> m_busySlots{0};
  std::mutex m_mutex;
  std::condition_variable m_slotsChanged;
  /// Tickets give slots to requests in order of arrival.
  std::uint64_t m_nextTicket = 0;
  std::uint64_t m_nextServedTicket = 0;
};

} // namespace standin

#endif // STANDIN_SERVICE_H
