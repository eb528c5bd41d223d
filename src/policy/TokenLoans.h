/// \file
/// Token loans between nodes, for fleets without declared node slots.
///
/// With equal shares (\ref ObservedShare) alone, an organisation whose requests
/// enter at only a few nodes would be refused below its rate. A node without
/// tokens therefore borrows from other nodes, those of its own failure domain
/// first, while the request waits for up to \ref MaxLoanWait. The lender
/// removes tokens from its bucket before the borrower adds them, and no bucket
/// is filled above its depth, so all buckets together never exceed what the
/// shares allow. Tokens in a lost message are lost.
///
/// If an organisation is far above its rate, all buckets are empty; requests to
/// a lender are then delayed by its forecast of the next spare token.

#ifndef FESCUEWOOD_POLICY_TOKENLOANS_H
#define FESCUEWOOD_POLICY_TOKENLOANS_H

#include "core/Clock.h"
#include "policy/DemandEstimate.h"
#include "policy/Instance.h"
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

/// A node that can lend tokens.
struct Lender {
  std::string Address; ///< "IP:port" for messages between nodes.
  bool Near = false;   ///< In the borrower's failure domain.

  bool operator==(const Lender &) const = default;
};

/// A loan request and the lender to send it to.
struct LoanRequest {
  std::string Address;
  TokenRequest Request;
};

/// The decision on a queued request.
struct LoanDecision {
  std::uint64_t Ticket = 0;
  RateDecision Decision;
};

/// Maximum time that a request waits for a loan.
inline constexpr DurationMs MaxLoanWait{80};

/// Time after which a loan request without an answer has failed.
inline constexpr DurationMs LoanRequestTimeout{300};

/// The borrower and lender of one node. Not thread-safe.
class TokenLoans {
public:
  /// \param Self the node's instance name.
  /// \param Domain its failure domain.
  TokenLoans(std::string Self, std::string Domain, RateBound Bound)
      : Self(std::move(Self)), Domain(std::move(Domain)), Share(Bound) {}

  void setBound(RateBound Bound) { Share.setBound(Bound); }
  void setRates(const Snapshot &Config, TimeMs Now);

  /// Replaces the list of instances, which includes this one.
  void setInstances(std::span<const Instance> Instances, TimeMs Now);

  /// Charges one request. Returns std::nullopt if it is queued; its decision
  /// then comes from \ref takeDecided with \p Ticket. Without a ticket the
  /// decision is always immediate.
  std::optional<RateDecision> charge(std::string_view Organisation, TimeMs Now,
                                     std::optional<std::uint64_t> Ticket);

  /// Removes and returns the requests to send.
  std::vector<LoanRequest> takeRequests();

  /// Answers requests of another node. Deducts granted tokens immediately.
  std::vector<TokenGrant> answer(std::span<const TokenRequest> TokenRequests,
                                 TimeMs Now);

  /// Processes a lender's answer.
  void onGrant(const LoanRequest &Loan, const TokenGrant &Grant, TimeMs Now);

  /// Processes the failure of a request: there was no valid answer.
  void onRequestFailed(const LoanRequest &Loan, TimeMs Now);

  /// Decides queued requests that have tokens, and refuses those whose deadline
  /// has passed.
  void tick(TimeMs Now);

  /// Removes and returns the queued requests decided since the last call.
  std::vector<LoanDecision> takeDecided();

  const ObservedShare &share() const { return Share; }

private:
  struct Waiter {
    std::uint64_t Ticket = 0;
    TimeMs Deadline;
  };

  /// Demand, queue and pending loan request of one organisation.
  struct Account {
    DemandEstimate Demand;
    std::deque<Waiter> Waiters;
    bool RequestPending = false; ///< A loan request is pending; at most one is.
    /// Earliest time of the next request, by lender address.
    std::map<std::string, TimeMs, std::less<>> NextRequestAt;
  };

  Account &account(std::string_view Organisation);
  bool requestLoan(std::string_view Organisation, Account &A, TimeMs Now);
  const Lender *nextLender(const Account &A, TimeMs Now) const;
  void serveWaiters(std::string_view Organisation, Account &A, TimeMs Now);
  void serveOrRequestMore(const std::string &Organisation, TimeMs Now);
  void pauseLender(Account &A, const std::string &Address, DurationMs Span,
                   TimeMs Now);

  std::string Self;
  std::string Domain;
  ObservedShare Share;
  std::vector<Lender> Lenders; ///< Near lenders first.
  std::map<std::string, Account, std::less<>> Accounts;
  std::vector<LoanRequest> Requests;
  std::vector<LoanDecision> Decided;
  std::uint64_t LastSequence = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENLOANS_H
