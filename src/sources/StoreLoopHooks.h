/// \file
/// Hooks by which \ref StoreLoop reports what it has read.

#ifndef FESCUEWOOD_SOURCES_STORELOOPHOOKS_H
#define FESCUEWOOD_SOURCES_STORELOOPHOOKS_H

#include "core/Clock.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "policy/ListedInstance.h"
#include "sources/StoreChange.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace fescuewood {

/// Hooks that report to the rest of the process, called on the reader's thread.
/// Any may be empty.
struct StoreLoopHooks {
  /// Called when the operators' intent has changed.
  std::function<void(IntentBundle)> OnBundle;
  /// Called when the list of instances has changed.
  std::function<void(InstanceList)> OnInstances;
  /// Called when the entry of this node's own target has changed; std::nullopt
  /// when the store has none.
  std::function<void(std::optional<ListedInstance>)> OnOwnTarget;
  /// Called when the store has proved that the intent of this revision, whose
  /// configuration has this number, was current at time \p At.
  std::function<void(TimeMs At, std::uint64_t Revision, std::uint64_t Number)>
      OnProof;
  /// Called when the store becomes unreachable (false) or reachable again
  /// (true).
  std::function<void(bool Reachable)> OnSourceState;
  /// Called with all that was read, to be relayed to other nodes.
  std::function<void(ReplicaUpdate)> OnReplicated = {};
  EventHook OnEvent;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORELOOPHOOKS_H
