#include "policy/ObservedShare.h"

#include "policy/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Fraction of the bound that is assigned to nodes; the rest is a reserve for
/// nodes whose views of the fleet differ.
constexpr double AssignedFraction = 0.85;

/// Maximum forecast of the next token.
constexpr DurationMs MaxForecast{60 * 1000};

} // namespace

void ObservedShare::setBound(RateBound NewBound, TimeMs Now) {
  refillAll(Now);
  Bound = NewBound;
  chooseAllMeters(Now);
}

void ObservedShare::setRates(const Snapshot &Config, TimeMs Now) {
  std::map<std::string, Account, std::less<>> Next;
  for (const auto &[Name, Declared] : Config.Organisations) {
    const auto DeclaredRate = Config.Rates.find(Declared.Rate);
    if (DeclaredRate == Config.Rates.end())
      continue;
    Account Entry;
    Entry.Bucket = ++LastBucket;
    Entry.RefilledAt = Now;
    if (const auto Known = Accounts.find(Name); Known != Accounts.end()) {
      refill(Known->second, Now);
      Entry = Known->second;
    }
    Entry.FleetRate = DeclaredRate->second;
    chooseMeters(Name, Entry, Now);
    Entry.Tokens = std::min(Entry.Tokens, depth(Entry, Now));
    Next.emplace(Name, Entry);
  }
  Accounts = std::move(Next);
}

void ObservedShare::setInstances(std::span<const Instance> Instances,
                                 TimeMs Now) {
  refillAll(Now);
  const std::size_t CountBefore = Nodes.count(Now);
  const bool NamesChanged = Nodes.set(Instances, Now);
  if (NamesChanged || Nodes.count(Now) != CountBefore)
    chooseAllMeters(Now);
}

bool ObservedShare::update(TimeMs Now) {
  if (!Nodes.forgetDeparted(Now))
    return false;
  refillAll(Now);
  chooseAllMeters(Now);
  return true;
}

void ObservedShare::refillAll(TimeMs Now) {
  for (auto &[Name, Entry] : Accounts)
    refill(Entry, Now);
}

void ObservedShare::chooseAllMeters(TimeMs Now) {
  for (auto &[Name, Entry] : Accounts)
    chooseMeters(Name, Entry, Now);
}

void ObservedShare::chooseMeters(std::string_view Organisation, Account &A,
                                 TimeMs Now) {
  const std::size_t NodeCount = Nodes.count(Now);
  const std::size_t Count = meterCount(A, NodeCount);
  const auto Names = Nodes.names();
  if (Count >= NodeCount) {
    A.Meters.assign(Names.begin(), Names.end());
    return setMeter(A, true, Now);
  }
  A.Meters = chooseByRendezvous(Organisation, Names, Count);
  setMeter(A,
           std::find(A.Meters.begin(), A.Meters.end(), Self) != A.Meters.end(),
           Now);
}

void ObservedShare::setMeter(Account &A, bool IsMeter, TimeMs Now) {
  if (std::exchange(A.IsMeter, IsMeter) == IsMeter)
    return;
  A.Bucket = ++LastBucket;
  A.Tokens = 0;
  A.RefilledAt = Now + MeterHandOver;
}

bool ObservedShare::take(std::string_view Organisation, TimeMs Now) {
  Account &A = refilled(Organisation, Now);
  if (A.Tokens < 1)
    return false;
  A.Tokens -= 1;
  ++A.Admitted;
  return true;
}

void ObservedShare::countAdmitted(std::string_view Organisation) {
  ++Accounts.find(Organisation)->second.Admitted;
}

RateDecision ObservedShare::refuse(std::string_view Organisation, TimeMs Now) {
  Account &A = refilled(Organisation, Now);
  ++A.Refused;
  A.LastRefused = Now;
  return {false, delayUntilTokens(Organisation, 1, Now)};
}

double ObservedShare::tokens(std::string_view Organisation, TimeMs Now) {
  return refilled(Organisation, Now).Tokens;
}

double ObservedShare::depth(std::string_view Organisation, TimeMs Now) {
  return depth(refilled(Organisation, Now), Now);
}

DurationMs ObservedShare::delayUntilTokens(std::string_view Organisation,
                                           double Wanted, TimeMs Now) {
  const Account &A = refilled(Organisation, Now);
  const double Missing = std::max(0.0, Wanted - A.Tokens);
  const double PerMs = ratePerMs(A, Now);
  if (Missing > PerMs * static_cast<double>(MaxForecast.Value))
    return MaxForecast;
  const DurationMs Accrual(
      Missing > 0 ? static_cast<std::int64_t>(std::ceil(Missing / PerMs)) : 0);
  const DurationMs HandOver = std::max(DurationMs(0), A.RefilledAt - Now);
  return std::min(MaxForecast, HandOver + Accrual);
}

void ObservedShare::remove(std::string_view Organisation, double Count,
                           TimeMs Now) {
  Account &A = refilled(Organisation, Now);
  A.Tokens = std::max(0.0, A.Tokens - Count);
}

void ObservedShare::add(std::string_view Organisation, double Count,
                        TimeMs Now) {
  Account &A = refilled(Organisation, Now);
  A.Tokens = std::min(depth(A, Now), A.Tokens + Count);
}

std::map<std::string, ObservedShareStatistics, std::less<>>
ObservedShare::statistics() const {
  std::map<std::string, ObservedShareStatistics, std::less<>> Result;
  for (const auto &[Name, A] : Accounts) {
    const auto Meters = static_cast<double>(meterCount(A, Nodes.lastCount()));
    Result[Name] = {
        A.FleetRate, A.Tokens,  A.IsMeter ? A.FleetRate.PerSecond / Meters : 0,
        A.Admitted,  A.Refused, A.LastRefused};
  }
  return Result;
}

/// Tokens that all buckets of an organisation may hold together.
double ObservedShare::fleetDepth(const Account &A) const {
  const double Accrued = A.FleetRate.PerSecond *
                         static_cast<double>(Bound.Window.Value) / MsPerSecond;
  const double Allowed =
      (Accrued + A.FleetRate.Burst) * (1 + Bound.Overage) + Bound.Slack;
  return std::max(1.0, Allowed * AssignedFraction - Accrued);
}

std::size_t ObservedShare::meterCount(const Account &A,
                                      std::size_t NodeCount) const {
  const double Most = std::floor(fleetDepth(A) / MinMeterDepth);
  const double Count = std::min(Most, static_cast<double>(NodeCount));
  return static_cast<std::size_t>(std::max(1.0, Count));
}

double ObservedShare::ratePerMs(const Account &A, TimeMs Now) {
  if (!A.IsMeter)
    return 0;
  return A.FleetRate.PerSecond / MsPerSecond /
         static_cast<double>(meterCount(A, Nodes.count(Now)));
}

double ObservedShare::depth(const Account &A, TimeMs Now) {
  if (!A.IsMeter)
    return 0;
  return fleetDepth(A) / static_cast<double>(meterCount(A, Nodes.count(Now)));
}

ObservedShare::Account &ObservedShare::refilled(std::string_view Organisation,
                                                TimeMs Now) {
  Account &A = Accounts.find(Organisation)->second;
  refill(A, Now);
  return A;
}

void ObservedShare::refill(Account &A, TimeMs Now) {
  const DurationMs Passed = std::max(DurationMs(0), Now - A.RefilledAt);
  A.Tokens += ratePerMs(A, Now) * static_cast<double>(Passed.Value);
  A.Tokens = std::min(depth(A, Now), A.Tokens);
  A.RefilledAt = std::max(A.RefilledAt, Now);
}

} // namespace fescuewood
