// A bounded set of threads for calls that block.
//
//   WorkPool Pool(8);
//   if (!Pool.tryRun([=] { callWorker(); })) retryLater();
#ifndef CATKINSEAM_BASE_WORK_POOL_H
#define CATKINSEAM_BASE_WORK_POOL_H

#include <functional>
#include <memory>

namespace catkinseam {

/// Runs work aside; returns false when it cannot be taken now. Tests pass one
/// that keeps the work and runs it when they choose.
using RunAside = std::function<bool(std::function<void()>)>;

/// Thread-safe.
class WorkPool {
public:
  explicit WorkPool(int Threads);

  /// Waits for the work in progress.
  ~WorkPool();

  /// Starts `Work` on a free thread; false when none is free.
  bool tryRun(std::function<void()> Work);

private:
  class Threads;
  std::unique_ptr<Threads> m_threads;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_WORK_POOL_H
