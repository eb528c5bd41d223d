/// \file
/// Writes events as lines of text through log4cplus.

#ifndef FESCUEWOOD_OPERATORS_LOGWRITER_H
#define FESCUEWOOD_OPERATORS_LOGWRITER_H

#include "core/Duty.h"
#include "operators/StampedEvent.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuewood {

/// Size at which a log file is renamed to FILE.1 and begun anew, in bytes.
inline constexpr long MaxLogFileBytes = 16L * 1024 * 1024;

/// One log of the process. Thread-safe.
class LogWriter {
public:
  /// \param File a path, or empty for the standard output. A file that cannot
  /// be opened is reported there and by \ref usable.
  LogWriter(EventLevel Lowest, const std::string &File);
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  /// Hands the event's text line to the writing thread, unless its level is
  /// below the lowest. Never blocks: while the ring is full, lines are left out
  /// and counted in a line of their own.
  void write(const StampedEvent &Value);

  /// Lines that were left out so far.
  std::uint64_t leftOut() const { return LeftOut; }

  /// Changes the lowest level that is written; from any thread.
  void setLowest(EventLevel Level) { Lowest = Level; }

  /// Whether lines reach where they were meant to go.
  bool usable() const { return Usable; }

private:
  std::atomic<EventLevel> Lowest;
  bool Usable = true;
  std::atomic<std::uint64_t> LeftOut = 0;
  std::atomic<std::uint64_t> LeftOutTold = 0;
  Duty Writer;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_LOGWRITER_H
