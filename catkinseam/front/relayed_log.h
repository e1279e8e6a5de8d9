// A keyed log whose appends go through the owner's node while the log is slow.
//
//   RelayedLog Store(Host, Direct, Relay, {OwnerPeer, Latency}, {});
//   JobService Service(Host, Store, Jobs, {});
//
// The log processes the appends of a topic one at a time. While each of them is
// slow, hundreds of nodes that append by themselves wait for each other longer
// than their callers do. The owner's node appends what arrives during one
// append in the next, so the number of appends no longer depends on the number
// of nodes.
#ifndef CATKINSEAM_FRONT_RELAYED_LOG_H
#define CATKINSEAM_FRONT_RELAYED_LOG_H

#include "catkinseam/base/runtime.h"
#include "catkinseam/ledger/keyed_log.h"
#include "catkinseam/net/endpoint.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace catkinseam {

/// Asks another node to append records to the jobs topic.
class RecordRelay {
public:
  enum class Delivery {
    NotSent,  ///< The peer has not seen the request.
    NoReply,  ///< The peer may have appended the records, or may do so later.
    Answered, ///< The peer has reported the outcome.
  };
  struct Reply {
    Delivery m_delivery = Delivery::NotSent;
    /// Set if the peer has answered.
    LogOutcome m_outcome = LogOutcome::Unknown;
  };

  virtual ~RecordRelay() = default;

  /// `Done` is invoked exactly once, never from within the call.
  virtual void append(const Endpoint &Peer,
                      const std::vector<KeyedRecord> &Records,
                      Milliseconds Timeout,
                      std::function<void(const Reply &)> Done) = 0;
};

/// Not thread-safe.
class RelayedLog final : public KeyedLog {
public:
  struct Options {
    /// Appends are relayed while the log's latency is at least this.
    Milliseconds m_slowLatency{40};
    /// How long the owner's node has for a relayed append: its own append in
    /// flight, and the next one.
    Milliseconds m_relayTimeout{1800};
    /// After a relayed append without a reply, no append is relayed for this
    /// time.
    Milliseconds m_suspension{2000};
    /// A direct append may take at least this multiple of the log's latency, of
    /// which reads show a lower bound.
    int m_latencyMultiplier = 8;
  };

  struct Callbacks {
    /// Returns the owner's address for other nodes; none if it is not known or
    /// this node is the owner.
    std::function<std::optional<Endpoint>()> m_ownerPeer;
    /// Returns the current latency of the log; zero if its reads fail.
    std::function<Duration()> m_latency;
  };

  RelayedLog(Runtime &Host, KeyedLog &Direct, RecordRelay &Relay,
             Callbacks Handlers, const Options &Values);
  ~RelayedLog() override;

  /// Relays appends to the jobs topic that have no append id. One that could
  /// not be sent to the owner's node is appended directly. An append of no
  /// records, which only probes the log, is not sent while the log answers
  /// reads slowly.
  void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
              const std::optional<AppendId> &Id, Milliseconds Timeout,
              std::function<void(const AppendReply &)> Done) override;
  void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
            Milliseconds Timeout,
            std::function<void(const ReadReply &)> Done) override;
  void newest(LogTopic Topic, const std::string &AfterKey, Milliseconds Timeout,
              std::function<void(const NewestReply &)> Done) override;

private:
  bool isSlow() const;
  bool isRelaying() const;
  void appendDirectly(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                      const std::optional<AppendId> &Id, Milliseconds Timeout,
                      std::function<void(const AppendReply &)> Done);

  Runtime &m_host;
  KeyedLog &m_direct;
  RecordRelay &m_relay;
  const Callbacks m_callbacks;
  const Options m_options;
  TimePoint m_suspendedUntil;
  std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace catkinseam

#endif // CATKINSEAM_FRONT_RELAYED_LOG_H
