// The capacity report of one worker and its two readings.
//
//   Readings Now = readReport(Row);
//   // Service owners read m_headroom, batch owners read m_room.
//
// Both readings come from one function, so they cannot contradict each other:
// headroom in force plus what batch holds plus room never exceeds capacity.
#ifndef CATKINSEAM_CAPACITY_REPORT_H
#define CATKINSEAM_CAPACITY_REPORT_H

#include "catkinseam/capacity/resources.h"

namespace catkinseam {

/// What is known of one worker's capacity.
struct CapacityRow {
  /// What operators last reported.
  Resources m_target;
  /// Share of the target protected for services.
  Resources m_protected;
  /// What the worker counts as having while batch still holds more than the
  /// target leaves. Invariant: m_held fits in m_inForce.
  Resources m_inForce;
  /// Sum of the reservations of batch tasks that are not released.
  Resources m_held;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_target, m_protected, m_inForce, m_held);
  }
};

struct Readings {
  /// Protected for services now.
  Resources m_headroom;
  /// Protected for services once running evictions have finished.
  Resources m_headroomTarget;
  /// Free for batch now.
  Resources m_room;
  /// Held by batch now.
  Resources m_held;
};

/// Returns both readings of `Row`. Invariant of the result, amount by amount:
/// m_headroom + m_held + m_room <= Row.m_inForce, and none is negative.
Readings readReport(const CapacityRow &Row);

/// Takes a new report in force: lower amounts at once as far as batch holds
/// none of them, the rest as batch releases it.
void applyReport(CapacityRow &Row, const Resources &Target,
                 const Resources &Protected);

/// Adds a reservation. The caller has checked it against readReport().m_room.
void reserve(CapacityRow &Row, const Resources &Size);

/// Takes a reservation back and lets a lowered report catch up.
void release(CapacityRow &Row, const Resources &Size);

/// Returns what batch holds beyond what the report leaves it; zero when no
/// eviction is due.
Resources overheld(const CapacityRow &Row);

} // namespace catkinseam

#endif // CATKINSEAM_CAPACITY_REPORT_H
