// A fixed-size thread pool for blocking calls.
//
//   ThreadPool Pool(8);
//   if (!Pool.tryRun([=] { callWorker(); })) retryLater();
#ifndef CATKINSEAM_BASE_THREAD_POOL_H
#define CATKINSEAM_BASE_THREAD_POOL_H

#include <functional>
#include <memory>

namespace catkinseam {

/// Starts work on another thread; returns false if it cannot start now. Tests
/// pass one that stores the work and runs it later.
using TryRunInBackground = std::function<bool(std::function<void()>)>;

/// Has no queue: work is rejected while all threads are busy. Thread-safe.
class ThreadPool {
public:
  explicit ThreadPool(int ThreadCount);

  /// Waits until all accepted work has finished.
  ~ThreadPool();

  /// Starts `Work` on an idle thread; returns false if there is none.
  bool tryRun(std::function<void()> Work);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_THREAD_POOL_H
