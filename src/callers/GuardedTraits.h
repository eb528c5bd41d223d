/// \file
/// The traits of RESTinio servers that read through \ref GuardedSocket.
/// Internal to the packages that serve HTTP.

#ifndef FESCUEWOOD_CALLERS_GUARDEDTRAITS_H
#define FESCUEWOOD_CALLERS_GUARDEDTRAITS_H

#include "callers/GuardedSocket.h"

#include <restinio/all.hpp>

namespace fescuewood {

// RESTinio finds these two functions by argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming): RESTinio's names.

/// Starts reading from a new connection immediately.
template <typename Connection, typename StartRead, typename Fail>
void prepare_connection_and_start_read(GuardedSocket &Socket, Connection &,
                                       StartRead OnReady, Fail) {
  Socket.onOpened();
  OnReady();
}

/// Returns null, since connections do not use TLS.
inline restinio::tls_socket_t *
make_tls_socket_pointer_for_state_listener(GuardedSocket &) noexcept {
  return nullptr;
}

// NOLINTEND(readability-identifier-naming)

/// Single-threaded RESTinio server with a limited number of connections.
struct GuardedTraits : public restinio::default_single_thread_traits_t {
  // NOLINTBEGIN(readability-identifier-naming): RESTinio's names.
  using stream_socket_t = GuardedSocket;
  static constexpr bool use_connection_count_limiter = true;
  // NOLINTEND(readability-identifier-naming)
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_GUARDEDTRAITS_H
