// Chooses between direct and relayed appends.
#include "catkinseam/front/relayed_log.h"

#include "catkinseam/telemetry/log.h"

#include <algorithm>

namespace catkinseam {

RelayedLog::RelayedLog(Runtime &Host, KeyedLog &Direct, RecordRelay &Relay,
                       Callbacks Handlers, const Options &Values)
    : m_host(Host), m_direct(Direct), m_relay(Relay),
      m_callbacks(std::move(Handlers)), m_options(Values) {}

RelayedLog::~RelayedLog() { *m_isAlive = false; }

bool RelayedLog::isSlow() const {
  return m_callbacks.m_latency() >= m_options.m_slowLatency;
}

bool RelayedLog::isRelaying() const {
  return isSlow() && m_host.now() >= m_suspendedUntil;
}

void RelayedLog::append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
                        const std::optional<AppendId> &Id, Milliseconds Timeout,
                        std::function<void(const AppendReply &)> Done) {
  if (Records.empty() && isSlow()) {
    m_host.post([Done = std::move(Done)] { Done({LogOutcome::Done, 0}); });
    return;
  }
  const bool IsRelayable = Topic == LogTopic::Jobs && !Id;
  const std::optional<Endpoint> Peer =
      IsRelayable && isRelaying() ? m_callbacks.m_ownerPeer() : std::nullopt;
  if (!Peer)
    return appendDirectly(Topic, Records, Id, Timeout, std::move(Done));
  m_relay.append(
      *Peer, Records, m_options.m_relayTimeout,
      [this, IsAlive = m_isAlive, Records, Timeout, Peer = *Peer,
       Done = std::move(Done)](const RecordRelay::Reply &Reply) {
        if (!*IsAlive)
          return;
        if (Reply.m_delivery == RecordRelay::Delivery::Answered)
          return Done({Reply.m_outcome, 0});
        const bool IsSent = Reply.m_delivery == RecordRelay::Delivery::NoReply;
        m_suspendedUntil = m_host.now() + m_options.m_suspension;
        logWarn("relay.suspended",
                {{"peer", toString(Peer)},
                 {"outcome", IsSent ? "no_reply" : "not_sent"}});
        if (IsSent)
          return Done({LogOutcome::Unknown, 0});
        appendDirectly(LogTopic::Jobs, Records, std::nullopt, Timeout, Done);
      });
}

void RelayedLog::appendDirectly(LogTopic Topic,
                                const std::vector<KeyedRecord> &Records,
                                const std::optional<AppendId> &Id,
                                Milliseconds Timeout,
                                std::function<void(const AppendReply &)> Done) {
  const Milliseconds LeastTimeout =
      toMilliseconds(m_options.m_latencyMultiplier * m_callbacks.m_latency());
  m_direct.append(Topic, Records, Id, std::max(Timeout, LeastTimeout),
                  std::move(Done));
}

void RelayedLog::read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
                      Milliseconds Timeout,
                      std::function<void(const ReadReply &)> Done) {
  m_direct.read(Topic, From, Wait, Timeout, std::move(Done));
}

void RelayedLog::newest(LogTopic Topic, const std::string &AfterKey,
                        Milliseconds Timeout,
                        std::function<void(const NewestReply &)> Done) {
  m_direct.newest(Topic, AfterKey, Timeout, std::move(Done));
}

} // namespace catkinseam
