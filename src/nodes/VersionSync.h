/// \file
/// Configuration synchronisation: brings newer versions from peers and from the
/// source into force on this node.
///
/// \ref VersionSync::onPeerAnswer handles a peer's version in force and fetches
/// it if it is newer; \ref VersionSync::offer handles a version from the
/// source. One fetch runs at a time; if it fails, another peer with the version
/// is asked. A version is compiled completely before any state changes.

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

/// Configuration of one node. Not thread-safe; reply hooks of its fetches must
/// be called on the thread that calls \ref VersionSync::tick.
class VersionSync {
public:
  /// Called when a version comes into force.
  using AppliedHook = std::function<void(const SnapshotPtr &)>;

  VersionSync(const ControlSettings &Settings, const ControlHooks &Hooks,
              Clock Time, ControlCounts &Counts, AppliedHook OnApplied);

  /// Performs the work that is due; returns whether the process was paused
  /// since the last call.
  bool tick();

  /// Handles a peer's report of its version in force.
  /// \param Address where the files can be fetched; may be empty.
  /// \param InForce std::nullopt if the peer has none.
  /// \param Starting whether the peer is still starting.
  void onPeerAnswer(std::string_view Peer, const std::string &Address,
                    const std::optional<Version> &InForce, bool Starting);

  /// Handles a version that this node read from the source.
  void offer(IntentBundle Bundle);

  /// Records that the source answered this node.
  void onSourceAnswer() { LastSourceAnswerAt = Time.now(); }

  /// Returns the reply body for a fetch of another node; empty when the request
  /// is malformed.
  std::string serve(std::string_view Body);

  const VersionKeeper &keeper() const { return Keeper; }
  ControlPhase phase() const;
  const std::optional<RefusedVersion> &lastRefused() const {
    return LastRefused;
  }

private:
  /// Peer with a version in force that this node needs.
  struct Holder {
    std::string Peer;
    std::string Address;
    Version Id;
  };

  /// The fetch that awaits its reply.
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
  std::deque<Holder> Holders;   ///< Last reported last; bounded.
  TimeMs BehindSince{0};        ///< When Holders became non-empty.
  TimeMs LastSourceAnswerAt{0}; ///< Last answer of the source to this node.
  std::optional<PendingFetch> Fetch;
  std::uint64_t FetchNumber = 0;
  std::optional<IntentBundle> Offered; ///< From the source, until decided.
  Version OfferedId;
  std::optional<Version> ReportedConflict;
  std::optional<RefusedVersion> LastRefused;
};

/// Version as "revision-digest", for logs and status.
std::string versionText(const Version &Id);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_VERSIONSYNC_H
