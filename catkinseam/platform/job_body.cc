// JSON encoding of job submissions and of responses about jobs.
#include "catkinseam/platform/job_body.h"

#include "catkinseam/platform/boost_json.h"

namespace catkinseam {

namespace {

constexpr std::size_t MaxPayloadBytes = 4000;
/// Limits the memory that one job can use.
constexpr std::int64_t MaxTasksPerStep = 100000;

const char *jobStateText(JobState State) {
  switch (State) {
  case JobState::Queued:
    return "queued";
  case JobState::InProgress:
    return "in_progress";
  case JobState::Completed:
    return "completed";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "queued";
}

auto invalid(const std::string &Field, const std::string &Problem) {
  return makeError(ErrorCode::Invalid, "field \"" + Field + "\" " + Problem);
}

/// Reads a count of at most MaxTasksPerStep, which is stored in 32 bits.
Result<std::uint32_t> boundedCount(const JsonValue &Item, const char *Name) {
  BOOST_LEAF_AUTO(Count, integerMember(Item, Name));
  if (Count < 0 || Count > MaxTasksPerStep)
    return invalid(Name, "is out of range");
  return static_cast<std::uint32_t>(Count);
}

Result<void> readAfter(const JsonValue &Item, std::size_t Number,
                       StepSpec &Step) {
  const JsonValue *After = findMember(Item, "after");
  if (!After || After->is_null())
    return {};
  if (!After->is_array())
    return invalid("after", "is not a list");
  for (const JsonValue &Element : After->get_array()) {
    boost::system::error_code Ec;
    const auto Earlier = Element.to_number<std::int64_t>(Ec);
    if (Ec || Earlier < 0 || Earlier >= static_cast<std::int64_t>(Number))
      return invalid("after", "names no earlier step");
    Step.m_after.push_back(static_cast<std::uint32_t>(Earlier));
  }
  return {};
}

Result<void> readRequest(const JsonValue &Item, Resources &Request) {
  BOOST_LEAF_ASSIGN(Request.m_milliProcessors, integerMember(Item, "cpu"));
  BOOST_LEAF_ASSIGN(Request.m_memoryMb, integerMember(Item, "memMb"));
  BOOST_LEAF_ASSIGN(Request.m_accelerators, integerMember(Item, "gpu"));
  if (Request.m_milliProcessors < 0)
    return invalid("cpu", "is negative");
  if (Request.m_memoryMb < 0)
    return invalid("memMb", "is negative");
  if (Request.m_accelerators < 0)
    return invalid("gpu", "is negative");
  return {};
}

Result<StepSpec> readStep(const JsonValue &Item, std::size_t Number) {
  if (!Item.is_object())
    return invalid("steps", "contains an element that is not an object");
  StepSpec Step;
  BOOST_LEAF_ASSIGN(Step.m_count, boundedCount(Item, "count"));
  if (Step.m_count == 0)
    return invalid("count", "is missing");
  BOOST_LEAF_CHECK(readRequest(Item, Step.m_request));
  BOOST_LEAF_AUTO(Estimate, integerMember(Item, "estimatedMs"));
  Step.m_estimate = Milliseconds(std::max<std::int64_t>(Estimate, 0));
  BOOST_LEAF_CHECK(readAfter(Item, Number, Step));
  BOOST_LEAF_ASSIGN(Step.m_savesCheckpoints, boolMember(Item, "checkpointing"));
  BOOST_LEAF_ASSIGN(Step.m_isGang, boolMember(Item, "gang"));
  BOOST_LEAF_ASSIGN(Step.m_isRackLocal, boolMember(Item, "rackLocal"));
  BOOST_LEAF_ASSIGN(Step.m_isSpeculative, boolMember(Item, "speculative"));
  BOOST_LEAF_ASSIGN(Step.m_isService, boolMember(Item, "longRunning"));
  BOOST_LEAF_ASSIGN(Step.m_isFiller, boolMember(Item, "fills"));
  BOOST_LEAF_ASSIGN(Step.m_requiredLabel, stringMember(Item, "requirements"));
  BOOST_LEAF_ASSIGN(Step.m_dataRack, stringMember(Item, "dataRack"));
  BOOST_LEAF_ASSIGN(Step.m_image, stringMember(Item, "image"));
  BOOST_LEAF_ASSIGN(Step.m_maxPerWorker, boundedCount(Item, "antiAffinity"));
  BOOST_LEAF_ASSIGN(Step.m_maxUnavailable, boundedCount(Item, "optional"));
  BOOST_LEAF_AUTO(Target, doubleMember(Item, "targetMs"));
  Step.m_targetTailLatency = Milliseconds(static_cast<std::int64_t>(Target));
  return Step;
}

} // namespace

Result<JobSpec> readJobBody(const std::string &Text) {
  BOOST_LEAF_AUTO(Body, parseJsonBody(Text));
  JobSpec Job;
  BOOST_LEAF_ASSIGN(Job.m_payload, stringMember(Body, "spec"));
  if (Job.m_payload.size() > MaxPayloadBytes)
    return invalid("spec", "is longer than 4000 bytes");
  const JsonValue *Steps = findMember(Body, "steps");
  if (!Steps || !Steps->is_array() || Steps->get_array().empty())
    return invalid("steps", "is missing");
  for (const JsonValue &Item : Steps->get_array()) {
    BOOST_LEAF_AUTO(Step, readStep(Item, Job.m_steps.size()));
    Job.m_steps.push_back(std::move(Step));
  }
  BOOST_LEAF_ASSIGN(Job.m_occurrences, boundedCount(Body, "repetitions"));
  BOOST_LEAF_ASSIGN(Job.m_firstDueMs, integerMember(Body, "firstRunMs"));
  BOOST_LEAF_AUTO(Interval, integerMember(Body, "intervalMs"));
  Job.m_interval = Milliseconds(Interval);
  return Job;
}

std::string jobStateBody(JobState State) {
  return std::string("{\"state\":\"") + jobStateText(State) + "\"}";
}

std::string pendingBody(std::size_t Pending) {
  return "{\"pending\":" + std::to_string(Pending) + "}";
}

} // namespace catkinseam
