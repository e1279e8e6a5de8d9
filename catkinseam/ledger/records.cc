// Keys and encodings of the records in the jobs topic.
#include "catkinseam/ledger/records.h"

#include "catkinseam/base/codec.h"

namespace catkinseam {

const char *const OwnerKey = "owner";
const char *const HandoverKey = "handover";
const char *const OwnerEndKey = "owner-end";
const char *const LeasesKey = "leases";
const char *const LearnedModelKey = "learned";

namespace {

constexpr char SubmissionPrefix = 'j';
constexpr char ProgressPrefix = 's';
constexpr char CancelPrefix = 'c';

std::string makeKey(char Prefix, const std::string &Job) {
  std::string Key(1, Prefix);
  Key += Job;
  return Key;
}

} // namespace

std::string encodeState(JobState State) {
  return std::string(1, static_cast<char>(State));
}

std::string encodeProgress(const JobProgress &Progress) {
  std::string Value = encodeState(Progress.m_state);
  Value += encode(Progress);
  return Value;
}

Result<JobState> decodeState(const std::string &Value) {
  if (Value.empty() || static_cast<unsigned char>(Value[0]) >
                           static_cast<unsigned char>(JobState::Cancelled))
    return makeError(ErrorCode::Invalid,
                     "progress record does not start with a valid job state");
  return static_cast<JobState>(Value[0]);
}

Result<JobProgress> decodeProgress(const std::string &Value) {
  BOOST_LEAF_AUTO(State, decodeState(Value));
  BOOST_LEAF_AUTO(Progress, decode<JobProgress>(Value.substr(1)));
  Progress.m_state = State;
  return Progress;
}

std::size_t estimateProgressBytes(const JobSpec &Spec) {
  // Two runs, a worker id of 24 bytes and a checkpoint of 32 bytes.
  constexpr std::size_t BytesPerTask = 110;
  // Job state, occurrence number, and the lengths of all lists.
  constexpr std::size_t BytesPerJob = 64;
  constexpr std::size_t BytesPerStep = 8;
  std::size_t Bytes = BytesPerJob;
  for (const StepSpec &Step : Spec.m_steps)
    Bytes += BytesPerStep + Step.m_count * BytesPerTask;
  return Bytes;
}

std::string submissionKey(const std::string &Job) {
  return makeKey(SubmissionPrefix, Job);
}

std::string progressKey(const std::string &Job) {
  return makeKey(ProgressPrefix, Job);
}

std::string cancelKey(const std::string &Job) {
  return makeKey(CancelPrefix, Job);
}

RecordKind parseRecordKey(const std::string &Key, std::string &Job) {
  if (Key == OwnerKey)
    return RecordKind::Owner;
  if (Key == HandoverKey)
    return RecordKind::Handover;
  if (Key == OwnerEndKey)
    return RecordKind::OwnerEnd;
  if (Key == LeasesKey)
    return RecordKind::Leases;
  if (Key == LearnedModelKey)
    return RecordKind::LearnedModel;
  if (Key.empty())
    return RecordKind::Unknown;
  Job = Key.substr(1);
  switch (Key[0]) {
  case SubmissionPrefix:
    return RecordKind::Submission;
  case ProgressPrefix:
    return RecordKind::Progress;
  case CancelPrefix:
    return RecordKind::Cancel;
  default:
    return RecordKind::Unknown;
  }
}

} // namespace catkinseam
