// Implementation of the periodic thread.
#include "catkinseam/base/ticker.h"

namespace catkinseam {

Ticker::Ticker(Duration Interval, std::function<void()> Work)
    : m_interval(Interval), m_work(std::move(Work)),
      m_thread([this] { run(); }) {}

Ticker::~Ticker() { stop(); }

void Ticker::wake() {
  {
    const std::lock_guard Lock(m_mutex);
    m_isWakeRequested = true;
  }
  m_condition.notify_all();
}

void Ticker::stop() {
  {
    const std::lock_guard Lock(m_mutex);
    m_isStopping = true;
  }
  m_condition.notify_all();
  if (m_thread.joinable())
    m_thread.join();
}

void Ticker::run() {
  while (true) {
    m_work();
    std::unique_lock Lock(m_mutex);
    m_condition.wait_for(Lock, m_interval,
                         [this] { return m_isWakeRequested || m_isStopping; });
    m_isWakeRequested = false;
    if (m_isStopping)
      return;
  }
}

} // namespace catkinseam
