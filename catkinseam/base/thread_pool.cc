// Thread pool for blocking calls.
#include "catkinseam/base/thread_pool.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace catkinseam {

class ThreadPool::Impl {
public:
  explicit Impl(int ThreadCount) {
    for (int Index = 0; Index < ThreadCount; ++Index)
      m_threads.emplace_back([this] { runThread(); });
  }

  ~Impl() {
    {
      const std::lock_guard Lock(m_mutex);
      m_isStopping = true;
    }
    m_condition.notify_all();
    for (std::thread &Thread : m_threads)
      Thread.join();
  }

  bool tryRun(std::function<void()> Work) {
    {
      const std::lock_guard Lock(m_mutex);
      if (m_isStopping || m_pending.size() >= m_idleThreads)
        return false;
      m_pending.push_back(std::move(Work));
    }
    m_condition.notify_one();
    return true;
  }

private:
  void runThread() {
    std::unique_lock Lock(m_mutex);
    while (true) {
      ++m_idleThreads;
      m_condition.wait(Lock,
                       [this] { return m_isStopping || !m_pending.empty(); });
      --m_idleThreads;
      if (m_pending.empty())
        return;
      const std::function<void()> Work = std::move(m_pending.back());
      m_pending.pop_back();
      Lock.unlock();
      Work();
      Lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_condition;
  /// Invariant: never more entries than idle threads.
  std::vector<std::function<void()>> m_pending;
  std::size_t m_idleThreads = 0;
  bool m_isStopping = false;
  std::vector<std::thread> m_threads;
};

ThreadPool::ThreadPool(int ThreadCount)
    : m_impl(std::make_unique<ThreadPool::Impl>(ThreadCount)) {}

ThreadPool::~ThreadPool() = default;

bool ThreadPool::tryRun(std::function<void()> Work) {
  return m_impl->tryRun(std::move(Work));
}

} // namespace catkinseam
