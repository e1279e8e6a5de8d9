// Structured logging on log4cplus.
#include "catkinseam/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace catkinseam {

namespace {

const char *const Pattern = "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";

log4cplus::Logger &logger() {
  static log4cplus::Logger Root = log4cplus::Logger::getInstance("catkinseam");
  return Root;
}

std::string escaped(const std::string &Value) {
  std::string Text;
  for (const char Letter : Value) {
    if (Letter == '"' || Letter == '\\')
      Text.push_back('\\');
    const bool IsControl = static_cast<unsigned char>(Letter) < ' ';
    Text.push_back(IsControl ? ' ' : Letter);
  }
  return Text;
}

void write(log4cplus::LogLevel Level, const char *Event,
           std::initializer_list<LogField> Fields) {
  if (logger().isEnabledFor(Level))
    logger().log(Level, formatRecord(Event, Fields));
}

} // namespace

void startLogging(const std::string &Level, LogStream Stream) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Console(new log4cplus::ConsoleAppender(
      /*logToStdErr=*/Stream == LogStream::StandardError));
  Console->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  logger().addAppender(Console);
  logger().setAdditivity(false);
  setLogLevel(Level);
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
