// A value that can only be reached under its lock.
//
//   Guarded<Membership> Members(Clock, Options);
//   bool Touches = Members.with([](Membership &Now) {
//     return Now.isInMajority();
//   });
#ifndef CATKINSEAM_BASE_GUARDED_H
#define CATKINSEAM_BASE_GUARDED_H

#include <mutex>
#include <utility>

namespace catkinseam {

/// Thread-safe holder of `T`.
template <class T> class Guarded {
public:
  template <class... Arguments>
  explicit Guarded(Arguments &&...Given)
      : m_value(std::forward<Arguments>(Given)...) {}

  /// Runs `Use` on the value under the lock and returns what it returns.
  template <class Function> auto with(Function &&Use) {
    const std::lock_guard Lock(m_mutex);
    return Use(m_value);
  }

  template <class Function> auto with(Function &&Use) const {
    const std::lock_guard Lock(m_mutex);
    return Use(m_value);
  }

private:
  mutable std::mutex m_mutex;
  T m_value;
};

} // namespace catkinseam

#endif // CATKINSEAM_BASE_GUARDED_H
