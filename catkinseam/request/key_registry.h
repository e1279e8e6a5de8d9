// At-most-once execution of non-idempotent requests: an entry claims the
// idempotency key at a majority of the entries before it sends the request.
//
//   KeyRegistry Keys(Clock, Membership, {});
//   ClaimStart Start = Keys.begin("bill-77");
//   if (Start.m_progress.m_status == KeyStatus::Claiming)
//     sendToAll(Start.m_claim);
//   Keys.onAck(Ack);   // until progress(...) is Granted or Held
//
// Any two majorities have an entry in common, so at most one of two claims on a
// key is granted. A process that replaces an entry copies the claims of enough
// other entries (sync) before it acknowledges any claim. The table is kept in
// memory only, and keys expire after Options::m_retention: losing it causes
// refusals, but never a second execution.
#ifndef CATKINSEAM_REQUEST_KEY_REGISTRY_H
#define CATKINSEAM_REQUEST_KEY_REGISTRY_H

#include "catkinseam/base/clock.h"
#include "catkinseam/membership/membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinseam {

/// Globally unique id of a claim: the boot id of the claiming process and a
/// sequence number.
struct ClaimId {
  std::string m_bootId;
  std::uint64_t m_number = 0;

  auto operator<=>(const ClaimId &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_bootId, m_number);
  }
};

/// Request to the other entries to grant a key.
struct KeyClaim {
  std::string m_key;
  ClaimId m_id;
  Seat m_seat = 0;
  /// Earlier claims on the key that this claim may replace: their owners have
  /// released the key to this entry without sending the request.
  std::vector<ClaimId> m_replaces;
  IncarnationView m_view;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_seat, m_replaces, m_view);
  }
};

enum class AckVerdict : std::uint8_t {
  Granted,
  Held,      ///< Another claim holds the key.
  NotSynced, ///< The entry cannot answer; not counted.
};

/// Answer of one entry to a claim.
struct KeyAck {
  std::string m_key;
  ClaimId m_id;
  AckVerdict m_verdict = AckVerdict::NotSynced;
  Seat m_from = 0;
  IncarnationView m_view;
  /// The claim that holds the key, if the verdict is Held.
  ClaimId m_holder;
  Seat m_holderSeat = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_verdict, m_from, m_view, m_holder, m_holderSeat);
  }
};

/// One table row in a sync message.
struct KeyEntry {
  std::string m_key;
  ClaimId m_id;
  Seat m_seat = 0;
  /// Age at the time of copying; does not depend on synchronized clocks.
  std::int64_t m_ageMs = 0;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_key, m_id, m_seat, m_ageMs);
  }
};

/// A copy of one entry's table, sent to an entry that syncs.
struct KeyTableCopy {
  bool m_isSynced = false;
  Seat m_from = 0;
  IncarnationView m_view;
  std::vector<KeyEntry> m_entries;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_isSynced, m_from, m_view, m_entries);
  }
};

enum class KeyStatus {
  Claiming, ///< Waiting for acknowledgements of a majority.
  Granted,  ///< Only this entry may send the request.
  Held,     ///< Another claim holds the key; see m_holder.
  NotSynced ///< This entry cannot claim keys yet.
};

/// State of a claim made by this entry.
struct KeyProgress {
  KeyStatus m_status = KeyStatus::Claiming;
  ClaimId m_holder;
  Seat m_holderSeat = 0;
};

/// Result of KeyRegistry::begin().
struct ClaimStart {
  KeyProgress m_progress;
  /// To be sent to every other seat and resent until the claim is decided.
  KeyClaim m_claim;
};

/// One entry's part of the replicated table of idempotency keys. Not
/// thread-safe.
class KeyRegistry {
public:
  struct Options {
    /// How long a key is kept after it was last claimed.
    Duration m_retention = std::chrono::seconds(120);
  };

  KeyRegistry(const Clock &Time, MembershipView InitialMembership,
              const Options &Opts);

  /// Sets the latest membership view. Call it before other calls whenever the
  /// view may have changed.
  void setMembershipView(MembershipView Current) {
    m_membership = std::move(Current);
  }

  /// Starts a claim on `Key`. `Replaces` lists claims on it that their owners
  /// have released to this entry.
  ClaimStart begin(const std::string &Key,
                   const std::vector<ClaimId> &Replaces = {});

  /// Returns the state of a claim of this entry; NotSynced if the id is
  /// unknown.
  KeyProgress progress(const ClaimId &Id) const;

  /// Drops the progress of a claim of this entry. The key stays claimed.
  void forgetProgress(const ClaimId &Id);

  /// Handles a claim of another entry and returns the answer to send.
  KeyAck onClaim(const KeyClaim &Claim);

  /// Handles an answer to a claim of this entry.
  void onAck(const KeyAck &Ack);

  /// Returns a copy of the table for an entry that syncs. The caller must first
  /// have merged that entry's view into the membership.
  KeyTableCopy syncReply() const;

  /// Merges the table of another seat. This entry is synced once it has the
  /// tables of seats() - majority() + 1 seats, which is a majority if the
  /// number of seats is odd.
  void onSync(const KeyTableCopy &Answer);

  /// Marks this entry as synced without copying. For the first entries of a new
  /// installation only: no entry has run within Options::m_retention, so no
  /// claims can exist.
  void syncWithoutPeers() { m_isSynced = true; }

  bool isSynced() const { return m_isSynced; }

  /// Returns how long this entry has been running unsynced; zero if synced.
  Duration unsyncedFor() const;

  /// Removes expired keys. Also marks this entry as synced after it has run for
  /// longer than Options::m_retention.
  void tick();

  std::size_t size() const { return m_table.size(); }

private:
  struct TableRow {
    ClaimId m_id;
    Seat m_seat = 0;
    TimePoint m_claimedAt;
  };

  struct OwnClaim {
    KeyClaim m_claim;
    KeyProgress m_progress;
    /// Grants by seat, with the granting entry's view of the seats.
    std::map<Seat, IncarnationView> m_grants;
  };

  bool tryGrant(const KeyClaim &Claim);
  void updateStatus(OwnClaim &Claim) const;

  const Clock &m_clock;
  MembershipView m_membership;
  const Options m_options;
  bool m_isSynced = false;
  TimePoint m_startedAt;
  std::uint64_t m_nextNumber = 1;
  /// Claims that hold a key, by key. Invariant: a row is replaced only by a
  /// claim whose m_replaces lists it.
  std::map<std::string, TableRow> m_table;
  std::map<ClaimId, OwnClaim> m_ownClaims;
  std::map<Seat, bool> m_syncedFrom;
};

} // namespace catkinseam

#endif // CATKINSEAM_REQUEST_KEY_REGISTRY_H
