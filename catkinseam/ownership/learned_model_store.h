// Hands the interference model of an owner on to the next one, through a topic
// of its own.
//
//   LearnedModelStore Models(Host, Log, Plan, {});
//   Models.load([] { /* the model was restored, or is not to be had */ });
//   Models.startStoring();
//
// No decision depends on the model, so what fails is only logged.
#ifndef CATKINSEAM_OWNERSHIP_LEARNED_MODEL_STORE_H
#define CATKINSEAM_OWNERSHIP_LEARNED_MODEL_STORE_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"
#include "catkinseam/scheduler/scheduler.h"

#include <functional>
#include <memory>

namespace catkinseam {

/// Not thread-safe.
class LearnedModelStore {
public:
  struct Options {
    Milliseconds m_storeInterval{4000};
    /// Maximum size of the stored model.
    std::size_t m_maxBytes = 65536;
    /// Timeout of a read and of an append.
    Milliseconds m_timeout{500};
  };

  LearnedModelStore(Runtime &Host, KeyedLog &Log, Scheduler &Plan,
                    const Options &Values);
  ~LearnedModelStore();

  /// Restores the model of an earlier owner; then, or after a failure, calls
  /// `Done`. Must be called before any job is added to the scheduler.
  void load(std::function<void()> Done);

  /// Stores the model periodically from now on.
  void startStoring();
  void stop();

private:
  void restore(const NewestReply &Reply);
  void store();

  KeyedLog &m_log;
  Scheduler &m_scheduler;
  const Options m_options;
  Timer m_timer;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_LEARNED_MODEL_STORE_H
