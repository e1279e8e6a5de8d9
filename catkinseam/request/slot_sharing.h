// How the entries divide the workers' service slots among themselves.
//
//   std::unique_ptr<SlotSharing> Sharing = makeSlotSharing("lending");
//   Sharing->refresh(View);
//   std::uint32_t Mine = Sharing->limitOf("w7");
//
// Each way is one strategy object; docs/design/slot-sharing.md has what was
// measured of each.
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

/// What a strategy decides from.
struct SharingView {
  Seat m_seat = 1;
  /// Seats that serve callers, this one included.
  std::vector<Seat> m_readySeats;
  /// Slots by worker.
  std::map<std::string, std::uint32_t> m_slots;
  /// Requests in flight at other entries, by worker, summed over the entries.
  std::map<std::string, std::uint32_t> m_peerInFlight;
};

/// Free slots handed to another entry for a moment.
struct SlotLoan {
  Seat m_from = 0;
  std::map<std::string, std::uint16_t> m_slots;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_from, m_slots);
  }
};

/// Not thread-safe.
class SlotSharing {
public:
  virtual ~SlotSharing() = default;

  /// Recomputes the division. Called whenever the view changes.
  virtual void refresh(const SharingView &View) = 0;

  /// Returns how many requests this entry may have in flight at `Worker`.
  virtual std::uint32_t limitOf(const std::string &Worker,
                                TimePoint Now) const = 0;

  /// Returns whether the limit guards the slots at all; false for the
  /// baseline, which sends everything on at once.
  virtual bool isLimiting() const { return true; }

  /// Whether heartbeats must carry requests in flight by worker.
  virtual bool needsPeerInFlight() const { return false; }

  /// Offers this entry's idle slots, by worker, to a peer that has requests
  /// waiting. Returns what to lend; empty when this way does not lend.
  virtual SlotLoan lend(const std::map<std::string, std::uint32_t> &Idle,
                        std::uint32_t Wanted, TimePoint Now);

  /// Takes in slots that a peer lent.
  virtual void borrow(const SlotLoan &Loan, TimePoint Now);
};

/// Makes the way named in the settings: "local" (every entry may use all
/// slots), "static" (slots divided by rendezvous hash), "gossip" (all slots
/// less what peers report in flight), "lending" (static, idle slots lent) or
/// "round_robin" (the baseline). Null for another name.
std::unique_ptr<SlotSharing> makeSlotSharing(const std::string &Way);

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_SLOT_SHARING_H
