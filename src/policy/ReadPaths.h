/// \file
/// Whether a node reads the platform's store itself or through another node of
/// its failure domain, and through which.
///
/// Readers read the store; the other nodes ask them in turn, so that one whose
/// reading is late costs a node one wait only. A relay that has no answer or no
/// fresh proof is avoided for a while. A node without a usable relay, or after
/// two that failed, reads the store itself, and a node that the store does not
/// answer asks a relay.

#ifndef FESCUEWOOD_POLICY_READPATHS_H
#define FESCUEWOOD_POLICY_READPATHS_H

#include "core/Clock.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Paths of one node to the store. Not thread-safe.
class ReadPaths {
public:
  /// Sets whether this node is a reader, and the addresses of the others.
  void update(bool IsReader, const std::vector<std::string> &Relays);

  /// The relay to ask next; std::nullopt to read the store.
  std::optional<std::string> next(TimeMs Now);

  /// The relay to ask after the store has not answered this node.
  std::optional<std::string> alternative(TimeMs Now);

  void onAnswered(std::string_view Address);

  /// The relay did not answer, or has no fresh proof.
  void onFailed(std::string_view Address, TimeMs Now);

private:
  struct Relay {
    std::string Address;
    TimeMs AvoidUntil{0};
    unsigned Failures = 0; ///< Consecutive.
  };

  Relay *find(std::string_view Address);

  bool IsReader = true;
  std::vector<Relay> Relays;
  std::size_t NextIndex = 0;
  unsigned VainReads = 0; ///< Relays that failed since the last answer of one.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READPATHS_H
