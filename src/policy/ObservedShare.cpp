#include "policy/ObservedShare.h"

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
constexpr std::int64_t MaxForecastMs = 60 * 1000;

/// Time for which a node count stays in effect after a smaller one is observed;
/// longer than a partition usually lasts.
constexpr DurationMs CountMemory{20 * 1000};

} // namespace

void ObservedShare::setRates(const Snapshot &Config, TimeMs Now) {
  std::map<std::string, Account, std::less<>> Next;
  for (const auto &[Name, Declared] : Config.Organisations) {
    const auto DeclaredRate = Config.Rates.find(Declared.Rate);
    if (DeclaredRate == Config.Rates.end())
      continue;
    Account Entry;
    Entry.RefilledAt = Now;
    if (const auto Known = Accounts.find(Name); Known != Accounts.end()) {
      refill(Known->second, Now);
      Entry = Known->second;
    }
    Entry.FleetRate = DeclaredRate->second;
    Entry.Tokens = std::min(Entry.Tokens, depth(Entry, Now));
    Next.emplace(Name, Entry);
  }
  Accounts = std::move(Next);
}

void ObservedShare::setNodes(std::size_t Count, TimeMs Now) {
  for (auto &[Name, Entry] : Accounts)
    refill(Entry, Now);
  while (!NodeCounts.empty() && NodeCounts.back().second <= Count)
    NodeCounts.pop_back();
  NodeCounts.emplace_back(Now, Count);
}

bool ObservedShare::take(std::string_view Organisation, TimeMs Now) {
  Account &A = refilled(Organisation, Now);
  if (A.Tokens < 1)
    return false;
  A.Tokens -= 1;
  ++A.Admitted;
  return true;
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
  const double Wait =
      std::min(Missing / ratePerMs(A, Now), static_cast<double>(MaxForecastMs));
  return DurationMs(static_cast<std::int64_t>(std::ceil(Wait)));
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
  const std::size_t Nodes = NodeCounts.empty() ? 1 : NodeCounts.front().second;
  for (const auto &[Name, A] : Accounts) {
    Result[Name] = {A.FleetRate,
                    A.Tokens,
                    A.FleetRate.PerSecond / static_cast<double>(Nodes),
                    A.Admitted,
                    A.Refused,
                    A.LastRefused};
  }
  return Result;
}

std::size_t ObservedShare::effectiveNodeCount(TimeMs Now) {
  // The newest count never expires.
  while (NodeCounts.size() > 1 && NodeCounts[1].first + CountMemory <= Now)
    NodeCounts.pop_front();
  return NodeCounts.empty()
             ? 1
             : std::max<std::size_t>(1, NodeCounts.front().second);
}

double ObservedShare::ratePerMs(const Account &A, TimeMs Now) {
  return A.FleetRate.PerSecond / MsPerSecond /
         static_cast<double>(effectiveNodeCount(Now));
}

double ObservedShare::depth(const Account &A, TimeMs Now) {
  const double Accrued = A.FleetRate.PerSecond *
                         static_cast<double>(Bound.Window.Value) / MsPerSecond;
  const double Allowed =
      (Accrued + A.FleetRate.Burst) * (1 + Bound.Overage) + Bound.Slack;
  const double FleetDepth = std::max(0.0, Allowed * AssignedFraction - Accrued);
  return std::max(1.0,
                  FleetDepth / static_cast<double>(effectiveNodeCount(Now)));
}

ObservedShare::Account &ObservedShare::refilled(std::string_view Organisation,
                                                TimeMs Now) {
  Account &A = Accounts.find(Organisation)->second;
  refill(A, Now);
  return A;
}

void ObservedShare::refill(Account &A, TimeMs Now) {
  const double Passed = static_cast<double>((Now - A.RefilledAt).Value);
  A.Tokens = std::min(depth(A, Now), A.Tokens + ratePerMs(A, Now) * Passed);
  A.RefilledAt = Now;
}

} // namespace fescuewood
