// At most once for non-idempotent requests: an idempotency key is claimed at a
// majority of the entries before its request leaves.
//
//   KeyRegister Keys(Clock, Seats, {});
//   KeyStart Start = Keys.begin("bill-77");
//   if (Start.m_status == KeyStatus::Claiming) sendToAll(Start.m_claim);
//   Keys.onAck(Ack);   // until status(...) is Granted or Held
//
// Any two majorities share an entry, so of two claims on one key at most one
// is granted. A replaced entry first copies the claims of a majority (sync)
// before it acknowledges any. The table is soft state that lives for the
// configured key memory: losing it costs refusals, never a second run.
#ifndef CATKINSEAM_REQUEST_KEY_REGISTER_H
#define CATKINSEAM_REQUEST_KEY_REGISTER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/membership/membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// Names one claim, unique for all time: the claimer's boot and a count.
struct ClaimId {
  std::string m_bootId;
  std::uint64_t m_number = 0;

  auto operator<=>(const ClaimId &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_bootId, m_number);
  }
};

struct KeyClaim {
  std::string m_key;
  ClaimId m_id;
  Seat m_seat = 0;
  /// Claims whose owners have given the key up to this claimer, unrun.
  std::vector<ClaimId> m_replaces;
  SeatView m_view;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_seat, m_replaces, m_view);
  }
};

enum class AckVerdict : std::uint8_t {
  Granted,
  Held,      ///< Another claim holds the key.
  NotSynced, ///< The entry cannot tell; it does not count.
};

struct KeyAck {
  std::string m_key;
  ClaimId m_id;
  AckVerdict m_verdict = AckVerdict::NotSynced;
  Seat m_from = 0;
  SeatView m_view;
  /// Who holds the key, when Held.
  ClaimId m_holder;
  Seat m_holderSeat = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_verdict, m_from, m_view, m_holder, m_holderSeat);
  }
};

/// One row of the table, as copied to a newcomer.
struct KeyEntry {
  std::string m_key;
  ClaimId m_id;
  Seat m_seat = 0;
  /// Age when copied, so that clocks need not agree.
  std::int64_t m_ageMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_seat, m_ageMs);
  }
};

struct KeySync {
  bool m_isSynced = false;
  Seat m_from = 0;
  SeatView m_view;
  std::vector<KeyEntry> m_entries;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_isSynced, m_from, m_view, m_entries);
  }
};

enum class KeyStatus {
  Claiming, ///< Waiting for a majority.
  Granted,  ///< This entry, and no other, may send the request.
  Held,     ///< Another claim holds the key; see m_holder.
  NotSynced ///< This entry cannot claim yet.
};

/// Progress of one claim of this entry.
struct KeyProgress {
  KeyStatus m_status = KeyStatus::Claiming;
  ClaimId m_holder;
  Seat m_holderSeat = 0;
};

struct KeyStart {
  KeyProgress m_progress;
  /// To be sent to every other seat, and again until decided.
  KeyClaim m_claim;
};

/// Not thread-safe.
class KeyRegister {
public:
  struct Options {
    /// How long a key is remembered after it was last claimed.
    Duration m_memory = std::chrono::seconds(120);
  };

  KeyRegister(const Clock &Time, Seating Seats, const Options &Limits);

  /// Takes the latest seating; call before every other call that may matter.
  void setSeating(Seating Seats) { m_seating = std::move(Seats); }

  /// Starts a claim on `Key`. `Replaces` names claims given up by their owners.
  KeyStart begin(const std::string &Key,
                 const std::vector<ClaimId> &Replaces = {});

  /// Returns how the claim stands, by its id.
  KeyProgress progress(const ClaimId &Id) const;

  /// Ends this entry's interest in a claim's progress. The claim itself stays.
  void forgetProgress(const ClaimId &Id);

  /// Answers another entry's claim.
  KeyAck onClaim(const KeyClaim &Claim);

  /// Takes in an answer to an own claim.
  void onAck(const KeyAck &Ack);

  /// Returns the table for an entry that syncs. The caller has merged the
  /// newcomer's view into the membership first.
  KeySync syncAnswer() const;

  /// Takes in one seat's table. Synced once those of enough seats are in: as
  /// many as a majority for an odd number of seats.
  void onSync(const KeySync &Answer);

  /// Declares the first entries of a new installation synced: nothing can have
  /// been claimed, because no entry had run for the key memory.
  void syncWithoutPeers() { m_isSynced = true; }

  bool isSynced() const { return m_isSynced; }

  /// How long this entry has been unable to sync.
  Duration unsyncedFor() const;

  /// Drops keys older than the memory.
  void tick();

  std::size_t size() const { return m_table.size(); }

private:
  struct Row {
    ClaimId m_id;
    Seat m_seat = 0;
    TimePoint m_since;
  };

  struct OwnClaim {
    KeyClaim m_claim;
    KeyProgress m_progress;
    /// Grants by seat, with the view each granter had.
    std::map<Seat, SeatView> m_grants;
  };

  bool grant(const KeyClaim &Claim);
  void decide(OwnClaim &Own) const;

  const Clock &m_clock;
  Seating m_seating;
  const Options m_options;
  bool m_isSynced = false;
  TimePoint m_started;
  std::uint64_t m_nextNumber = 1;
  /// Invariant: a row is replaced only by a claim that names it as given up.
  std::map<std::string, Row> m_table;
  std::map<ClaimId, OwnClaim> m_own;
  std::map<Seat, bool> m_syncedFrom;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_KEY_REGISTER_H
