// Arithmetic of the capacity report.
#include "catkinseam/capacity/report.h"

namespace catkinseam {

namespace {

/// What batch may hold of the target, never negative.
Resources batchLimit(const CapacityRow &Row) {
  return larger(Row.m_target - Row.m_protected, Resources{});
}

void settle(CapacityRow &Row) {
  Row.m_inForce = larger(Row.m_target, Row.m_held);
}

} // namespace

Readings readReport(const CapacityRow &Row) {
  Readings Read;
  Read.m_held = Row.m_held;
  Read.m_headroomTarget = Row.m_protected;
  Read.m_headroom =
      larger(smaller(Row.m_protected, Row.m_target - Row.m_held), Resources{});
  Read.m_room = larger(batchLimit(Row) - Row.m_held, Resources{});
  return Read;
}

void applyReport(CapacityRow &Row, const Resources &Target,
                 const Resources &Protected) {
  Row.m_target = Target;
  Row.m_protected = smaller(Protected, Target);
  settle(Row);
}

void reserve(CapacityRow &Row, const Resources &Size) {
  Row.m_held += Size;
  settle(Row);
}

void release(CapacityRow &Row, const Resources &Size) {
  Row.m_held -= Size;
  settle(Row);
}

Resources overheld(const CapacityRow &Row) {
  return larger(Row.m_held - batchLimit(Row), Resources{});
}

} // namespace catkinseam
