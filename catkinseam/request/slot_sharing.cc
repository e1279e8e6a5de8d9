// Implementations of the slot sharing strategies.
#include "catkinseam/request/slot_sharing.h"

#include <algorithm>
#include <functional>

namespace catkinseam {

namespace {

/// How long the borrower may start requests on a borrowed slot.
constexpr Duration BorrowDuration = std::chrono::milliseconds(120);
/// How long the lender does not use a lent slot: BorrowDuration plus the
/// message delay and the service time of one short request.
constexpr Duration LendDuration = std::chrono::milliseconds(200);

std::uint32_t countFor(const std::map<std::string, std::uint32_t> &Slots,
                       const std::string &Worker) {
  const auto It = Slots.find(Worker);
  return It == Slots.end() ? 0 : It->second;
}

class LocalSharing : public SlotSharing {
public:
  void refresh(const SharingView &View) override { m_slots = View.m_slots; }

  std::uint32_t limitFor(const std::string &Worker, TimePoint) const override {
    return countFor(m_slots, Worker);
  }

private:
  std::map<std::string, std::uint32_t> m_slots;
};

class RoundRobinSharing final : public LocalSharing {
public:
  bool enforcesLimits() const override { return false; }
};

class GossipSharing final : public SlotSharing {
public:
  void refresh(const SharingView &View) override { m_view = View; }

  std::uint32_t limitFor(const std::string &Worker, TimePoint) const override {
    const std::uint32_t Slots = countFor(m_view.m_slots, Worker);
    const std::uint32_t PeerInFlight = countFor(m_view.m_peerInFlight, Worker);
    return Slots > PeerInFlight ? Slots - PeerInFlight : 0;
  }

  bool needsPeerInFlight() const override { return true; }

private:
  SharingView m_view;
};

/// Divides the slots of each worker evenly among the ready seats. Slots that
/// remain are assigned one per seat in rendezvous hash order of the worker, so
/// the shares of a worker differ by at most one slot.
class StaticSharing : public SlotSharing {
public:
  void refresh(const SharingView &View) override {
    m_limits.clear();
    for (const auto &[Worker, Slots] : View.m_slots)
      m_limits[Worker] = computeShare(Worker, Slots, View);
  }

  std::uint32_t limitFor(const std::string &Worker, TimePoint) const override {
    return countFor(m_limits, Worker);
  }

private:
  static std::uint32_t computeShare(const std::string &Worker,
                                    std::uint32_t Slots,
                                    const SharingView &View) {
    std::vector<Seat> Remaining = View.m_readySeats;
    const auto SeatCount = static_cast<std::uint32_t>(Remaining.size());
    if (std::find(Remaining.begin(), Remaining.end(), View.m_seat) ==
        Remaining.end())
      return 0;
    std::uint32_t Share = Slots / SeatCount;
    for (std::uint32_t Remainder = Slots % SeatCount; Remainder > 0;
         --Remainder) {
      const Seat Assignee = preferredSeat(Worker, Remaining);
      if (Assignee == View.m_seat)
        ++Share;
      Remaining.erase(std::find(Remaining.begin(), Remaining.end(), Assignee));
    }
    return Share;
  }

  std::map<std::string, std::uint32_t> m_limits;
};

class LendingSharing final : public StaticSharing {
public:
  std::uint32_t limitFor(const std::string &Worker,
                         TimePoint Now) const override {
    const std::uint32_t OwnLimit = StaticSharing::limitFor(Worker, Now);
    const std::uint32_t Lent = activeSlots(m_lent, Worker, Now);
    const std::uint32_t Retained = OwnLimit > Lent ? OwnLimit - Lent : 0;
    return Retained + activeSlots(m_borrowed, Worker, Now);
  }

  SlotLoan lend(const std::map<std::string, std::uint32_t> &Idle,
                std::uint32_t MaxSlots, TimePoint Now) override {
    SlotLoan Loan;
    for (const auto &[Worker, FreeSlots] : Idle) {
      // Only slots of this entry's own share are lent, never borrowed ones.
      const std::uint32_t OwnLimit = StaticSharing::limitFor(Worker, Now);
      const std::uint32_t Lent = activeSlots(m_lent, Worker, Now);
      const std::uint32_t Lendable = std::min(
          {FreeSlots, OwnLimit > Lent ? OwnLimit - Lent : 0, MaxSlots});
      if (Lendable == 0)
        continue;
      Loan.m_slots[Worker] = static_cast<std::uint16_t>(Lendable);
      m_lent.push_back({Worker, Lendable, Now + LendDuration});
      MaxSlots -= Lendable;
    }
    removeExpired(m_lent, Now);
    return Loan;
  }

  void borrow(const SlotLoan &Loan, TimePoint Now) override {
    removeExpired(m_borrowed, Now);
    for (const auto &[Worker, Count] : Loan.m_slots)
      m_borrowed.push_back({Worker, Count, Now + BorrowDuration});
  }

private:
  struct ActiveLoan {
    std::string m_worker;
    std::uint32_t m_count = 0;
    TimePoint m_expiresAt;
  };

  static std::uint32_t activeSlots(const std::vector<ActiveLoan> &Loans,
                                   const std::string &Worker, TimePoint Now) {
    std::uint32_t Count = 0;
    for (const ActiveLoan &Loan : Loans)
      if (Loan.m_expiresAt > Now && Loan.m_worker == Worker)
        Count += Loan.m_count;
    return Count;
  }

  static void removeExpired(std::vector<ActiveLoan> &Loans, TimePoint Now) {
    std::erase_if(
        Loans, [&](const ActiveLoan &Loan) { return Loan.m_expiresAt <= Now; });
  }

  std::vector<ActiveLoan> m_lent;
  std::vector<ActiveLoan> m_borrowed;
};

} // namespace

SlotLoan SlotSharing::lend(const std::map<std::string, std::uint32_t> &,
                           std::uint32_t, TimePoint) {
  return {};
}

void SlotSharing::borrow(const SlotLoan &, TimePoint) {}

std::unique_ptr<SlotSharing> makeSlotSharing(const std::string &Strategy) {
  using Factory = std::function<std::unique_ptr<SlotSharing>()>;
  static const std::map<std::string, Factory> Factories = {
      {"local", [] { return std::make_unique<LocalSharing>(); }},
      {"static", [] { return std::make_unique<StaticSharing>(); }},
      {"gossip", [] { return std::make_unique<GossipSharing>(); }},
      {"lending", [] { return std::make_unique<LendingSharing>(); }},
      {"round_robin", [] { return std::make_unique<RoundRobinSharing>(); }},
  };
  const auto It = Factories.find(Strategy);
  return It == Factories.end() ? nullptr : It->second();
}

} // namespace catkinseam
