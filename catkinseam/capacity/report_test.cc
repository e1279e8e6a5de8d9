// Both readings of the capacity report stay true at once.
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

Resources anyAmount(std::int64_t Most) {
  return {*rc::gen::inRange<std::int64_t>(0, Most + 1),
          *rc::gen::inRange<std::int64_t>(0, Most + 1),
          *rc::gen::inRange<std::int64_t>(0, 3)};
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsHeadroomAndRoom) {
  CapacityRow Row;
  applyReport(Row, {16000, 60000, 0}, {8000, 20000, 0});
  reserve(Row, {3000, 1000, 0});
  const Readings Read = readReport(Row);
  BOOST_TEST((Read.m_headroom == Resources{8000, 20000, 0}));
  BOOST_TEST((Read.m_room == Resources{5000, 39000, 0}));
}

BOOST_AUTO_TEST_CASE(RaisedHeadroomShowsTargetUntilBatchHasLeft) {
  CapacityRow Row;
  applyReport(Row, {16000, 60000, 0}, {4000, 0, 0});
  reserve(Row, {10000, 0, 0});
  applyReport(Row, {16000, 60000, 0}, {12000, 0, 0});
  Readings Read = readReport(Row);
  BOOST_TEST(Read.m_headroom.m_milliProcessors == 6000);
  BOOST_TEST(Read.m_headroomTarget.m_milliProcessors == 12000);
  BOOST_TEST(Read.m_room.m_milliProcessors == 0);
  BOOST_TEST(overheld(Row).m_milliProcessors == 6000);
  release(Row, {10000, 0, 0});
  Read = readReport(Row);
  BOOST_TEST(Read.m_headroom.m_milliProcessors == 12000);
  BOOST_TEST(Read.m_room.m_milliProcessors == 4000);
}

RC_BOOST_PROP(BothReadingsFitInTheWorker, ()) {
  CapacityRow Row;
  std::vector<Resources> Held;
  const int Steps = *rc::gen::inRange(1, 40);
  for (int Step = 0; Step < Steps; ++Step) {
    const int Action = *rc::gen::inRange(0, 3);
    if (Action == 0) {
      const Resources Target = anyAmount(20);
      applyReport(Row, Target, smaller(anyAmount(20), Target));
    } else if (Action == 1) {
      const Resources Size = anyAmount(8);
      if (Size.fitsIn(readReport(Row).m_room)) {
        reserve(Row, Size);
        Held.push_back(Size);
      }
    } else if (!Held.empty()) {
      release(Row, Held.back());
      Held.pop_back();
    }
    const Readings Read = readReport(Row);
    RC_ASSERT(
        (Read.m_headroom + Read.m_held + Read.m_room).fitsIn(Row.m_inForce));
    RC_ASSERT(!isNegative(Read.m_headroom) && !isNegative(Read.m_room));
    RC_ASSERT(Row.m_held.fitsIn(Row.m_inForce));
    RC_ASSERT(Read.m_headroom.fitsIn(Read.m_headroomTarget));
    // Room is only offered while the whole target headroom is in force.
    if (Read.m_room.m_milliProcessors > 0)
      RC_ASSERT(Read.m_headroom.m_milliProcessors ==
                Read.m_headroomTarget.m_milliProcessors);
  }
}
