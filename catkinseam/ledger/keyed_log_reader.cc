// Reads the newest record of each key, then the appended records.
#include "catkinseam/ledger/keyed_log_reader.h"

#include "catkinseam/telemetry/log.h"

#include <utility>

namespace catkinseam {

KeyedLogReader::KeyedLogReader(Runtime &Host, KeyedLog &Log,
                               const Options &Opts, Callbacks Handlers)
    : m_host(Host), m_log(Log), m_options(Opts),
      m_callbacks(std::move(Handlers)), m_wait(Opts.m_wait),
      m_batchingWindow(Opts.m_batchingWindow), m_timer(Host) {}

KeyedLogReader::~KeyedLogReader() { *m_isAlive = false; }

void KeyedLogReader::start() {
  m_isBatching = false;
  m_isLoading = true;
  m_loadedKeys.clear();
  m_isFirstPage = true;
  loadPage("");
  finishCoverages(false);
}

TimePoint KeyedLogReader::replyTime() const {
  // The log holds a read for at most m_wait. A reply handled later than that
  // may have been queued while this process was suspended, and is outdated.
  return std::min(m_host.now(), m_readStartedAt + m_options.m_wait);
}

void KeyedLogReader::loadPage(const std::string &AfterKey) {
  m_readStartedAt = m_host.now();
  m_log.newest(m_options.m_topic, AfterKey,
               m_options.m_wait + m_options.m_timeoutMargin,
               [this, IsAlive = m_isAlive](const NewestReply &Page) {
                 if (*IsAlive)
                   onPage(Page);
               });
}

void KeyedLogReader::onPage(const NewestReply &Page) {
  if (Page.m_outcome != LogOutcome::Done) {
    reportFailure("newest", Page.m_outcome);
    return scheduleRetry([this] { start(); });
  }
  // Records appended while the pages are read are covered by reading from the
  // end offset of the first page.
  if (m_isFirstPage) {
    m_nextOffset = Page.m_endOffset;
    m_firstPageAt = replyTime();
  }
  m_isFirstPage = false;
  for (const StoredRecord &Record : Page.m_records) {
    m_loadedKeys.insert(Record.m_record.m_key);
    m_callbacks.m_onRecord(Record);
  }
  if (Page.m_hasMore && !Page.m_records.empty())
    return loadPage(Page.m_records.back().m_record.m_key);
  m_isLoaded = true;
  m_isLoading = false;
  m_caughtUpAt = m_firstPageAt;
  if (m_callbacks.m_onLoaded)
    m_callbacks.m_onLoaded(m_loadedKeys);
  readNext();
}

void KeyedLogReader::cover(std::function<void(bool)> Done) {
  if (!m_isLoaded || m_isLoading || m_isFailing)
    return Done(false);
  m_coverages.push_back(
      {m_readCount + 1, m_probeCount + 1, std::nullopt, std::move(Done)});
  if (m_isWaitingRead && !m_isProbing)
    return probe();
  if (!m_isBatching)
    return;
  m_timer.cancel();
  m_isBatching = false;
  read(Milliseconds(0));
}

void KeyedLogReader::probe() {
  m_isProbing = true;
  ++m_probeCount;
  m_log.read(m_options.m_topic, m_nextOffset, Milliseconds(0),
             m_options.m_timeoutMargin,
             [this, Number = m_probeCount,
              IsAlive = m_isAlive](const ReadReply &Reply) {
               if (*IsAlive)
                 onProbe(Number, Reply);
             });
}

void KeyedLogReader::onProbe(std::uint64_t Number, const ReadReply &Reply) {
  m_isProbing = false;
  if (Reply.m_outcome == LogOutcome::Done)
    for (Coverage &Each : m_coverages)
      if (Each.m_firstProbe <= Number && !Each.m_end)
        Each.m_end = Reply.m_endOffset;
  const std::shared_ptr<bool> IsAlive = m_isAlive;
  finishReachedCoverages();
  if (!*IsAlive || !m_isWaitingRead || m_isProbing)
    return;
  if (std::any_of(m_coverages.begin(), m_coverages.end(),
                  [](const Coverage &Each) { return !Each.m_end; }))
    probe();
}

void KeyedLogReader::finishReachedCoverages() {
  std::vector<Coverage> Due;
  std::vector<Coverage> Left;
  for (Coverage &Each : m_coverages)
    (Each.m_end && *Each.m_end <= m_nextOffset ? Due : Left)
        .push_back(std::move(Each));
  m_coverages = std::move(Left);
  for (const Coverage &Each : Due)
    Each.m_done(true);
}

void KeyedLogReader::finishCoverages(bool IsCovered) {
  std::vector<Coverage> Due;
  std::vector<Coverage> Left;
  for (Coverage &Each : m_coverages)
    (IsCovered && Each.m_firstRead > m_readCount ? Left : Due)
        .push_back(std::move(Each));
  m_coverages = std::move(Left);
  for (const Coverage &Each : Due)
    Each.m_done(IsCovered);
}

void KeyedLogReader::readNext() {
  m_isBatching = false;
  read(m_wait);
  m_isWaitingRead = m_wait > Milliseconds::zero();
}

void KeyedLogReader::read(Milliseconds Wait) {
  m_readStartedAt = m_host.now();
  ++m_readCount;
  m_log.read(m_options.m_topic, m_nextOffset, Wait,
             Wait + m_options.m_timeoutMargin,
             [this, IsAlive = m_isAlive](const ReadReply &Read) {
               if (*IsAlive)
                 onRead(Read);
             });
}

void KeyedLogReader::onRead(const ReadReply &Read) {
  const bool WasWaiting = std::exchange(m_isWaitingRead, false);
  if (Read.m_outcome == LogOutcome::HistoryDeleted) {
    logInfo("log.history_gone", {{"topic", logTopicName(m_options.m_topic)},
                                 {"offset", std::to_string(m_nextOffset)}});
    return start();
  }
  if (Read.m_outcome != LogOutcome::Done) {
    reportFailure("read", Read.m_outcome);
    scheduleRetry([this] { readNext(); });
    return finishCoverages(false);
  }
  if (m_isFailing) {
    m_isFailing = false;
    logInfo("log.regained", {{"topic", logTopicName(m_options.m_topic)}});
    if (m_callbacks.m_onRegained)
      m_callbacks.m_onRegained();
  }
  // After a read that ends before the end of the topic, this reader is not up
  // to date.
  const bool IsBehind = Read.m_nextOffset < Read.m_endOffset;
  if (!IsBehind)
    m_caughtUpAt = replyTime();
  const TimePoint StartedAt = m_readStartedAt;
  if (IsBehind != m_isBehind)
    logInfo(IsBehind ? "log.behind" : "log.caught_up",
            {{"topic", logTopicName(m_options.m_topic)},
             {"records_read", std::to_string(Read.m_records.size())},
             {"records_left",
              std::to_string(Read.m_endOffset - Read.m_nextOffset)}});
  m_isBehind = IsBehind;
  m_previousLatency = m_latency;
  m_latency = m_host.now() - m_readStartedAt;
  if (WasWaiting && m_latency >= m_options.m_wait)
    m_latency -= m_options.m_wait;
  else if (WasWaiting && !m_previousReadHadRecords)
    m_latency = Duration::zero();
  m_previousReadHadRecords = !Read.m_records.empty();
  m_nextOffset = Read.m_nextOffset;
  const std::shared_ptr<bool> IsAlive = m_isAlive;
  for (const StoredRecord &Record : Read.m_records) {
    m_callbacks.m_onRecord(Record);
    if (!*IsAlive)
      return;
  }
  if (!IsBehind) {
    m_coveredUntil = StartedAt;
    m_hasCaughtUp = true;
  }
  if (m_callbacks.m_onRead)
    m_callbacks.m_onRead();
  if (!*IsAlive)
    return;
  finishReachedCoverages();
  if (!*IsAlive)
    return;
  if (IsBehind)
    return readNext();
  finishCoverages(true);
  if (!*IsAlive)
    return;
  // A coverage that was called for during this read needs another one.
  if (!m_coverages.empty())
    return read(Milliseconds(0));
  if (Read.m_records.empty() && WasWaiting)
    return readNext();
  m_isBatching = true;
  m_timer.start(m_batchingWindow, [this] { readNext(); });
}

void KeyedLogReader::scheduleRetry(std::function<void()> Call) {
  m_timer.start(m_options.m_retryDelay, std::move(Call));
}

void KeyedLogReader::reportFailure(const char *Call, LogOutcome Outcome) {
  if (!m_isFailing)
    logWarn("log.lost", {{"topic", logTopicName(m_options.m_topic)},
                         {"call", Call},
                         {"outcome", logOutcomeName(Outcome)}});
  m_isFailing = true;
}

} // namespace catkinseam
