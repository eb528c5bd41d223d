#include "core/HybridClock.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace fescuewood {

namespace {

constexpr unsigned CounterBits = 16;

} // namespace

std::uint64_t HybridTime::packed() const {
  return (static_cast<std::uint64_t>(WallMs) << CounterBits) | Counter;
}

HybridTime HybridTime::unpack(std::uint64_t Packed) {
  return {static_cast<std::int64_t>(Packed >> CounterBits),
          static_cast<std::uint16_t>(Packed)};
}

std::string HybridTime::text() const {
  return fmt::format("{}.{}", WallMs, Counter);
}

HybridClock::HybridClock(Clock Wall, DurationMs MaxLead)
    : Wall(std::move(Wall)), MaxLead(MaxLead) {}

HybridTime HybridClock::stamp() {
  std::lock_guard<std::mutex> Lock(Mutex);
  advance();
  return Last;
}

bool HybridClock::merge(HybridTime Remote) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Remote.WallMs > (Wall.now() + MaxLead).Value)
    return false;
  Last = std::max(Last, Remote);
  return true;
}

void HybridClock::advance() {
  const std::int64_t Now = Wall.now().Value;
  if (Now > Last.WallMs) {
    Last = {Now, 0};
    return;
  }
  // On counter overflow use the next millisecond, so that timestamps keep
  // increasing while the wall clock does not.
  if (Last.Counter == std::numeric_limits<std::uint16_t>::max()) {
    Last = {Last.WallMs + 1, 0};
    return;
  }
  ++Last.Counter;
}

} // namespace fescuewood
