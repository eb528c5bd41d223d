/// \file
/// Rate limiter that bounds every organisation to its rate and burst over the
/// whole fleet.
///
/// An entry calls \ref OrganisationLimiter::charge for each request of an
/// organisation. The synchronous form decides immediately, with the tokens that
/// this node holds. The asynchronous form may let the request wait some
/// milliseconds for tokens from other nodes. The nodes share no state;
/// docs/DESIGN.md explains why the bound still holds.

#ifndef FESCUEWOOD_ORGANISATIONS_ORGANISATIONLIMITER_H
#define FESCUEWOOD_ORGANISATIONS_ORGANISATIONLIMITER_H

#include "core/Clock.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTransport.h"
#include "policy/Instance.h"
#include "policy/ObservedShare.h"
#include "policy/RateDecision.h"
#include "policy/ShareHistory.h"
#include "policy/TokenSettings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Identity of this process and its declared slot.
struct LimiterIdentity {
  std::string Name;              ///< Instance name.
  std::string Domain;            ///< Failure domain.
  std::uint32_t Slot = 0;        ///< From 0, below the domain's Nodes.
  std::uint64_t Incarnation = 0; ///< Unique to this process; not 0.
  RateBound Bound = {};          ///< Used when no node slots are declared.
};

/// Functions that the limiter calls. They must not block.
struct LimiterHooks {
  PeerSend Send;
  EventHook OnEvent;
  /// Returns whether every declared slot agrees with this run, as defined at
  /// \ref DivisionRun. Called on the limiter's duty. If empty, all slots are
  /// assumed to agree immediately, which is correct only if the whole fleet
  /// restarts for each new version.
  std::function<bool(const DivisionRun &)> AgreedEverywhere;
  Clock Now = Clock::monotonic();
};

/// One organisation as this node sees it.
struct OrganisationStatus {
  std::string Name;
  double RatePerSecond = 0; ///< Configured for the whole fleet.
  double Burst = 0;         ///< Configured for the whole fleet.
  double Demand = 0;        ///< Estimated requests per second at this node.
  double TokensHeld = 0;    ///< Tokens available at this node.
  double RateHeld = 0;      ///< Tokens per second that accrue at this node.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  bool NearRate = false; ///< A request was refused within the last minute.
};

/// A consistent snapshot of the limiter's state.
struct LimiterStatus {
  std::vector<OrganisationStatus> Organisations;
  bool Metering = false; ///< False if own shares are not usable yet, or
                         ///< during a slot conflict.
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0; ///< Message bodies only.
};

/// Thread-safe. Renews leases on its own duty. The transport that delivers
/// replies must be stopped before the limiter is destroyed.
class OrganisationLimiter {
public:
  OrganisationLimiter(LimiterIdentity Identity, TokenSettings Settings,
                      LimiterHooks Hooks);
  ~OrganisationLimiter();
  OrganisationLimiter(const OrganisationLimiter &) = delete;
  OrganisationLimiter &operator=(const OrganisationLimiter &) = delete;

  /// Starts the duty.
  void start();

  /// Stops the duty and refuses all queued requests.
  void stop();

  /// Charges one request with an immediate decision. With declared node slots,
  /// an organisation without a rate in the snapshot is refused.
  RateDecision charge(std::string_view Organisation);

  /// As above, but the request may wait for tokens from another node, up to
  /// TokenSettings::MaxWait, or \ref MaxLoanWait without declared node slots.
  /// The hook is called exactly once, immediately or later on another thread.
  /// Usable as a \ref DeferredRateHook.
  void charge(std::string_view Organisation,
              const RateDecisionHook &OnDecision);

  /// Takes back the token of an admitted request that has not run and never
  /// will, as far as that is safe. With declared node slots it is lost. Usable
  /// as a \ref TokenReturnHook.
  void giveBack(std::string_view Organisation, const RateDecision &Decision);

  /// Activates a configuration.
  void setSnapshot(const SnapshotPtr &Snapshot);

  /// Changes the bound that is used when no node slots are declared.
  void setBound(RateBound Bound);

  /// Replaces the list of instances, which includes this one.
  void setInstances(std::span<const Instance> Instances);

  /// Handles messages of PeerKind::Tokens; usable as a \ref PeerHandler.
  void handlePeer(const PeerIdentity &From, std::string_view Body,
                  const ReplyHook &Reply);

  /// The run active here; std::nullopt before the first snapshot.
  std::optional<DivisionRun> currentRun() const;

  /// The current status.
  LimiterStatus status() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_ORGANISATIONS_ORGANISATIONLIMITER_H
