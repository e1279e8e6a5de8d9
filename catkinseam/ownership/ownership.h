// When an entry should try to become the owner, who alone schedules.
//
//   Ownership Seat(Clock, {}, "edge-1");
//   Seat.onOwnerSeen(Record);
//   if (Seat.shouldCampaign()) ...
//
// The owner's records in the jobs' topic are its heartbeat. An entry campaigns
// when none has come for a while although it has been reading that topic. The
// log decides between rivals: of two records that claim one epoch the first
// counts, and an epoch that has been claimed shuts out the appends of all
// lower ones.
#ifndef CATKINSEAM_OWNERSHIP_OWNERSHIP_H
#define CATKINSEAM_OWNERSHIP_OWNERSHIP_H

#include "catkinseam/base/clock.h"
#include "catkinseam/ledger/records.h"

#include <optional>
#include <string>

namespace catkinseam {

class Ownership {
public:
  struct Options {
    /// Silence of the owner after which others campaign.
    Milliseconds m_silence{600};
    /// Added to it, different for each entry, so that one goes first.
    Milliseconds m_spread{200};
    /// And so many times what the log takes to answer.
    int m_latencies = 6;
    /// A reading older than this does not show that the owner is silent.
    Milliseconds m_freshness{700};
    /// The part of a processor that this entry has.
    double m_strength = 1.0;
    /// Added where the last owner was stronger, so that its like go first.
    Milliseconds m_weakerWait{200};
    /// Before there was any owner: added in whole for an entry without a
    /// processor, not at all for one with this part of one.
    Milliseconds m_firstWait{1000};
    double m_strongEntry = 0.5;
    /// Pause after a campaign that failed.
    Milliseconds m_pause{500};
  };

  Ownership(const Clock &Time, const Options &Values, const std::string &Entry);

  /// Records of the jobs' topic were read up to where it ended at `When`; the
  /// log takes `Latency` to answer at present.
  void onRead(TimePoint When, Duration Latency) {
    m_lastRead = When;
    m_latency = Latency;
  }

  /// A record came that only an owner writes.
  void onOwnerActivity() { m_lastActivity = m_clock.now(); }

  /// The newest owner's strength.
  void onOwnerStrength(double Strength) { m_ownerStrength = Strength; }

  /// The newest owner has said that it is leaving.
  void onOwnerLeaving() { m_isLeaving = true; }

  /// The epoch was claimed by another, or the campaign came to nothing.
  void onCampaignFailed();

  /// The silence began anew, with another owner.
  void onOwnerChanged();

  bool shouldCampaign() const;

private:
  /// What a weak entry leaves to stronger ones.
  Milliseconds handicap() const;

  const Clock &m_clock;
  const Options m_options;
  const Milliseconds m_offset;
  TimePoint m_lastRead;
  Duration m_latency{0};
  TimePoint m_lastActivity;
  TimePoint m_notBefore;
  bool m_isLeaving = false;
  /// None before the first owner.
  std::optional<double> m_ownerStrength;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_OWNERSHIP_H
