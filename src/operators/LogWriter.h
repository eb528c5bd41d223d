/// \file
/// The event log of a process, written through log4cplus.

#ifndef FESCUEWOOD_OPERATORS_LOGWRITER_H
#define FESCUEWOOD_OPERATORS_LOGWRITER_H

#include "core/TaskThread.h"
#include "operators/StampedEvent.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuewood {

/// Size in bytes at which a log file is rotated to FILE.1.
inline constexpr long MaxLogFileBytes = 16L * 1024 * 1024;

/// Writes events as lines of text on a thread of its own. Thread-safe.
class LogWriter {
public:
  /// \param MinimumLevel level below which events are not written.
  /// \param File a path, or empty for standard output. If the file cannot be
  /// opened, the log goes to standard output and \ref usable returns false.
  LogWriter(EventLevel MinimumLevel, const std::string &File);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Queues an event for the writer thread unless its level is below the
  /// minimum. Never blocks: while the queue is full, lines are dropped, and a
  /// later line logs their number.
  void write(const StampedEvent &Value);

  /// Number of lines dropped so far.
  std::uint64_t droppedLines() const { return DroppedLines; }

  /// Changes the minimum level.
  void setMinimumLevel(EventLevel Level) { MinimumLevel = Level; }

  /// Returns true if the log file could be opened.
  bool usable() const { return Usable; }

private:
  std::atomic<EventLevel> MinimumLevel;
  bool Usable = true;
  std::atomic<std::uint64_t> DroppedLines = 0;
  std::atomic<std::uint64_t> ReportedDrops = 0;
  TaskThread Writer;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_LOGWRITER_H
