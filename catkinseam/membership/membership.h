// Which entries are alive, what they have applied, and whether this entry is
// in touch with a majority of them.
//
//   Membership Members(Clock, {.m_seat = 2, .m_seats = 7, .m_bootId = Boot});
//   Link.send(Peer, encode(Members.nextHeartbeat()));
//   Members.onHeartbeat(Received);
//   if (Members.isInMajority()) renewLeases();
//
// Entries hold numbered seats from their settings. A replaced instance takes
// the seat of the one before it with a higher incarnation; a process that
// hears of a higher incarnation on its own seat has been superseded.
#ifndef CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H
#define CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// A place among the entries, from 1.
using Seat = std::uint32_t;

/// One process on one seat.
struct Incarnation {
  /// Later processes on a seat have higher numbers; 0 is nobody.
  std::uint64_t m_number = 0;
  std::string m_bootId;

  bool operator==(const Incarnation &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_number, m_bootId);
  }
};

/// Incarnations by seat, as one entry knows them; index 0 is seat 1.
using SeatView = std::vector<Incarnation>;

/// Who sits where, as one entry knows it: what majorities are counted over.
struct Seating {
  Seat m_own = 1;
  SeatView m_view;
  /// True once another process holds this entry's seat.
  bool m_isSuperseded = false;

  Seat seats() const { return static_cast<Seat>(m_view.size()); }
  Seat majority() const { return seats() / 2 + 1; }
  bool isSeat(Seat Place) const { return Place >= 1 && Place <= seats(); }
  const Incarnation &at(Seat Place) const { return m_view[Place - 1]; }
};

enum class EntryState : std::uint8_t { Joining, Ready, Draining };

/// What an entry tells the others several times a second.
struct Heartbeat {
  Seat m_seat = 0;
  std::string m_name;
  std::string m_dataCentre;
  EntryState m_state = EntryState::Joining;
  SeatView m_view;
  /// Counts this process's heartbeats.
  std::uint64_t m_sequence = 0;
  /// By seat, the last sequence heard; what proves how fresh a contact is.
  std::vector<std::uint64_t> m_echoes;
  std::uint64_t m_appliedOffset = 0;
  std::uint64_t m_configVersion = 0;
  /// Short requests waiting for a slot.
  std::uint32_t m_waiting = 0;
  /// Requests in flight by worker; sent only where a strategy needs it.
  std::map<std::string, std::uint16_t> m_inFlight;
  /// Workers that this entry has seen listed as leaving.
  std::vector<std::string> m_leaving;
  /// Workers that this entry cannot reach for task commands.
  std::vector<std::string> m_unreachable;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_seat, m_name, m_dataCentre, m_state, m_view, m_sequence, m_echoes,
           m_appliedOffset, m_configVersion, m_waiting, m_inFlight, m_leaving,
           m_unreachable);
  }
};

/// What is known of one other entry.
struct PeerRow {
  Heartbeat m_last;
  TimePoint m_lastHeard;
  /// When this entry sent the latest heartbeat that the peer has echoed: all
  /// that the peer reports is at least as fresh as this, also when heartbeats
  /// wait in a socket while this process is paused.
  TimePoint m_provenAt;
};

/// Not thread-safe.
class Membership {
public:
  struct Options {
    Seat m_seat = 1;
    Seat m_seats = 1;
    std::string m_bootId;
    std::string m_name;
    std::string m_dataCentre;
    /// A peer not heard for this long is taken for dead.
    Duration m_deadAfter = std::chrono::milliseconds(1200);
    /// What is known of a peer counts as contact for this long.
    Duration m_contactFor = std::chrono::milliseconds(1000);
  };

  Membership(const Clock &Time, const Options &Own);

  /// Returns this entry's next heartbeat, with only the membership's own
  /// fields filled in.
  Heartbeat nextHeartbeat();

  /// Returns whether `Interval` has passed since the last heartbeat.
  bool isBeatDue(Duration Interval) const;

  /// Takes in a peer's heartbeat. Returns false, and ignores it, when it is
  /// old, malformed or from a superseded process.
  bool onHeartbeat(const Heartbeat &Received);

  /// Merges incarnations that a peer reported outside a heartbeat.
  void mergeView(const SeatView &View);

  void setState(EntryState State) { m_state = State; }
  EntryState state() const { return m_state; }

  Seat seat() const { return m_options.m_seat; }
  Seat seats() const { return m_options.m_seats; }

  /// True once another process holds this entry's seat: it must stop acting.
  bool isSuperseded() const { return m_seating.m_isSuperseded; }

  const Seating &seating() const { return m_seating; }

  /// Seats alive now, this entry's included, in order.
  std::vector<Seat> aliveSeats() const;

  /// Seats that serve callers now.
  std::vector<Seat> readySeats() const;

  /// Whether proven contact within the contact window covers a majority of
  /// seats.
  bool isInMajority() const;

  Duration contactWindow() const { return m_options.m_contactFor; }

  /// Highest offset that any peer in contact has applied.
  std::uint64_t highestOffsetHeard() const;

  /// Returns the highest next offset that a majority of seats in proven
  /// contact, this one included with `OwnOffset`, has reached; 0 when this
  /// entry is not in touch with a majority.
  std::uint64_t majorityOffset(std::uint64_t OwnOffset) const;

  /// Rows of the other entries by seat.
  const std::map<Seat, PeerRow> &peers() const { return m_peers; }

private:
  bool isFresh(const PeerRow &Peer, Duration Window) const;
  bool isProven(const PeerRow &Peer) const;
  TimePoint sentAt(std::uint64_t Sequence) const;

  const Clock &m_clock;
  const Options m_options;
  EntryState m_state = EntryState::Joining;
  /// Invariant: numbers only grow; own seat holds this process unless it is
  /// superseded.
  Seating m_seating;
  std::map<Seat, PeerRow> m_peers;
  std::uint64_t m_sequence = 0;
  /// When the latest heartbeats were sent, by sequence.
  std::map<std::uint64_t, TimePoint> m_sent;
};

/// Returns the seat, out of `Seats`, that rendezvous hashing gives `Name` to;
/// 0 when there is none.
Seat homeOf(const std::string &Name, const std::vector<Seat> &Seats);

} // namespace catkinseam

#endif // CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H
