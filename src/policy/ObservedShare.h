/// \file
/// Rate limiter that divides every organisation's rate equally among observed
/// nodes, its meters.
///
/// For fleets that declare no node slots. Each meter of an organisation has one
/// token bucket for it. \ref RateBound limits the fleet's admissions in a
/// sliding window, with an allowance above rate and burst. Most of the
/// allowance goes into bucket depth, to absorb uneven arrivals; the rest is a
/// reserve for nodes whose views of the fleet differ.
///
/// All nodes are meters of an organisation if the allowance suffices for
/// \ref MinMeterDepth each. Otherwise as many as it suffices for, chosen by
/// rendezvous hashing from the nodes observed recently (\ref ObservedNodes). A
/// node that is no longer chosen drops its tokens; one that is chosen later
/// starts without tokens, after \ref MeterHandOver.

#ifndef FESCUEWOOD_POLICY_OBSERVEDSHARE_H
#define FESCUEWOOD_POLICY_OBSERVEDSHARE_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/Instance.h"
#include "policy/ObservedNodes.h"
#include "policy/RateDecision.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// The bound on an organisation: in any window at most
/// (rate x window + burst) x (1 + Overage) + Slack requests.
struct RateBound {
  DurationMs Window{5000};
  double Overage = 0;
  double Slack = 0; ///< Requests.
};

/// Statistics of one organisation at this node.
struct ObservedShareStatistics {
  Rate FleetRate; ///< Configured for the whole fleet.
  double Tokens = 0;
  double RateHeld = 0; ///< Tokens per second that accrue at this node.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::optional<TimeMs> LastRefused;
};

/// Minimum bucket depth of a meter, in tokens, unless it is the only one.
inline constexpr double MinMeterDepth = 4;

/// Time that a new meter waits until tokens accrue, so that its predecessor has
/// seen the change.
inline constexpr DurationMs MeterHandOver{2500};

/// The shares of one node. Not thread-safe.
class ObservedShare {
public:
  ObservedShare(std::string Self, RateBound Bound)
      : Self(std::move(Self)), Bound(Bound) {}

  /// Changes the bound. Tokens above the new depth are dropped at the next
  /// refill.
  void setBound(RateBound NewBound, TimeMs Now);

  /// Applies the rates of a configuration. Tokens of organisations that remain
  /// are kept, up to the new depth.
  void setRates(const Snapshot &Config, TimeMs Now);

  /// Replaces the list of instances, which includes this one.
  void setInstances(std::span<const Instance> Instances, TimeMs Now);

  /// Forgets nodes that left the list long ago. Returns whether meters may have
  /// changed.
  bool update(TimeMs Now);

  /// Names of an organisation's meters, which may include this node.
  const std::vector<std::string> &meters(std::string_view Organisation) const {
    return Accounts.find(Organisation)->second.Meters;
  }

  /// Whether this node is a meter of the organisation.
  bool isMeter(std::string_view Organisation) const {
    return Accounts.find(Organisation)->second.IsMeter;
  }

  /// Whether an organisation has a rate, which the functions below require.
  bool hasRate(std::string_view Organisation) const {
    return Accounts.find(Organisation) != Accounts.end();
  }

  /// Removes a token for one request and returns true, or returns false if
  /// there is none.
  bool take(std::string_view Organisation, TimeMs Now);

  /// Counts a request that was admitted with a token of another node.
  void countAdmitted(std::string_view Organisation);

  /// Counts a refused request and returns the delay until the next token here.
  RateDecision refuse(std::string_view Organisation, TimeMs Now);

  double tokens(std::string_view Organisation, TimeMs Now);

  /// Bucket capacity in tokens.
  double depth(std::string_view Organisation, TimeMs Now);

  /// Time until \p Wanted tokens are available if none is removed.
  DurationMs delayUntilTokens(std::string_view Organisation, double Wanted,
                              TimeMs Now);

  /// Removes tokens that are lent to another node.
  void remove(std::string_view Organisation, double Count, TimeMs Now);

  /// Adds tokens borrowed from another node, up to the bucket's depth.
  void add(std::string_view Organisation, double Count, TimeMs Now);

  /// Identifies the present bucket of this node; never 0. A bucket that was
  /// dropped and begun again is a different one.
  std::uint64_t bucket(std::string_view Organisation) const {
    return Accounts.find(Organisation)->second.Bucket;
  }

  /// Statistics of the organisations with a rate, as of their last refill.
  std::map<std::string, ObservedShareStatistics, std::less<>>
  statistics() const;

private:
  struct Account {
    Rate FleetRate;
    std::vector<std::string> Meters;
    bool IsMeter = true;
    std::uint64_t Bucket = 0;
    double Tokens = InitialTokens;
    TimeMs RefilledAt{0}; ///< Later than the present during a hand-over.
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    std::optional<TimeMs> LastRefused;
  };

  /// Initial tokens of a bucket. Nearly empty, since a previous process may
  /// have spent this node's tokens.
  static constexpr double InitialTokens = 1;

  void refillAll(TimeMs Now);
  void chooseAllMeters(TimeMs Now);
  void chooseMeters(std::string_view Organisation, Account &A, TimeMs Now);
  void setMeter(Account &A, bool IsMeter, TimeMs Now);
  double fleetDepth(const Account &A) const;
  std::size_t meterCount(const Account &A, std::size_t NodeCount) const;
  double ratePerMs(const Account &A, TimeMs Now);
  double depth(const Account &A, TimeMs Now);
  Account &refilled(std::string_view Organisation, TimeMs Now);
  void refill(Account &A, TimeMs Now);

  std::string Self;
  RateBound Bound;
  ObservedNodes Nodes;
  std::map<std::string, Account, std::less<>> Accounts;
  std::uint64_t LastBucket = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBSERVEDSHARE_H
