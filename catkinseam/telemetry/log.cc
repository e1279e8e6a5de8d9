// Structured logging on log4cplus.
#include "catkinseam/telemetry/log.h"

#include "catkinseam/telemetry/log_rate_limiter.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace catkinseam {

namespace {

const char *const LayoutPattern =
    "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("catkinseam");
  return Instance;
}

std::string escaped(const std::string &Value) {
  std::string Text;
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Text.push_back('\\');
    const bool IsControl = static_cast<unsigned char>(Character) < ' ';
    Text.push_back(IsControl ? ' ' : Character);
  }
  return Text;
}

/// Writes lines to a descriptor without blocking and within the rate limit.
/// log4cplus serializes the calls with its own lock.
class RateLimitedAppender final : public log4cplus::Appender {
public:
  explicit RateLimitedAppender(int Descriptor) : m_descriptor(Descriptor) {}
  ~RateLimitedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    if (!m_limiter.tryAcquire(SystemClock().now()))
      return;
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    if (!writeNonBlocking(m_descriptor, Line.str()))
      return m_limiter.countDropped();
    const std::uint64_t Dropped = m_limiter.takeDropped();
    if (Dropped == 0)
      return;
    std::ostringstream Note;
    layout->formatAndAppend(
        Note,
        log4cplus::spi::InternalLoggingEvent(
            Event.getLoggerName(), log4cplus::WARN_LOG_LEVEL,
            formatRecord("log.dropped", {{"records", std::to_string(Dropped)}}),
            __FILE__, __LINE__));
    if (!writeNonBlocking(m_descriptor, Note.str()))
      m_limiter.countDropped();
  }

private:
  const int m_descriptor;
  LogRateLimiter m_limiter{{}};
};

void write(log4cplus::LogLevel Level, const char *Event,
           std::initializer_list<LogField> Fields) {
  if (logger().isEnabledFor(Level))
    logger().log(Level, formatRecord(Event, Fields));
}

} // namespace

void startLogging(const std::string &Level, LogStream Stream) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Console(new RateLimitedAppender(
      Stream == LogStream::StandardError ? STDERR_FILENO : STDOUT_FILENO));
  Console->setLayout(std::make_unique<log4cplus::PatternLayout>(LayoutPattern));
  logger().addAppender(Console);
  logger().setAdditivity(false);
  setLogLevel(Level);
}

bool writeNonBlocking(int Descriptor, const std::string &Line) {
  // PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this many
  // bytes without blocking.
  constexpr std::size_t MaxLineBytes = 4096;
  pollfd Target{Descriptor, POLLOUT, 0};
  if (::poll(&Target, 1, 0) != 1 || (Target.revents & POLLOUT) == 0)
    return false;
  std::string Text = Line;
  if (Text.size() > MaxLineBytes) {
    Text.resize(MaxLineBytes);
    Text.back() = '\n';
  }
  return ::write(Descriptor, Text.data(), Text.size()) ==
         static_cast<ssize_t>(Text.size());
}

void setLogLevel(const std::string &Level) {
  if (Level == "debug")
    logger().setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
  else if (Level == "warn")
    logger().setLogLevel(log4cplus::WARN_LOG_LEVEL);
  else if (Level == "error")
    logger().setLogLevel(log4cplus::ERROR_LOG_LEVEL);
  else
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

std::string formatRecord(const char *Event,
                         std::initializer_list<LogField> Fields) {
  std::string Text = std::string("event=") + Event;
  for (const auto &[Key, Value] : Fields)
    Text += std::string(" ") + Key + "=\"" + escaped(Value) + "\"";
  return Text;
}

void logDebug(const char *Event, std::initializer_list<LogField> Fields) {
  write(log4cplus::DEBUG_LOG_LEVEL, Event, Fields);
}

void logInfo(const char *Event, std::initializer_list<LogField> Fields) {
  write(log4cplus::INFO_LOG_LEVEL, Event, Fields);
}

void logWarn(const char *Event, std::initializer_list<LogField> Fields) {
  write(log4cplus::WARN_LOG_LEVEL, Event, Fields);
}

void logError(const char *Event, std::initializer_list<LogField> Fields) {
  write(log4cplus::ERROR_LOG_LEVEL, Event, Fields);
}

} // namespace catkinseam
