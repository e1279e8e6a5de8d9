// Stand-in of a worker's service: slots, a queue before them, faults.
//
//   SlotService Service("w1", 8, History);
//   HttpResponse Answer = Service.handle(Request);
//
// A request names its work in the query, as ?work_ms=50, and itself in the
// header Request-Id, which the answer repeats.
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

  /// Work takes `Factor` times as long.
  void setSlowness(double Factor) { m_slowness = Factor; }
  /// Every request is answered 500 at once.
  void setFailing(bool IsFailing) { m_isFailing = IsFailing; }
  /// The next requests get no answer and do not run.
  void setSilent(int Requests) { m_silent = Requests; }
  /// The next requests run and their answers are lost.
  void setLoseAnswers(int Requests) { m_loseAnswers = Requests; }

  std::uint32_t busy() const { return m_busy; }

private:
  void takeSlot();
  void freeSlot();
  static bool takeOne(std::atomic<int> &Count);

  const std::string m_worker;
  const std::uint32_t m_slots;
  HistoryFile &m_history;
  std::atomic<double> m_slowness{1};
  std::atomic<bool> m_isFailing{false};
  std::atomic<int> m_silent{0};
  std::atomic<int> m_loseAnswers{0};
  std::atomic<std::uint32_t> m_busy{0};
  std::mutex m_mutex;
  std::condition_variable m_freed;
  /// First come, first served: tickets in order.
  std::uint64_t m_nextTicket = 0;
  std::uint64_t m_nowServing = 0;
};

} // namespace standin

#endif // STANDIN_SERVICE_H
