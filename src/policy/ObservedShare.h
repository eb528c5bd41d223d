/// \file
/// Holds organisations to their rates by an equal share for each node that is
/// observed.
///
/// For fleets that declare no node slots. Each node has a token bucket with a
/// share of every organisation's rate. The users' rule bounds what passes in a
/// sliding window, with an allowance above rate and burst; most of it goes into
/// the depth of the buckets, for what arrives unevenly at the nodes, and a
/// reserve is kept for nodes that see different numbers of nodes. A share is
/// that of the largest number of nodes seen lately: nodes that are cut off go
/// on serving their callers.

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

/// One organisation here, for figures.
struct ObservedShareFigures {
  Rate Whole;
  double Tokens = 0;
  double RateHeld = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::optional<TimeMs> LastRefused;
};

/// The shares of one node. Not thread-safe.
class ObservedShare {
public:
  explicit ObservedShare(RateBound Bound) : Bound(Bound) {}

  /// Takes another bound; tokens above the new depth are lost when next used.
  void setBound(RateBound NewBound) { Bound = NewBound; }

  /// Takes the rates of a configuration; tokens are kept.
  void setRates(const Snapshot &Config, TimeMs Now);

  /// Nodes that may admit requests now, this one included.
  void setNodes(std::size_t Count, TimeMs Now);

  /// Whether an organisation has a rate; the functions below are for those.
  bool holds(std::string_view Organisation) const {
    return Accounts.find(Organisation) != Accounts.end();
  }

  /// Takes a token for one request; false when there is none.
  bool take(std::string_view Organisation, TimeMs Now);

  /// Counts a request that is refused, and says when there is a token again.
  RateDecision refuse(std::string_view Organisation, TimeMs Now);

  double tokens(std::string_view Organisation, TimeMs Now);

  /// Most tokens that are held.
  double depth(std::string_view Organisation, TimeMs Now);

  /// Time until there are so many tokens, if none is taken.
  DurationMs untilTokens(std::string_view Organisation, double Wanted,
                         TimeMs Now);

  /// Takes tokens away for another node, or adds those of another node.
  void give(std::string_view Organisation, double Count, TimeMs Now);
  void add(std::string_view Organisation, double Count, TimeMs Now);

  /// The organisations with a rate.
  std::map<std::string, ObservedShareFigures, std::less<>> statistics() const;

private:
  struct Account {
    Rate Whole;
    double Tokens = FirstTokens;
    TimeMs FilledAt{0};
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    std::optional<TimeMs> LastRefused;
  };

  /// A process starts nearly empty: its predecessor may have used its tokens.
  static constexpr double FirstTokens = 1;

  std::size_t nodes(TimeMs Now);
  double ratePerMs(const Account &A, TimeMs Now);
  double depth(const Account &A, TimeMs Now);
  Account &filled(std::string_view Organisation, TimeMs Now);
  void fill(Account &A, TimeMs Now);

  RateBound Bound;
  std::map<std::string, Account, std::less<>> Accounts;
  /// Counts with their times; a larger one removes the smaller ones before it.
  std::deque<std::pair<TimeMs, std::size_t>> Counts;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBSERVEDSHARE_H
