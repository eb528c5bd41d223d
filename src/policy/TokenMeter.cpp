#include "policy/TokenMeter.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Fraction of the burst that is leased in proportion to demand; the rest is
/// reserved for queued requests.
constexpr double LeasedCapFraction = 0.9;

/// Total demand is taken to be at least this fraction of the rate, so that a
/// single small holder does not get the whole share.
constexpr double MinDemandFraction = 0.8;

/// Minimum capacity of a lease with a rate, in tokens.
constexpr double MinRateLeaseCap = 2;

/// Minimum requests per term for which a rate is leased.
constexpr double MinRateLeaseRequests = 3;

/// Maximum delay imposed on a holder; after it, the demand of other nodes may
/// have changed.
constexpr DurationMs MaxRequestDelay{500};

/// Maximum forecast of the next token.
constexpr DurationMs MaxTokenDelay{3600 * 1000};

/// Rates up to this, in tokens per second, are treated as rounding errors.
constexpr double MinRate = 1e-6;

double seconds(DurationMs Span) {
  return static_cast<double>(Span.Value) / MsPerSecond;
}

} // namespace

TokenMeter::TokenMeter(const TokenSettings &Settings, TimeMs Start)
    : Settings(Settings), AccruedTo(Start) {}

double TokenMeter::rate() const {
  return std::max(0.0, Share.PerSecond - LeasedRate);
}

double TokenMeter::cap() const {
  return std::max(0.0, Share.Burst - LeasedCap);
}

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
    dropExpired(NextEnd);
  }
  accrue(Now);
}

void TokenMeter::dropExpired(TimeMs Now) {
  NextEnd = Never;
  for (auto &[Id, H] : Holders) {
    std::erase_if(H.Granted, [Now](const Terms &T) { return T.End <= Now; });
    updateTotals(H);
    for (const Terms &T : H.Granted)
      NextEnd = std::min(NextEnd, T.End);
  }
}

void TokenMeter::updateTotals(Holder &H) {
  LeasedRate -= H.Rate;
  LeasedCap -= H.Cap;
  H.Rate = 0;
  H.Cap = 0;
  for (const Terms &T : H.Granted) {
    H.Rate = std::max(H.Rate, T.Rate);
    H.Cap = std::max(H.Cap, T.Cap);
  }
  LeasedRate += H.Rate;
  LeasedCap += H.Cap;
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

void TokenMeter::removeIdleHolders(TimeMs Now) {
  const DurationMs Idle = Settings.fence();
  std::erase_if(Holders, [&](const auto &Item) {
    const Holder &H = Item.second;
    return H.Granted.empty() && Now - H.LastRequestAt > Idle;
  });
}

double TokenMeter::demandOfOthers(const Holder &Requester) const {
  double Sum = 0;
  for (const auto &[Id, H] : Holders)
    if (&H != &Requester &&
        AccruedTo - H.LastRequestAt <= Settings.RateLeaseTerm)
      Sum += H.Demand;
  return Sum;
}

TokenGrant TokenMeter::computeTerms(const Holder &H,
                                    const TokenRequest &Request,
                                    double TotalDemand) const {
  // Leases of other holders count against the current share, which may have
  // become smaller than what is leased.
  const double FreeRate =
      std::max(0.0, Share.PerSecond - (LeasedRate - H.Rate));
  const double FreeCap = std::max(0.0, Share.Burst - (LeasedCap - H.Cap));
  const double Counted =
      std::max(TotalDemand, Share.PerSecond * MinDemandFraction);
  const double MaxLeasedCap = LeasedCapFraction * Share.Burst;
  const double Part = Counted > 0 ? Request.Demand / Counted : 0;
  const double RateLeaseCap = std::min(MaxLeasedCap * Part, FreeCap);
  const double Wanted = Request.Held + Request.Need;

  TokenGrant Grant;
  Grant.Term = Settings.TokenLeaseTerm;
  Grant.Cap = std::min(Wanted, FreeCap);
  const bool HasRate =
      RateLeaseCap >= MinRateLeaseCap &&
      Request.Demand * seconds(Settings.RateLeaseTerm) >= MinRateLeaseRequests;
  if (HasRate) {
    Grant.Term = Settings.RateLeaseTerm;
    Grant.Rate = std::min(Request.Demand, Share.PerSecond * Part);
    Grant.Rate = std::min(Grant.Rate, FreeRate);
    Grant.Cap = std::min(std::max(RateLeaseCap, Wanted), FreeCap);
  }
  Grant.Tokens = std::clamp(Grant.Cap - Request.Held, 0.0, Level);
  if (!HasRate)
    Grant.Tokens = std::floor(Grant.Tokens);
  return Grant;
}

DurationMs TokenMeter::nextTokenDelay(TimeMs Now) const {
  if (Level >= 1)
    return DurationMs(0);
  // If the whole rate is leased, tokens accrue again when a lease expires.
  const bool AllLeased = rate() <= MinRate && NextEnd != Never;
  const DurationMs Wait = AllLeased ? NextEnd - Now : DurationMs(0);
  const double Accrual =
      (AllLeased ? Share.PerSecond : rate()) * (1 - Settings.MaxDrift);
  if (Accrual <= MinRate)
    return MaxTokenDelay;
  const double Ms = std::ceil((1 - Level) / Accrual * MsPerSecond);
  const DurationMs Rest(static_cast<std::int64_t>(
      std::min(Ms, static_cast<double>(MaxTokenDelay.Value))));
  return Wait + Rest + Settings.ClockStep;
}

TokenGrant TokenMeter::grant(const HolderId &Id, const TokenRequest &Request,
                             double LocalDemand, TimeMs Now) {
  advance(Now);
  TokenGrant Refusal;
  Refusal.Organisation = Request.Organisation;
  Refusal.Sequence = Request.Sequence;
  Refusal.RequestDelay = MaxRequestDelay;
  Refusal.TokenDelay = MaxTokenDelay;
  const bool Valid = Request.Demand >= 0 && Request.Held >= 0 &&
                     std::isfinite(Request.Demand) &&
                     std::isfinite(Request.Held);
  if (!Valid || Now < AccruedTo)
    return Refusal;
  if (!Holders.contains(Id) && Holders.size() >= MaxHolders) {
    removeIdleHolders(Now);
    if (Holders.size() >= MaxHolders)
      return Refusal;
  }
  Holder &H = Holders[Id];
  // The request is a duplicate or was overtaken by a newer one.
  if (Request.Sequence <= H.LastSequence)
    return Refusal;
  H.LastSequence = Request.Sequence;
  H.Demand = Request.Demand;
  H.LastRequestAt = Now;
  std::erase_if(H.Granted, [&](const Terms &T) {
    return T.Sequence < Request.ActiveSequence;
  });
  updateTotals(H);

  const double TotalDemand = LocalDemand + Request.Demand + demandOfOthers(H);
  TokenGrant Grant = computeTerms(H, Request, TotalDemand);
  Grant.Organisation = Request.Organisation;
  Grant.Sequence = Request.Sequence;
  if (Grant.Tokens > 0 || Grant.Rate > 0)
    recordLease(H, Grant, Now);
  else
    Grant.Cap = 0;
  if (Grant.Tokens < Request.Need) {
    Grant.TokenDelay = nextTokenDelay(Now);
    Grant.RequestDelay = std::min(Grant.TokenDelay, MaxRequestDelay);
    if (TotalDemand >= Share.PerSecond)
      Grant.RequestDelay = MaxRequestDelay;
    Grant.TokenDelay = std::max(Grant.TokenDelay, Grant.RequestDelay);
  }
  return Grant;
}

void TokenMeter::recordLease(Holder &H, const TokenGrant &Grant, TimeMs Now) {
  const auto Term = static_cast<std::int64_t>(std::ceil(
      static_cast<double>(Grant.Term.Value) * (1 + 3 * Settings.MaxDrift)));
  const TimeMs End = Now + DurationMs(Term) + Settings.TermMargin;
  Level -= Grant.Tokens;
  H.Granted.push_back({Grant.Sequence, Grant.Rate, Grant.Cap, End});
  NextEnd = std::min(NextEnd, End);
  updateTotals(H);
  Level = std::min(Level, cap());
}

} // namespace fescuewood
