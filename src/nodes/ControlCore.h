/// \file
/// The control duty without its thread.
///
/// \ref ControlDuty drives it on a duty; tests drive many of them with their
/// own clock over a network in memory. Replies to its requests must come back
/// on the thread that drives it.

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

  /// Does what is due; to be called every few tens of milliseconds.
  void tick();

  /// Answers a message of kind Exchange or Fetch; an empty body when it is
  /// malformed.
  std::string serve(PeerKind Kind, const PeerIdentity &From,
                    std::string_view Body);

  void offerBundle(IntentBundle Bundle);
  void offerInstances(const InstanceList &List);

  /// What the source told up to \p Revision was the newest at \p At.
  void onProof(TimeMs At, std::uint64_t Revision);

  /// When the version in force was last known to be the newest; the clock's
  /// origin when it never was.
  TimeMs provenAt() const { return ProvenAt; }

  void setOwnState(TargetState State);
  void leave();

  bool isReader() const { return Reader; }
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
  MemberSyncHooks memberHooks();
  std::optional<DurationMs> proofAge() const;
  void prove(TimeMs At, std::uint64_t Revision);
  void onApplied(const SnapshotPtr &InForce);
  void onDescribed(const std::string &Peer, const std::string &Address,
                   const ExchangeMessage &Theirs);
  void notePhase();
  void noteMembers();
  void vouchForVacancies();
  void noteHealth();
  void chooseReader();
  std::vector<std::string> readers() const;

  const ControlSettings Settings;
  const ControlHooks Hooks;
  const Clock Time;
  ControlCounts Counts;
  VersionSpread Spread;
  VersionSync Versions;
  MemberSync Members;
  bool Reader = false;
  std::uint64_t ReaderDigest = 0; ///< Of the members the choice rests on.
  bool ReaderMayRead = false;
  ControlPhase LastPhase = ControlPhase::Starting;
  TimeMs NextInstances;
  bool InstancesDue = false;
  std::map<std::string, MemberHealth, std::less<>> LastHealth; ///< By name.
  TimeMs JoinsAreNews;
  TimeMs RunsSince; ///< Of this process, without a pause.
  bool ReportedReplaced = false;
  TimeMs ProvenAt{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLCORE_H
