#include "operators/LogWriter.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace fescuewood {

namespace {

constexpr const char *LoggerName = "fescuewood";
constexpr int MaxBackupFiles = 1;

/// Maximum number of lines queued while the log output is slow; about a minute
/// of a busy node's events.
constexpr std::size_t MaxQueuedLines = 4096;

/// Tick period of the writer thread, which has no periodic work.
constexpr DurationMs WriterTickPeriod{1000};

/// Initializes log4cplus, once per process and before the first logger exists.
void initializeLog4cplus() { static const log4cplus::Initializer Once; }

log4cplus::Logger logger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(LoggerName));
}

log4cplus::SharedAppenderPtr makeAppender(const std::string &File) {
  constexpr bool ToStdErr = false;
  constexpr bool FlushEachLine = true;
  if (File.empty())
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(ToStdErr, FlushEachLine));
  return log4cplus::SharedAppenderPtr(new log4cplus::RollingFileAppender(
      File, MaxLogFileBytes, MaxBackupFiles, FlushEachLine));
}

log4cplus::LogLevel libraryLevel(EventLevel Level) {
  switch (Level) {
  case EventLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case EventLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case EventLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case EventLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool canAppend(const std::string &File) {
  if (File.empty())
    return true;
  std::FILE *Opened = std::fopen(File.c_str(), "a");
  if (!Opened)
    return false;
  std::fclose(Opened);
  return true;
}

} // namespace

LogWriter::LogWriter(EventLevel MinimumLevel, const std::string &File)
    : MinimumLevel(MinimumLevel), Usable(canAppend(File)),
      Writer("log", MaxQueuedLines) {
  initializeLog4cplus();
  log4cplus::SharedAppenderPtr Appender = makeAppender(Usable ? File : "");
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  logger().removeAllAppenders();
  logger().setAdditivity(false);
  logger().setLogLevel(log4cplus::ALL_LOG_LEVEL);
  logger().addAppender(Appender);
  Writer.start(WriterTickPeriod, {});
}

LogWriter::~LogWriter() {
  Writer.stop();
  logger().removeAllAppenders();
}

void LogWriter::write(const StampedEvent &Value) {
  const EventLevel Level = eventEntry(Value.Occurrence.Id).Level;
  if (Level < MinimumLevel)
    return;
  const bool Queued = Writer.post([this, Level, Line = toTextLine(Value)] {
    logger().log(libraryLevel(Level), Line);
    const std::uint64_t Dropped = DroppedLines;
    if (Dropped != ReportedDrops.exchange(Dropped))
      logger().log(log4cplus::WARN_LOG_LEVEL,
                   std::to_string(Dropped) + " log lines dropped so far");
  });
  if (!Queued)
    ++DroppedLines;
}

} // namespace fescuewood
