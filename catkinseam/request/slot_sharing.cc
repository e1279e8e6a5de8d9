// The ways of sharing slots.
#include "catkinseam/request/slot_sharing.h"

#include <algorithm>
#include <functional>

namespace catkinseam {

namespace {

/// A borrower starts requests on a borrowed slot for this long.
constexpr Duration BorrowFor = std::chrono::milliseconds(120);
/// The lender leaves a lent slot alone for this long: the borrower's time, a
/// message's way and the run of one short request.
constexpr Duration LendFor = std::chrono::milliseconds(200);

std::uint32_t slotsOf(const std::map<std::string, std::uint32_t> &Slots,
                      const std::string &Worker) {
  const auto Place = Slots.find(Worker);
  return Place == Slots.end() ? 0 : Place->second;
}

class LocalSharing : public SlotSharing {
public:
  void refresh(const SharingView &View) override { m_slots = View.m_slots; }

  std::uint32_t limitOf(const std::string &Worker, TimePoint) const override {
    return slotsOf(m_slots, Worker);
  }

private:
  std::map<std::string, std::uint32_t> m_slots;
};

class RoundRobinSharing final : public LocalSharing {
public:
  bool isLimiting() const override { return false; }
};

class GossipSharing final : public SlotSharing {
public:
  void refresh(const SharingView &View) override { m_view = View; }

  std::uint32_t limitOf(const std::string &Worker, TimePoint) const override {
    const std::uint32_t Slots = slotsOf(m_view.m_slots, Worker);
    const std::uint32_t Taken = slotsOf(m_view.m_peerInFlight, Worker);
    return Slots > Taken ? Slots - Taken : 0;
  }

  bool needsPeerInFlight() const override { return true; }

private:
  SharingView m_view;
};

/// Divides the slots of each worker among the ready seats. The seats are
/// ordered by a hash for each worker, and its slots dealt in that order, so
/// that shares differ by at most one slot at any worker.
class StaticSharing : public SlotSharing {
public:
  void refresh(const SharingView &View) override {
    m_limits.clear();
    for (const auto &[Worker, Slots] : View.m_slots)
      m_limits[Worker] = shareOf(Worker, Slots, View);
  }

  std::uint32_t limitOf(const std::string &Worker, TimePoint) const override {
    return slotsOf(m_limits, Worker);
  }

private:
  static std::uint32_t shareOf(const std::string &Worker, std::uint32_t Slots,
                               const SharingView &View) {
    std::vector<Seat> Left = View.m_readySeats;
    const auto Seats = static_cast<std::uint32_t>(Left.size());
    if (std::find(Left.begin(), Left.end(), View.m_seat) == Left.end())
      return 0;
    std::uint32_t Share = Slots / Seats;
    for (std::uint32_t Extra = Slots % Seats; Extra > 0; --Extra) {
      const Seat Next = homeOf(Worker, Left);
      if (Next == View.m_seat)
        ++Share;
      Left.erase(std::find(Left.begin(), Left.end(), Next));
    }
    return Share;
  }

  std::map<std::string, std::uint32_t> m_limits;
};

class LendingSharing final : public StaticSharing {
public:
  std::uint32_t limitOf(const std::string &Worker,
                        TimePoint Now) const override {
    const std::uint32_t Own = StaticSharing::limitOf(Worker, Now);
    const std::uint32_t Lent = open(m_lent, Worker, Now);
    const std::uint32_t Kept = Own > Lent ? Own - Lent : 0;
    return Kept + open(m_borrowed, Worker, Now);
  }

  SlotLoan lend(const std::map<std::string, std::uint32_t> &Idle,
                std::uint32_t Wanted, TimePoint Now) override {
    SlotLoan Loan;
    for (const auto &[Worker, Free] : Idle) {
      // Borrowed slots are not lent on.
      const std::uint32_t Own = StaticSharing::limitOf(Worker, Now);
      const std::uint32_t Lent = open(m_lent, Worker, Now);
      const std::uint32_t Lendable =
          std::min({Free, Own > Lent ? Own - Lent : 0, Wanted});
      if (Lendable == 0)
        continue;
      Loan.m_slots[Worker] = static_cast<std::uint16_t>(Lendable);
      m_lent.push_back({Worker, Lendable, Now + LendFor});
      Wanted -= Lendable;
    }
    dropClosed(m_lent, Now);
    return Loan;
  }

  void borrow(const SlotLoan &Loan, TimePoint Now) override {
    dropClosed(m_borrowed, Now);
    for (const auto &[Worker, Count] : Loan.m_slots)
      m_borrowed.push_back({Worker, Count, Now + BorrowFor});
  }

private:
  struct Open {
    std::string m_worker;
    std::uint32_t m_count = 0;
    TimePoint m_until;
  };

  static std::uint32_t open(const std::vector<Open> &Loans,
                            const std::string &Worker, TimePoint Now) {
    std::uint32_t Count = 0;
    for (const Open &Loan : Loans)
      if (Loan.m_until > Now && Loan.m_worker == Worker)
        Count += Loan.m_count;
    return Count;
  }

  static void dropClosed(std::vector<Open> &Loans, TimePoint Now) {
    std::erase_if(Loans, [&](const Open &Loan) { return Loan.m_until <= Now; });
  }

  std::vector<Open> m_lent;
  std::vector<Open> m_borrowed;
};

} // namespace

SlotLoan SlotSharing::lend(const std::map<std::string, std::uint32_t> &,
                           std::uint32_t, TimePoint) {
  return {};
}

void SlotSharing::borrow(const SlotLoan &, TimePoint) {}

std::unique_ptr<SlotSharing> makeSlotSharing(const std::string &Way) {
  using Maker = std::function<std::unique_ptr<SlotSharing>()>;
  static const std::map<std::string, Maker> Makers = {
      {"local", [] { return std::make_unique<LocalSharing>(); }},
      {"static", [] { return std::make_unique<StaticSharing>(); }},
      {"gossip", [] { return std::make_unique<GossipSharing>(); }},
      {"lending", [] { return std::make_unique<LendingSharing>(); }},
      {"round_robin", [] { return std::make_unique<RoundRobinSharing>(); }},
  };
  const auto Place = Makers.find(Way);
  return Place == Makers.end() ? nullptr : Place->second();
}

} // namespace catkinseam
