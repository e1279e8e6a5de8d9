// Draws jobs of the stand-in's queues and describes them as requests.
#include "standin/caller_jobs.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace catkinseam {

namespace json = boost::json;

namespace {

json::object step(std::int64_t Count, std::int64_t Processors,
                  std::int64_t EstimatedMs) {
  json::object Step{{"count", Count}, {"cpu", Processors}, {"memMb", 100}};
  if (EstimatedMs > 0)
    Step["estimatedMs"] = EstimatedMs;
  return Step;
}

} // namespace

const char *jobKindName(JobKind Kind) {
  switch (Kind) {
  case JobKind::Recon:
    return "recon";
  case JobKind::Counts:
    return "counts";
  case JobKind::Sync:
    return "sync";
  case JobKind::Deadly:
    return "deadly";
  }
  return "unknown";
}

std::string Job::target() const {
  const char *Queue = isLasting()                ? "/sync/"
                      : m_kind == JobKind::Recon ? "/recon/"
                                                 : "/counts/";
  return Queue + m_id;
}

Job JobSource::next() {
  Job Drawn;
  const double Draw = uniform();
  if (Draw < m_deadlyShare)
    Drawn.m_kind = JobKind::Deadly;
  else if (Draw < 0.45)
    Drawn.m_kind = JobKind::Recon;
  else if (Draw < 0.94)
    Drawn.m_kind = JobKind::Counts;
  else
    Drawn.m_kind = JobKind::Sync;
  Drawn.m_id = drawId(Drawn.m_kind);
  Drawn.m_body = json::serialize(describe(Drawn.m_kind));
  Drawn.m_cancelAfter = Milliseconds(between(3000, 10000));
  return Drawn;
}

double JobSource::uniform() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::int64_t JobSource::between(std::int64_t Low, std::int64_t High) {
  return std::uniform_int_distribution<std::int64_t>(Low, High)(m_random);
}

std::string JobSource::drawId(JobKind Kind) {
  static constexpr const char *Digits = "0123456789abcdef";
  constexpr std::size_t IdSize = 16;
  // The platform crashes the workers of these ids.
  std::string Id = Kind == JobKind::Deadly ? "dead" : "";
  while (Id.size() < IdSize)
    Id.push_back(Digits[between(0, 15)]);
  if (Kind != JobKind::Deadly && Id.starts_with("dead"))
    Id[0] = '0';
  return Id;
}

json::object JobSource::describe(JobKind Kind) {
  switch (Kind) {
  case JobKind::Recon:
    return describeRecon();
  case JobKind::Counts: {
    const std::int64_t RunMs = between(80, 500);
    json::object Step = step(between(2, 6), between(100, 400), RunMs);
    if (uniform() < 0.3)
      Step["speculative"] = true;
    return {{"spec", "run_ms=" + std::to_string(RunMs) + " fail=0.02"},
            {"steps", json::array{Step}}};
  }
  case JobKind::Sync: {
    json::object Step = step(between(2, 6), between(200, 500), 0);
    Step["longRunning"] = true;
    return {{"spec", "run_ms=0"}, {"steps", json::array{Step}}};
  }
  case JobKind::Deadly:
    return {{"spec", "run_ms=300 deadly"},
            {"steps", json::array{step(2, 200, 300)}}};
  }
  return {};
}

json::object JobSource::describeRecon() {
  const std::int64_t RunMs = between(200, 2600);
  const std::int64_t Steps = between(1, 3);
  json::array All;
  for (std::int64_t Each = 0; Each < Steps; ++Each) {
    json::object Step = step(between(4, 16), between(100, 300), RunMs);
    if (Each > 0)
      Step["after"] = json::array{Each - 1};
    Step["checkpointing"] = true;
    All.push_back(Step);
  }
  // With fail_first every task is one failed run away from failing its job.
  const char *Failures = uniform() < 0.4 ? " fail_first=1" : " fail=0.05";
  return {{"spec", "run_ms=" + std::to_string(RunMs) + Failures},
          {"steps", All}};
}

} // namespace catkinseam
