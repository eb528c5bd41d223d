/// \file
/// Decides which configuration version a node may accept, and when.
///
/// A node asks \ref VersionKeeper::consider before it fetches or applies a
/// version, reports what its peers answer, and ticks it. The rules:
///
/// - Never back: a version is accepted only when it is larger than the one in
///   force, by revision and then by digest, so that of two contents under one
///   revision every node keeps the same.
/// - After its start the node accepts from the source only when enough peers
///   have said what they have in force, or a deadline has passed; a newer
///   version of a peer goes first.
/// - A version that was found bad is refused whole, and for good.
/// - After a pause of the process the view is old until enough peers have
///   answered again, or a deadline has passed.
///
/// What this promises: a process never goes back. A restarted node does not
/// start below the newest version that one of the peers it reached has in
/// force. When every process of the fleet restarts within the start deadline,
/// nothing remembers the newest version, as instances keep no data: the fleet
/// then takes what the source has, even if it is stale, and goes forward from
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
  std::size_t StartAnswers = 3;   ///< Peers that must have answered; 0: none.
  DurationMs StartDeadline{5000}; ///< Then the source is accepted anyway.
  /// How long after the start a newer version that a peer has announced is
  /// waited for before the source's older one is taken instead.
  DurationMs PeerFetchDeadline{30 * 1000};
  DurationMs PauseLimit{4000};      ///< A longer gap between ticks is a pause.
  std::size_t CatchUpAnswers = 2;   ///< Peers that must answer after a pause.
  DurationMs CatchUpDeadline{3000}; ///< Then the node goes on with its view.
};

/// Where a version was seen.
enum class VersionOrigin : std::uint8_t { Source, Peer };

/// What to do about a version.
enum class VersionVerdict : std::uint8_t {
  Accept,
  Wait, ///< Ask again later; peers have to answer first.
  Same,
  Older,
  Refused, ///< It was found bad before.
};

/// The rules for one node. Not thread-safe.
class VersionKeeper {
public:
  VersionKeeper(VersionKeeperSettings Settings, TimeMs Now);

  /// Notes time. Returns true when the process was paused since the last call.
  bool tick(TimeMs Now);

  /// A peer has said what it has in force; nothing when it has none.
  /// \param Starting it has only just started itself, so that its having none
  /// means nothing.
  void onPeerAnswer(std::string_view Peer,
                    const std::optional<Version> &InForce, bool Starting,
                    TimeMs Now);

  /// What to do about a version that was seen.
  VersionVerdict consider(const Version &Seen, VersionOrigin Origin,
                          TimeMs Now) const;

  /// Two contents are known under the revision of \p Seen.
  bool conflicts(const Version &Seen) const;

  /// The version is in force. Only after \ref consider said Accept.
  void onApplied(const Version &Applied);

  /// The version is bad.
  void onRefused(const Version &Bad);

  /// Whether peers are asked before the first version is accepted.
  bool starting(TimeMs Now) const;

  /// Whether the source may be read: late in the start, so that its answer is
  /// at hand when the start ends. Nothing is taken from it before.
  bool mayRead(TimeMs Now) const;

  /// Whether the view is old because of a pause.
  bool catchingUp(TimeMs Now) const;

  const std::optional<Version> &inForce() const { return InForce; }

  /// The largest version that a peer has in force, as far as it has said.
  const std::optional<Version> &newestAtPeers() const { return NewestAtPeers; }

  /// The largest version that was seen whole, whether applied or refused: a
  /// refused one is not in force, yet must not be read again.
  const Version &newestSeenVersion() const { return Held; }

private:
  bool refusedBefore(const Version &Seen) const;
  bool peerHasNewer(const Version &Seen) const;

  VersionKeeperSettings Settings;
  TimeMs StartedAt;
  TimeMs LastTick;
  std::optional<TimeMs> WokeAt;
  std::set<std::string, std::less<>> Answered; ///< Since start or wake-up.
  bool StartDone = false;
  std::optional<Version> InForce;
  std::optional<Version> NewestAtPeers;
  Version Held;
  std::deque<Version> Refused; ///< The newest few.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_VERSIONKEEPER_H
