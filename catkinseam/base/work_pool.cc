// Threads for blocking calls.
#include "catkinseam/base/work_pool.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace catkinseam {

class WorkPool::Threads {
public:
  explicit Threads(int Count) {
    for (int Index = 0; Index < Count; ++Index)
      m_threads.emplace_back([this] { serve(); });
  }

  ~Threads() {
    {
      const std::lock_guard Lock(m_mutex);
      m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread &Each : m_threads)
      Each.join();
  }

  bool tryRun(std::function<void()> Work) {
    {
      const std::lock_guard Lock(m_mutex);
      if (m_isStopping || m_waiting.size() >= m_free)
        return false;
      m_waiting.push_back(std::move(Work));
    }
    m_changed.notify_one();
    return true;
  }

private:
  void serve() {
    std::unique_lock Lock(m_mutex);
    while (true) {
      ++m_free;
      m_changed.wait(Lock,
                     [this] { return m_isStopping || !m_waiting.empty(); });
      --m_free;
      if (m_waiting.empty())
        return;
      const std::function<void()> Work = std::move(m_waiting.back());
      m_waiting.pop_back();
      Lock.unlock();
      Work();
      Lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  /// Invariant: no longer than the number of threads that wait.
  std::vector<std::function<void()>> m_waiting;
  std::size_t m_free = 0;
  bool m_isStopping = false;
  std::vector<std::thread> m_threads;
};

WorkPool::WorkPool(int Threads)
    : m_threads(std::make_unique<WorkPool::Threads>(Threads)) {}

WorkPool::~WorkPool() = default;

bool WorkPool::tryRun(std::function<void()> Work) {
  return m_threads->tryRun(std::move(Work));
}

} // namespace catkinseam
