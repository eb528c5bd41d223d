/// \file
/// The answers of the platform's store, decoded into typed messages.
///
/// A key of the store becomes a kind of change with a name; whoever reads the
/// messages needs to know no key. Decoding never throws: an answer that cannot
/// be read gives nothing and the reason.

#ifndef FESCUEWOOD_PLATFORM_STORECODEC_H
#define FESCUEWOOD_PLATFORM_STORECODEC_H

#include "sources/StoreChange.h"

#include <string_view>

namespace fescuewood::platform {

/// Decodes a page of items.
PlatformRead<StorePage> decodePage(std::string_view Json);

/// Decodes the changes that a watch has brought.
PlatformRead<StoreChanges> decodeChanges(std::string_view Json);

/// Decodes a target's entry; nothing where it names no target to use.
/// \param NodePort where the node beside each target hears other nodes: ports
/// are the same on all instances.
std::optional<ListedInstance> decodeTarget(std::string_view Id,
                                           std::string_view Json,
                                           std::uint16_t NodePort);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_STORECODEC_H
