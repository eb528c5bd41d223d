/// \file
/// Hooks through which the control duty uses and notifies the rest of the
/// process.

#ifndef FESCUEWOOD_NODES_CONTROLHOOKS_H
#define FESCUEWOOD_NODES_CONTROLHOOKS_H

#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTransport.h"
#include "policy/Instance.h"
#include "policy/MemberRecord.h"

#include <functional>
#include <span>
#include <string>

namespace fescuewood {

/// Hooks of the control duty, called on its thread. They must not block for
/// long.
struct ControlHooks {
  /// Sends a request to another node.
  PeerSend Send;
  /// Compiles a version. Returns null and sets \p Why to a readable reason when
  /// the version is invalid.
  std::function<SnapshotPtr(const IntentBundle &Bundle, std::string &Why)>
      Compile;
  /// Called when a version comes into force.
  std::function<void(SnapshotPtr)> OnSnapshot;
  /// Called after changes with all known instances including this one, at most
  /// a few times per second.
  std::function<void(std::span<const Instance>)> OnInstances;
  /// Called when the newest listing of this instance that any node has read has
  /// changed. May be empty.
  std::function<void(const MemberListing &)> OnOwnListing;
  /// Called with false when the view is stale because the process was paused,
  /// so that no new work is decided on it, and with true once the node has
  /// caught up. May be empty.
  std::function<void(bool Current)> OnViewCurrent;
  EventHook OnEvent;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLHOOKS_H
