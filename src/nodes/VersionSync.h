/// \file
/// Brings newer configuration versions into force on this node, from its peers
/// and from the source.
///
/// \ref VersionSync::onPeerAnswer takes what a peer has in force and fetches
/// it when it is newer; \ref VersionSync::offer takes what the source holds.
/// One fetch runs at a time; when it fails, another peer that holds the version
/// is asked. A version is compiled whole before anything changes.

#ifndef FESCUEWOOD_NODES_VERSIONSYNC_H
#define FESCUEWOOD_NODES_VERSIONSYNC_H

#include "core/Clock.h"
#include "nodes/BundleStore.h"
#include "nodes/ControlHooks.h"
#include "nodes/ControlSettings.h"
#include "nodes/ControlStatus.h"
#include "nodes/PeerTransport.h"
#include "policy/VersionKeeper.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// The versions of one node. Not thread-safe; replies to its fetches must come
/// back on the thread that drives it.
class VersionSync {
public:
  /// A version came into force here.
  using AppliedHook = std::function<void(const SnapshotPtr &)>;

  VersionSync(const ControlSettings &Settings, const ControlHooks &Hooks,
              Clock Time, ControlCounts &Counts, AppliedHook OnApplied);

  /// Notes time; returns true when the process was paused.
  bool tick();

  /// A peer has said what it has in force; nothing when it has none.
  /// \param Address where it can be asked for the files; may be empty.
  void onPeerAnswer(std::string_view Peer, const std::string &Address,
                    const std::optional<Version> &InForce, bool Starting);

  /// A version that this node read from the source.
  void offer(IntentBundle Bundle);

  /// The source has answered this node.
  void onSourceAnswer() { LastSourceAnswerAt = Time.now(); }

  /// Answers another node's fetch; an empty body when it is malformed.
  std::string serve(std::string_view Body);

  const VersionKeeper &keeper() const { return Keeper; }
  ControlPhase phase() const;
  const std::optional<RefusedVersion> &lastRefused() const {
    return LastRefused;
  }

private:
  /// A peer that has a version in force which is wanted here.
  struct Holder {
    std::string Peer;
    std::string Address;
    Version Id;
  };

  struct PendingFetch {
    Holder From;
    std::uint64_t Number = 0;
    TimeMs Deadline;
  };

  bool adoptRevision(const Version &Seen);
  void fetchNext();
  void onFetched(std::uint64_t Number, const PeerReply &Reply);
  std::optional<IntentBundle> openReply(const PeerReply &Reply);
  void onFetchFailure(ResultCode Reason);
  void evaluateOffer();
  void apply(const Version &Id, IntentBundle Bundle, std::string_view From);
  void refuse(const Version &Id, const std::string &Why, std::string_view From);
  void reportConflict(const Version &Seen);
  void report(const Event &Occurred) const;

  const ControlSettings &Settings;
  const ControlHooks &Hooks;
  Clock Time;
  ControlCounts &Counts;
  AppliedHook OnApplied;
  VersionKeeper Keeper;
  BundleStore Bundles;
  std::deque<Holder> Holders;   ///< The newest last; bounded.
  TimeMs BehindSince{0};        ///< Of the first in Holders.
  TimeMs LastSourceAnswerAt{0}; ///< The source's last answer to this node.
  std::optional<PendingFetch> Fetch;
  std::uint64_t FetchNumber = 0;
  std::optional<IntentBundle> Offered; ///< Of the source, until decided.
  Version OfferedId;
  std::optional<Version> ReportedConflict;
  std::optional<RefusedVersion> LastRefused;
};

/// "revision-digest", as logs and status show a version.
std::string versionText(const Version &Id);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_VERSIONSYNC_H
