#include "policy/TokenLoans.h"

#include "core/Digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

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

/// Maximum delay after a lender granted less than requested, since it may
/// become a meter or get tokens back.
constexpr DurationMs MaxPause{5000};

/// Consecutive lenders without tokens after which no lender is asked for
/// `MinBackoff`, which doubles with each further one up to `MaxBackoff`.
constexpr std::uint32_t MaxMisses = 5;
constexpr DurationMs MinBackoff{250};
constexpr DurationMs MaxBackoff{2000};

/// Consecutive lenders without tokens after which those of other failure
/// domains are asked first.
constexpr std::uint32_t MaxNearMisses = 2;

/// Time for which a lender that did not answer gets no requests.
constexpr DurationMs SilentPause{2000};

double forecastDemand(DemandEstimate &Demand, TimeMs Now) {
  return Demand.rate(Now) * ForecastSeconds;
}

/// Minimum retry delay when only other nodes are expected to have tokens, whose
/// forecasts other borrowers change.
constexpr DurationMs MinRetryAfter{250};

} // namespace

void TokenLoans::setBound(RateBound Bound, TimeMs Now) {
  Share.setBound(Bound, Now);
  ++Generation;
}

void TokenLoans::setRates(const Snapshot &Config, TimeMs Now) {
  Share.setRates(Config, Now);
  ++Generation;
  // Without a rate, queued requests are admitted.
  std::erase_if(Accounts, [&](const auto &Item) {
    if (Share.hasRate(Item.first))
      return false;
    for (const Waiter &Each : Item.second.Waiters)
      Decided.push_back({Each.Ticket, {true, DurationMs(0)}});
    return true;
  });
}

void TokenLoans::setInstances(std::span<const Instance> Instances, TimeMs Now) {
  Share.setInstances(Instances, Now);
  ++Generation;
  Lenders.clear();
  for (const Instance &Each : Instances) {
    const bool Drains = Each.State == TargetState::Draining && !Each.NodeStays;
    if (Each.Name == Self || Drains)
      continue;
    Lenders[Each.Name] = {Each.Name, Each.PeerAddress, Each.Domain == Domain,
                          Each.State != TargetState::Down,
                          stableHash(Self + '\n' + Each.Name)};
  }
  std::erase_if(SilentUntil,
                [Now](const auto &Item) { return Item.second <= Now; });
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
    return admitted(Organisation);
  const bool MayWait =
      Ticket && A.Waiters.size() < MaxWaiters &&
      (A.RequestPending ||
       requestLoan(Organisation, A, A.Waiters.size() + 1, Now));
  if (!MayWait)
    return refuse(Organisation, A, Now);
  A.Waiters.push_back({*Ticket, Now + MaxLoanWait});
  return std::nullopt;
}

void TokenLoans::giveBack(std::string_view Organisation,
                          const RateDecision &Decision, TimeMs Now) {
  if (!Decision.Admitted || !Share.hasRate(Organisation) ||
      Share.bucket(Organisation) != Decision.Bucket)
    return;
  useLoan(Organisation, account(Organisation), 1, Now);
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
      const double Kept = std::floor(forecastDemand(A.Demand, Now));
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
  SilentUntil.erase(Loan.Address);
  if (Grant.Tokens >= 1)
    A.Misses = 0;
  else
    recordMiss(A, Now);
  useLoan(Organisation, A, std::min<double>(Grant.Tokens, Loan.Request.Need),
          Now);
  if (Grant.Tokens < Loan.Request.Need)
    pauseLender(A, Loan.Address, Grant.TokenDelay, Now);
  serveOrRequestMore(Organisation, Now);
}

void TokenLoans::onRequestFailed(const LoanRequest &Loan, TimeMs Now) {
  SilentUntil[Loan.Address] = Now + SilentPause;
  const std::string &Organisation = Loan.Request.Organisation;
  if (!Share.hasRate(Organisation))
    return;
  account(Organisation).RequestPending = false;
  serveOrRequestMore(Organisation, Now);
}

void TokenLoans::tick(TimeMs Now) {
  if (Share.update(Now))
    ++Generation;
  for (auto &[Organisation, A] : Accounts) {
    serveWaiters(Organisation, A, Now);
    refuseOverdue(Organisation, A, Now);
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
      .emplace(std::string(Organisation), Account(DemandEstimate(DemandWindow)))
      .first->second;
}

/// Tokens for \p Waiting requests and, at a meter with room for them, for the
/// forecast demand.
std::uint32_t TokenLoans::neededTokens(std::string_view Organisation,
                                       Account &A, std::size_t Waiting,
                                       TimeMs Now) {
  const double Room =
      Share.depth(Organisation, Now) - Share.tokens(Organisation, Now);
  const double Forecast = std::min(forecastDemand(A.Demand, Now), Room);
  return static_cast<std::uint32_t>(Waiting) +
         static_cast<std::uint32_t>(std::max(0.0, Forecast));
}

/// Queues a loan request to the first lender that is not paused. Returns false
/// if there is none.
bool TokenLoans::requestLoan(std::string_view Organisation, Account &A,
                             std::size_t Waiting, TimeMs Now) {
  updateLenders(Organisation, A);
  const Lender *From = nextLender(A, Now);
  if (!From || Now < A.BackoffUntil)
    return false;
  TokenRequest Request;
  Request.Organisation = std::string(Organisation);
  Request.Sequence = ++LastSequence;
  Request.Need = neededTokens(Organisation, A, Waiting, Now);
  Requests.push_back({From->Address, std::move(Request)});
  A.RequestPending = true;
  return true;
}

void TokenLoans::updateLenders(std::string_view Organisation,
                               Account &A) const {
  if (A.LendersGeneration == Generation)
    return;
  A.LendersGeneration = Generation;
  A.Lenders.clear();
  for (const std::string &Name : Share.meters(Organisation))
    if (const auto Found = Lenders.find(Name); Found != Lenders.end())
      A.Lenders.push_back(Found->second);
  std::sort(A.Lenders.begin(), A.Lenders.end(),
            [](const Lender &Left, const Lender &Right) {
              return std::tuple(!Left.Up, !Left.Near, Left.Order) <
                     std::tuple(!Right.Up, !Right.Near, Right.Order);
            });
  std::erase_if(A.NextRequestAt, [&A](const auto &Item) {
    return std::none_of(
        A.Lenders.begin(), A.Lenders.end(),
        [&](const Lender &Each) { return Each.Address == Item.first; });
  });
}

TimeMs TokenLoans::nextRequestAt(const Account &A,
                                 const Lender &Candidate) const {
  const auto Paused = A.NextRequestAt.find(Candidate.Address);
  const auto Silent = SilentUntil.find(Candidate.Address);
  return std::max(Paused == A.NextRequestAt.end() ? TimeMs() : Paused->second,
                  Silent == SilentUntil.end() ? TimeMs() : Silent->second);
}

/// The first lender that is not paused, one of another failure domain if those
/// of this one seem to have no tokens.
const Lender *TokenLoans::nextLender(const Account &A, TimeMs Now) const {
  const Lender *First = nullptr;
  for (const Lender &Each : A.Lenders) {
    if (nextRequestAt(A, Each) > Now)
      continue;
    if (A.Misses < MaxNearMisses || !Each.Near)
      return &Each;
    if (!First)
      First = &Each;
  }
  return First;
}

RateDecision TokenLoans::admitted(std::string_view Organisation) const {
  return {true, DurationMs(0), Share.bucket(Organisation)};
}

/// Refuses one request until a token is expected here or a lender may be asked.
RateDecision TokenLoans::refuse(std::string_view Organisation, Account &A,
                                TimeMs Now) {
  RateDecision Refusal = Share.refuse(Organisation, Now);
  updateLenders(Organisation, A);
  if (!Share.isMeter(Organisation))
    Refusal.RetryAfter = MaxPause;
  for (const Lender &Each : A.Lenders) {
    const DurationMs Pause =
        std::max(nextRequestAt(A, Each), A.BackoffUntil) - Now;
    Refusal.RetryAfter =
        std::min(Refusal.RetryAfter, std::max(Pause, MinRetryAfter));
  }
  return Refusal;
}

void TokenLoans::refuseOverdue(std::string_view Organisation, Account &A,
                               TimeMs Now) {
  while (!A.Waiters.empty() && A.Waiters.front().Deadline <= Now) {
    Decided.push_back({A.Waiters.front().Ticket, refuse(Organisation, A, Now)});
    A.Waiters.pop_front();
  }
}

/// Serves queued requests with borrowed tokens and keeps the rest, up to the
/// bucket's depth.
void TokenLoans::useLoan(std::string_view Organisation, Account &A,
                         double Tokens, TimeMs Now) {
  refuseOverdue(Organisation, A, Now);
  while (!A.Waiters.empty() && Tokens >= 1) {
    Decided.push_back({A.Waiters.front().Ticket, admitted(Organisation)});
    A.Waiters.pop_front();
    Share.countAdmitted(Organisation);
    Tokens -= 1;
  }
  Share.add(Organisation, Tokens, Now);
}

void TokenLoans::serveWaiters(std::string_view Organisation, Account &A,
                              TimeMs Now) {
  while (!A.Waiters.empty() && Share.hasRate(Organisation) &&
         Share.take(Organisation, Now)) {
    Decided.push_back({A.Waiters.front().Ticket, admitted(Organisation)});
    A.Waiters.pop_front();
  }
}

/// Serves queued requests; for the rest, requests another loan or refuses them.
void TokenLoans::serveOrRequestMore(const std::string &Organisation,
                                    TimeMs Now) {
  Account &A = account(Organisation);
  serveWaiters(Organisation, A, Now);
  refuseOverdue(Organisation, A, Now);
  if (A.Waiters.empty() || requestLoan(Organisation, A, A.Waiters.size(), Now))
    return;
  while (!A.Waiters.empty()) {
    Decided.push_back({A.Waiters.front().Ticket, refuse(Organisation, A, Now)});
    A.Waiters.pop_front();
  }
}

void TokenLoans::recordMiss(Account &A, TimeMs Now) {
  ++A.Misses;
  if (A.Misses < MaxMisses)
    return;
  const std::uint32_t Doublings = std::min(A.Misses - MaxMisses, 8U);
  A.BackoffUntil = Now + std::min(MaxBackoff, MinBackoff * (1 << Doublings));
}

void TokenLoans::pauseLender(Account &A, const std::string &Address,
                             DurationMs Span, TimeMs Now) {
  const auto Found = std::find_if(
      A.Lenders.begin(), A.Lenders.end(),
      [&](const Lender &Candidate) { return Candidate.Address == Address; });
  if (Found == A.Lenders.end())
    return;
  const DurationMs Least = Found->Near ? NearPause : FarPause;
  A.NextRequestAt[Address] = Now + std::clamp(Span, Least, MaxPause);
}

} // namespace fescuewood
