#include "policy/TokenMeter.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Fraction of the burst that is leased in proportion to demand; the rest is
/// reserved for queued requests.
constexpr double LentCapPart = 0.9;

/// Total demand is taken to be at least this fraction of the rate, so that a
/// single small holder does not get the whole share.
constexpr double LeastDemandPart = 0.8;

/// Minimum capacity of a lease with a rate, in tokens.
constexpr double MinFlowCap = 2;

/// Minimum requests per term for which a rate is leased.
constexpr double MinFlowRequests = 3;

/// Maximum delay imposed on a holder; after it, the demand of other nodes may
/// have changed.
constexpr DurationMs LongestQuiet{500};

/// Maximum forecast of the next token.
constexpr DurationMs LongestReady{3600 * 1000};

/// Rates up to this, in tokens per second, are treated as rounding errors.
constexpr double LeastRate = 1e-6;

double seconds(DurationMs Span) {
  return static_cast<double>(Span.Value) / MsPerSecond;
}

} // namespace

TokenMeter::TokenMeter(const TokenSettings &Settings, TimeMs Start)
    : Settings(Settings), AccruedTo(Start) {}

double TokenMeter::rate() const {
  return std::max(0.0, Share.PerSecond - LentRate);
}

double TokenMeter::cap() const { return std::max(0.0, Share.Burst - LentCap); }

void TokenMeter::setShare(const TokenShare &NewShare, TimeMs Now) {
  advance(Now);
  Share = NewShare;
  // A clock that counts whole steps may credit one step too many per window.
  Share.Burst -= Share.PerSecond * seconds(Settings.ClockStep);
  Share.Burst = std::max(Share.Burst, 0.0);
  Level = std::min(Level, cap());
}

void TokenMeter::accrue(TimeMs Until) {
  // Nothing accrues while the clock stands still or goes back, and no time is
  // credited twice when it advances again.
  if (Until <= AccruedTo)
    return;
  Level += rate() * (1 - Settings.MaxDrift) * seconds(Until - AccruedTo);
  Level = std::min(Level, cap());
  AccruedTo = Until;
}

void TokenMeter::advance(TimeMs Now) {
  while (NextEnd <= Now) {
    accrue(NextEnd);
    dropLapsed(NextEnd);
  }
  accrue(Now);
}

void TokenMeter::dropLapsed(TimeMs Now) {
  NextEnd = Never;
  for (auto &[Id, H] : Holders) {
    std::erase_if(H.Granted, [Now](const Terms &T) { return T.End <= Now; });
    recount(H);
    for (const Terms &T : H.Granted)
      NextEnd = std::min(NextEnd, T.End);
  }
}

void TokenMeter::recount(Holder &H) {
  LentRate -= H.Rate;
  LentCap -= H.Cap;
  H.Rate = 0;
  H.Cap = 0;
  for (const Terms &T : H.Granted) {
    H.Rate = std::max(H.Rate, T.Rate);
    H.Cap = std::max(H.Cap, T.Cap);
  }
  LentRate += H.Rate;
  LentCap += H.Cap;
}

bool TokenMeter::take(double Tokens, TimeMs Now) {
  advance(Now);
  if (Level < Tokens)
    return false;
  Level -= Tokens;
  return true;
}

double TokenMeter::takeUpTo(double Most, TimeMs Now) {
  advance(Now);
  const double Taken = std::min(Level, Most);
  Level -= Taken;
  return Taken;
}

double TokenMeter::level(TimeMs Now) {
  advance(Now);
  return Level;
}

void TokenMeter::discard(TimeMs Now) {
  advance(Now);
  Level = 0;
}

void TokenMeter::forgetIdle(TimeMs Now) {
  const DurationMs Idle = Settings.fence();
  std::erase_if(Holders, [&](const auto &Item) {
    const Holder &H = Item.second;
    return H.Granted.empty() && Now - H.LastAsk > Idle;
  });
}

double TokenMeter::demandOfOthers(const Holder &Asker) const {
  double Sum = 0;
  for (const auto &[Id, H] : Holders)
    if (&H != &Asker && AccruedTo - H.LastAsk <= Settings.FlowTerm)
      Sum += H.Demand;
  return Sum;
}

TokenGrant TokenMeter::terms(const Holder &H, const TokenAsk &Ask,
                             double TotalDemand) const {
  // Leases of other holders count against the current share, which may have
  // become smaller than what is leased.
  const double FreeRate = std::max(0.0, Share.PerSecond - (LentRate - H.Rate));
  const double FreeCap = std::max(0.0, Share.Burst - (LentCap - H.Cap));
  const double Counted =
      std::max(TotalDemand, Share.PerSecond * LeastDemandPart);
  const double LentCapMost = LentCapPart * Share.Burst;
  const double Part = Counted > 0 ? Ask.Demand / Counted : 0;
  const double FlowCap = std::min(LentCapMost * Part, FreeCap);
  const double Wanted = Ask.Held + Ask.Need;

  TokenGrant Given;
  Given.Term = Settings.SpotTerm;
  Given.Cap = std::min(Wanted, FreeCap);
  const bool Flows = FlowCap >= MinFlowCap &&
                     Ask.Demand * seconds(Settings.FlowTerm) >= MinFlowRequests;
  if (Flows) {
    Given.Term = Settings.FlowTerm;
    Given.Rate = std::min(Ask.Demand, Share.PerSecond * Part);
    Given.Rate = std::min(Given.Rate, FreeRate);
    Given.Cap = std::min(std::max(FlowCap, Wanted), FreeCap);
  }
  Given.Tokens = std::clamp(Given.Cap - Ask.Held, 0.0, Level);
  if (!Flows)
    Given.Tokens = std::floor(Given.Tokens);
  return Given;
}

DurationMs TokenMeter::readyIn(TimeMs Now) const {
  if (Level >= 1)
    return DurationMs(0);
  // If the whole rate is leased, tokens accrue again when a lease expires.
  const bool AllLent = rate() <= LeastRate && NextEnd != Never;
  const DurationMs Wait = AllLent ? NextEnd - Now : DurationMs(0);
  const double Accrual =
      (AllLent ? Share.PerSecond : rate()) * (1 - Settings.MaxDrift);
  if (Accrual <= LeastRate)
    return LongestReady;
  const double Ms = std::ceil((1 - Level) / Accrual * MsPerSecond);
  const DurationMs Rest(static_cast<std::int64_t>(
      std::min(Ms, static_cast<double>(LongestReady.Value))));
  return Wait + Rest + Settings.ClockStep;
}

TokenGrant TokenMeter::grant(const HolderId &Id, const TokenAsk &Ask,
                             double LocalDemand, TimeMs Now) {
  advance(Now);
  TokenGrant Nothing;
  Nothing.Organisation = Ask.Organisation;
  Nothing.Sequence = Ask.Sequence;
  Nothing.Quiet = LongestQuiet;
  Nothing.Ready = LongestReady;
  const bool Sane = Ask.Demand >= 0 && Ask.Held >= 0 &&
                    std::isfinite(Ask.Demand) && std::isfinite(Ask.Held);
  if (!Sane || Now < AccruedTo)
    return Nothing;
  if (!Holders.contains(Id) && Holders.size() >= MaxHolders) {
    forgetIdle(Now);
    if (Holders.size() >= MaxHolders)
      return Nothing;
  }
  Holder &H = Holders[Id];
  // The request is a duplicate or was overtaken by a newer one.
  if (Ask.Sequence <= H.LastSequence)
    return Nothing;
  H.LastSequence = Ask.Sequence;
  H.Demand = Ask.Demand;
  H.LastAsk = Now;
  std::erase_if(H.Granted,
                [&](const Terms &T) { return T.Sequence < Ask.Adopted; });
  recount(H);

  const double TotalDemand = LocalDemand + Ask.Demand + demandOfOthers(H);
  TokenGrant Given = terms(H, Ask, TotalDemand);
  Given.Organisation = Ask.Organisation;
  Given.Sequence = Ask.Sequence;
  if (Given.Tokens > 0 || Given.Rate > 0)
    lend(H, Given, Now);
  else
    Given.Cap = 0;
  if (Given.Tokens < Ask.Need) {
    Given.Ready = readyIn(Now);
    Given.Quiet = std::min(Given.Ready, LongestQuiet);
    if (TotalDemand >= Share.PerSecond)
      Given.Quiet = LongestQuiet;
    Given.Ready = std::max(Given.Ready, Given.Quiet);
  }
  return Given;
}

void TokenMeter::lend(Holder &H, const TokenGrant &Given, TimeMs Now) {
  const auto Term = static_cast<std::int64_t>(std::ceil(
      static_cast<double>(Given.Term.Value) * (1 + 3 * Settings.MaxDrift)));
  const TimeMs End = Now + DurationMs(Term) + Settings.TermMargin;
  Level -= Given.Tokens;
  H.Granted.push_back({Given.Sequence, Given.Rate, Given.Cap, End});
  NextEnd = std::min(NextEnd, End);
  recount(H);
  Level = std::min(Level, cap());
}

} // namespace fescuewood
