// Serialized, idempotent appends with retries.
#include "catkinseam/ledger/fenced_appender.h"

#include "catkinseam/telemetry/log.h"

namespace catkinseam {

const char *const OwnerProducer = "owner";

namespace {

/// How often in a row an append within the limits is repeated after the log has
/// rejected it: that of one group, and that of several, which is then divided.
constexpr std::uint32_t MaxRepeatsOfOneGroup = 5;
constexpr std::uint32_t MaxRepeatsOfSeveral = 1;

} // namespace

FencedAppender::FencedAppender(Runtime &Host, KeyedLog &Log,
                               const Options &Values, Callbacks Handlers)
    : m_host(Host), m_log(Log), m_options(Values),
      m_callbacks(std::move(Handlers)), m_retryTimer(Host),
      m_queue(Values.m_limits), m_sequence(Values.m_earlierAppends) {}

FencedAppender::~FencedAppender() { *m_isAlive = false; }

void FencedAppender::append(std::vector<RecordGroup> Groups) {
  if (m_isStopped)
    return;
  for (RecordGroup &Each : Groups)
    m_queue.push(std::move(Each));
  m_isBusy = true;
  m_startedAt = m_host.now();
  m_queue.next();
  ++m_sequence;
  send();
}

void FencedAppender::stop() {
  m_isStopped = true;
  m_retryTimer.cancel();
}

void FencedAppender::onLogRegained() {
  if (!m_isBusy || m_isStopped)
    return;
  m_retryTimer.cancel();
  send();
}

void FencedAppender::send() {
  m_attemptStartedAt = m_host.now();
  ++m_attempt;
  m_log.append(m_options.m_topic, m_queue.records(),
               AppendId{OwnerProducer, m_options.m_epoch, m_sequence},
               m_timeout.value(),
               [this, IsAlive = m_isAlive,
                Attempt = m_attempt](const AppendReply &Reply) {
                 if (*IsAlive && Attempt == m_attempt && !m_isStopped)
                   onReply(Reply);
               });
}

void FencedAppender::onReply(const AppendReply &Reply) {
  if (Reply.m_outcome == LogOutcome::Unknown)
    m_timeout.onTimeout();
  else
    m_timeout.onReply(m_host.now() - m_attemptStartedAt);
  if (Reply.m_outcome != LogOutcome::Invalid)
    m_rejections = 0;
  switch (Reply.m_outcome) {
  case LogOutcome::Done:
    if (!m_queue.next()) {
      m_isBusy = false;
      return m_callbacks.m_onDurable();
    }
    ++m_sequence;
    return send();
  case LogOutcome::Fenced:
    return reject("fenced_by_log");
  case LogOutcome::Invalid:
    return onInvalid(Reply);
  case LogOutcome::OutOfOrder:
    logError("owner.append_out_of_order",
             {{"topic", logTopicName(m_options.m_topic)},
              {"epoch", std::to_string(m_options.m_epoch)},
              {"sequence", std::to_string(m_sequence)}});
    return reject("append_out_of_order");
  default:
    return repeat(Reply);
  }
}

void FencedAppender::repeat(const AppendReply &Reply) {
  logWarn("owner.append_repeated",
          {{"topic", logTopicName(m_options.m_topic)},
           {"epoch", std::to_string(m_options.m_epoch)},
           {"sequence", std::to_string(m_sequence)},
           {"outcome", logOutcomeName(Reply.m_outcome)}});
  m_retryTimer.start(m_options.m_retryDelay, [this] { send(); });
  m_callbacks.m_onRepeat();
}

void FencedAppender::onInvalid(const AppendReply &Reply) {
  // The rejection may be that of another call. Several groups are repeated too:
  // had the log stored them, it would take their first half for a repeat.
  const std::uint32_t MaxRepeats =
      m_queue.groups().size() > 1 ? MaxRepeatsOfSeveral : MaxRepeatsOfOneGroup;
  if (m_queue.isWithinLimits() && m_rejections < MaxRepeats) {
    ++m_rejections;
    return repeat(Reply);
  }
  m_rejections = 0;
  // A rejected append leaves no trace in the log, so its sequence number is
  // used again.
  if (m_queue.divide())
    return send();
  const RecordGroup Rejected = m_queue.groups().front();
  logError("owner.record_invalid",
           {{"topic", logTopicName(m_options.m_topic)},
            {"epoch", std::to_string(m_options.m_epoch)},
            {"key", Rejected.m_records.front().m_key},
            {"bytes", std::to_string(appendBytes(Rejected.m_records.front()))},
            {"limit", std::to_string(m_options.m_limits.m_maxRecordBytes)},
            {"job", Rejected.m_job},
            {"sequence", std::to_string(m_sequence)},
            {"status", std::to_string(Reply.m_status)},
            {"reply", Reply.m_reply}});
  std::optional<RecordGroup> Replacement = m_callbacks.m_onInvalid(Rejected);
  if (!Replacement)
    return reject("append_invalid");
  m_queue.replace(std::move(*Replacement));
  send();
}

void FencedAppender::reject(const char *Reason) {
  stop();
  m_callbacks.m_onRejected(Reason);
}

} // namespace catkinseam
