/// \file
/// The callers of a soak. Each keeps its connection to one node open until the
/// node closes it, whatever the node's readiness; some requests are sent again
/// under the same ID, to any node.

#ifndef FESCUEWOOD_SOAK_CALLERS_H
#define FESCUEWOOD_SOAK_CALLERS_H

#include "soak/History.h"
#include "soak/Mesh.h"
#include "standins/Http.h"

#include <cstdint>
#include <random>

namespace fescuewood::soak {

class Callers {
public:
  Callers(const Mesh &Processes, History &Seen, std::uint64_t Seed)
      : Processes(Processes), Seen(Seen), Random(Seed) {}

  /// Sends requests to a node until \ref stop.
  asio::awaitable<void> call(std::size_t Node);

  /// Sends one request that any node can serve; returns whether it did.
  asio::awaitable<bool> probe(std::size_t Node);

  void stop() { Stopping = true; }
  std::size_t active() const { return Active; }

private:
  Send next(std::size_t Node);
  Send fresh();

  const Mesh &Processes;
  History &Seen;
  std::mt19937_64 Random;
  std::uint64_t Count = 0;
  std::size_t Active = 0;
  bool Stopping = false;
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_CALLERS_H
