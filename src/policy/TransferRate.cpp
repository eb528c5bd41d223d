#include "policy/TransferRate.h"

#include <algorithm>
#include <numeric>

namespace fescuewood {

namespace {

constexpr std::uint64_t MsPerSecond = 1000;

/// Transfers are updated several times a second; what exceeds this time is a
/// pause of the process, not of the client.
constexpr DurationMs MaxUpdateGap{1000};

} // namespace

DurationMs bodyTimeLimit(std::optional<std::uint64_t> Length,
                         const TransferLimits &Limits) {
  if (!Length || Limits.MinBytesPerSecond == 0)
    return Limits.MaxBodyTime;
  const std::uint64_t Seconds = *Length / Limits.MinBytesPerSecond;
  const auto MaxMs = static_cast<std::uint64_t>(Limits.MaxBodyTime.Value);
  // Compared in seconds first, since the product could overflow.
  if (Seconds >= MaxMs / MsPerSecond)
    return Limits.MaxBodyTime;
  const DurationMs Needed(static_cast<std::int64_t>(Seconds * MsPerSecond));
  return std::min(std::max(Needed, Limits.MinBodyTime), Limits.MaxBodyTime);
}

void TransferRate::update(std::uint64_t Bytes, bool Expected, TimeMs Now,
                          DurationMs Window) {
  if (Expecting)
    ExpectedTime = ExpectedTime + std::min(Now - LastUpdate, MaxUpdateGap);
  LastUpdate = Now;
  Expecting = Expected;
  constexpr auto SlotCount = static_cast<std::int64_t>(Slots);
  const std::int64_t SlotMs = std::max<std::int64_t>(
      1, Window.Value / static_cast<std::int64_t>(WindowSlots));
  const std::int64_t Slot = ExpectedTime.Value / SlotMs;
  const std::int64_t FirstStale = std::max(CurrentSlot, Slot - SlotCount) + 1;
  for (std::int64_t Next = FirstStale; Next <= Slot; ++Next)
    BytesBySlot[static_cast<std::size_t>(Next % SlotCount)] = 0;
  CurrentSlot = Slot;
  BytesBySlot[static_cast<std::size_t>(Slot % SlotCount)] += Bytes;
}

bool TransferRate::isTooSlow(const TransferLimits &Limits) const {
  if (Limits.MinBytesPerSecond == 0 || ExpectedTime < Limits.Window)
    return false;
  const std::uint64_t Bytes =
      std::accumulate(BytesBySlot.begin(), BytesBySlot.end(), std::uint64_t(0));
  const auto WindowMs = static_cast<std::uint64_t>(Limits.Window.Value);
  return Bytes * MsPerSecond < Limits.MinBytesPerSecond * WindowMs;
}

} // namespace fescuewood
