#include "operators/RepetitionLimit.h"

#include "operators/StampedEvent.h"

namespace fescuewood {

namespace {

/// Number of windows above which further reasons share one window per event.
/// Bounds memory if the number of reasons is unbounded.
constexpr std::size_t MaxWindows = 1024;

} // namespace

RepetitionLimit::Window &RepetitionLimit::windowFor(const Event &Occurrence,
                                                    TimeMs Now) {
  Kind Key{Occurrence.Id, std::string(fieldValue(Occurrence, "reason"))};
  if (Windows.size() >= MaxWindows && !Windows.contains(Key))
    Key.second.clear();
  return Windows.try_emplace(std::move(Key), Window{Now}).first->second;
}

std::optional<std::uint64_t> RepetitionLimit::admit(const Event &Occurrence,
                                                    TimeMs Now) {
  Window &Current = windowFor(Occurrence, Now);
  std::uint64_t PreviouslySuppressed = 0;
  if (Now - Current.Start >= Period) {
    PreviouslySuppressed = Current.Suppressed;
    Current = Window{Now};
  }
  if (Current.Admitted >= MaxPerPeriod) {
    ++Current.Suppressed;
    return std::nullopt;
  }
  ++Current.Admitted;
  return PreviouslySuppressed;
}

} // namespace fescuewood
