/// \file
/// The operators' configuration on the platform, decoded into a snapshot.
///
/// A version travels between nodes as the bytes that the store holds; each node
/// decodes them itself.

#ifndef FESCUEWOOD_PLATFORM_CONFIGCODEC_H
#define FESCUEWOOD_PLATFORM_CONFIGCODEC_H

#include "intent/Snapshot.h"

#include <map>
#include <string>

namespace fescuewood::platform {

/// Regions by failure domain, which the configuration does not name.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// The snapshot of a bundle that \ref fescuewood::StoreLoop made; null when the
/// configuration is bad, with \p Why set for people.
SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Why);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_CONFIGCODEC_H
