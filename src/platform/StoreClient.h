/// \file
/// HTTP client of the platform's key-value store.

#ifndef FESCUEWOOD_PLATFORM_STORECLIENT_H
#define FESCUEWOOD_PLATFORM_STORECLIENT_H

#include "core/Endpoint.h"
#include "core/Event.h"
#include "sources/StoreChange.h"

namespace fescuewood::platform {

/// Returns the calls to the store at \p Server.
/// \param Timeout maximum duration of a call, in addition to its wait.
/// \param NodePort port on which every node accepts peer connections.
/// \param OnEvent called on the thread that makes the calls; may be empty.
StoreCalls storeCalls(const Endpoint &Server, DurationMs Timeout,
                      std::uint16_t NodePort, EventHook OnEvent = {});

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_STORECLIENT_H
