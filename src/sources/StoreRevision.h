/// \file
/// Revisions of a store that may come back from an older copy of itself.
///
/// Such a store counts its restores: each begins an epoch, in which revisions
/// that it has given out before are given out again. One number holds the epoch
/// above the store's own revision, so that all that was read in a later epoch
/// is newer than all that was read before it, on every node.

#ifndef FESCUEWOOD_SOURCES_STOREREVISION_H
#define FESCUEWOOD_SOURCES_STOREREVISION_H

#include <cstdint>

namespace fescuewood {

/// Bits below a revision in which a node numbers what it derives from one
/// reading. They are used in epochs above 0 only.
inline constexpr unsigned StoreStepBits = 2;
inline constexpr unsigned StoreEpochShift = 48;

/// The largest epoch, and the largest revision within one.
inline constexpr std::uint64_t MaxStoreEpoch = (1ULL << 16) - 1;
inline constexpr std::uint64_t MaxStoreRevision =
    (1ULL << (StoreEpochShift - StoreStepBits)) - 1;

/// The epoch of a store that has never been restored.
inline constexpr std::uint64_t FirstEpoch = 1;

/// Epoch of a number; 0 if the store does not name its epochs.
constexpr std::uint64_t storeEpoch(std::uint64_t Number) {
  return Number >> StoreEpochShift;
}

/// Makes the number of a store's own revision. Without an epoch it is the
/// revision itself.
constexpr std::uint64_t storeNumber(std::uint64_t Epoch,
                                    std::uint64_t Revision) {
  return Epoch == 0 ? Revision
                    : (Epoch << StoreEpochShift) | (Revision << StoreStepBits);
}

/// The store's own revision.
constexpr std::uint64_t storeRevision(std::uint64_t Number) {
  constexpr std::uint64_t EpochMask = (1ULL << StoreEpochShift) - 1;
  return storeEpoch(Number) == 0 ? Number
                                 : (Number & EpochMask) >> StoreStepBits;
}

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREREVISION_H
