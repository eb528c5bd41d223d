#include "policy/TokenMeter.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Part of the burst that is lent in proportion to demand; the rest is kept for
/// asks of requests that wait.
constexpr double LentCapPart = 0.9;

/// Demand counts at least as this part of the rate, so that a single small
/// holder does not get the whole share.
constexpr double LeastDemandPart = 0.8;

/// Smallest cap with which a lease that carries a rate is of use, in tokens.
constexpr double MinFlowCap = 2;

/// Fewest requests in a term for which a rate is lent.
constexpr double MinFlowRequests = 3;

/// Longest pause asked of a holder; demand elsewhere may have changed by then.
constexpr DurationMs LongestQuiet{500};

/// Longest time told until a token can be had.
constexpr DurationMs LongestReady{3600 * 1000};

/// Rates below this are left over by rounding, in tokens a second.
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
  // A clock of whole milliseconds credits up to one too many in a window.
  Share.Burst -= Share.PerSecond * seconds(Settings.ClockStep);
  Share.Burst = std::max(Share.Burst, 0.0);
  Level = std::min(Level, cap());
}

void TokenMeter::accrue(TimeMs Until) {
  // Time that stands still or goes back gives nothing, and is not counted
  // again when it moves on.
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
    if (&H != &Asker && AccruedTo - H.LastAsk <= Settings.RateLeaseTerm)
      Sum += H.Demand;
  return Sum;
}

TokenGrant TokenMeter::terms(const Holder &H, const TokenRequest &Ask,
                             double TotalDemand) const {
  // What the other holders have counts against the present share, which may
  // have become smaller than what is lent.
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
  const bool Flows =
      FlowCap >= MinFlowCap &&
      Ask.Demand * seconds(Settings.RateLeaseTerm) >= MinFlowRequests;
  if (Flows) {
    Given.Term = Settings.RateLeaseTerm;
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
  // With everything lent, tokens come again when the first lease is over.
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

TokenGrant TokenMeter::grant(const HolderId &Id, const TokenRequest &Ask,
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
  // A repeated or overtaken ask was answered already.
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
