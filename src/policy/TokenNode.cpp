#include "policy/TokenNode.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Retry delay when the time of the next token is unknown.
constexpr DurationMs DefaultRetryAfter{1000};

/// Maximum lease requests for one organisation in one poll.
constexpr int MaxRequestsPerPoll = 4;

/// Maximum lease requests in one message.
constexpr std::size_t MaxRequestsPerMessage = 32;

/// Fraction of the byte burst that is reserved for leases with a rate.
constexpr double RateLeaseReserve = 0.5;

/// Amount accepted as one token. A sum of divided shares may miss a whole token
/// by a rounding error; the drift margin is far larger than this tolerance.
constexpr double WholeToken = 1 - 1e-9;

} // namespace

TokenPlan::TokenPlan(const Snapshot &Source, const TokenSettings &Settings)
    : Id(Source.Id), Table(Source, Settings) {
  for (const auto &[Name, Declared] : Source.Domains)
    DeclaredSlots += Declared.Nodes;
  for (const auto &[Name, Declared] : Source.Organisations) {
    const auto It = Source.Rates.find(Declared.Rate);
    if (It != Source.Rates.end())
      Rates[Name] = It->second;
  }
}

TokenNode::Account::Account(const TokenSettings &Settings, TimeMs MeterStart)
    : Demand(Settings.DemandWindow), Meter(Settings, MeterStart),
      Holder(Settings) {}

TokenNode::TokenNode(SlotId Self, const TokenSettings &Settings, TimeMs Now)
    : Self(std::move(Self)), Settings(Settings), History(Settings.fence()),
      MeterStart(Now + Settings.fence()), LastCallTime(Now),
      RequestBytes(Settings.RequestBytesPerSecond, Settings.BurstBytes, Now),
      GrantBytes(Settings.GrantBytesPerSecond, Settings.BurstBytes, Now) {}

bool ByteLimiter::has(double Bytes, TimeMs Now) {
  if (Now > RefilledAt) {
    const double Seconds =
        static_cast<double>((Now - RefilledAt).Value) / MsPerSecond;
    Level = std::min(Burst, Level + PerSecond * Seconds);
    RefilledAt = Now;
  }
  return Level >= Bytes;
}

bool ByteLimiter::take(double Bytes, TimeMs Now) {
  if (!has(Bytes, Now))
    return false;
  Level -= Bytes;
  return true;
}

void TokenNode::apply(const TokenPlan &Plan, TimeMs Now) {
  detectPause(Now);
  const auto Run = History.currentRun();
  const bool FirstPlan = !Run.has_value();
  if (Run && Plan.Id <= Run->Current)
    return;
  const bool IsSmall = Plan.DeclaredSlots <= Settings.SmallFleetSlots;
  RequestBytes.setRate(IsSmall ? Settings.SmallFleetRequestBytesPerSecond
                               : Settings.RequestBytesPerSecond);
  History.add(Plan.Id, Plan.Table.digest(), Plan.Table.sharesOf(Self));
  for (auto It = Accounts.begin(); It != Accounts.end();) {
    Account &A = It->second;
    if (Plan.Rates.contains(It->first)) {
      ++It;
      continue;
    }
    for (const Waiter &W : A.Waiters)
      Decided.push_back({W.Ticket, {false, DefaultRetryAfter}});
    It = Accounts.erase(It);
  }
  for (const auto &[Name, FleetRate] : Plan.Rates) {
    // An earlier account of the same name may have granted leases that are
    // still active, so a new account waits for the fencing period.
    const TimeMs Start =
        FirstPlan ? MeterStart : std::max(MeterStart, Now + Settings.fence());
    const auto It = Accounts.try_emplace(Name, Settings, Start).first;
    It->second.FleetRate = FleetRate;
    if (Settings.Leasing) {
      It->second.Holder.setMeters(selectMeters(Plan.Table, Name), Self.Domain);
    }
  }
  refreshShares(Now);
}

std::vector<SlotId> TokenNode::selectMeters(const ShareTable &Table,
                                            std::string_view Name) const {
  std::vector<SlotId> Order = Table.requestOrder(Name, Self);
  std::size_t Near = 0;
  std::size_t Far = 0;
  const std::size_t MostFar = Settings.AcrossDomains ? Settings.FarMeters : 0;
  std::erase_if(Order, [&](const SlotId &Meter) {
    if (Meter.Domain == Self.Domain)
      return ++Near > Settings.NearMeters;
    return ++Far > MostFar;
  });
  return Order;
}

void TokenNode::onAgreement(TimeMs Now) {
  detectPause(Now);
  History.onAgreement(Now);
  if (History.update(Now))
    refreshShares(Now);
}

void TokenNode::setMetering(bool On, TimeMs Now) {
  if (On == Metering)
    return;
  Metering = On;
  Started = false;
  MeterStart = Now + Settings.fence();
  for (auto &[Name, A] : Accounts)
    A.Meter.discard(Now);
  refreshShares(Now);
}

void TokenNode::startAfterFence(TimeMs Now) {
  if (Started || Now < MeterStart)
    return;
  Started = true;
  refreshShares(Now);
}

void TokenNode::refreshShares(TimeMs Now) {
  for (auto &[Name, A] : Accounts) {
    const bool InUse = Metering && Started;
    A.Meter.setShare(InUse ? History.share(Name) : TokenShare(), Now);
  }
}

void TokenNode::detectPause(TimeMs Now) {
  const DurationMs Pause = Now - LastCallTime;
  LastCallTime = std::max(LastCallTime, Now);
  if (Pause <= Settings.PauseLimit)
    return;
  PauseDetected = true;
  History.dropPendingAgreements();
  if (Pause > Settings.AgreementPause) {
    History.dropAgreements();
    refreshShares(Now);
  }
  for (auto &[Name, A] : Accounts) {
    A.Meter.discard(Now);
    A.Holder.discard();
  }
}

bool TokenNode::takeToken(Account &A, TimeMs Now) {
  const double Leased = A.Holder.level(Now);
  if (Leased + A.Meter.level(Now) < WholeToken)
    return false;
  // Use leased tokens first: they expire, the node's own do not.
  const double Taken = A.Holder.takeUpTo(1, Now);
  A.Meter.takeUpTo(1 - Taken, Now);
  ++A.Admitted;
  return true;
}

double TokenNode::supplyRate(const Account &A, TimeMs Now) const {
  return A.Meter.rate() + A.Holder.rate(Now);
}

bool TokenNode::canServeInTime(Account &A, TimeMs Now) {
  if (A.Holder.hasPendingTokens())
    return true;
  const double Supply = supplyRate(A, Now) * (1 - Settings.MaxDrift);
  if (Supply <= 0)
    return false;
  const double Held = A.Holder.level(Now) + A.Meter.level(Now);
  const double Missing = static_cast<double>(A.Waiters.size()) - Held;
  const double Ms = Missing / Supply * MsPerSecond;
  return Ms < static_cast<double>(Settings.MaxWait.Value);
}

DurationMs TokenNode::retryAfter(Account &A, TimeMs Now) {
  const TimeMs At = A.Holder.nextToken(demandOf(A, Now), Now);
  if (At == Never)
    return DefaultRetryAfter;
  return std::max(At - Now, DurationMs(1));
}

RateDecision TokenNode::refuse(Account &A, TimeMs Now) {
  ++A.Refused;
  A.LastRefused = Now;
  return {false, retryAfter(A, Now)};
}

std::optional<RateDecision>
TokenNode::charge(std::string_view Organisation, TimeMs Now,
                  std::optional<std::uint64_t> Ticket) {
  detectPause(Now);
  const auto It = Accounts.find(Organisation);
  if (It == Accounts.end())
    return RateDecision{false, DefaultRetryAfter};
  Account &A = It->second;
  A.Demand.add(Now);
  if (A.Waiters.empty() && takeToken(A, Now)) {
    requestLeases(It->first, A, Now);
    return RateDecision{true, DurationMs(0)};
  }
  if (!Ticket || A.Waiters.size() >= Settings.MaxWaiting) {
    A.Waiters.push_back({0, Now});
    requestLeases(It->first, A, Now);
    A.Waiters.pop_back();
    return refuse(A, Now);
  }
  A.Waiters.push_back({*Ticket, Now + Settings.MaxWait});
  requestLeases(It->first, A, Now);
  if (canServeInTime(A, Now))
    return std::nullopt;
  A.Waiters.pop_back();
  return refuse(A, Now);
}

TokenDemand TokenNode::demandOf(Account &A, TimeMs Now) {
  TokenDemand Demand;
  Demand.PerSecond = A.Demand.rate(Now);
  Demand.OwnRate = A.Meter.rate();
  Demand.OwnLevel = A.Meter.level(Now);
  Demand.Waiting = static_cast<std::uint32_t>(A.Waiters.size());
  return Demand;
}

void TokenNode::requestLeases(std::string_view Name, Account &A, TimeMs Now) {
  if (!Settings.Leasing)
    return;
  for (int I = 0; I < MaxRequestsPerPoll; ++I) {
    if (!RequestBytes.has(MessageBytes + ItemBytes, Now))
      return;
    TokenDemand Demand = demandOf(A, Now);
    Demand.MayRequestTokens =
        RequestBytes.has(Settings.BurstBytes * RateLeaseReserve, Now);
    auto Next = A.Holder.nextRequest(Name, Demand, Now);
    if (!Next)
      return;
    queueRequest(std::move(*Next), Now);
  }
}

void TokenNode::queueRequest(AddressedRequest Next, TimeMs Now) {
  RequestBytes.take(MessageBytes + ItemBytes, Now);
  TokenRequestMessage Message{Next.Meter, {std::move(Next.Request)}};
  for (auto &[Name, A] : Accounts) {
    if (Message.TokenRequests.size() >= MaxRequestsPerMessage ||
        !RequestBytes.has(ItemBytes, Now))
      break;
    auto More =
        A.Holder.piggybackRequest(Message.Meter, Name, demandOf(A, Now), Now);
    if (!More)
      continue;
    RequestBytes.take(ItemBytes, Now);
    Message.TokenRequests.push_back(std::move(*More));
  }
  Messages.push_back(std::move(Message));
}

void TokenNode::decideWaiters(Account &A, TimeMs Now) {
  while (!A.Waiters.empty() && takeToken(A, Now)) {
    Decided.push_back({A.Waiters.front().Ticket, {true, DurationMs(0)}});
    A.Waiters.pop_front();
  }
  while (!A.Waiters.empty()) {
    const bool Late = A.Waiters.front().Deadline <= Now;
    if (!Late && canServeInTime(A, Now))
      return;
    // Refuse the newest request first, since it has the longest wait ahead;
    // but an overdue one goes before it.
    const Waiter W = Late ? A.Waiters.front() : A.Waiters.back();
    if (Late)
      A.Waiters.pop_front();
    else
      A.Waiters.pop_back();
    Decided.push_back({W.Ticket, refuse(A, Now)});
  }
}

std::vector<TokenGrant>
TokenNode::answer(const HolderId &From,
                  std::span<const TokenRequest> TokenRequests, TimeMs Now) {
  detectPause(Now);
  std::vector<TokenGrant> Grants;
  const double Bytes =
      MessageBytes + ItemBytes * static_cast<double>(TokenRequests.size());
  if (!GrantBytes.take(Bytes, Now))
    return Grants;
  for (const TokenRequest &Request : TokenRequests) {
    const auto It = Accounts.find(Request.Organisation);
    if (It == Accounts.end())
      continue;
    Account &A = It->second;
    Grants.push_back(A.Meter.grant(From, Request, A.Demand.rate(Now), Now));
  }
  return Grants;
}

void TokenNode::onGrant(const SlotId &Meter, const TokenGrant &Grant,
                        TimeMs Now) {
  detectPause(Now);
  const auto It = Accounts.find(Grant.Organisation);
  if (It == Accounts.end())
    return;
  Account &A = It->second;
  A.Holder.onGrant(Meter, Grant, Now);
  requestLeases(It->first, A, Now);
  decideWaiters(A, Now);
}

void TokenNode::onRequestFailed(const SlotId &Meter,
                                const TokenRequest &Request, TimeMs Now) {
  detectPause(Now);
  const auto It = Accounts.find(Request.Organisation);
  if (It == Accounts.end())
    return;
  Account &A = It->second;
  A.Holder.onRequestFailed(Meter, Request.Sequence, Now);
  requestLeases(It->first, A, Now);
  decideWaiters(A, Now);
}

void TokenNode::tick(TimeMs Now) {
  detectPause(Now);
  startAfterFence(Now);
  if (History.update(Now))
    refreshShares(Now);
  for (auto &[Name, A] : Accounts) {
    requestLeases(Name, A, Now);
    decideWaiters(A, Now);
  }
}

std::vector<TokenRequestMessage> TokenNode::takeRequests() {
  return std::exchange(Messages, {});
}

std::vector<ChargeDecision> TokenNode::takeDecided() {
  return std::exchange(Decided, {});
}

bool TokenNode::takePauseDetected() {
  return std::exchange(PauseDetected, false);
}

std::map<std::string, TokenStatistics, std::less<>>
TokenNode::statistics(TimeMs Now) {
  std::map<std::string, TokenStatistics, std::less<>> Result;
  for (auto &[Name, A] : Accounts) {
    TokenStatistics &F = Result[Name];
    F.FleetRate = A.FleetRate;
    F.Demand = A.Demand.rate(Now);
    F.Level = A.Holder.level(Now) + A.Meter.level(Now);
    F.RateHeld = supplyRate(A, Now);
    F.CapHeld = A.Meter.cap() + A.Holder.cap(Now);
    F.Admitted = A.Admitted;
    F.Refused = A.Refused;
    F.LastRefused = A.LastRefused;
  }
  return Result;
}

} // namespace fescuewood
