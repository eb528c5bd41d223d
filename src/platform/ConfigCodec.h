/// \file
/// Decoder of the platform's configuration document into a snapshot.
///
/// Nodes exchange a version as the bytes that the store holds, and each node
/// decodes them itself.

#ifndef FESCUEWOOD_PLATFORM_CONFIGCODEC_H
#define FESCUEWOOD_PLATFORM_CONFIGCODEC_H

#include "intent/Snapshot.h"

#include <map>
#include <string>

namespace fescuewood::platform {

/// Region of each failure domain. The configuration document contains none.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// Decodes a bundle that was made by \ref fescuewood::StoreLoop. Returns null
/// when the bundle or its configuration is invalid, and sets \p Error to a
/// message for the operator.
SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Error);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_CONFIGCODEC_H
