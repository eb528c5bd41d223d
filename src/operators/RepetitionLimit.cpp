#include "operators/RepetitionLimit.h"

#include "operators/StampedEvent.h"

namespace fescuewood {

namespace {

/// Bounds the table when reasons vary without end; the kinds beyond it share
/// one window per event.
constexpr std::size_t MaxWindows = 1024;

} // namespace

RepetitionLimit::Window &RepetitionLimit::windowOf(const Event &What,
                                                   TimeMs Now) {
  Kind Key{What.Id, std::string(fieldValue(What, "reason"))};
  if (Windows.size() >= MaxWindows && !Windows.contains(Key))
    Key.second.clear();
  return Windows.try_emplace(std::move(Key), Window{Now}).first->second;
}

std::optional<std::uint64_t> RepetitionLimit::pass(const Event &What,
                                                   TimeMs Now) {
  Window &Present = windowOf(What, Now);
  std::uint64_t HeldBefore = 0;
  if (Now - Present.Start >= Period) {
    HeldBefore = Present.HeldBack;
    Present = Window{Now};
  }
  if (Present.Passed >= PerPeriod) {
    ++Present.HeldBack;
    return std::nullopt;
  }
  ++Present.Passed;
  return HeldBefore;
}

} // namespace fescuewood
