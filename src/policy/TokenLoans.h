/// \file
/// Token loans between nodes, for fleets without declared node slots.
///
/// Tokens of an organisation accrue at its meters only (\ref ObservedShare). A
/// node without tokens borrows from them, those of its own failure domain
/// first, while the request waits for up to \ref MaxLoanWait. The lender
/// removes tokens from its bucket before the borrower uses them, no bucket is
/// filled above its depth, and a node that is not a meter keeps no tokens, so
/// all buckets together never exceed what the shares allow. Tokens in a lost
/// message are lost.
///
/// If an organisation is far above its rate, all buckets are empty; requests to
/// a lender are then delayed by its forecast of the next spare token, and after
/// several lenders without tokens no lender is asked for a time that grows.
///
/// A request that is refused further on and has not run gives its token back:
/// the bucket then holds no more than if the request had never been charged.

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
  std::string Name;
  std::string Address; ///< "IP:port" for messages between nodes.
  bool Near = false;   ///< In the borrower's failure domain.
  bool Up = false;     ///< Its target answers, so its machine is up.
  /// Differs by borrower, so that not all of them ask the same lender first.
  std::uint64_t Order = 0;
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
inline constexpr DurationMs MaxLoanWait{300};

/// Time after which a loan request without an answer has failed.
inline constexpr DurationMs LoanRequestTimeout{120};

/// The borrower and lender of one node. Not thread-safe.
class TokenLoans {
public:
  /// \param Self the node's instance name.
  /// \param Domain its failure domain.
  TokenLoans(std::string Self, std::string Domain, RateBound Bound)
      : Self(std::move(Self)), Domain(std::move(Domain)),
        Share(this->Self, Bound) {}

  void setBound(RateBound Bound, TimeMs Now);
  void setRates(const Snapshot &Config, TimeMs Now);

  /// Replaces the list of instances, which includes this one.
  void setInstances(std::span<const Instance> Instances, TimeMs Now);

  /// Charges one request. Returns std::nullopt if it is queued; its decision
  /// then comes from \ref takeDecided with \p Ticket. Without a ticket the
  /// decision is always immediate.
  std::optional<RateDecision> charge(std::string_view Organisation, TimeMs Now,
                                     std::optional<std::uint64_t> Ticket);

  /// Takes back the token of an admitted request that has not run, up to the
  /// bucket's depth. It is lost if the bucket has been dropped meanwhile, or if
  /// this node is not a meter and no request waits.
  void giveBack(std::string_view Organisation, const RateDecision &Decision,
                TimeMs Now);

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
    explicit Account(DemandEstimate Demand) : Demand(Demand) {}

    DemandEstimate Demand;
    std::deque<Waiter> Waiters;
    bool RequestPending = false; ///< A loan request is pending; at most one is.
    std::vector<Lender> Lenders; ///< In the order in which they are asked.
    std::uint64_t LendersGeneration = 0; ///< Of the instances and rates.
    /// Earliest time of the next request, by lender address.
    std::map<std::string, TimeMs, std::less<>> NextRequestAt;
    std::uint32_t Misses = 0; ///< Consecutive lenders without tokens.
    TimeMs BackoffUntil;      ///< No lender is asked before.
  };

  Account &account(std::string_view Organisation);
  std::uint32_t neededTokens(std::string_view Organisation, Account &A,
                             std::size_t Waiting, TimeMs Now);
  bool requestLoan(std::string_view Organisation, Account &A,
                   std::size_t Waiting, TimeMs Now);
  void updateLenders(std::string_view Organisation, Account &A) const;
  TimeMs nextRequestAt(const Account &A, const Lender &Candidate) const;
  const Lender *nextLender(const Account &A, TimeMs Now) const;
  RateDecision admitted(std::string_view Organisation) const;
  RateDecision refuse(std::string_view Organisation, Account &A, TimeMs Now);
  void refuseOverdue(std::string_view Organisation, Account &A, TimeMs Now);
  void useLoan(std::string_view Organisation, Account &A, double Tokens,
               TimeMs Now);
  void serveWaiters(std::string_view Organisation, Account &A, TimeMs Now);
  void serveOrRequestMore(const std::string &Organisation, TimeMs Now);
  static void recordMiss(Account &A, TimeMs Now);
  void pauseLender(Account &A, const std::string &Address, DurationMs Span,
                   TimeMs Now);

  std::string Self;
  std::string Domain;
  ObservedShare Share;
  std::map<std::string, Lender, std::less<>> Lenders; ///< By instance name.
  std::uint64_t Generation = 1; ///< Increases when any lenders may change.
  /// Earliest time of the next request to a lender that did not answer, by
  /// address.
  std::map<std::string, TimeMs, std::less<>> SilentUntil;
  std::map<std::string, Account, std::less<>> Accounts;
  std::vector<LoanRequest> Requests;
  std::vector<LoanDecision> Decided;
  std::uint64_t LastSequence = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENLOANS_H
