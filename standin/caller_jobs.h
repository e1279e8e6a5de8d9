// Jobs that the stand-in's customers submit, drawn from a seed.
//
//   JobSource Source(Seed, DeadlyShare);
//   const Job Next = Source.next();
#ifndef STANDIN_CALLER_JOBS_H
#define STANDIN_CALLER_JOBS_H

#include "catkinseam/base/clock.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace catkinseam {

enum class JobKind { Recon, Counts, Sync, Deadly };
const char *jobKindName(JobKind Kind);

struct Job {
  std::string m_id;
  JobKind m_kind = JobKind::Counts;
  std::string m_body;
  Milliseconds m_cancelAfter{0};
  int m_attempts = 0;
  /// An attempt had no answer, so the job may be stored all the same.
  bool m_isInDoubt = false;
  /// A node has said that there is no such job, in spite of an acceptance or
  /// after the last attempt.
  bool m_isDenied = false;
  std::optional<TimePoint> m_acceptedAt;
  /// Which node accepted it and when, for messages.
  std::string m_acceptance;
  std::string m_finalState;
  bool m_isAsked = false;
  bool m_isCancelSent = false;
  bool m_isCancelled = false;

  bool isLasting() const { return m_kind == JobKind::Sync; }
  /// The path of requests that name the job.
  std::string target() const;
};

/// Draws jobs. Not thread-safe.
class JobSource {
public:
  JobSource(std::uint64_t Seed, double DeadlyShare)
      : m_random(Seed), m_deadlyShare(DeadlyShare) {}

  Job next();
  double uniform();

private:
  std::int64_t between(std::int64_t Low, std::int64_t High);
  std::string drawId(JobKind Kind);
  boost::json::object describe(JobKind Kind);
  boost::json::object describeRecon();

  std::mt19937_64 m_random;
  const double m_deadlyShare;
};

} // namespace catkinseam

#endif // STANDIN_CALLER_JOBS_H
