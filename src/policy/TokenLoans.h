/// \file
/// Lets nodes lend each other tokens of their shares.
///
/// A share for each node (\ref ObservedShare) refuses callers of an
/// organisation whose requests enter at a few nodes only. A node that runs dry
/// therefore asks others for tokens, those of its own failure domain first,
/// while the request waits for a moment. A loan takes tokens out of the
/// lender's bucket before the borrower has them, and a bucket is never filled
/// above its depth, so that the tokens of all buckets never exceed what the
/// shares allow. A message that is lost loses tokens.
///
/// Load that this answers: organisations whose callers sit at few nodes. An
/// organisation far above its rate finds every bucket dry; vain asks are spaced
/// out by what the lender says of its next spare token.

#ifndef FESCUEWOOD_POLICY_TOKENLOANS_H
#define FESCUEWOOD_POLICY_TOKENLOANS_H

#include "core/Clock.h"
#include "policy/DemandEstimate.h"
#include "policy/ObservedShare.h"
#include "policy/RateDecision.h"
#include "policy/TokenMessages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// A node that may be asked for tokens.
struct Lender {
  std::string Address; ///< "IP:port" where it hears other nodes.
  bool Near = false;   ///< In the own failure domain.

  bool operator==(const Lender &) const = default;
};

/// An ask for one lender.
struct LoanAsk {
  std::string Address;
  TokenRequest Ask;
};

/// The decision on a request that waited.
struct LoanDecision {
  std::uint64_t Ticket = 0;
  RateDecision Decision;
};

/// Longest time that a request waits for a loan.
inline constexpr DurationMs LoanPatience{80};

/// The loans of one node. Not thread-safe.
class TokenLoans {
public:
  explicit TokenLoans(RateBound Bound) : Share(Bound) {}

  void setBound(RateBound Bound) { Share.setBound(Bound); }
  void setRates(const Snapshot &Config, TimeMs Now);
  void setNodes(std::size_t Count, TimeMs Now) { Share.setNodes(Count, Now); }
  void setLenders(std::vector<Lender> Others);

  /// Charges one request. Nothing is returned when it waits: its decision comes
  /// from \ref takeDecided under its ticket. Without a ticket it never waits.
  std::optional<RateDecision> charge(std::string_view Organisation, TimeMs Now,
                                     std::optional<std::uint64_t> Ticket);

  /// The asks to send now.
  std::vector<LoanAsk> takeAsks();

  /// Answers another node's asks.
  std::vector<TokenGrant> answer(std::span<const TokenRequest> Asks,
                                 TimeMs Now);

  /// A lender's answer came, or none did.
  void accept(const LoanAsk &Asked, const TokenGrant &Grant, TimeMs Now);
  void lose(const LoanAsk &Asked, TimeMs Now);

  /// Refuses what has waited too long.
  void tick(TimeMs Now);

  std::vector<LoanDecision> takeDecided();

  const ObservedShare &share() const { return Share; }

private:
  struct Waiter {
    std::uint64_t Ticket = 0;
    TimeMs Until;
  };

  /// What this node does about an organisation.
  struct Account {
    DemandEstimate Demand;
    std::deque<Waiter> Waiters;
    bool Asking = false;                                ///< One ask at a time.
    std::map<std::string, TimeMs, std::less<>> NextAsk; ///< By lender.
  };

  Account &account(std::string_view Organisation);
  bool ask(std::string_view Organisation, Account &A, TimeMs Now);
  const Lender *lenderFor(const Account &A, TimeMs Now) const;
  void serve(std::string_view Organisation, Account &A, TimeMs Now);
  void goOn(const std::string &Organisation, TimeMs Now);
  void pause(Account &A, const std::string &Address, DurationMs Span,
             TimeMs Now);

  ObservedShare Share;
  std::vector<Lender> Lenders; ///< Near ones first.
  std::map<std::string, Account, std::less<>> Accounts;
  std::vector<LoanAsk> Asks;
  std::vector<LoanDecision> Decided;
  std::uint64_t LastSequence = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENLOANS_H
