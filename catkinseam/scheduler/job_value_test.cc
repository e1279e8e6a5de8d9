// Values of jobs relative to others of their queue.
#define BOOST_TEST_MODULE job_value
#include "catkinseam/scheduler/job_value.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

// Guards against divisions by zero: a job may declare neither run times nor
// processors.
BOOST_AUTO_TEST_CASE(JobWithoutEstimatesHasWorkAndValue) {
  JobSpec Spec;
  Spec.m_steps.resize(1);
  Spec.m_steps[0].m_count = 2;
  BOOST_TEST(declaredWork(Spec) > 0.0);
  JobValuation Valuation;
  BOOST_TEST(Valuation.add("counts", declaredWork(Spec)).current() > 0.0);
}

// Guards against large jobs that starve, and against small ones that gain
// nothing by being short: the value grows with the work, but by less.
BOOST_AUTO_TEST_CASE(ValueGrowsByLessThanWork) {
  JobValuation Valuation;
  const JobValue Small = Valuation.add("counts", 1.0);
  const JobValue Large = Valuation.add("counts", 100.0);
  BOOST_TEST(Large.current() > Small.current());
  BOOST_TEST(Large.current() / 100.0 < Small.current() / 1.0);
}

// Guards against an order by arrival: jobs of the same work have the same value
// although the mean has changed between them. Queues do not affect each other.
BOOST_AUTO_TEST_CASE(EqualJobsHaveEqualValues) {
  JobValuation Valuation;
  const JobValue First = Valuation.add("counts", 1.0);
  Valuation.add("counts", 100.0);
  const JobValue Second = Valuation.add("counts", 1.0);
  BOOST_TEST(First.current() == Second.current());
  BOOST_TEST(Valuation.add("ledgers", 1.0).current() < Second.current());
}

} // namespace catkinseam
