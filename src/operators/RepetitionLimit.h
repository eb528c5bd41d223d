/// \file
/// Decides which repetitions of an event are worth a line.
///
/// The first events of a kind in each period pass; the rest are counted, and
/// the count comes with the first one that passes in a later period. Pure.

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

class RepetitionLimit {
public:
  /// \param PerPeriod events of one kind and reason that pass in a period.
  RepetitionLimit(std::uint32_t PerPeriod, DurationMs Period)
      : PerPeriod(PerPeriod), Period(Period) {}

  /// Returns how many like it were held back before this one when it passes,
  /// or nothing when it is held back. Events of one kind with different
  /// `reason` fields are counted apart.
  std::optional<std::uint64_t> pass(const Event &What, TimeMs Now);

private:
  struct Window {
    TimeMs Start;
    std::uint32_t Passed = 0;
    std::uint64_t HeldBack = 0;
  };
  using Kind = std::pair<EventId, std::string>;

  Window &windowOf(const Event &What, TimeMs Now);

  std::uint32_t PerPeriod;
  DurationMs Period;
  std::map<Kind, Window> Windows;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_REPETITIONLIMIT_H
