// In-memory keyed log.
#include "catkinseam/ownership/testing/fake_log.h"

#include <algorithm>

namespace catkinseam {

namespace {

/// Interval at which a waiting read checks for records.
constexpr Milliseconds PollInterval{10};

} // namespace

bool FakeLog::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Probability;
}

Milliseconds FakeLog::delay() {
  if (m_faults.m_minDelay == m_faults.m_maxDelay)
    return m_faults.m_minDelay;
  return Milliseconds(std::uniform_int_distribution<std::int64_t>(
      m_faults.m_minDelay.count(), m_faults.m_maxDelay.count())(m_random));
}

void FakeLog::put(LogTopic TopicId, const std::string &Key,
                  std::optional<std::string> Value) {
  execute(TopicId, {{Key, std::move(Value)}}, std::nullopt);
}

std::optional<std::string> FakeLog::newestOf(LogTopic TopicId,
                                             const std::string &Key) const {
  const auto Found = m_topics.find(TopicId);
  if (Found == m_topics.end())
    return std::nullopt;
  const auto At = Found->second.m_newest.find(Key);
  if (At == Found->second.m_newest.end())
    return std::nullopt;
  return Found->second.m_records[static_cast<std::size_t>(At->second)].m_value;
}

void FakeLog::compact() {
  for (auto &[Name, Each] : m_topics)
    Each.m_earliest = static_cast<std::int64_t>(Each.m_records.size());
}

bool FakeLog::isWithinLimits(const std::vector<KeyedRecord> &Records) const {
  std::size_t Total = 0;
  for (const KeyedRecord &Each : Records) {
    if (appendBytes(Each) > m_limits.m_maxRecordBytes)
      return false;
    Total += appendBytes(Each);
  }
  return Total <= m_limits.m_maxTotalBytes;
}

AppendReply FakeLog::execute(LogTopic TopicId,
                             const std::vector<KeyedRecord> &Records,
                             const std::optional<AppendId> &Id) {
  if (m_faults.m_rejectedTopic == TopicId || !isWithinLimits(Records))
    return {LogOutcome::Invalid, 0};
  Topic &Target = m_topics[TopicId];
  const auto Offset = static_cast<std::int64_t>(Target.m_records.size());
  if (Id) {
    Producer &Known = m_producers[{TopicId, Id->m_producer}];
    if (Id->m_epoch < Known.m_epoch)
      return {LogOutcome::Fenced, 0};
    if (Id->m_epoch == Known.m_epoch && Known.m_epoch != 0) {
      if (Id->m_sequence == Known.m_sequence)
        return {LogOutcome::Done, Known.m_offset};
      if (Id->m_sequence != Known.m_sequence + 1)
        return {LogOutcome::OutOfOrder, 0};
    }
    Known = {Id->m_epoch, Id->m_sequence, Offset};
  }
  for (const KeyedRecord &Each : Records) {
    if (Each.m_value)
      Target.m_newest[Each.m_key] =
          static_cast<std::int64_t>(Target.m_records.size());
    else
      Target.m_newest.erase(Each.m_key);
    Target.m_records.push_back(Each);
    if (m_onStored)
      m_onStored(TopicId, Each);
  }
  return {LogOutcome::Done, Offset};
}

void FakeLog::readOnce(LogTopic TopicId, std::int64_t From, TimePoint Deadline,
                       std::function<void(const ReadReply &)> Done) {
  Topic &Source = m_topics[TopicId];
  const auto End = static_cast<std::int64_t>(Source.m_records.size());
  ReadReply Reply;
  Reply.m_outcome = LogOutcome::Done;
  Reply.m_nextOffset = From;
  Reply.m_endOffset = End;
  if (From < Source.m_earliest)
    Reply.m_outcome = LogOutcome::HistoryDeleted;
  else if (From >= End && m_host.now() < Deadline) {
    m_host.schedule(PollInterval,
                    [this, TopicId, From, Deadline, Done = std::move(Done)] {
                      readOnce(TopicId, From, Deadline, Done);
                    });
    return;
  } else {
    for (; Reply.m_nextOffset < End &&
           Reply.m_records.size() < m_faults.m_maxReadRecords;
         ++Reply.m_nextOffset)
      Reply.m_records.push_back(
          {Reply.m_nextOffset,
           Source.m_records[static_cast<std::size_t>(Reply.m_nextOffset)]});
  }
  Done(Reply);
}

std::optional<Duration> FakeLog::occupy(LogTopic TopicId) {
  constexpr Milliseconds MaxWaiting{2000};
  TimePoint &BusyUntil = m_busyUntil[TopicId];
  BusyUntil = std::max(BusyUntil, m_host.now());
  if (BusyUntil - m_host.now() > MaxWaiting)
    return std::nullopt;
  BusyUntil += m_faults.m_appendTime;
  return BusyUntil - m_host.now();
}

void FakeLog::View::append(LogTopic Topic,
                           const std::vector<KeyedRecord> &Records,
                           const std::optional<AppendId> &Id,
                           Milliseconds Timeout,
                           std::function<void(const AppendReply &)> Done) {
  Runtime &Host = m_log.m_host;
  if (m_isPartitioned || m_log.m_faults.m_isDown) {
    Host.schedule(m_log.m_faults.m_latency, [Done] {
      Done({LogOutcome::Refused, 0});
    });
    return;
  }
  ++m_log.m_appends;
  const std::optional<Duration> Occupied = m_log.occupy(Topic);
  if (!Occupied) {
    Host.schedule(m_log.m_faults.m_latency, [Done] {
      Done({LogOutcome::Refused, 0});
    });
    return;
  }
  const bool IsDelayed = m_log.chance(m_log.m_faults.m_delayedRate);
  const bool IsReplyLost =
      IsDelayed || m_log.chance(m_log.m_faults.m_lostReplyRate);
  const Duration Delay = IsDelayed ? Duration(m_log.delay())
                                   : *Occupied + m_log.m_faults.m_latency;
  const bool IsTooLate = Delay > Timeout;
  Host.schedule(Delay, [Log = &m_log, Topic, Records, Id,
                        IsReplyLost = IsReplyLost || IsTooLate, Done] {
    const AppendReply Reply = Log->execute(Topic, Records, Id);
    if (!IsReplyLost)
      Done(Reply);
  });
  if (IsReplyLost || IsTooLate)
    Host.schedule(Timeout, [Done] { Done({LogOutcome::Unknown, 0}); });
}

void FakeLog::View::read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
                         Milliseconds Timeout,
                         std::function<void(const ReadReply &)> Done) {
  Runtime &Host = m_log.m_host;
  if (!isReadable(Topic)) {
    Host.schedule(Timeout, [Done] { Done(ReadReply{}); });
    return;
  }
  Host.schedule(m_log.m_faults.m_latency,
                [Log = &m_log, Topic, From, Deadline = Host.now() + Wait,
                 Done = counted(std::move(Done))] {
                  Log->readOnce(Topic, From, Deadline, Done);
                });
}

void FakeLog::View::newest(LogTopic Topic, const std::string &AfterKey,
                           Milliseconds Timeout,
                           std::function<void(const NewestReply &)> Done) {
  Runtime &Host = m_log.m_host;
  if (!isReadable(Topic)) {
    Host.schedule(Timeout, [Done] { Done(NewestReply{}); });
    return;
  }
  Host.schedule(m_log.m_faults.m_latency, [Log = &m_log, Topic, AfterKey,
                                           Done = counted(std::move(Done))] {
    FakeLog::Topic &Source = Log->m_topics[Topic];
    NewestReply Reply;
    Reply.m_outcome = LogOutcome::Done;
    Reply.m_endOffset = static_cast<std::int64_t>(Source.m_records.size());
    auto At = AfterKey.empty() ? Source.m_newest.begin()
                               : Source.m_newest.upper_bound(AfterKey);
    for (; At != Source.m_newest.end() &&
           Reply.m_records.size() < Log->m_faults.m_pageRecords;
         ++At)
      Reply.m_records.push_back(
          {At->second, Source.m_records[static_cast<std::size_t>(At->second)]});
    Reply.m_hasMore = At != Source.m_newest.end();
    Done(Reply);
  });
}

} // namespace catkinseam
