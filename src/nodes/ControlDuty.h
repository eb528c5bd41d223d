/// \file
/// Control duty: the thread that maintains this node's configuration and its
/// view of the fleet.
///
/// It exchanges versions and member records with other nodes, fetches newer
/// versions from them, accepts versions from the source when this node is a
/// reader, and reports each version that comes into force. All functions are
/// thread-safe; hooks run on the duty's thread.

#ifndef FESCUEWOOD_NODES_CONTROLDUTY_H
#define FESCUEWOOD_NODES_CONTROLDUTY_H

#include "intent/Snapshot.h"
#include "nodes/ControlHooks.h"
#include "nodes/ControlSettings.h"
#include "nodes/ControlStatus.h"
#include "nodes/PeerServer.h"
#include "sources/PlatformSource.h"
#include "sources/StoreChange.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Control duty with its thread. The transport calls it, so the peer server and
/// the peer client must be stopped before it is destroyed.
class ControlDuty {
public:
  /// \param Self identity of this node as sent by the transport.
  ControlDuty(ControlSettings Settings, const PeerIdentity &Self,
              ControlHooks Hooks);
  ~ControlDuty();
  ControlDuty(const ControlDuty &) = delete;
  ControlDuty &operator=(const ControlDuty &) = delete;

  /// Registers the handlers of Exchange, Fetch and StoreWatch. Call before the
  /// server starts.
  void registerWith(PeerServer &Server);

  void start();
  void stop();

  /// Handles a version that this node read from the source.
  void offerBundle(IntentBundle Bundle);

  /// Merges an instance list that this node read from the platform.
  void offerInstances(InstanceList List);

  /// Handles a proof of freshness from the source: \p Revision was its newest
  /// at time \p At. Processed in order with the offered versions.
  void offerProof(TimeMs At, std::uint64_t Revision, std::uint64_t Number = 0);

  /// Handles what this node has read from the store, for other nodes that read
  /// it through this one.
  void offerReplica(ReplicaUpdate Update);

  /// The store has become unreachable from this node.
  void onSourceLost();

  /// Addresses of the other nodes of this failure domain that read the store.
  std::vector<std::string> relays() const;

  /// Time at which the version in force was last known to be the newest; 0 if
  /// never.
  TimeMs provenAt() const;

  /// Sets the state of the target beside this node.
  void setOwnState(TargetState State);

  /// Announces that this instance leaves. Call before \ref stop.
  void leave();

  /// Whether this node should read the platform now.
  bool isReader() const { return Reader; }

  /// The newest version received completely, including refused ones; revision 0
  /// if none. The source should be asked for newer versions only.
  Version newestSeenVersion() const;

  /// Whether the view is current enough to base decisions on. False from the
  /// moment a pause of the process is detectable until the node has caught up.
  bool viewCurrent() const;

  /// Lower bound of the version that the slot had in force; std::nullopt if
  /// none is known.
  std::optional<Version> slotVersion(std::string_view Domain,
                                     std::uint32_t Slot) const;

  /// Whether every declared slot of the version in force had \p Wanted or a
  /// newer version in force, or was reported as vacant.
  bool hasReachedAllSlots(const Version &Wanted) const;

  ControlStatus status() const;

private:
  class State;
  std::unique_ptr<State> Impl;
  std::atomic<bool> Reader{false};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLDUTY_H
