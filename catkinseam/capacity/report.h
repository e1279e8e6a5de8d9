// Splits one worker's reported capacity between services and batch work.
//
//   CapacitySummary Now = summarizeCapacity(Row);
//   // m_headroom is protected for services, m_room is available to batch work.
//
// One function computes both values, so they are always consistent: headroom,
// batch reservations and room together never exceed the effective capacity.
#ifndef CATKINSEAM_CAPACITY_REPORT_H
#define CATKINSEAM_CAPACITY_REPORT_H

#include "catkinseam/capacity/resources.h"

namespace catkinseam {

/// Capacity and reservations of one worker.
struct CapacityRow {
  /// Capacity that operators last reported.
  Resources m_target;
  /// Share of the target protected for services.
  Resources m_protected;
  /// Larger of target and reservations, per resource: a lowered target takes
  /// effect only as batch tasks release their reservations. Invariant:
  /// m_reserved fits in m_effectiveCapacity.
  Resources m_effectiveCapacity;
  /// Sum of the batch reservations that are not released yet.
  Resources m_reserved;

  template <class Archive> void serialize(Archive &Target) {
    Target(m_target, m_protected, m_effectiveCapacity, m_reserved);
  }
};

/// Capacity available to services and to batch work.
struct CapacitySummary {
  /// Protected for services now.
  Resources m_headroom;
  /// Protected for services once the evictions in progress have completed.
  Resources m_headroomTarget;
  /// Available to batch work now.
  Resources m_room;
  /// Reserved by batch tasks now.
  Resources m_reserved;
};

/// Returns the capacity available in `Row`. For each resource, the sum of
/// headroom, reservations and room is at most Row.m_effectiveCapacity, and none
/// of them is negative.
CapacitySummary summarizeCapacity(const CapacityRow &Row);

/// Applies a new capacity report. Where batch reservations exceed a lowered
/// target, the effective capacity follows as they are released.
void applyReport(CapacityRow &Row, const Resources &Target,
                 const Resources &Protected);

/// Adds a reservation. The caller must have checked that `Size` fits in the
/// room that summarizeCapacity() returns.
void reserve(CapacityRow &Row, const Resources &Size);

/// Removes a reservation and updates the effective capacity.
void release(CapacityRow &Row, const Resources &Size);

/// Returns by how much batch reservations exceed the batch limit of the report,
/// per resource; zero when no eviction is due.
Resources excessReservation(const CapacityRow &Row);

} // namespace catkinseam

#endif // CATKINSEAM_CAPACITY_REPORT_H
