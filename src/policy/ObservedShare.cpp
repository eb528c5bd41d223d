#include "policy/ObservedShare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Part of the bound that is given out; the rest covers nodes whose views of
/// the fleet differ.
constexpr double GivenOut = 0.85;

/// Longest wait that is named.
constexpr std::int64_t LongestWaitMs = 60 * 1000;

/// A number of nodes counts for so long: longer than a partition usually lasts.
constexpr DurationMs CountMemory{20 * 1000};

} // namespace

void ObservedShare::setRates(const Snapshot &Config, TimeMs Now) {
  std::map<std::string, Account, std::less<>> Next;
  for (const auto &[Name, Declared] : Config.Organisations) {
    const auto Whole = Config.Rates.find(Declared.Rate);
    if (Whole == Config.Rates.end())
      continue;
    Account Each;
    Each.FilledAt = Now;
    if (const auto Known = Accounts.find(Name); Known != Accounts.end()) {
      fill(Known->second, Now);
      Each = Known->second;
    }
    Each.Whole = Whole->second;
    Each.Tokens = std::min(Each.Tokens, depth(Each, Now));
    Next.emplace(Name, Each);
  }
  Accounts = std::move(Next);
}

void ObservedShare::setNodes(std::size_t Count, TimeMs Now) {
  for (auto &[Name, Each] : Accounts)
    fill(Each, Now);
  while (!Counts.empty() && Counts.back().second <= Count)
    Counts.pop_back();
  Counts.emplace_back(Now, Count);
}

bool ObservedShare::take(std::string_view Organisation, TimeMs Now) {
  Account &A = filled(Organisation, Now);
  if (A.Tokens < 1)
    return false;
  A.Tokens -= 1;
  ++A.Admitted;
  return true;
}

RateDecision ObservedShare::refuse(std::string_view Organisation, TimeMs Now) {
  Account &A = filled(Organisation, Now);
  ++A.Refused;
  A.LastRefused = Now;
  return {false, untilTokens(Organisation, 1, Now)};
}

double ObservedShare::tokens(std::string_view Organisation, TimeMs Now) {
  return filled(Organisation, Now).Tokens;
}

double ObservedShare::depth(std::string_view Organisation, TimeMs Now) {
  return depth(filled(Organisation, Now), Now);
}

DurationMs ObservedShare::untilTokens(std::string_view Organisation,
                                      double Wanted, TimeMs Now) {
  const Account &A = filled(Organisation, Now);
  const double Missing = std::max(0.0, Wanted - A.Tokens);
  const double Wait =
      std::min(Missing / ratePerMs(A, Now), static_cast<double>(LongestWaitMs));
  return DurationMs(static_cast<std::int64_t>(std::ceil(Wait)));
}

void ObservedShare::give(std::string_view Organisation, double Count,
                         TimeMs Now) {
  Account &A = filled(Organisation, Now);
  A.Tokens = std::max(0.0, A.Tokens - Count);
}

void ObservedShare::add(std::string_view Organisation, double Count,
                        TimeMs Now) {
  Account &A = filled(Organisation, Now);
  A.Tokens = std::min(depth(A, Now), A.Tokens + Count);
}

std::map<std::string, ObservedShareFigures, std::less<>>
ObservedShare::statistics() const {
  std::map<std::string, ObservedShareFigures, std::less<>> Result;
  const std::size_t Nodes = Counts.empty() ? 1 : Counts.front().second;
  for (const auto &[Name, A] : Accounts)
    Result[Name] = {
        A.Whole,    A.Tokens,  A.Whole.PerSecond / static_cast<double>(Nodes),
        A.Admitted, A.Refused, A.LastRefused};
  return Result;
}

std::size_t ObservedShare::nodes(TimeMs Now) {
  // The newest count holds until there is a newer one.
  while (Counts.size() > 1 && Counts[1].first + CountMemory <= Now)
    Counts.pop_front();
  return Counts.empty() ? 1 : std::max<std::size_t>(1, Counts.front().second);
}

double ObservedShare::ratePerMs(const Account &A, TimeMs Now) {
  return A.Whole.PerSecond / MsPerSecond / static_cast<double>(nodes(Now));
}

double ObservedShare::depth(const Account &A, TimeMs Now) {
  const double Accrued =
      A.Whole.PerSecond * static_cast<double>(Bound.Window.Value) / MsPerSecond;
  const double Whole =
      (Accrued + A.Whole.Burst) * (1 + Bound.Overage) + Bound.Slack;
  const double All = std::max(0.0, Whole * GivenOut - Accrued);
  return std::max(1.0, All / static_cast<double>(nodes(Now)));
}

ObservedShare::Account &ObservedShare::filled(std::string_view Organisation,
                                              TimeMs Now) {
  Account &A = Accounts.find(Organisation)->second;
  fill(A, Now);
  return A;
}

void ObservedShare::fill(Account &A, TimeMs Now) {
  const double Passed = static_cast<double>((Now - A.FilledAt).Value);
  A.Tokens = std::min(depth(A, Now), A.Tokens + ratePerMs(A, Now) * Passed);
  A.FilledAt = Now;
}

} // namespace fescuewood
