// Computes headroom, batch room and over-reservation from a capacity report.
#include "catkinseam/capacity/report.h"

namespace catkinseam {

namespace {

/// Returns how much of the target batch tasks may reserve, never negative.
Resources batchLimit(const CapacityRow &Row) {
  return elementwiseMax(Row.m_target - Row.m_protected, Resources{});
}

void updateEffectiveCapacity(CapacityRow &Row) {
  Row.m_effectiveCapacity = elementwiseMax(Row.m_target, Row.m_reserved);
}

} // namespace

CapacitySummary summarizeCapacity(const CapacityRow &Row) {
  CapacitySummary Result;
  Result.m_reserved = Row.m_reserved;
  Result.m_headroomTarget = Row.m_protected;
  Result.m_headroom = elementwiseMax(
      elementwiseMin(Row.m_protected, Row.m_target - Row.m_reserved),
      Resources{});
  Result.m_room = elementwiseMax(batchLimit(Row) - Row.m_reserved, Resources{});
  return Result;
}

void applyReport(CapacityRow &Row, const Resources &Target,
                 const Resources &Protected) {
  Row.m_target = Target;
  Row.m_protected = elementwiseMin(Protected, Target);
  updateEffectiveCapacity(Row);
}

void reserve(CapacityRow &Row, const Resources &Size) {
  Row.m_reserved += Size;
  updateEffectiveCapacity(Row);
}

void release(CapacityRow &Row, const Resources &Size) {
  Row.m_reserved -= Size;
  updateEffectiveCapacity(Row);
}

Resources excessReservation(const CapacityRow &Row) {
  return elementwiseMax(Row.m_reserved - batchLimit(Row), Resources{});
}

} // namespace catkinseam
