// Test fixture: workers that start short tasks all the time.
//
//   SteadyLoad Load({.m_interval = Milliseconds(100)});
//   Load.addBusyWorkers(4);
//   Load.startJob(Job);
//   BOOST_TEST(Load.timeUntilActive(Job.m_id, 1) <= MaxWait);
#ifndef CATKINSEAM_SCHEDULER_TESTING_STEADY_LOAD_H
#define CATKINSEAM_SCHEDULER_TESTING_STEADY_LOAD_H

#include "catkinseam/scheduler/testing/scheduler_fixture.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace catkinseam {

/// The longest that a task may wait while there is room for it (LOST).
constexpr Milliseconds MaxWait{3000};

/// The tasks that each worker starts at a fixed interval.
struct LoadShape {
  Milliseconds m_interval{100};
  Milliseconds m_runTime{300};
  std::int64_t m_milliProcessors = 300;
  RunEnd m_end = RunEnd::Done;
};

/// Workers that answer status polls as the platform's do, and short tasks for
/// each of them, which are more urgent than all other tasks.
struct SteadyLoad : SchedulerFixture {
  struct Run {
    StartOrder m_order;
    TimePoint m_startedAt;
  };
  struct Worker {
    std::vector<Run> m_runs;
    std::vector<EndedRun> m_ended;
    std::optional<PollOrder> m_poll;
    TimePoint m_polledAt;
    std::uint64_t m_ends = 0;
    bool m_isSilent = false;
    /// Neither carries out the next start nor answers it.
    bool m_losesStart = false;
    bool m_hasShortTasks = true;
  };

  const LoadShape m_shape;
  std::map<std::string, Worker> m_busyWorkers;
  struct ShortTask {
    std::string m_worker;
    TimePoint m_submittedAt;
  };
  /// Waiting short tasks by job.
  std::map<std::string, ShortTask> m_shortTasks;
  /// Of those that have started.
  Milliseconds m_longestShortWait{0};
  std::uint64_t m_shortCount = 0;
  TimePoint m_nextShortAt;

  explicit SteadyLoad(const LoadShape &Shape = {},
                      const Scheduler::Options &Values = {})
      : SchedulerFixture(Values), m_shape(Shape) {
    m_clock.advance(Milliseconds(1000));
  }

  /// The worker has its name as a label.
  void addBusyWorker(const std::string &Name) {
    addWorker(Name, {4000, 8000, 0}, Name);
    m_busyWorkers[Name];
  }

  void addBusyWorkers(int Count) {
    for (int Index = 0; Index < Count; ++Index)
      addBusyWorker("w" + std::to_string(Index));
    pass(Milliseconds(1000));
  }

  void submitShortTasks() {
    m_nextShortAt = m_clock.now() + m_shape.m_interval;
    for (const auto &[Name, Row] : m_busyWorkers) {
      if (Row.m_isSilent || !Row.m_hasShortTasks)
        continue;
      Submission Job = makeJob("b" + std::to_string(++m_shortCount), 1);
      Job.m_spec.m_steps.front().m_request = {m_shape.m_milliProcessors, 10, 0};
      Job.m_spec.m_steps.front().m_estimate = m_shape.m_runTime;
      Job.m_spec.m_steps.front().m_requiredLabel = Name;
      m_scheduler.addJob(Job, nullptr);
      m_shortTasks[Job.m_id] = {Name, m_clock.now()};
    }
  }

  bool isShort(const StartOrder &Order) const {
    return Order.m_task.m_job.front() == 'b';
  }

  void endRun(Worker &Row, std::size_t Index, RunEnd How) {
    const StartOrder &Order = Row.m_runs[Index].m_order;
    Row.m_ended.push_back({++Row.m_ends, Order.m_task, Order.m_run, How, ""});
    Row.m_runs.erase(Row.m_runs.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void endRunOf(const TaskKey &Task, RunEnd How) {
    for (auto &[Name, Row] : m_busyWorkers)
      for (std::size_t Index = Row.m_runs.size(); Index-- > 0;)
        if (Row.m_runs[Index].m_order.m_task == Task)
          endRun(Row, Index, How);
  }

  void endShortRuns(Worker &Row) {
    for (std::size_t Index = Row.m_runs.size(); Index-- > 0;)
      if (isShort(Row.m_runs[Index].m_order) &&
          m_clock.now() - Row.m_runs[Index].m_startedAt >= m_shape.m_runTime)
        endRun(Row, Index, m_shape.m_end);
  }

  Milliseconds workerClock() const {
    return toMilliseconds(m_clock.now().time_since_epoch());
  }

  /// Long poll: replies when a run has ended or the wait is over.
  void answerPolls(const std::string &Name, Worker &Row) {
    if (!Row.m_poll) {
      Row.m_poll = m_scheduler.nextPoll(Name);
      Row.m_polledAt = m_clock.now();
    }
    if (!Row.m_poll || (Row.m_ended.empty() &&
                        m_clock.now() - Row.m_polledAt < Row.m_poll->m_maxWait))
      return;
    PollReply Reply;
    Reply.m_outcome = OrderOutcome::Done;
    Reply.m_snapshot.m_startedMs = 1;
    Reply.m_snapshot.m_clock = workerClock();
    for (const Run &Each : Row.m_runs)
      Reply.m_snapshot.m_active.push_back(
          {Each.m_order.m_task, Each.m_order.m_run, "", 50, 0});
    Reply.m_snapshot.m_ended = std::move(Row.m_ended);
    Row.m_ended.clear();
    m_scheduler.onPoll(*Row.m_poll, Row.m_polledAt, Reply);
    Row.m_poll.reset();
  }

  void carryOutStops() {
    for (const StopOrder &Order : m_scheduler.control().m_stops) {
      Worker &Row = m_busyWorkers[Order.m_worker];
      if (Row.m_isSilent)
        continue;
      for (std::size_t Index = Row.m_runs.size(); Index-- > 0;)
        if (Row.m_runs[Index].m_order.m_task == Order.m_task)
          endRun(Row, Index, RunEnd::Stopped);
      m_scheduler.onStop(Order, {OrderOutcome::Done, workerClock()});
    }
  }

  void startTasks() {
    const Decisions Next = m_scheduler.decide();
    for (const StartOrder &Each : m_scheduler.release(Next, false)) {
      Worker &Row = m_busyWorkers[Each.m_worker];
      if (std::exchange(Row.m_losesStart, false)) {
        m_shortTasks.erase(Each.m_task.m_job);
        continue;
      }
      Row.m_runs.push_back({Each, m_clock.now()});
      m_scheduler.onStart(Each, {OrderOutcome::Done, workerClock()});
      const auto Short = m_shortTasks.find(Each.m_task.m_job);
      if (Short == m_shortTasks.end())
        continue;
      m_longestShortWait =
          std::max(m_longestShortWait,
                   toMilliseconds(m_clock.now() - Short->second.m_submittedAt));
      m_shortTasks.erase(Short);
    }
  }

  void pass(Milliseconds Time) {
    const TimePoint Until = m_clock.now() + Time;
    while (m_clock.now() < Until) {
      m_clock.advance(Milliseconds(10));
      if (m_clock.now() >= m_nextShortAt)
        submitShortTasks();
      for (auto &[Name, Row] : m_busyWorkers) {
        if (Row.m_isSilent)
          continue;
        endShortRuns(Row);
        answerPolls(Name, Row);
      }
      carryOutStops();
      startTasks();
    }
  }

  /// The longest wait of a short task, whether it has started or not.
  Milliseconds longestShortWait() const {
    Milliseconds Longest = m_longestShortWait;
    for (const auto &[Job, Task] : m_shortTasks)
      Longest =
          std::max(Longest, toMilliseconds(m_clock.now() - Task.m_submittedAt));
    return Longest;
  }

  std::vector<std::string> workersOf(const std::string &Job) const {
    std::vector<std::string> Found;
    for (const auto &[Name, Row] : m_busyWorkers)
      for (const Run &Each : Row.m_runs)
        if (Each.m_order.m_task.m_job == Job && !Row.m_isSilent)
          Found.push_back(Name);
    return Found;
  }

  /// How long it takes until `Count` runs of the job are active.
  Milliseconds timeUntilActive(const std::string &Job, std::size_t Count) {
    const TimePoint Begin = m_clock.now();
    while (workersOf(Job).size() < Count &&
           m_clock.now() - Begin < Milliseconds(20000))
      pass(Milliseconds(10));
    return toMilliseconds(m_clock.now() - Begin);
  }

  /// Submits the job, and waits until it has just started.
  void startJob(Submission Job) {
    Job.m_policy.m_priority = 1;
    m_scheduler.addJob(Job, nullptr);
    BOOST_REQUIRE(timeUntilActive(Job.m_id, Job.m_spec.m_steps[0].m_count) <=
                  MaxWait);
    pass(Milliseconds(50));
  }

  void silence(const std::string &Name, OrderOutcome Outcome) {
    Worker &Row = m_busyWorkers[Name];
    Row.m_isSilent = true;
    PollReply Reply;
    Reply.m_outcome = Outcome;
    if (!Row.m_poll)
      Row.m_poll = m_scheduler.nextPoll(Name);
    m_scheduler.onPoll(*Row.m_poll, Row.m_polledAt, Reply);
  }

  /// The worker is lost for good.
  void crashWorker(const std::string &Name) {
    silence(Name, OrderOutcome::OtherIncarnation);
    m_scheduler.removeWorker(Name);
    std::erase_if(m_shortTasks, [&](const auto &Each) {
      if (Each.second.m_worker == Name)
        m_scheduler.cancelJob(Each.first);
      return Each.second.m_worker == Name;
    });
    m_busyWorkers.erase(Name);
  }
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TESTING_STEADY_LOAD_H
