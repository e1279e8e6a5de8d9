// Tracks which entries are alive, which log offsets they have applied, and
// whether this entry is in contact with a majority of them.
//
//   Membership Members(Clock, {.m_seat = 2, .m_seats = 7, .m_bootId = Boot});
//   Transport.send(Peer, encode(Members.nextHeartbeat()));
//   Members.onHeartbeat(Received);
//   if (Members.isInMajority()) renewLeases();
//
// Each entry has a numbered seat from its settings. A replacement instance uses
// its predecessor's seat with a higher incarnation number; a process that
// learns of a higher incarnation on its own seat is superseded.
#ifndef CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H
#define CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H

#include "catkinseam/base/clock.h"
#include "catkinseam/base/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinseam {

/// Fixed member number of an entry, from 1.
using Seat = std::uint32_t;

/// One process on one seat.
struct Incarnation {
  /// Increases with each process on the seat; 0 if no process is known.
  std::uint64_t m_number = 0;
  std::string m_bootId;

  bool operator==(const Incarnation &) const = default;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_number, m_bootId);
  }
};

/// Latest incarnation known of each seat; index 0 is seat 1.
using IncarnationView = std::vector<Incarnation>;

/// One entry's view of the membership, over which majorities are counted.
struct MembershipView {
  Seat m_ownSeat = 1;
  IncarnationView m_incarnations;
  /// True once a later process has taken this entry's seat.
  bool m_isSuperseded = false;

  Seat seats() const { return static_cast<Seat>(m_incarnations.size()); }
  Seat majority() const { return seats() / 2 + 1; }
  bool isSeat(Seat Number) const { return Number >= 1 && Number <= seats(); }
  const Incarnation &at(Seat Number) const {
    return m_incarnations[Number - 1];
  }
};

enum class EntryState : std::uint8_t { Joining, Ready, Draining };

/// Message that an entry sends to all others several times a second.
struct Heartbeat {
  Seat m_seat = 0;
  std::string m_name;
  std::string m_dataCentre;
  EntryState m_state = EntryState::Joining;
  IncarnationView m_incarnations;
  /// Number of this process's heartbeat, from 1.
  std::uint64_t m_sequence = 0;
  /// Last heartbeat sequence received from each seat. A receiver finds in it
  /// which of its own heartbeats reached the sender.
  std::vector<std::uint64_t> m_acknowledgedSequences;
  /// First log offset that this entry has not applied.
  std::uint64_t m_appliedOffset = 0;
  std::uint64_t m_configVersion = 0;
  /// Number of short requests waiting for a slot.
  std::uint32_t m_waiting = 0;
  /// Requests in flight by worker; filled in only if the slot sharing strategy
  /// uses it.
  std::map<std::string, std::uint16_t> m_inFlight;
  /// Workers that the instance list marks as leaving, as seen by this entry.
  std::vector<std::string> m_leaving;
  /// Workers that this entry cannot reach for task commands.
  std::vector<std::string> m_unreachable;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_seat, m_name, m_dataCentre, m_state, m_incarnations, m_sequence,
           m_acknowledgedSequences, m_appliedOffset, m_configVersion, m_waiting,
           m_inFlight, m_leaving, m_unreachable);
  }
};

/// State of one other entry.
struct PeerState {
  Heartbeat m_lastHeartbeat;
  TimePoint m_lastReceivedAt;
  /// When this entry sent the latest heartbeat that the peer has acknowledged.
  /// The peer's data is at least as recent as this. The receive time gives no
  /// such bound: heartbeats wait in the socket while this process is paused.
  TimePoint m_lastAckedSendTime;
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
    /// A peer is considered dead after this long without a heartbeat.
    Duration m_failureTimeout = std::chrono::milliseconds(1200);
    /// A peer counts as in contact for this long after the send time of the
    /// latest heartbeat that it acknowledged.
    Duration m_contactTimeout = std::chrono::milliseconds(1000);
  };

  Membership(const Clock &Time, const Options &Own);

  /// Returns this entry's next heartbeat. The caller fills in the fields that
  /// membership does not know, such as the offset and the worker lists.
  Heartbeat nextHeartbeat();

  /// Returns whether `Interval` has passed since the last heartbeat.
  bool isHeartbeatDue(Duration Interval) const;

  /// Processes a peer's heartbeat. Returns false if it is outdated, malformed
  /// or from a superseded process; then at most its incarnations are used.
  bool onHeartbeat(const Heartbeat &Received);

  /// Merges incarnations that a peer reported outside a heartbeat.
  void mergeView(const IncarnationView &View);

  void setState(EntryState State) { m_state = State; }
  EntryState state() const { return m_state; }

  Seat seat() const { return m_options.m_seat; }
  Seat seats() const { return m_options.m_seats; }

  /// True once a later process has taken this entry's seat; this process must
  /// then stop acting.
  bool isSuperseded() const { return m_view.m_isSuperseded; }

  const MembershipView &view() const { return m_view; }

  /// Seats of live entries, including this one, in ascending order.
  std::vector<Seat> aliveSeats() const;

  /// Seats of live entries in state Ready, in ascending order.
  std::vector<Seat> readySeats() const;

  /// Returns whether this entry is in contact with a majority of seats, itself
  /// included, and is not superseded.
  bool isInMajority() const;

  Duration contactTimeout() const { return m_options.m_contactTimeout; }

  /// Highest next offset that any known peer has reported, in contact or not.
  std::uint64_t highestReportedOffset() const;

  /// Returns the highest next offset that a majority of seats has reached,
  /// counting peers in contact and this entry with `OwnOffset`; 0 if this entry
  /// is not in contact with a majority.
  std::uint64_t majorityOffset(std::uint64_t OwnOffset) const;

  /// State of the other entries by seat.
  const std::map<Seat, PeerState> &peers() const { return m_peers; }

private:
  bool isHeardWithin(const PeerState &Peer, Duration Window) const;
  bool isInContact(const PeerState &Peer) const;
  TimePoint sendTime(std::uint64_t Sequence) const;

  const Clock &m_clock;
  const Options m_options;
  EntryState m_state = EntryState::Joining;
  /// Invariant: incarnation numbers never decrease; this entry's seat holds
  /// this process.
  MembershipView m_view;
  std::map<Seat, PeerState> m_peers;
  std::uint64_t m_sequence = 0;
  /// Send times of recent heartbeats by sequence.
  std::map<std::uint64_t, TimePoint> m_sendTimes;
};

/// Returns the seat that rendezvous hashing assigns `Name` to, out of `Seats`;
/// 0 if `Seats` is empty.
Seat preferredSeat(const std::string &Name, const std::vector<Seat> &Seats);

} // namespace catkinseam

#endif // CATKINSEAM_MEMBERSHIP_MEMBERSHIP_H
