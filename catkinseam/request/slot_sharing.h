// Strategies for dividing the workers' service slots among the entries.
//
//   std::unique_ptr<SlotSharing> Sharing = makeSlotSharing("lending");
//   Sharing->refresh(View);
//   std::uint32_t Limit = Sharing->limitFor("w7", Now);
//
// docs/design/slot-sharing.md compares the strategies by measurement.
#ifndef CATKINSEAM_REQUEST_SLOT_SHARING_H
#define CATKINSEAM_REQUEST_SLOT_SHARING_H

#include "catkinseam/base/clock.h"
#include "catkinseam/membership/membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinseam {

/// Input of a strategy: the slots and the state of the other entries.
struct SharingView {
  Seat m_seat = 1;
  /// Seats of the entries that serve callers, including this one.
  std::vector<Seat> m_readySeats;
  /// Number of slots by worker.
  std::map<std::string, std::uint32_t> m_slots;
  /// Requests that the other entries together have in flight, by worker.
  std::map<std::string, std::uint32_t> m_peerInFlight;
};

/// Idle slots lent to another entry for a limited time.
struct SlotLoan {
  Seat m_lender = 0;
  /// Number of lent slots by worker.
  std::map<std::string, std::uint16_t> m_slots;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_lender, m_slots);
  }
};

/// Interface of the slot sharing strategies. Not thread-safe.
class SlotSharing {
public:
  virtual ~SlotSharing() = default;

  /// Recomputes the limits. Must be called whenever the view changes.
  virtual void refresh(const SharingView &View) = 0;

  /// Returns how many requests this entry may have in flight at `Worker`.
  virtual std::uint32_t limitFor(const std::string &Worker,
                                 TimePoint Now) const = 0;

  /// Returns whether the limits are enforced. The round-robin baseline returns
  /// false: it dispatches every request immediately.
  virtual bool enforcesLimits() const { return true; }

  /// Returns whether the strategy uses m_peerInFlight, so that heartbeats must
  /// report the requests in flight by worker.
  virtual bool needsPeerInFlight() const { return false; }

  /// Lends up to `MaxSlots` of this entry's idle slots, given by worker, to a
  /// peer with waiting requests. Returns an empty loan if the strategy does not
  /// lend.
  virtual SlotLoan lend(const std::map<std::string, std::uint32_t> &Idle,
                        std::uint32_t MaxSlots, TimePoint Now);

  /// Adds slots lent by a peer to this entry's limits until the loan expires.
  virtual void borrow(const SlotLoan &Loan, TimePoint Now);
};

/// Creates a strategy by its name in the settings:
///   "local"        every entry may use all slots;
///   "static"       slots are divided by rendezvous hashing;
///   "gossip"       all slots minus those that peers report in flight;
///   "lending"      like "static", but idle slots are lent to peers;
///   "round_robin"  baseline without limits, uses the workers in turn.
/// Returns nullptr for any other name.
std::unique_ptr<SlotSharing> makeSlotSharing(const std::string &Strategy);

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_SLOT_SHARING_H
