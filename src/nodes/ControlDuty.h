/// \file
/// The duty that keeps this node's configuration and its view of the fleet.
///
/// It exchanges versions and members with other nodes, fetches newer versions
/// from them, takes versions from the source when this node is a reader, and
/// hands on each version that is put in force. All functions are thread-safe;
/// hooks run on the duty's thread.

#ifndef FESCUEWOOD_NODES_CONTROLDUTY_H
#define FESCUEWOOD_NODES_CONTROLDUTY_H

#include "intent/Snapshot.h"
#include "nodes/ControlHooks.h"
#include "nodes/ControlSettings.h"
#include "nodes/ControlStatus.h"
#include "nodes/PeerServer.h"
#include "sources/PlatformSource.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace fescuewood {

/// The control duty with its thread. The transport calls it, so both ends of
/// the transport must be stopped before it is destroyed.
class ControlDuty {
public:
  /// \param Self the identity that the transport sends.
  ControlDuty(ControlSettings Settings, const PeerIdentity &Self,
              ControlHooks Hooks);
  ~ControlDuty();
  ControlDuty(const ControlDuty &) = delete;
  ControlDuty &operator=(const ControlDuty &) = delete;

  /// Registers the handlers of Exchange and Fetch; before the server starts.
  void registerWith(PeerServer &Server);

  void start();
  void stop();

  /// A version read from the source by this node.
  void offerBundle(IntentBundle Bundle);

  /// The platform's list of instances, read by this node.
  void offerInstances(InstanceList List);

  /// What the source told up to \p Revision was the newest at \p At; in order
  /// with the versions that were offered.
  void offerProof(TimeMs At, std::uint64_t Revision);

  /// When the version in force was last known to be the newest.
  TimeMs provenAt() const;

  /// The state of the target beside this node.
  void setOwnState(TargetState State);

  /// Tells the fleet that this instance leaves; before \ref stop.
  void leave();

  /// Whether this node should read the platform now.
  bool isReader() const { return Reader; }

  /// The newest version that was seen whole, refused ones included; revision 0
  /// for none. What the source should be asked beyond.
  Version newestSeenVersion() const;

  /// Whether decisions may rest on the present view: false from the moment a
  /// pause of the process can be noticed until the node has caught up.
  bool viewCurrent() const;

  /// A version that the slot's instance is known to have had in force, at
  /// least; nothing when none is known.
  std::optional<Version> slotVersion(std::string_view Domain,
                                     std::uint32_t Slot) const;

  /// Whether every declared slot of the version in force is known to have had
  /// \p Wanted or a newer one in force.
  bool hasReachedAllSlots(const Version &Wanted) const;

  ControlStatus status() const;

private:
  class State;
  std::unique_ptr<State> Own;
  std::atomic<bool> Reader{false};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLDUTY_H
