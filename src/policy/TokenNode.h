/// \file
/// The rate limiter core of one node, for all organisations, without I/O.
///
/// The caller charges requests, passes in lease requests and grants as they
/// arrive, and calls \ref TokenNode::tick periodically. After each call it
/// sends the messages from \ref TokenNode::takeRequests and completes the
/// requests from \ref TokenNode::takeDecided. \ref OrganisationLimiter and the
/// simulation model run the same code. Not thread-safe.

#ifndef FESCUEWOOD_POLICY_TOKENNODE_H
#define FESCUEWOOD_POLICY_TOKENNODE_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/DemandEstimate.h"
#include "policy/RateDecision.h"
#include "policy/ShareHistory.h"
#include "policy/ShareTable.h"
#include "policy/TokenHolder.h"
#include "policy/TokenMessages.h"
#include "policy/TokenMeter.h"
#include "policy/TokenSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Token bucket that limits bytes per second.
class ByteLimiter {
public:
  ByteLimiter(double PerSecond, double Burst, TimeMs Now)
      : PerSecond(PerSecond), Burst(Burst), Level(Burst), RefilledAt(Now) {}

  /// Whether \ref take would succeed.
  bool has(double Bytes, TimeMs Now);

  /// Changes the refill rate, also for the time since the last refill.
  void setRate(double NewPerSecond) { PerSecond = NewPerSecond; }

  /// Removes \p Bytes and returns true, or returns false if there are fewer.
  bool take(double Bytes, TimeMs Now);

private:
  double PerSecond;
  double Burst;
  double Level;
  TimeMs RefilledAt;
};

/// Rates and shares derived from a configuration snapshot.
struct TokenPlan {
  Version Id;
  ShareTable Table;
  std::uint32_t DeclaredSlots = 0; ///< Sum over all failure domains.
  std::map<std::string, Rate, std::less<>> Rates; ///< By organisation.

  TokenPlan() = default;
  TokenPlan(const Snapshot &Source, const TokenSettings &Settings);
};

/// A message with lease requests for one meter.
struct TokenRequestMessage {
  SlotId Meter;
  std::vector<TokenRequest> TokenRequests;
};

/// The decision on a queued request.
struct ChargeDecision {
  std::uint64_t Ticket = 0;
  RateDecision Decision;
};

/// Statistics of one organisation at this node.
struct TokenStatistics {
  Rate FleetRate;      ///< Configured for the whole fleet.
  double Demand = 0;   ///< Estimated requests per second at this node.
  double Level = 0;    ///< Tokens available now, own and leased.
  double RateHeld = 0; ///< Tokens per second, own and leased.
  double CapHeld = 0;  ///< Bucket capacity, own and leased.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::optional<TimeMs> LastRefused;
};

/// Decides on requests of all organisations at one node: from the node's own
/// shares (\ref TokenMeter) and from leases of other nodes' (\ref TokenHolder).
class TokenNode {
public:
  TokenNode(SlotId Self, const TokenSettings &Settings, TimeMs Now);

  /// Activates the shares of a version, subject to \ref ShareHistory. A version
  /// that is not newer than the active one is ignored.
  void apply(const TokenPlan &Plan, TimeMs Now);

  /// The run active here, as announced to other nodes; std::nullopt before the
  /// first \ref apply.
  std::optional<DivisionRun> currentRun() const { return History.currentRun(); }

  /// The versions that may still restrict the shares of this node.
  const ShareHistory &history() const { return History; }

  /// Records that all declared slots agree with the run that
  /// \ref currentRun returns.
  void onAgreement(TimeMs Now);

  /// Enables or disables this node's own shares; they are disabled while two
  /// instances claim the slot. A change starts the fencing period again, during
  /// which nothing accrues.
  void setMetering(bool On, TimeMs Now);

  /// Whether own shares are enabled and a version has been agreed on.
  bool isMetering() const { return Metering && History.hasAgreedVersion(); }

  /// Charges one request. Returns std::nullopt if the request is queued under
  /// \p Ticket; without a ticket the decision is always immediate.
  std::optional<RateDecision> charge(std::string_view Organisation, TimeMs Now,
                                     std::optional<std::uint64_t> Ticket);

  /// Answers the lease requests of one message. Returns no grants when the
  /// byte limit for grants is exhausted.
  std::vector<TokenGrant> answer(const HolderId &From,
                                 std::span<const TokenRequest> TokenRequests,
                                 TimeMs Now);

  /// Processes a grant from a meter.
  void onGrant(const SlotId &Meter, const TokenGrant &Grant, TimeMs Now);

  /// Processes the failure of a lease request: there was no reply.
  void onRequestFailed(const SlotId &Meter, const TokenRequest &Request,
                       TimeMs Now);

  /// Renews leases and refuses queued requests whose deadline has passed. Call
  /// every \ref TickPeriod.
  void tick(TimeMs Now);

  static constexpr DurationMs TickPeriod{50};

  /// Removes and returns the messages to send. A message must be sent at most
  /// once.
  std::vector<TokenRequestMessage> takeRequests();

  /// Removes and returns the queued requests decided since the last call.
  std::vector<ChargeDecision> takeDecided();

  /// Returns whether tokens were discarded because of a process pause since the
  /// last call.
  bool takePauseDetected();

  /// Statistics by organisation.
  std::map<std::string, TokenStatistics, std::less<>> statistics(TimeMs Now);

  /// Bytes charged for each message, transport overhead included, and for each
  /// lease request or grant in it.
  static constexpr double MessageBytes = 150;
  static constexpr double ItemBytes = 40;

private:
  struct Waiter {
    std::uint64_t Ticket = 0;
    TimeMs Deadline;
  };
  struct Account {
    Account(const TokenSettings &Settings, TimeMs MeterStart);

    Rate FleetRate;
    DemandEstimate Demand;
    TokenMeter Meter;
    TokenHolder Holder;
    std::deque<Waiter> Waiters;
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    std::optional<TimeMs> LastRefused;
  };

  std::vector<SlotId> selectMeters(const ShareTable &Table,
                                   std::string_view Name) const;
  void detectPause(TimeMs Now);
  void startAfterFence(TimeMs Now);
  void refreshShares(TimeMs Now);
  bool takeToken(Account &A, TimeMs Now);
  double supplyRate(const Account &A, TimeMs Now) const;
  bool canServeInTime(Account &A, TimeMs Now);
  RateDecision refuse(Account &A, TimeMs Now);
  DurationMs retryAfter(Account &A, TimeMs Now);
  static TokenDemand demandOf(Account &A, TimeMs Now);
  void requestLeases(std::string_view Name, Account &A, TimeMs Now);
  void queueRequest(AddressedRequest Next, TimeMs Now);
  void decideWaiters(Account &A, TimeMs Now);

  SlotId Self;
  TokenSettings Settings;
  ShareHistory History;
  bool Metering = true;
  bool Started = false; ///< The fencing period after a start is over.
  TimeMs MeterStart;
  TimeMs LastCallTime;
  bool PauseDetected = false;
  ByteLimiter RequestBytes;
  ByteLimiter GrantBytes;
  std::map<std::string, Account, std::less<>> Accounts;
  std::vector<TokenRequestMessage> Messages;
  std::vector<ChargeDecision> Decided;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENNODE_H
