// An in-memory keyed log with fault injection.
//
//   FakeLog Log(Host, Random);
//   Log.m_faults.m_lostReplyRate = 0.3;   // applied, but the reply is lost
#ifndef CATKINSEAM_OWNERSHIP_TESTING_FAKE_LOG_H
#define CATKINSEAM_OWNERSHIP_TESTING_FAKE_LOG_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"

#include <map>
#include <random>
#include <set>

namespace catkinseam {

class FakeLog {
public:
  struct Faults {
    bool m_isDown = false;
    /// Time until a request takes effect.
    Milliseconds m_latency{4};
    /// Time after that until the reply to a read arrives.
    Milliseconds m_replyLatency{0};
    /// Probability that an append is applied and its reply lost.
    double m_lostReplyRate = 0.0;
    /// Probability that an append is applied later and its reply lost.
    double m_delayedRate = 0.0;
    /// Bounds of that delay.
    Milliseconds m_minDelay{3000};
    Milliseconds m_maxDelay{3000};
    /// Maximum number of records returned by one read.
    std::size_t m_maxReadRecords = 10000;
    /// Maximum number of records on one page of the newest records.
    std::size_t m_pageRecords = 20;
    /// Time for which an append occupies its topic. An append is refused when
    /// more than 2 s of others are waiting.
    Milliseconds m_appendTime{0};
    /// Appends to this topic are rejected as invalid.
    std::optional<LogTopic> m_rejectedTopic;
    /// Reads of this topic get no reply.
    std::optional<LogTopic> m_unreadableTopic;
  };

  /// One process's connection to the log, which may be partitioned from it.
  class View final : public KeyedLog {
  public:
    explicit View(FakeLog &Log) : m_log(Log) {}

    void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                const std::optional<AppendId> &Id, Milliseconds Timeout,
                std::function<void(const AppendReply &)> Done) override;
    void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
              Milliseconds Timeout,
              std::function<void(const ReadReply &)> Done) override;
    void newest(LogTopic Topic, const std::string &AfterKey,
                Milliseconds Timeout,
                std::function<void(const NewestReply &)> Done) override;

    bool isReadable(LogTopic Topic) const {
      return !m_isPartitioned && !m_log.m_faults.m_isDown &&
             m_log.m_faults.m_unreadableTopic != Topic;
    }

    bool m_isPartitioned = false;
    /// Bytes of the records that the process has read.
    std::size_t m_bytesRead = 0;

  private:
    /// Counts the records of a reply, and delays it if that fault is set.
    template <class Reply>
    std::function<void(const Reply &)>
    counted(std::function<void(const Reply &)> Done) {
      return [this, Done = std::move(Done)](const Reply &Sent) {
        for (const StoredRecord &Each : Sent.m_records)
          m_bytesRead += appendBytes(Each.m_record);
        const Milliseconds Delay = m_log.m_faults.m_replyLatency;
        if (Delay == Milliseconds::zero())
          return Done(Sent);
        m_log.m_host.schedule(Delay, [Done, Sent] { Done(Sent); });
      };
    }

    FakeLog &m_log;
  };

  FakeLog(Runtime &Host, std::mt19937_64 &Random)
      : m_host(Host), m_random(Random) {}

  /// Appends immediately, without an append id, on behalf of processes
  /// outside the test.
  void put(LogTopic TopicId, const std::string &Key,
           std::optional<std::string> Value);

  /// Returns the newest value of a key, or none if it is absent or deleted.
  std::optional<std::string> newestOf(LogTopic TopicId,
                                      const std::string &Key) const;

  /// Removes all records but the newest of each key, as log compaction does.
  void compact();

  Faults m_faults;
  AppendLimits m_limits;
  /// Number of appends that have reached the log.
  std::size_t m_appends = 0;
  /// Called for each record that is stored; null for none.
  std::function<void(LogTopic, const KeyedRecord &)> m_onStored;

private:
  friend class View;
  struct Topic {
    std::vector<KeyedRecord> m_records;
    std::int64_t m_earliest = 0;
    std::map<std::string, std::int64_t> m_newest;
  };
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_offset = 0;
  };

  bool isWithinLimits(const std::vector<KeyedRecord> &Records) const;
  AppendReply execute(LogTopic TopicId, const std::vector<KeyedRecord> &Records,
                      const std::optional<AppendId> &Id);
  void readOnce(LogTopic TopicId, std::int64_t From, TimePoint Deadline,
                std::function<void(const ReadReply &)> Done);
  bool chance(double Probability);
  Milliseconds delay();

  Runtime &m_host;
  std::mt19937_64 &m_random;
  /// Returns the delay until an append to the topic is carried out, or none if
  /// too many are waiting.
  std::optional<Duration> occupy(LogTopic TopicId);

  std::map<LogTopic, Topic> m_topics;
  std::map<LogTopic, TimePoint> m_busyUntil;
  std::map<std::pair<LogTopic, std::string>, Producer> m_producers;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_FAKE_LOG_H
