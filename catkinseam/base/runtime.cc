// The manually advanced runtime for tests.
#include "catkinseam/base/runtime.h"

namespace catkinseam {

Runtime::TimerId ManualRuntime::schedule(Duration Delay,
                                         std::function<void()> Callback) {
  const TimerId Id = ++m_lastId;
  const TimePoint DueTime = now() + Delay;
  m_callbacks.emplace(std::make_pair(DueTime, Id), std::move(Callback));
  m_dueTimes.emplace(Id, DueTime);
  return Id;
}

void ManualRuntime::cancel(TimerId Id) {
  const auto Found = m_dueTimes.find(Id);
  if (Found == m_dueTimes.end())
    return;
  m_callbacks.erase({Found->second, Id});
  m_dueTimes.erase(Found);
}

void ManualRuntime::advance(Duration Step) {
  const TimePoint End = now() + Step;
  while (!m_callbacks.empty() && m_callbacks.begin()->first.first <= End) {
    const auto [DueTime, Id] = m_callbacks.begin()->first;
    std::function<void()> Callback = std::move(m_callbacks.begin()->second);
    m_callbacks.erase(m_callbacks.begin());
    m_dueTimes.erase(Id);
    if (DueTime > now())
      m_clock.advance(DueTime - now());
    Callback();
  }
  if (End > now())
    m_clock.advance(End - now());
}

} // namespace catkinseam
