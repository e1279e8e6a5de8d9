// Reading a keyed topic from its newest records on.
#include "catkinseam/ledger/keyed_tail.h"

#include "catkinseam/telemetry/log.h"

namespace catkinseam {

KeyedTail::KeyedTail(Runtime &Host, KeyedLog &Log, const Options &Values,
                     Callbacks Calls)
    : m_host(Host), m_log(Log), m_options(Values), m_calls(std::move(Calls)),
      m_gather(Values.m_gather), m_timer(Host) {}

KeyedTail::~KeyedTail() { *m_isAlive = false; }

void KeyedTail::start() {
  m_keys.clear();
  m_isFirstPage = true;
  loadPage("");
}

TimePoint KeyedTail::answeredAt() const {
  // An answer that lay unread while the process stood still is old.
  return std::min(m_host.now(), m_readStarted + m_options.m_wait);
}

void KeyedTail::loadPage(const std::string &AfterKey) {
  m_readStarted = m_host.now();
  m_log.newest(m_options.m_topic, AfterKey,
               m_options.m_wait + m_options.m_allowance,
               [this, IsAlive = m_isAlive](const NewestReply &Page) {
                 if (*IsAlive)
                   onPage(Page);
               });
}

void KeyedTail::onPage(const NewestReply &Page) {
  if (Page.m_outcome != LogOutcome::Done) {
    noteFault("newest", Page.m_outcome);
    return retry([this] { start(); });
  }
  m_lastRead = answeredAt();
  // What is written while the pages are read comes again by reading on from
  // where the topic ended at the first.
  if (m_isFirstPage)
    m_next = Page.m_end;
  m_isFirstPage = false;
  for (const StoredRecord &Each : Page.m_records) {
    m_keys.insert(Each.m_record.m_key);
    m_calls.m_onRecord(Each);
  }
  if (Page.m_hasMore && !Page.m_records.empty())
    return loadPage(Page.m_records.back().m_record.m_key);
  m_isLoaded = true;
  if (m_calls.m_onLoaded)
    m_calls.m_onLoaded(m_keys);
  readOn();
}

void KeyedTail::readOn() {
  m_readStarted = m_host.now();
  m_log.read(m_options.m_topic, m_next, m_options.m_wait,
             m_options.m_wait + m_options.m_allowance,
             [this, IsAlive = m_isAlive](const ReadReply &Read) {
               if (*IsAlive)
                 onRead(Read);
             });
}

void KeyedTail::onRead(const ReadReply &Read) {
  if (Read.m_outcome == LogOutcome::HistoryGone) {
    logInfo("log.history_gone", {{"topic", logTopicName(m_options.m_topic)},
                                 {"offset", std::to_string(m_next)}});
    return start();
  }
  if (Read.m_outcome != LogOutcome::Done) {
    noteFault("read", Read.m_outcome);
    return retry([this] { readOn(); });
  }
  if (m_isFaulty)
    logInfo("log.regained", {{"topic", logTopicName(m_options.m_topic)}});
  m_isFaulty = false;
  // A read that stopped short of the end leaves records unknown.
  const bool IsBehind = Read.m_next < Read.m_end;
  if (!IsBehind)
    m_lastRead = answeredAt();
  if (IsBehind != m_isBehind)
    logInfo(IsBehind ? "log.behind" : "log.caught_up",
            {{"topic", logTopicName(m_options.m_topic)},
             {"records_read", std::to_string(Read.m_records.size())},
             {"records_left", std::to_string(Read.m_end - Read.m_next)}});
  m_isBehind = IsBehind;
  m_latencyBefore = m_latency;
  m_latency = m_host.now() - m_readStarted;
  if (m_latency >= m_options.m_wait)
    m_latency -= m_options.m_wait;
  else if (!m_gathered)
    m_latency = Duration::zero();
  m_gathered = !Read.m_records.empty();
  m_next = Read.m_next;
  const std::shared_ptr<bool> IsAlive = m_isAlive;
  for (const StoredRecord &Each : Read.m_records) {
    m_calls.m_onRecord(Each);
    if (!*IsAlive)
      return;
  }
  if (m_calls.m_onRead)
    m_calls.m_onRead();
  if (!*IsAlive)
    return;
  if (Read.m_records.empty() || IsBehind)
    return readOn();
  m_timer.start(m_gather, [this] { readOn(); });
}

void KeyedTail::retry(std::function<void()> Call) {
  m_timer.start(m_options.m_retry, std::move(Call));
}

void KeyedTail::noteFault(const char *Call, LogOutcome Outcome) {
  if (!m_isFaulty)
    logWarn("log.lost", {{"topic", logTopicName(m_options.m_topic)},
                         {"call", Call},
                         {"outcome", logOutcomeName(Outcome)}});
  m_isFaulty = true;
}

} // namespace catkinseam
