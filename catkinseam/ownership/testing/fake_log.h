// A keyed log in memory, with the faults that a real one has.
//
//   FakeLog Log(Host, Random);
//   Log.m_faults.m_lostShare = 0.3;   // done, and not answered
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
    Milliseconds m_latency{4};
    /// Appends that take effect and are not answered.
    double m_lostShare = 0.0;
    /// Appends that take effect seconds later and are not answered.
    double m_lateShare = 0.0;
    /// Most records of one read.
    std::size_t m_mostRead = 10000;
  };

  /// One process's way to the log; may be cut off from it.
  class View final : public KeyedLog {
  public:
    explicit View(FakeLog &Log) : m_log(Log) {}

    void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                const std::optional<ProducerMark> &Mark, Milliseconds Timeout,
                std::function<void(const AppendReply &)> Done) override;
    void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
              Milliseconds Timeout,
              std::function<void(const ReadReply &)> Done) override;
    void newest(LogTopic Topic, const std::string &AfterKey,
                Milliseconds Timeout,
                std::function<void(const NewestReply &)> Done) override;

    bool m_isCut = false;

  private:
    FakeLog &m_log;
  };

  FakeLog(Runtime &Host, std::mt19937_64 &Random)
      : m_host(Host), m_random(Random) {}

  /// Appends at once, as others than the process under test do.
  void put(LogTopic Topic, const std::string &Key,
           std::optional<std::string> Value);

  /// The newest value of a key, or none.
  std::optional<std::string> newestOf(LogTopic Of,
                                      const std::string &Key) const;

  /// Drops all records but the newest of each key.
  void forgetHistory();

  Faults m_faults;

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

  AppendReply execute(LogTopic Into, const std::vector<KeyedRecord> &Records,
                      const std::optional<ProducerMark> &Mark);
  void readOnce(LogTopic Of, std::int64_t From, TimePoint Deadline,
                std::function<void(const ReadReply &)> Done);
  bool happens(double Share);

  Runtime &m_host;
  std::mt19937_64 &m_random;
  std::map<LogTopic, Topic> m_topics;
  std::map<std::string, Producer> m_producers;
};

} // namespace catkinseam

#endif // CATKINSEAM_OWNERSHIP_TESTING_FAKE_LOG_H
