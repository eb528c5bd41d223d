/// \file
/// What the control duty asks of and tells the rest of the process.

#ifndef FESCUEWOOD_NODES_CONTROLHOOKS_H
#define FESCUEWOOD_NODES_CONTROLHOOKS_H

#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTransport.h"
#include "policy/Instance.h"

#include <functional>
#include <span>
#include <string>

namespace fescuewood {

/// Called on the duty's thread; must not block for long.
struct ControlHooks {
  /// Sends to other nodes.
  PeerSend Send;
  /// Compiles a version; null when it is bad, with \p Why set for people.
  std::function<SnapshotPtr(const IntentBundle &Bundle, std::string &Why)>
      Compile;
  /// A version is in force from now on.
  std::function<void(SnapshotPtr)> OnSnapshot;
  /// The instances as seen now, this one included; after each change, at most
  /// a few times a second.
  std::function<void(std::span<const Instance>)> OnInstances;
  /// False: the view is old, because the process was paused; new work should
  /// not be decided on it. True: it has caught up. May be empty.
  std::function<void(bool Current)> OnViewCurrent;
  EventHook OnEvent;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLHOOKS_H
