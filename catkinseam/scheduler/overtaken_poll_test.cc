// Status polls that get the reply to an earlier poll.
#define BOOST_TEST_MODULE overtaken_poll
#include "catkinseam/scheduler/testing/scheduler_fixture.h"

namespace catkinseam {

namespace {

const std::string Id = "00000000000000a1";

} // namespace

// A status poll got the reply to an earlier one, which does not list a run that
// was started in between. The run was taken for ended, and started again beside
// itself. A worker's clock never goes back, so such a reply can be told.
BOOST_FIXTURE_TEST_CASE(PollReplyFromBeforeItsPollEndsNoRun, SchedulerFixture) {
  addWorker("w1");
  m_scheduler.addJob(makeJob(Id, 1), nullptr);
  const Decisions Next = m_scheduler.decide();
  const std::vector<StartOrder> Starts = m_scheduler.release(Next, false);
  BOOST_REQUIRE(Starts.size() == 1U);
  m_clock.advance(Milliseconds(500));
  m_scheduler.onStart(Starts.front(), {OrderOutcome::Done, Milliseconds(1500)});
  m_clock.advance(Milliseconds(500));
  answerPoll("w1", {}, {});
  BOOST_TEST(m_scheduler.summarize().m_runs == 1U);
  BOOST_TEST(scheduleOnce() == 0U);
}

} // namespace catkinseam
