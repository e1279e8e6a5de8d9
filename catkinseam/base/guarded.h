// A value that is only accessible while its mutex is held.
//
//   Guarded<Membership> Members(Clock, Options);
//   bool IsInMajority = Members.with([](Membership &Value) {
//     return Value.isInMajority();
//   });
#ifndef CATKINSEAM_BASE_GUARDED_H
#define CATKINSEAM_BASE_GUARDED_H

#include <mutex>
#include <utility>

namespace catkinseam {

/// A `T` and the mutex that protects it. Thread-safe.
template <class T> class Guarded {
public:
  template <class... Arguments>
  explicit Guarded(Arguments &&...Args)
      : m_value(std::forward<Arguments>(Args)...) {}

  /// Calls `Callback` on the value with the mutex held; returns its result.
  template <class Function> auto with(Function &&Callback) {
    const std::lock_guard Lock(m_mutex);
    return Callback(m_value);
  }

  template <class Function> auto with(Function &&Callback) const {
    const std::lock_guard Lock(m_mutex);
    return Callback(m_value);
  }

private:
  mutable std::mutex m_mutex;
  T m_value;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_GUARDED_H
