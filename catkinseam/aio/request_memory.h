// Budget of memory for the requests of a process, shared by its listeners.
//
//   RequestMemory Budget(64 << 20);
//   RequestMemory::Account Request(Budget, [&] { closeConnection(); });
//   if (!Request.hold(Bytes, RequestMemory::MayGiveUp::Yes)) refuse();
//
// When the budget is short, the accounts that hold the most give up first, so
// that small requests are still served beside large ones.
#ifndef CATKINSEAM_AIO_REQUEST_MEMORY_H
#define CATKINSEAM_AIO_REQUEST_MEMORY_H

#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace catkinseam {

/// Not thread-safe. Must outlive its accounts.
class RequestMemory {
public:
  enum class MayGiveUp { No, Yes };

  /// What one connection holds.
  class Account {
  public:
    /// `GiveUp` releases what is held; it may run during the hold() of another
    /// account, and at most once for each hold().
    Account(RequestMemory &Budget, std::function<void()> GiveUp)
        : m_budget(Budget), m_giveUp(std::move(GiveUp)) {
      m_budget.m_accounts.insert(this);
    }
    ~Account() {
      m_budget.m_accounts.erase(this);
      m_budget.m_used -= m_held;
    }
    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;

    /// Sets what is held. Returns false if the budget is exceeded and no
    /// account that holds as much can give up.
    bool hold(std::size_t Bytes, MayGiveUp Next) {
      m_budget.m_used += Bytes - m_held;
      m_held = Bytes;
      m_mayGiveUp = Next;
      while (m_budget.m_used > m_budget.m_limit) {
        Account *Largest = m_budget.largestBeside(*this);
        if (!Largest || Largest->m_held < m_held)
          return false;
        m_budget.m_used -= std::exchange(Largest->m_held, 0);
        Largest->m_mayGiveUp = MayGiveUp::No;
        Largest->m_giveUp();
      }
      return true;
    }

  private:
    friend class RequestMemory;

    RequestMemory &m_budget;
    const std::function<void()> m_giveUp;
    std::size_t m_held = 0;
    MayGiveUp m_mayGiveUp = MayGiveUp::No;
  };

  explicit RequestMemory(std::size_t Limit) : m_limit(Limit) {}
  RequestMemory(const RequestMemory &) = delete;
  RequestMemory &operator=(const RequestMemory &) = delete;

  std::size_t used() const { return m_used; }

private:
  Account *largestBeside(const Account &Excluded) const {
    Account *Largest = nullptr;
    for (Account *Each : m_accounts)
      if (Each != &Excluded && Each->m_mayGiveUp == MayGiveUp::Yes &&
          (!Largest || Each->m_held > Largest->m_held))
        Largest = Each;
    return Largest;
  }

  const std::size_t m_limit;
  std::size_t m_used = 0;
  std::set<Account *> m_accounts;
};

} // namespace catkinseam

#endif // CATKINSEAM_AIO_REQUEST_MEMORY_H
