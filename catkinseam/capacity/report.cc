// Computes headroom, batch room and over-reservation from a capacity report.
#include "catkinseam/capacity/report.h"

namespace catkinseam {

namespace {

/// Returns how much of the target batch tasks may reserve, never negative.
Resources batchLimit(const CapacityRow &Row) {
  return larger(Row.m_target - Row.m_protected, Resources{});
}

void updateEffectiveCapacity(CapacityRow &Row) {
  Row.m_effectiveCapacity = larger(Row.m_target, Row.m_reserved);
}

} // namespace

Readings readReport(const CapacityRow &Row) {
  Readings Result;
  Result.m_held = Row.m_reserved;
  Result.m_headroomTarget = Row.m_protected;
  Result.m_headroom = larger(
      smaller(Row.m_protected, Row.m_target - Row.m_reserved), Resources{});
  Result.m_room = larger(batchLimit(Row) - Row.m_reserved, Resources{});
  return Result;
}

void applyReport(CapacityRow &Row, const Resources &Target,
                 const Resources &Protected) {
  Row.m_target = Target;
  Row.m_protected = smaller(Protected, Target);
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

Resources overheld(const CapacityRow &Row) {
  return larger(Row.m_reserved - batchLimit(Row), Resources{});
}

} // namespace catkinseam
