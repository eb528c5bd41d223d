/// \file
/// Rate limiter that gives each observed node an equal share of every
/// organisation's rate.
///
/// For fleets that declare no node slots. Each node has one token bucket per
/// organisation. \ref RateBound limits the fleet's admissions in a sliding
/// window, with an allowance above rate and burst. Most of the allowance goes
/// into bucket depth, to absorb uneven arrivals; the rest is a reserve for
/// nodes whose views of the fleet differ. Shares are computed from the largest
/// node count observed recently, since nodes behind a partition keep admitting
/// requests.

#ifndef FESCUEWOOD_POLICY_OBSERVEDSHARE_H
#define FESCUEWOOD_POLICY_OBSERVEDSHARE_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/RateDecision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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

/// The shares of one node. Not thread-safe.
class ObservedShare {
public:
  explicit ObservedShare(RateBound Bound) : Bound(Bound) {}

  /// Changes the bound. Tokens above the new depth are dropped at the next
  /// refill.
  void setBound(RateBound NewBound) { Bound = NewBound; }

  /// Applies the rates of a configuration. Tokens of organisations that remain
  /// are kept, up to the new depth.
  void setRates(const Snapshot &Config, TimeMs Now);

  /// Sets the number of nodes that may admit requests, including this one.
  void setNodes(std::size_t Count, TimeMs Now);

  /// Whether an organisation has a rate, which the functions below require.
  bool hasRate(std::string_view Organisation) const {
    return Accounts.find(Organisation) != Accounts.end();
  }

  /// Removes a token for one request and returns true, or returns false if
  /// there is none.
  bool take(std::string_view Organisation, TimeMs Now);

  /// Counts a refused request and returns the delay until the next token.
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

  /// Statistics of the organisations with a rate, as of their last refill.
  std::map<std::string, ObservedShareStatistics, std::less<>>
  statistics() const;

private:
  struct Account {
    Rate FleetRate;
    double Tokens = InitialTokens;
    TimeMs RefilledAt{0};
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    std::optional<TimeMs> LastRefused;
  };

  /// Initial tokens of a bucket. Nearly empty, since a previous process may
  /// have spent this node's tokens.
  static constexpr double InitialTokens = 1;

  std::size_t effectiveNodeCount(TimeMs Now);
  double ratePerMs(const Account &A, TimeMs Now);
  double depth(const Account &A, TimeMs Now);
  Account &refilled(std::string_view Organisation, TimeMs Now);
  void refill(Account &A, TimeMs Now);

  RateBound Bound;
  std::map<std::string, Account, std::less<>> Accounts;
  /// Node counts with the time of observation, in decreasing order: a count
  /// replaces earlier ones that are not larger.
  std::deque<std::pair<TimeMs, std::size_t>> NodeCounts;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBSERVEDSHARE_H
