/// \file
/// Holds every organisation to its rate and burst over the whole fleet.
///
/// An entry asks \ref OrganisationLimiter::charge for each request of an
/// organisation; the answer comes at once from tokens that this node holds. A
/// caller of the other form lets a request wait for a few milliseconds while
/// tokens are fetched from the node that meters the organisation. No state is
/// shared: docs/DESIGN.md says why the bound holds all the same.

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

/// Which declared slot this process fills.
struct LimiterIdentity {
  std::string Name;              ///< Instance name.
  std::string Domain;            ///< Failure domain.
  std::uint32_t Slot = 0;        ///< From 0, below the domain's Nodes.
  std::uint64_t Incarnation = 0; ///< Unique to this process; not 0.
  RateBound Bound = {};          ///< Where no node slots are declared.
};

/// What the limiter calls on others. The hooks must not block.
struct LimiterHooks {
  PeerSend Send;
  EventHook OnEvent;
  /// Whether every declared slot is known to have had this division in force
  /// (see \ref DivisionRun), or is known to be vacant. Called on the duty.
  /// Where it is empty, all slots are taken to agree at once, which is only
  /// true of a fleet that restarts with each new version.
  std::function<bool(const DivisionRun &)> AgreedEverywhere;
  Clock Now = Clock::monotonic();
};

/// One organisation as this node sees it.
struct OrganisationStatus {
  std::string Name;
  double RatePerSecond = 0; ///< Of the whole fleet.
  double Burst = 0;         ///< Of the whole fleet.
  double Demand = 0;        ///< Requests a second that arrive here.
  double TokensHeld = 0;    ///< What can be admitted here at once.
  double RateHeld = 0;      ///< Tokens a second that accrue here.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  bool NearRate = false; ///< A request was refused within the last minute.
};

/// A consistent copy of the limiter's figures.
struct LimiterStatus {
  std::vector<OrganisationStatus> Organisations;
  bool Metering = false; ///< False before the fence ends or in a conflict.
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0; ///< Bodies only.
};

/// Thread-safe. One duty of its own renews leases. Whoever passes replies on,
/// the transport, must be stopped before the limiter is destroyed.
class OrganisationLimiter {
public:
  OrganisationLimiter(LimiterIdentity Identity, TokenSettings Settings,
                      LimiterHooks Hooks);
  ~OrganisationLimiter();
  OrganisationLimiter(const OrganisationLimiter &) = delete;
  OrganisationLimiter &operator=(const OrganisationLimiter &) = delete;

  /// Starts the duty.
  void start();

  /// Joins the duty; requests that wait are refused.
  void stop();

  /// Charges one request. Never waits. An organisation that the snapshot does
  /// not know is refused.
  RateDecision charge(std::string_view Organisation);

  /// As above, but lets the request wait up to the settings' longest wait when
  /// another node may have tokens. The hook is called exactly once, at once or
  /// later on another thread. Usable as a \ref DeferredRateHook.
  void charge(std::string_view Organisation,
              const RateDecisionHook &OnDecision);

  /// Puts a configuration in force.
  void setSnapshot(const SnapshotPtr &Snapshot);

  /// Takes another bound, where no node slots are declared.
  void setBound(RateBound Bound);

  /// Replaces what is known of the instances, the own one included.
  void setInstances(std::span<const Instance> Instances);

  /// Handles PeerKind::Tokens; is a \ref PeerHandler.
  void handlePeer(const PeerIdentity &From, std::string_view Body,
                  const ReplyHook &Reply);

  /// The division in force here; nothing before the first snapshot.
  std::optional<DivisionRun> mark() const;

  /// The figures as of now.
  LimiterStatus status() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_ORGANISATIONS_ORGANISATIONLIMITER_H
