// Limits the memory that unfinished requests use together.
//
//   ByteBudget Budget(64 * 1024 * 1024);
//   ByteReservation Reserved(Budget);
//   if (!Reserved.grow(Received))
//     return unavailable();
#ifndef CATKINSEAM_NET_BYTE_BUDGET_H
#define CATKINSEAM_NET_BYTE_BUDGET_H

#include <atomic>
#include <cstddef>

namespace catkinseam {

/// A number of bytes shared by all connections of a process. Thread-safe.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t Limit) : m_limit(Limit) {}

  std::size_t limit() const { return m_limit; }

private:
  friend class ByteReservation;

  bool tryAcquire(std::size_t Bytes) {
    if (m_used.fetch_add(Bytes) + Bytes <= m_limit)
      return true;
    release(Bytes);
    return false;
  }
  void release(std::size_t Bytes) { m_used.fetch_sub(Bytes); }

  const std::size_t m_limit;
  std::atomic<std::size_t> m_used{0};
};

/// The part of a budget that one request uses; released at destruction.
class ByteReservation {
public:
  explicit ByteReservation(ByteBudget &Budget) : m_budget(Budget) {}
  ~ByteReservation() { m_budget.release(m_bytes); }

  ByteReservation(const ByteReservation &) = delete;
  ByteReservation &operator=(const ByteReservation &) = delete;

  /// Returns false, and reserves nothing more, if the budget is used up.
  bool grow(std::size_t Bytes) {
    if (!m_budget.tryAcquire(Bytes))
      return false;
    m_bytes += Bytes;
    return true;
  }

private:
  ByteBudget &m_budget;
  std::size_t m_bytes = 0;
};

} // namespace catkinseam

#endif // CATKINSEAM_NET_BYTE_BUDGET_H
