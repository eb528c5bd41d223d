/// \file
/// The calls to the platform's store.

#ifndef FESCUEWOOD_PLATFORM_STORECLIENT_H
#define FESCUEWOOD_PLATFORM_STORECLIENT_H

#include "core/Endpoint.h"
#include "sources/StoreChange.h"

namespace fescuewood::platform {

/// The store at \p Server.
/// \param Timeout that a call may take beyond its wait.
/// \param NodePort where each node hears other nodes.
StoreCalls storeCalls(const Endpoint &Server, DurationMs Timeout,
                      std::uint16_t NodePort);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_STORECLIENT_H
