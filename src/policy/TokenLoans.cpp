#include "policy/TokenLoans.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Time constant of the estimate of an organisation's demand here.
constexpr DurationMs DemandWindow{2000};

/// A borrower asks for what it expects to need in this span, and a lender keeps
/// what it expects to need in it.
constexpr double PlannedSeconds = 0.5;

/// Most requests of an organisation that wait at once.
constexpr std::size_t MaxWaiters = 32;

/// Least time until a lender that had nothing to give is asked again; asks of
/// other failure domains are dearer.
constexpr DurationMs NearPause{250};
constexpr DurationMs FarPause{1000};

/// A lender that did not answer is passed over for so long.
constexpr DurationMs SilentPause{2000};

double planned(DemandEstimate &Demand, TimeMs Now) {
  return Demand.rate(Now) * PlannedSeconds;
}

} // namespace

void TokenLoans::setRates(const Snapshot &Config, TimeMs Now) {
  Share.setRates(Config, Now);
}

void TokenLoans::setLenders(std::vector<Lender> Others) {
  if (Others == Lenders)
    return;
  std::stable_partition(Others.begin(), Others.end(),
                        [](const Lender &Each) { return Each.Near; });
  Lenders = std::move(Others);
}

std::optional<RateDecision>
TokenLoans::charge(std::string_view Organisation, TimeMs Now,
                   std::optional<std::uint64_t> Ticket) {
  if (!Share.holds(Organisation))
    return RateDecision{true, DurationMs(0)};
  Account &A = account(Organisation);
  A.Demand.add(Now);
  // Those that wait already go first.
  if (A.Waiters.empty() && Share.take(Organisation, Now))
    return RateDecision{true, DurationMs(0)};
  const bool MayWait = Ticket && A.Waiters.size() < MaxWaiters &&
                       (A.Asking || ask(Organisation, A, Now));
  if (!MayWait)
    return Share.refuse(Organisation, Now);
  A.Waiters.push_back({*Ticket, Now + LoanPatience});
  return std::nullopt;
}

std::vector<LoanAsk> TokenLoans::takeAsks() { return std::exchange(Asks, {}); }

std::vector<TokenGrant> TokenLoans::answer(std::span<const TokenRequest> Theirs,
                                           TimeMs Now) {
  std::vector<TokenGrant> Grants;
  for (const TokenRequest &Ask : Theirs) {
    TokenGrant Grant;
    Grant.Organisation = Ask.Organisation;
    Grant.Sequence = Ask.Sequence;
    if (Share.holds(Ask.Organisation)) {
      Account &A = account(Ask.Organisation);
      const double Kept = planned(A.Demand, Now);
      const double Spare =
          std::floor(std::max(0.0, Share.tokens(Ask.Organisation, Now) - Kept));
      Grant.Tokens = std::min<double>(Ask.Need, Spare);
      Share.give(Ask.Organisation, Grant.Tokens, Now);
      Grant.Ready = Share.untilTokens(Ask.Organisation, Kept + 1, Now);
    }
    Grants.push_back(std::move(Grant));
  }
  return Grants;
}

void TokenLoans::accept(const LoanAsk &Asked, const TokenGrant &Grant,
                        TimeMs Now) {
  const std::string &Organisation = Asked.Ask.Organisation;
  if (!Share.holds(Organisation) || Grant.Organisation != Organisation)
    return lose(Asked, Now);
  Account &A = account(Organisation);
  A.Asking = false;
  Share.add(Organisation, std::min<double>(Grant.Tokens, Asked.Ask.Need), Now);
  if (Grant.Tokens < Asked.Ask.Need)
    pause(A, Asked.Address, Grant.Ready, Now);
  goOn(Organisation, Now);
}

void TokenLoans::lose(const LoanAsk &Asked, TimeMs Now) {
  Account &A = account(Asked.Ask.Organisation);
  A.Asking = false;
  pause(A, Asked.Address, SilentPause, Now);
  goOn(Asked.Ask.Organisation, Now);
}

void TokenLoans::tick(TimeMs Now) {
  for (auto &[Organisation, A] : Accounts) {
    serve(Organisation, A, Now);
    while (!A.Waiters.empty() && A.Waiters.front().Until <= Now) {
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

/// Plans an ask of the first lender that may have tokens; false when none may.
bool TokenLoans::ask(std::string_view Organisation, Account &A, TimeMs Now) {
  const Lender *From = lenderFor(A, Now);
  if (!From)
    return false;
  const double Room =
      Share.depth(Organisation, Now) - Share.tokens(Organisation, Now);
  const double Wanted =
      static_cast<double>(A.Waiters.size() + 1) + planned(A.Demand, Now);
  const double Need = std::floor(std::min(Wanted, Room));
  if (Need < 1)
    return false;
  TokenRequest Ask;
  Ask.Organisation = std::string(Organisation);
  Ask.Sequence = ++LastSequence;
  Ask.Need = static_cast<std::uint32_t>(Need);
  Asks.push_back({From->Address, std::move(Ask)});
  A.Asking = true;
  return true;
}

const Lender *TokenLoans::lenderFor(const Account &A, TimeMs Now) const {
  const auto Askable = [&](const Lender &Each) {
    const auto Next = A.NextAsk.find(Each.Address);
    return Next == A.NextAsk.end() || Next->second <= Now;
  };
  const auto Found = std::find_if(Lenders.begin(), Lenders.end(), Askable);
  return Found == Lenders.end() ? nullptr : &*Found;
}

void TokenLoans::serve(std::string_view Organisation, Account &A, TimeMs Now) {
  while (!A.Waiters.empty() && Share.holds(Organisation) &&
         Share.take(Organisation, Now)) {
    Decided.push_back({A.Waiters.front().Ticket, {true, DurationMs(0)}});
    A.Waiters.pop_front();
  }
}

/// Serves who waits, and asks on for the others or refuses them.
void TokenLoans::goOn(const std::string &Organisation, TimeMs Now) {
  Account &A = account(Organisation);
  serve(Organisation, A, Now);
  if (A.Waiters.empty() || ask(Organisation, A, Now))
    return;
  while (!A.Waiters.empty()) {
    Decided.push_back(
        {A.Waiters.front().Ticket, Share.refuse(Organisation, Now)});
    A.Waiters.pop_front();
  }
}

void TokenLoans::pause(Account &A, const std::string &Address, DurationMs Span,
                       TimeMs Now) {
  const auto Found =
      std::find_if(Lenders.begin(), Lenders.end(),
                   [&](const Lender &Each) { return Each.Address == Address; });
  const bool Near = Found != Lenders.end() && Found->Near;
  A.NextAsk[Address] = Now + std::max(Span, Near ? NearPause : FarPause);
}

} // namespace fescuewood
