/// \file
/// Logic of the control duty, without a thread.
///
/// \ref ControlDuty runs it on a thread; tests run many of them with a virtual
/// clock over an in-memory network. Reply hooks of its requests must be called
/// on the thread that calls \ref ControlCore::tick.

#ifndef FESCUEWOOD_NODES_CONTROLCORE_H
#define FESCUEWOOD_NODES_CONTROLCORE_H

#include "core/Clock.h"
#include "nodes/ControlHooks.h"
#include "nodes/ControlSettings.h"
#include "nodes/ControlStatus.h"
#include "nodes/MemberSync.h"
#include "nodes/VersionSync.h"
#include "policy/RandomHook.h"
#include "policy/VersionSpread.h"
#include "sources/PlatformSource.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Configuration and membership of one node. Not thread-safe.
class ControlCore {
public:
  ControlCore(ControlSettings Settings, std::uint64_t Incarnation,
              ControlHooks Hooks, Clock Time, RandomHook Random);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Performs the work that is due; call every few tens of milliseconds.
  void tick();

  /// Returns the reply body for a message of kind Exchange or Fetch; empty when
  /// the message is malformed.
  std::string serve(PeerKind Kind, const PeerIdentity &From,
                    std::string_view Body);

  /// Handles a version that this node read from the source.
  void offerBundle(IntentBundle Bundle);

  /// Merges an instance list that this node read from the platform.
  void offerInstances(const InstanceList &List);

  /// Handles a proof of freshness from the source: \p Revision was its newest
  /// at time \p At, with the number \p Number if it has numbers.
  void onProof(TimeMs At, std::uint64_t Revision, std::uint64_t Number = 0);

  /// Time at which the version in force was last known to be the newest; 0 if
  /// never.
  TimeMs provenAt() const { return ProvenAt; }

  /// Sets the state of the target beside this node.
  void setOwnState(TargetState State);

  /// Announces that this instance leaves.
  void leave();

  /// Whether this node should read the platform now.
  bool isReader() const { return Reader; }

  /// Addresses of the other nodes of this failure domain that should.
  const std::vector<std::string> &relays() const { return Relays; }
  const Version &newestSeenVersion() const {
    return Versions.keeper().newestSeenVersion();
  }
  const std::optional<Version> &inForce() const {
    return Versions.keeper().inForce();
  }
  ControlPhase phase() const { return Versions.phase(); }
  const VersionSpread &spread() const { return Spread; }
  ControlStatus status() const;

private:
  MemberSyncHooks memberSyncHooks();
  std::optional<DurationMs> proofAge() const;
  void prove(TimeMs At, std::uint64_t Revision, std::uint64_t Number);
  void onApplied(const SnapshotPtr &InForce);
  void onPeerState(const std::string &Peer, const std::string &Address,
                   const ExchangeMessage &PeerMessage);
  void dropProofOfCopy(const Version &OfPeer);
  void updatePhase();
  void publishMembers();
  void publishOwnListing();
  void markVacantSlots();
  void reportHealthChanges();
  void updateReaderRole();
  std::vector<std::string> readers() const;

  const ControlSettings Settings;
  const ControlHooks Hooks;
  const Clock Time;
  ControlCounts Counts;
  VersionSpread Spread;
  VersionSync Versions;
  MemberSync Members;
  bool Reader = false;
  std::vector<std::string> Relays;
  std::uint64_t ReaderDigest = 0; ///< Of the members last evaluated.
  bool ReaderCouldRead = false;
  ControlPhase LastPhase = ControlPhase::Starting;
  TimeMs NextInstancesAt;
  bool InstancesPending = false;
  MemberListing LastOwnListing;
  std::map<std::string, MemberHealth, std::less<>> LastHealth; ///< By name.
  TimeMs JoinEventsFrom; ///< Members found earlier cause no events.
  TimeMs RunningSince;   ///< Process start, or end of the last pause.
  bool ReportedReplaced = false;
  TimeMs ProvenAt{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLCORE_H
