/// \file
/// A rate limit for repeated events.
///
/// Admits the first events of a kind in each period and counts the others. The
/// count is returned with the first event that is admitted in a later period.
/// Does no I/O and reads no clock; the caller passes the current time.

#ifndef FESCUEWOOD_OPERATORS_REPETITIONLIMIT_H
#define FESCUEWOOD_OPERATORS_REPETITIONLIMIT_H

#include "core/Clock.h"
#include "core/Event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fescuewood {

/// Limits events per kind and period. Not thread-safe.
class RepetitionLimit {
public:
  /// \param MaxPerPeriod maximum number of admitted events of one kind and
  /// reason per period.
  RepetitionLimit(std::uint32_t MaxPerPeriod, DurationMs Period)
      : MaxPerPeriod(MaxPerPeriod), Period(Period) {}

  /// Returns std::nullopt if the event is suppressed; otherwise the number of
  /// similar events that were suppressed since the last admitted one. Events of
  /// one kind with different `reason` fields are counted separately.
  std::optional<std::uint64_t> admit(const Event &Occurrence, TimeMs Now);

private:
  struct Window {
    TimeMs Start;
    std::uint32_t Admitted = 0;
    std::uint64_t Suppressed = 0;
  };
  using Kind = std::pair<EventId, std::string>;

  Window &windowFor(const Event &Occurrence, TimeMs Now);

  std::uint32_t MaxPerPeriod;
  DurationMs Period;
  std::map<Kind, Window> Windows;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_REPETITIONLIMIT_H
