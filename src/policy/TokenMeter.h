/// \file
/// One organisation's share at its meter: a token bucket that can be lent.
///
/// A lease takes tokens, a part of the rate and a part of the cap out of the
/// bucket before the holder has them, and gives the rate and the cap back when
/// the lease is surely over by any clock. So at every moment the caps of the
/// bucket and of its leases sum to at most the share's burst, and their rates
/// to at most the share's rate. What is held anywhere is thereby at most the
/// burst, and what accrues at most the rate: the bound on every window.

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

/// A node that leases; a restarted process is another holder.
struct HolderId {
  std::string Node; ///< Instance name.
  std::uint64_t Incarnation = 0;

  auto operator<=>(const HolderId &) const = default;
};

/// The bucket and its ledger of leases. Starts empty.
class TokenMeter {
public:
  /// Most holders at once; others are refused.
  static constexpr std::size_t MaxHolders = 2048;

  /// \param Start nothing accrues before: the fence after a restart.
  TokenMeter(const TokenSettings &Settings, TimeMs Start);

  /// Changes the share, of which a clock step's accrual cannot be used. Tokens
  /// above the new cap are lost; leases that exceed a smaller share run out.
  void setShare(const TokenShare &Share, TimeMs Now);

  /// Takes tokens for a request that enters here; false when there are fewer.
  bool take(double Tokens, TimeMs Now);

  /// Takes as much as there is, up to \p Most.
  double takeUpTo(double Most, TimeMs Now);

  /// Tokens that can be taken now.
  double level(TimeMs Now);

  /// Tokens a second that accrue here, leases taken off.
  double rate() const;

  /// The part of the cap that is not lent.
  double cap() const;

  /// Answers an ask. \p LocalDemand is the demand of this node's own entry.
  TokenGrant grant(const HolderId &Holder, const TokenRequest &Ask,
                   double LocalDemand, TimeMs Now);

  /// Throws away the tokens, after a pause.
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
    TimeMs LastAsk;
    std::vector<Terms> Granted; ///< Of which one, unknown which, is in use.
    double Rate = 0;            ///< Largest of the granted.
    double Cap = 0;             ///< Largest of the granted.
  };

  void advance(TimeMs Now);
  void accrue(TimeMs Until);
  void dropLapsed(TimeMs Now);
  void recount(Holder &H);
  void lend(Holder &H, const TokenGrant &Given, TimeMs Now);
  void forgetIdle(TimeMs Now);
  double demandOfOthers(const Holder &Asker) const;
  TokenGrant terms(const Holder &H, const TokenRequest &Ask,
                   double TotalDemand) const;
  DurationMs readyIn(TimeMs Now) const;

  TokenSettings Settings;
  TokenShare Share;
  double Level = 0;
  TimeMs AccruedTo;
  double LentRate = 0;
  double LentCap = 0;
  TimeMs NextEnd = Never;
  std::map<HolderId, Holder> Holders;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENMETER_H
