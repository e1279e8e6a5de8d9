// Headroom, batch reservations and room must never add up to more than the
// worker's effective capacity, whatever the order of reports and reservations.
#define BOOST_TEST_MODULE report
#include "catkinseam/capacity/report.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;

namespace {

bool isNegative(const Resources &Amount) {
  return Amount.m_milliProcessors < 0 || Amount.m_memoryMb < 0 ||
         Amount.m_accelerators < 0;
}

Resources arbitraryAmount(std::int64_t Max) {
  return {*rc::gen::inRange<std::int64_t>(0, Max + 1),
          *rc::gen::inRange<std::int64_t>(0, Max + 1),
          *rc::gen::inRange<std::int64_t>(0, 3)};
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsHeadroomAndRoom) {
  CapacityRow Row;
  applyReport(Row, {16000, 60000, 0}, {8000, 20000, 0});
  reserve(Row, {3000, 1000, 0});
  const CapacitySummary Now = summarizeCapacity(Row);
  BOOST_TEST((Now.m_headroom == Resources{8000, 20000, 0}));
  BOOST_TEST((Now.m_room == Resources{5000, 39000, 0}));
}

BOOST_AUTO_TEST_CASE(RaisedHeadroomTakesEffectAsBatchReleases) {
  CapacityRow Row;
  applyReport(Row, {16000, 60000, 0}, {4000, 0, 0});
  reserve(Row, {10000, 0, 0});
  applyReport(Row, {16000, 60000, 0}, {12000, 0, 0});
  CapacitySummary Now = summarizeCapacity(Row);
  BOOST_TEST(Now.m_headroom.m_milliProcessors == 6000);
  BOOST_TEST(Now.m_headroomTarget.m_milliProcessors == 12000);
  BOOST_TEST(Now.m_room.m_milliProcessors == 0);
  BOOST_TEST(excessReservation(Row).m_milliProcessors == 6000);
  release(Row, {10000, 0, 0});
  Now = summarizeCapacity(Row);
  BOOST_TEST(Now.m_headroom.m_milliProcessors == 12000);
  BOOST_TEST(Now.m_room.m_milliProcessors == 4000);
}

RC_BOOST_PROP(HeadroomReservationsAndRoomFitInCapacity, ()) {
  CapacityRow Row;
  std::vector<Resources> Reservations;
  const int Steps = *rc::gen::inRange(1, 40);
  for (int Step = 0; Step < Steps; ++Step) {
    const int Action = *rc::gen::inRange(0, 3);
    if (Action == 0) {
      const Resources Target = arbitraryAmount(20);
      applyReport(Row, Target, elementwiseMin(arbitraryAmount(20), Target));
    } else if (Action == 1) {
      const Resources Size = arbitraryAmount(8);
      if (Size.fitsIn(summarizeCapacity(Row).m_room)) {
        reserve(Row, Size);
        Reservations.push_back(Size);
      }
    } else if (!Reservations.empty()) {
      release(Row, Reservations.back());
      Reservations.pop_back();
    }
    const CapacitySummary Now = summarizeCapacity(Row);
    RC_ASSERT((Now.m_headroom + Now.m_reserved + Now.m_room)
                  .fitsIn(Row.m_effectiveCapacity));
    RC_ASSERT(!isNegative(Now.m_headroom) && !isNegative(Now.m_room));
    RC_ASSERT(Row.m_reserved.fitsIn(Row.m_effectiveCapacity));
    RC_ASSERT(Now.m_headroom.fitsIn(Now.m_headroomTarget));
    // Batch gets room only while the full target headroom is available.
    if (Now.m_room.m_milliProcessors > 0)
      RC_ASSERT(Now.m_headroom.m_milliProcessors ==
                Now.m_headroomTarget.m_milliProcessors);
  }
}
