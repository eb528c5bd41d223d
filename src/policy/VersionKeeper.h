/// \file
/// Acceptance rules for configuration versions on one node.
///
/// The caller asks \ref VersionKeeper::evaluate before it fetches or applies a
/// version, reports the answers of peers, and calls \ref VersionKeeper::tick
/// regularly. The rules:
///
/// - No rollback: a version is accepted only if it is larger than the one in
///   force, ordered by number, by revision and then by digest. If a revision
///   has two contents, all nodes therefore settle on the same one.
/// - After a start, a version from the source is accepted only when enough
///   peers have reported their version in force, or a deadline has passed. A
///   newer version of a peer takes precedence.
/// - An invalid version is refused entirely and permanently.
/// - After a pause of the process the view is stale until enough peers have
///   answered again, or a deadline has passed.
///
/// Guarantees: a process never goes back to an older version. A restarted node
/// does not start below the newest version in force on any peer that it
/// reached. If every process of the fleet restarts within the start deadline,
/// the newest version is lost, since instances keep no data: the fleet then
/// accepts the version of the source, even a stale one, and moves forward from
/// there.

#ifndef FESCUEWOOD_POLICY_VERSIONKEEPER_H
#define FESCUEWOOD_POLICY_VERSIONKEEPER_H

#include "core/Clock.h"
#include "intent/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fescuewood {

struct VersionKeeperSettings {
  std::size_t StartAnswers = 3;   ///< Peers that must answer; 0 for none.
  DurationMs StartDeadline{5000}; ///< The source is then accepted anyway.
  /// Time after start during which a newer version announced by a peer is
  /// preferred over an older one of the source.
  DurationMs PeerFetchDeadline{30 * 1000};
  DurationMs PauseLimit{4000};      ///< A longer gap between ticks is a pause.
  std::size_t CatchUpAnswers = 2;   ///< Peers that must answer after a pause.
  DurationMs CatchUpDeadline{3000}; ///< The view is then used as it is.
};

/// Where a version comes from.
enum class VersionOrigin : std::uint8_t { Source, Peer };

/// Decision about a version.
enum class VersionVerdict : std::uint8_t {
  Accept,
  Wait, ///< Evaluate again later; peers have to answer first.
  Same,
  Older,
  Refused, ///< It was found invalid before.
};

/// Version state of one node. Not thread-safe.
class VersionKeeper {
public:
  VersionKeeper(VersionKeeperSettings Settings, TimeMs Now);

  /// Advances the time. Returns whether the process was paused since the last
  /// call.
  bool tick(TimeMs Now);

  /// Handles a peer's report of its version in force.
  /// \param PeerInForce std::nullopt if the peer has none.
  /// \param Starting whether the peer is still starting; if so, a missing
  /// version does not count as an answer.
  void onPeerAnswer(std::string_view Peer,
                    const std::optional<Version> &PeerInForce, bool Starting,
                    TimeMs Now);

  /// Decides about a version from a peer or from the source.
  VersionVerdict evaluate(const Version &Seen, VersionOrigin Origin,
                          TimeMs Now) const;

  /// Whether another content is known under the revision of \p Seen.
  bool hasConflict(const Version &Seen) const;

  /// Records that a version is in force. Requires that \ref evaluate returned
  /// VersionVerdict::Accept for it.
  void onApplied(const Version &Applied);

  /// Records that a version is invalid.
  void onRefused(const Version &Bad);

  /// Whether the node still waits for peers before its first version.
  bool isStarting(TimeMs Now) const;

  /// Whether the source may be read. True from halfway through the start, so
  /// that an answer is available when the start ends; it is not accepted
  /// earlier.
  bool canReadSource(TimeMs Now) const;

  /// Whether the view is stale because of a pause.
  bool isCatchingUp(TimeMs Now) const;

  const std::optional<Version> &inForce() const { return InForce; }

  /// The largest version that a peer has reported in force.
  const std::optional<Version> &newestPeerVersion() const {
    return NewestPeerVersion;
  }

  /// The largest version received completely, applied or refused. A refused
  /// version is not in force but must not be read again.
  const Version &newestSeenVersion() const { return NewestSeen; }

private:
  bool isRefused(const Version &Seen) const;
  bool hasNewerPeerVersion(const Version &Seen) const;

  VersionKeeperSettings Settings;
  TimeMs StartedAt;
  TimeMs LastTick;
  std::optional<TimeMs> ResumedAt;
  /// Peers that answered since the start or the last pause.
  std::set<std::string, std::less<>> AnsweredPeers;
  bool StartDone = false;
  std::optional<Version> InForce;
  std::optional<Version> NewestPeerVersion;
  Version NewestSeen;
  std::deque<Version> Refused; ///< Bounded; oldest dropped first.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_VERSIONKEEPER_H
