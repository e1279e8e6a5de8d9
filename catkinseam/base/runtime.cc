// The runtime that tests drive by hand.
#include "catkinseam/base/runtime.h"

namespace catkinseam {

Runtime::TimerId ManualRuntime::schedule(Duration Delay,
                                         std::function<void()> Call) {
  const TimerId Id = ++m_lastId;
  const TimePoint When = now() + Delay;
  m_due.emplace(std::make_pair(When, Id), std::move(Call));
  m_times.emplace(Id, When);
  return Id;
}

void ManualRuntime::cancel(TimerId Id) {
  const auto Found = m_times.find(Id);
  if (Found == m_times.end())
    return;
  m_due.erase({Found->second, Id});
  m_times.erase(Found);
}

void ManualRuntime::advance(Duration Step) {
  const TimePoint End = now() + Step;
  while (!m_due.empty() && m_due.begin()->first.first <= End) {
    const auto [When, Id] = m_due.begin()->first;
    std::function<void()> Call = std::move(m_due.begin()->second);
    m_due.erase(m_due.begin());
    m_times.erase(Id);
    if (When > now())
      m_clock.advance(When - now());
    Call();
  }
  if (End > now())
    m_clock.advance(End - now());
}

} // namespace catkinseam
