#include "policy/TokenNode.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Told to a caller when nothing better is known.
constexpr DurationMs DefaultRetryAfter{1000};

/// Most asks of one organisation in one poll.
constexpr int MaxAsksPerPoll = 4;

/// Most asks in one message.
constexpr std::size_t MaxAsksPerMessage = 32;

/// Part of the allowance that only leases of rates may use.
constexpr double ReservedForRates = 0.5;

/// Sums of parts that were divided may miss a whole token by rounding; the
/// drift margin covers far more than this.
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
      MeterStart(Now + Settings.fence()), LastSeen(Now),
      AskBytes(Settings.RequestBytesPerSecond, Settings.BurstBytes, Now),
      GrantBytes(Settings.GrantBytesPerSecond, Settings.BurstBytes, Now) {}

bool ByteAllowance::has(double Bytes, TimeMs Now) {
  if (Now > At) {
    const double Seconds = static_cast<double>((Now - At).Value) / MsPerSecond;
    Level = std::min(Burst, Level + PerSecond * Seconds);
    At = Now;
  }
  return Level >= Bytes;
}

bool ByteAllowance::take(double Bytes, TimeMs Now) {
  if (!has(Bytes, Now))
    return false;
  Level -= Bytes;
  return true;
}

void TokenNode::apply(const TokenPlan &Plan, TimeMs Now) {
  notice(Now);
  const auto Mark = History.mark();
  const bool FirstPlan = !Mark.has_value();
  if (Mark && Plan.Id <= Mark->Current)
    return;
  const bool IsSmall = Plan.DeclaredSlots <= Settings.SmallFleetSlots;
  AskBytes.setRate(IsSmall ? Settings.SmallFleetRequestBytesPerSecond
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
  for (const auto &[Name, Whole] : Plan.Rates) {
    // A new account may follow an older one of the same name, whose leases may
    // still run.
    const TimeMs Start =
        FirstPlan ? MeterStart : std::max(MeterStart, Now + Settings.fence());
    const auto It = Accounts.try_emplace(Name, Settings, Start).first;
    It->second.Whole = Whole;
    if (Settings.Leasing) {
      It->second.Holder.setMeters(metersToAsk(Plan.Table, Name), Self.Domain);
    }
  }
  refreshShares(Now);
}

std::vector<SlotId> TokenNode::metersToAsk(const ShareTable &Table,
                                           std::string_view Name) const {
  std::vector<SlotId> Order = Table.askingOrder(Name, Self);
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
  notice(Now);
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

void TokenNode::startWhenDue(TimeMs Now) {
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

void TokenNode::notice(TimeMs Now) {
  const DurationMs Pause = Now - LastSeen;
  LastSeen = std::max(LastSeen, Now);
  if (Pause <= Settings.PauseLimit)
    return;
  PauseNoticed = true;
  History.dropPending();
  if (Pause > Settings.AgreementPause) {
    History.dropAgreement();
    refreshShares(Now);
  }
  for (auto &[Name, A] : Accounts) {
    A.Meter.discard(Now);
    A.Holder.discard();
  }
}

bool TokenNode::takeOne(Account &A, TimeMs Now) {
  const double Leased = A.Holder.level(Now);
  if (Leased + A.Meter.level(Now) < WholeToken)
    return false;
  // Leases end, so they are used up before the node's own share.
  const double Taken = A.Holder.takeUpTo(1, Now);
  A.Meter.takeUpTo(1 - Taken, Now);
  ++A.Admitted;
  return true;
}

double TokenNode::supply(const Account &A, TimeMs Now) const {
  return A.Meter.rate() + A.Holder.rate(Now);
}

bool TokenNode::worthWaiting(Account &A, TimeMs Now) {
  if (A.Holder.asking())
    return true;
  const double Supply = supply(A, Now) * (1 - Settings.MaxDrift);
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
  notice(Now);
  const auto It = Accounts.find(Organisation);
  if (It == Accounts.end())
    return RateDecision{false, DefaultRetryAfter};
  Account &A = It->second;
  A.Demand.add(Now);
  if (A.Waiters.empty() && takeOne(A, Now)) {
    poll(It->first, A, Now);
    return RateDecision{true, DurationMs(0)};
  }
  if (!Ticket || A.Waiters.size() >= Settings.MaxWaiting) {
    A.Waiters.push_back({0, Now});
    poll(It->first, A, Now);
    A.Waiters.pop_back();
    return refuse(A, Now);
  }
  A.Waiters.push_back({*Ticket, Now + Settings.MaxWait});
  poll(It->first, A, Now);
  if (worthWaiting(A, Now))
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

void TokenNode::poll(std::string_view Name, Account &A, TimeMs Now) {
  if (!Settings.Leasing)
    return;
  for (int I = 0; I < MaxAsksPerPoll; ++I) {
    if (!AskBytes.has(MessageBytes + ItemBytes, Now))
      return;
    TokenDemand Demand = demandOf(A, Now);
    Demand.MayAskForNeed =
        AskBytes.has(Settings.BurstBytes * ReservedForRates, Now);
    auto Next = A.Holder.nextAsk(Name, Demand, Now);
    if (!Next)
      return;
    queueAsk(std::move(*Next), Now);
  }
}

void TokenNode::queueAsk(AddressedAsk Next, TimeMs Now) {
  AskBytes.take(MessageBytes + ItemBytes, Now);
  TokenRequestMessage Message{Next.Meter, {std::move(Next.Ask)}};
  for (auto &[Name, A] : Accounts) {
    if (Message.TokenRequests.size() >= MaxAsksPerMessage ||
        !AskBytes.has(ItemBytes, Now))
      break;
    auto More =
        A.Holder.companionAsk(Message.Meter, Name, demandOf(A, Now), Now);
    if (!More)
      continue;
    AskBytes.take(ItemBytes, Now);
    Message.TokenRequests.push_back(std::move(*More));
  }
  TokenRequests.push_back(std::move(Message));
}

void TokenNode::settleWaiters(Account &A, TimeMs Now) {
  while (!A.Waiters.empty() && takeOne(A, Now)) {
    Decided.push_back({A.Waiters.front().Ticket, {true, DurationMs(0)}});
    A.Waiters.pop_front();
  }
  while (!A.Waiters.empty()) {
    const bool Late = A.Waiters.front().Deadline <= Now;
    if (!Late && worthWaiting(A, Now))
      return;
    // The last to come has the least chance, unless the first is late.
    const Waiter W = Late ? A.Waiters.front() : A.Waiters.back();
    if (Late)
      A.Waiters.pop_front();
    else
      A.Waiters.pop_back();
    Decided.push_back({W.Ticket, refuse(A, Now)});
  }
}

std::vector<TokenGrant> TokenNode::answer(const HolderId &From,
                                          std::span<const TokenRequest> Asked,
                                          TimeMs Now) {
  notice(Now);
  std::vector<TokenGrant> Grants;
  const double Bytes =
      MessageBytes + ItemBytes * static_cast<double>(Asked.size());
  if (!GrantBytes.take(Bytes, Now))
    return Grants;
  for (const TokenRequest &Ask : Asked) {
    const auto It = Accounts.find(Ask.Organisation);
    if (It == Accounts.end())
      continue;
    Account &A = It->second;
    Grants.push_back(A.Meter.grant(From, Ask, A.Demand.rate(Now), Now));
  }
  return Grants;
}

void TokenNode::onGrant(const SlotId &Meter, const TokenGrant &Given,
                        TimeMs Now) {
  notice(Now);
  const auto It = Accounts.find(Given.Organisation);
  if (It == Accounts.end())
    return;
  Account &A = It->second;
  A.Holder.onGrant(Meter, Given, Now);
  poll(It->first, A, Now);
  settleWaiters(A, Now);
}

void TokenNode::lose(const SlotId &Meter, const TokenRequest &Ask, TimeMs Now) {
  notice(Now);
  const auto It = Accounts.find(Ask.Organisation);
  if (It == Accounts.end())
    return;
  Account &A = It->second;
  A.Holder.lose(Meter, Ask.Sequence, Now);
  poll(It->first, A, Now);
  settleWaiters(A, Now);
}

void TokenNode::tick(TimeMs Now) {
  notice(Now);
  startWhenDue(Now);
  if (History.update(Now))
    refreshShares(Now);
  for (auto &[Name, A] : Accounts) {
    poll(Name, A, Now);
    settleWaiters(A, Now);
  }
}

std::vector<TokenRequestMessage> TokenNode::takeRequests() {
  return std::exchange(TokenRequests, {});
}

std::vector<ChargeDecision> TokenNode::takeDecided() {
  return std::exchange(Decided, {});
}

bool TokenNode::takePauseNoticed() {
  return std::exchange(PauseNoticed, false);
}

std::map<std::string, TokenStatistics, std::less<>>
TokenNode::statistics(TimeMs Now) {
  std::map<std::string, TokenStatistics, std::less<>> Result;
  for (auto &[Name, A] : Accounts) {
    TokenStatistics &F = Result[Name];
    F.Whole = A.Whole;
    F.Demand = A.Demand.rate(Now);
    F.Level = A.Holder.level(Now) + A.Meter.level(Now);
    F.RateHeld = supply(A, Now);
    F.CapHeld = A.Meter.cap() + A.Holder.cap(Now);
    F.Admitted = A.Admitted;
    F.Refused = A.Refused;
    F.LastRefused = A.LastRefused;
  }
  return Result;
}

} // namespace fescuewood
