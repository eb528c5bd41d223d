#include "policy/TokenLoans.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Time constant of the demand estimate.
constexpr DurationMs DemandWindow{2000};

/// Horizon of the demand forecast: a borrower requests tokens for its own
/// demand in this time, and a lender keeps back as many.
constexpr double ForecastSeconds = 0.5;

/// Maximum queued requests per organisation.
constexpr std::size_t MaxWaiters = 32;

/// Minimum delay after a lender granted less than requested. Longer for other
/// failure domains, where messages cost more.
constexpr DurationMs NearPause{250};
constexpr DurationMs FarPause{1000};

/// Time for which a lender that did not answer gets no requests.
constexpr DurationMs SilentPause{2000};

double forecastDemand(DemandEstimate &Demand, TimeMs Now) {
  return Demand.rate(Now) * ForecastSeconds;
}

/// Number of nodes that may admit requests. Includes nodes that appear down,
/// since they may be behind a partition. Excludes draining nodes, since each is
/// replaced by another.
std::size_t admittingNodes(std::span<const Instance> Instances) {
  const auto Count = std::count_if(
      Instances.begin(), Instances.end(),
      [](const Instance &Each) { return Each.State != TargetState::Draining; });
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, Count));
}

} // namespace

void TokenLoans::setRates(const Snapshot &Config, TimeMs Now) {
  Share.setRates(Config, Now);
}

void TokenLoans::setInstances(std::span<const Instance> Instances, TimeMs Now) {
  Share.setNodes(admittingNodes(Instances), Now);
  std::vector<Lender> Others;
  for (const Instance &Each : Instances)
    if (Each.Name != Self && Each.State < TargetState::Draining)
      Others.push_back({Each.PeerAddress, Each.Domain == Domain});
  std::stable_partition(Others.begin(), Others.end(),
                        [](const Lender &Candidate) { return Candidate.Near; });
  Lenders = std::move(Others);
}

std::optional<RateDecision>
TokenLoans::charge(std::string_view Organisation, TimeMs Now,
                   std::optional<std::uint64_t> Ticket) {
  if (!Share.hasRate(Organisation))
    return RateDecision{true, DurationMs(0)};
  Account &A = account(Organisation);
  A.Demand.add(Now);
  // Queued requests go first.
  if (A.Waiters.empty() && Share.take(Organisation, Now))
    return RateDecision{true, DurationMs(0)};
  const bool MayWait = Ticket && A.Waiters.size() < MaxWaiters &&
                       (A.RequestPending || requestLoan(Organisation, A, Now));
  if (!MayWait)
    return Share.refuse(Organisation, Now);
  A.Waiters.push_back({*Ticket, Now + MaxLoanWait});
  return std::nullopt;
}

std::vector<LoanRequest> TokenLoans::takeRequests() {
  return std::exchange(Requests, {});
}

std::vector<TokenGrant>
TokenLoans::answer(std::span<const TokenRequest> TokenRequests, TimeMs Now) {
  std::vector<TokenGrant> Grants;
  for (const TokenRequest &Request : TokenRequests) {
    TokenGrant Grant;
    Grant.Organisation = Request.Organisation;
    Grant.Sequence = Request.Sequence;
    if (Share.hasRate(Request.Organisation)) {
      Account &A = account(Request.Organisation);
      const double Kept = forecastDemand(A.Demand, Now);
      const double Spare = std::floor(
          std::max(0.0, Share.tokens(Request.Organisation, Now) - Kept));
      Grant.Tokens = std::min<double>(Request.Need, Spare);
      Share.remove(Request.Organisation, Grant.Tokens, Now);
      Grant.TokenDelay =
          Share.delayUntilTokens(Request.Organisation, Kept + 1, Now);
    }
    Grants.push_back(std::move(Grant));
  }
  return Grants;
}

void TokenLoans::onGrant(const LoanRequest &Loan, const TokenGrant &Grant,
                         TimeMs Now) {
  const std::string &Organisation = Loan.Request.Organisation;
  if (!Share.hasRate(Organisation) || Grant.Organisation != Organisation)
    return onRequestFailed(Loan, Now);
  Account &A = account(Organisation);
  A.RequestPending = false;
  Share.add(Organisation, std::min<double>(Grant.Tokens, Loan.Request.Need),
            Now);
  if (Grant.Tokens < Loan.Request.Need)
    pauseLender(A, Loan.Address, Grant.TokenDelay, Now);
  serveOrRequestMore(Organisation, Now);
}

void TokenLoans::onRequestFailed(const LoanRequest &Loan, TimeMs Now) {
  Account &A = account(Loan.Request.Organisation);
  A.RequestPending = false;
  pauseLender(A, Loan.Address, SilentPause, Now);
  serveOrRequestMore(Loan.Request.Organisation, Now);
}

void TokenLoans::tick(TimeMs Now) {
  for (auto &[Organisation, A] : Accounts) {
    serveWaiters(Organisation, A, Now);
    while (!A.Waiters.empty() && A.Waiters.front().Deadline <= Now) {
      Decided.push_back(
          {A.Waiters.front().Ticket, Share.refuse(Organisation, Now)});
      A.Waiters.pop_front();
    }
  }
}

std::vector<LoanDecision> TokenLoans::takeDecided() {
  return std::exchange(Decided, {});
}

TokenLoans::Account &TokenLoans::account(std::string_view Organisation) {
  const auto Found = Accounts.find(Organisation);
  if (Found != Accounts.end())
    return Found->second;
  return Accounts
      .emplace(std::string(Organisation),
               Account{DemandEstimate(DemandWindow), {}, false, {}})
      .first->second;
}

/// Queues a loan request to the first lender that is not paused. Returns false
/// if there is none or the bucket has no room.
bool TokenLoans::requestLoan(std::string_view Organisation, Account &A,
                             TimeMs Now) {
  const Lender *From = nextLender(A, Now);
  if (!From)
    return false;
  const double Room =
      Share.depth(Organisation, Now) - Share.tokens(Organisation, Now);
  const double Wanted =
      static_cast<double>(A.Waiters.size() + 1) + forecastDemand(A.Demand, Now);
  const double Need = std::floor(std::min(Wanted, Room));
  if (Need < 1)
    return false;
  TokenRequest Request;
  Request.Organisation = std::string(Organisation);
  Request.Sequence = ++LastSequence;
  Request.Need = static_cast<std::uint32_t>(Need);
  Requests.push_back({From->Address, std::move(Request)});
  A.RequestPending = true;
  return true;
}

const Lender *TokenLoans::nextLender(const Account &A, TimeMs Now) const {
  const auto IsAvailable = [&](const Lender &Candidate) {
    const auto Next = A.NextRequestAt.find(Candidate.Address);
    return Next == A.NextRequestAt.end() || Next->second <= Now;
  };
  const auto Found = std::find_if(Lenders.begin(), Lenders.end(), IsAvailable);
  return Found == Lenders.end() ? nullptr : &*Found;
}

void TokenLoans::serveWaiters(std::string_view Organisation, Account &A,
                              TimeMs Now) {
  while (!A.Waiters.empty() && Share.hasRate(Organisation) &&
         Share.take(Organisation, Now)) {
    Decided.push_back({A.Waiters.front().Ticket, {true, DurationMs(0)}});
    A.Waiters.pop_front();
  }
}

/// Serves queued requests; for the rest, requests another loan or refuses them.
void TokenLoans::serveOrRequestMore(const std::string &Organisation,
                                    TimeMs Now) {
  Account &A = account(Organisation);
  serveWaiters(Organisation, A, Now);
  if (A.Waiters.empty() || requestLoan(Organisation, A, Now))
    return;
  while (!A.Waiters.empty()) {
    Decided.push_back(
        {A.Waiters.front().Ticket, Share.refuse(Organisation, Now)});
    A.Waiters.pop_front();
  }
}

void TokenLoans::pauseLender(Account &A, const std::string &Address,
                             DurationMs Span, TimeMs Now) {
  const auto Found = std::find_if(
      Lenders.begin(), Lenders.end(),
      [&](const Lender &Candidate) { return Candidate.Address == Address; });
  const bool Near = Found != Lenders.end() && Found->Near;
  A.NextRequestAt[Address] = Now + std::max(Span, Near ? NearPause : FarPause);
}

} // namespace fescuewood
