/// \file
/// Decoders of the platform store's answers into typed messages.
///
/// Each key of the store is decoded into a subject and a name, so that users of
/// the messages need not know the layout of the keys. The decoders never throw:
/// for a malformed answer they return a reason and no value.

#ifndef FESCUEWOOD_PLATFORM_STORECODEC_H
#define FESCUEWOOD_PLATFORM_STORECODEC_H

#include "sources/StoreChange.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescuewood::platform {

/// Decodes a page of items.
PlatformRead<StorePage> decodePage(std::string_view Json);

/// Decodes the answer to a watch.
PlatformRead<StoreChanges> decodeChanges(std::string_view Json);

/// Decodes the header field that names the store's epoch; std::nullopt for
/// anything but a number from 1 to \ref MaxStoreEpoch.
std::optional<std::uint64_t> decodeEpoch(std::string_view Text);

/// Number that the operators gave a configuration; 0 if it has none or cannot
/// be read.
std::uint64_t configurationNumber(std::string_view Json);

/// Decodes a target's entry. Returns std::nullopt when the entry is malformed
/// or does not describe a usable target.
/// \param NodePort port on which the target's node accepts peer connections;
/// it is the same on all instances.
std::optional<ListedInstance> decodeTarget(std::string_view Id,
                                           std::string_view Json,
                                           std::uint16_t NodePort);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_STORECODEC_H
