// Bounds on leases: what an owner may grant, and what its predecessors may have
// granted. docs/design/lease-bounds.md says why they hold.
//
//   GrantedLeases Granted({});
//   LeaseRecord Next = Granted.announce(Now);
//   // append Next; once it is durable:
//   Granted.onStored(Now);
//   // grant leases that are over by Granted.end()
#ifndef CATKINSEAM_SCHEDULER_LEASES_H
#define CATKINSEAM_SCHEDULER_LEASES_H

#include "catkinseam/base/clock.h"
#include "catkinseam/ledger/records.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinseam {

/// Minimum rate of a worker's clock relative to the local clock.
constexpr double MinClockRate = 0.98;

/// How long a lease of this length on a worker's clock may last on the local
/// clock.
Milliseconds maxLocalLease(Milliseconds Lease);

/// By when all leases granted by earlier owners are over, but for those on the
/// workers in m_longer.
struct EarlierLeases {
  /// An extension by the last owner that is not ruled out.
  struct Extension {
    /// It did not begin before this time.
    TimePoint m_from;
    TimePoint m_end;
  };

  /// By when they are over without an extension.
  TimePoint m_end;
  std::vector<Extension> m_extensions;
  /// Workers to which the last owner has granted nothing of late.
  std::unordered_map<std::string, TimePoint> m_silent;
  /// Workers on which they may last longer than on others.
  std::unordered_map<std::string, TimePoint> m_longer{};

  /// By when they are over on workers that are not in m_silent.
  TimePoint latestEnd() const {
    TimePoint Latest = m_end;
    for (const Extension &Each : m_extensions)
      Latest = std::max(Latest, Each.m_end);
    return Latest;
  }

  TimePoint endOn(const std::string &Worker) const {
    const auto Found = m_silent.find(Worker);
    return Found == m_silent.end() ? latestEnd() : Found->second;
  }

  /// Called when the last owner can extend nothing after `Now`.
  void ruleOutExtensionsAfter(TimePoint Now) {
    std::erase_if(m_extensions,
                  [Now](const Extension &Each) { return Each.m_from > Now; });
  }

  /// By when those are over that exceed endOn(); the clock's epoch for none.
  TimePoint longerEndOn(const std::string &Worker) const {
    const auto Found = m_longer.find(Worker);
    return Found == m_longer.end() ? TimePoint() : Found->second;
  }
};

/// What an owner may grant under the lease records that it has stored.
class GrantedLeases {
public:
  struct Options {
    /// See LeaseRecord.
    Milliseconds m_term{5300};
    Milliseconds m_extendedTerm{10500};
    Milliseconds m_extensionDelay{3000};
  };

  explicit GrantedLeases(const Options &Values) : m_options(Values) {}

  /// Returns the record to be appended now. The workers that it names and the
  /// rest of the earlier leases are left to the caller.
  LeaseRecord announce(TimePoint Now);

  /// Reports that the announced record is durable.
  void onStored(TimePoint Now);

  /// Whether a record is durable.
  bool mayGrant() const { return m_isStored; }

  /// All leases that are granted must be over by this time.
  TimePoint end() const {
    return std::max<TimePoint>(m_begunAt + m_options.m_term, m_extendedEnd);
  }
  /// The latest time that end() can return, unless another record is stored.
  TimePoint latestEnd() const { return m_begunAt + m_options.m_extendedTerm; }

  /// Extends the leases that may be granted under the stored record. The owner
  /// must have learned, by polls sent since extensionFrom(), that no successor
  /// has reached most of the workers.
  void extend() { m_extendedEnd = latestEnd(); }
  bool isExtended() const { return m_extendedEnd >= latestEnd(); }
  TimePoint extensionFrom() const {
    return m_storedAt + m_options.m_extensionDelay;
  }

private:
  const Options m_options;
  /// When the append of the newest durable record began, and when it was known
  /// to be durable.
  TimePoint m_begunAt;
  TimePoint m_storedAt;
  TimePoint m_announcedAt;
  std::uint64_t m_announcements = 0;
  bool m_isStored = false;
  /// By when all leases of extensions are over.
  TimePoint m_extendedEnd;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_LEASES_H
