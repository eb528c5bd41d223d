/// \file
/// The minimum rate and the time limit of a transfer by a client.
///
/// The load that they answer: large numbers of clients that send or read very
/// slowly, each with some progress, and so hold connections and memory for as
/// long as they like.

#ifndef FESCUEWOOD_POLICY_TRANSFERRATE_H
#define FESCUEWOOD_POLICY_TRANSFERRATE_H

#include "core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace fescuewood {

/// Limits on how slowly a client may transfer.
struct TransferLimits {
  std::uint32_t MinBytesPerSecond = 0; ///< 0 for no minimum.
  DurationMs Window{10'000};           ///< Over which the rate is averaged.
  DurationMs MinBodyTime{15'000};
  DurationMs MaxBodyTime{300'000};
};

/// Time limit for a request body: what \p Length takes at the minimum rate,
/// within the bounds. Without a length (chunks) or a minimum rate, the upper
/// bound.
DurationMs bodyTimeLimit(std::optional<std::uint64_t> Length,
                         const TransferLimits &Limits);

/// Averages the rate of one transfer over a window.
///
/// Only time counts in which the client is expected to transfer. The window is
/// kept in slots, so that a client is measured over the window's length or up
/// to one slot more; one that keeps to the minimum is never too slow.
class TransferRate {
public:
  /// Begins a transfer, of which nothing has been expected so far.
  void restart() { *this = TransferRate(); }

  /// Records what was transferred since the last call, and whether the client
  /// is expected to transfer more from now on. To be called several times a
  /// second while it is; of longer gaps, a second counts.
  /// \param Window must not change during a transfer.
  void update(std::uint64_t Bytes, bool Expected, TimeMs Now,
              DurationMs Window);

  /// Whether a whole window has passed and its average is below the minimum.
  bool isTooSlow(const TransferLimits &Limits) const;

  /// Time in which the client was expected to transfer.
  DurationMs expectedTime() const { return ExpectedTime; }

private:
  static constexpr std::size_t WindowSlots = 10;
  /// The slots of a window, and the one that is being filled.
  static constexpr std::size_t Slots = WindowSlots + 1;

  std::array<std::uint64_t, Slots> BytesBySlot{};
  std::int64_t CurrentSlot = 0;
  DurationMs ExpectedTime{0};
  bool Expecting = false;
  TimeMs LastUpdate;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TRANSFERRATE_H
