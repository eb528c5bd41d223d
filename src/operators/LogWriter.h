/// \file
/// Writes events as lines of text through log4cplus.

#ifndef FESCUEWOOD_OPERATORS_LOGWRITER_H
#define FESCUEWOOD_OPERATORS_LOGWRITER_H

#include "operators/StampedEvent.h"

#include <atomic>
#include <string>

namespace fescuewood {

/// Size at which a log file is renamed to FILE.1 and begun anew, in bytes.
inline constexpr long MaxLogFileBytes = 16L * 1024 * 1024;

/// One log of the process. Thread-safe.
class LogWriter {
public:
  /// \param File a path, or empty for the standard error stream. A file that
  /// cannot be opened is reported there and by \ref usable.
  LogWriter(EventLevel Lowest, const std::string &File);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Writes the event's text line, unless its level is below the lowest.
  void write(const StampedEvent &Value);

  /// Changes the lowest level that is written; from any thread.
  void setLowest(EventLevel Level) { Lowest = Level; }

  /// Whether lines reach where they were meant to go.
  bool usable() const { return Usable; }

private:
  std::atomic<EventLevel> Lowest;
  bool Usable = true;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_LOGWRITER_H
