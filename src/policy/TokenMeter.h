/// \file
/// Token bucket with one organisation's share at its meter, parts of which are
/// leased to other nodes.
///
/// A lease removes tokens and a part of the rate and capacity from the bucket
/// before the holder receives them. Rate and capacity return once the lease has
/// expired by any clock. So at all times the capacities of the bucket and its
/// leases sum to at most the share's burst, and their rates to at most the
/// share's rate. This bounds admissions in every window by burst + rate x
/// window.

#ifndef FESCUEWOOD_POLICY_TOKENMETER_H
#define FESCUEWOOD_POLICY_TOKENMETER_H

#include "core/Clock.h"
#include "policy/ShareTable.h"
#include "policy/TokenMessages.h"
#include "policy/TokenSettings.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuewood {

/// Identity of a lease holder; a restarted process is a different holder.
struct HolderId {
  std::string Node; ///< Instance name.
  std::uint64_t Incarnation = 0;

  auto operator<=>(const HolderId &) const = default;
};

/// The bucket and the record of its leases. Starts empty. Not thread-safe.
class TokenMeter {
public:
  /// Maximum concurrent holders; requests of others are refused.
  static constexpr std::size_t MaxHolders = 2048;

  /// \param Start time from which tokens accrue: the end of the fencing period
  /// after a restart.
  TokenMeter(const TokenSettings &Settings, TimeMs Start);

  /// Changes the share. Its usable burst is reduced by the tokens that accrue
  /// in one clock step. Tokens above the new capacity are lost; leases that
  /// exceed a smaller share remain until they expire.
  void setShare(const TokenShare &Share, TimeMs Now);

  /// Removes \p Tokens and returns true, or returns false if there are fewer.
  bool take(double Tokens, TimeMs Now);

  /// Removes up to \p Most tokens and returns how many.
  double takeUpTo(double Most, TimeMs Now);

  /// Tokens available now.
  double level(TimeMs Now);

  /// Tokens per second that accrue here, without the leased rate.
  double rate() const;

  /// Capacity that is not leased, in tokens.
  double cap() const;

  /// Answers a lease request. \p LocalDemand is the demand of requests that
  /// enter at this node, in tokens per second.
  TokenGrant grant(const HolderId &Holder, const TokenRequest &Request,
                   double LocalDemand, TimeMs Now);

  /// Discards all tokens, after a process pause.
  void discard(TimeMs Now);

  std::size_t holders() const { return Holders.size(); }

private:
  struct Terms {
    std::uint64_t Sequence = 0;
    double Rate = 0;
    double Cap = 0;
    TimeMs End;
  };
  struct Holder {
    std::uint64_t LastSequence = 0;
    double Demand = 0;
    TimeMs LastRequestAt;
    std::vector<Terms> Granted; ///< The holder uses one; not known which.
    double Rate = 0;            ///< Maximum of the granted rates.
    double Cap = 0;             ///< Maximum of the granted capacities.
  };

  void advance(TimeMs Now);
  void accrue(TimeMs Until);
  void dropExpired(TimeMs Now);
  void updateTotals(Holder &H);
  void recordLease(Holder &H, const TokenGrant &Grant, TimeMs Now);
  void removeIdleHolders(TimeMs Now);
  double demandOfOthers(const Holder &Requester) const;
  TokenGrant computeTerms(const Holder &H, const TokenRequest &Request,
                          double TotalDemand) const;
  DurationMs nextTokenDelay(TimeMs Now) const;

  TokenSettings Settings;
  TokenShare Share;
  double Level = 0;
  TimeMs AccruedTo;
  double LeasedRate = 0;
  double LeasedCap = 0;
  TimeMs NextEnd = Never;
  std::map<HolderId, Holder> Holders;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENMETER_H
