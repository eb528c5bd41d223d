#include "policy/TokenHolder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Remaining fraction of its term at which a lease is renewed.
constexpr double RenewalFraction = 0.15;

/// Remaining fraction of its term at which a renewal is added to another
/// message to the same meter.
constexpr double PiggybackRenewalFraction = 0.8;

/// Fraction of the demand covered, below which a rate request is added to other
/// messages.
constexpr double PiggybackRateFraction = 0.2;

/// Minimum expected requests per term for which a rate is leased.
constexpr double MinRateLeaseRequests = 3;

/// Fraction of the demand covered by rate leases; tokens for the rest are
/// requested when requests are queued.
constexpr double RateLeaseFraction = 0.8;

/// Ratio of supply to demand at which renewals reduce the leased rate.
constexpr double AmpleSupplyRatio = 1.5;

/// Maximum backoff after refused requests, for one meter and between meters.
constexpr DurationMs MaxBackoff{8000};

/// Backoff in the node's own failure domain at which rates are requested from
/// other domains as well.
constexpr DurationMs NearExhaustedBackoff{400};

/// Maximum forecast of the next token.
constexpr double MaxForecastMs = 3600 * 1000;

/// Consecutive requests without tokens after which requests back off.
constexpr std::uint32_t MaxConsecutiveMisses = 4;

/// Maximum tokens wanted by one request.
constexpr double MaxNeed = 100000;

} // namespace

bool TokenHolder::isActive(const MeterState &C, TimeMs Now) const {
  return C.ActiveSequence != 0 && Now < C.End;
}

TokenHolder::MeterState *TokenHolder::find(const SlotId &Meter) {
  const auto It =
      std::find_if(Meters.begin(), Meters.end(),
                   [&](const MeterState &C) { return C.Meter == Meter; });
  return It == Meters.end() ? nullptr : &*It;
}

void TokenHolder::setMeters(const std::vector<SlotId> &Order,
                            std::string_view OwnDomain) {
  std::vector<MeterState> Next;
  Active.clear();
  PendingTokens = 0;
  for (const SlotId &Meter : Order) {
    MeterState *Old = find(Meter);
    MeterState C = Old ? *Old : MeterState();
    C.Meter = Meter;
    C.Near = Meter.Domain == OwnDomain;
    if (C.ActiveSequence != 0 || C.Pending)
      Active.push_back(Next.size());
    PendingTokens += C.PendingNeed;
    Next.push_back(std::move(C));
  }
  Meters = std::move(Next);
  PendingRate = false;
}

TokenHolder::Backoff &TokenHolder::rateBackoff(const MeterState &C) {
  return C.Near ? NearRateBackoff : FarRateBackoff;
}

void TokenHolder::clearPending(MeterState &C) {
  PendingTokens -= C.PendingNeed;
  C.Pending = false;
  C.PendingNeed = 0;
  PendingRate = false;
}

void TokenHolder::advance(TimeMs Now) {
  std::erase_if(Active, [&](std::size_t I) {
    MeterState &C = Meters[I];
    if (isActive(C, Now)) {
      if (Now > C.AccruedTo) {
        const double Seconds =
            static_cast<double>((Now - C.AccruedTo).Value) / MsPerSecond;
        C.Level += C.Rate * (1 - Settings.MaxDrift) * Seconds;
        C.Level = std::min(C.Level, C.Cap);
        C.AccruedTo = Now;
      }
      return false;
    }
    C.ActiveSequence = 0;
    C.Level = 0;
    C.Rate = 0;
    return !C.Pending;
  });
}

double TokenHolder::level(TimeMs Now) {
  advance(Now);
  double Sum = 0;
  for (std::size_t I : Active)
    Sum += Meters[I].Level;
  return Sum;
}

double TokenHolder::rate(TimeMs Now) const {
  return sumOfActive(&MeterState::Rate, Now);
}

double TokenHolder::cap(TimeMs Now) const {
  return sumOfActive(&MeterState::Cap, Now);
}

double TokenHolder::sumOfActive(double MeterState::*Amount, TimeMs Now) const {
  double Sum = 0;
  for (std::size_t I : Active)
    if (isActive(Meters[I], Now))
      Sum += Meters[I].*Amount;
  return Sum;
}

double TokenHolder::takeUpTo(double Most, TimeMs Now) {
  advance(Now);
  double Taken = 0;
  while (Taken < Most) {
    MeterState *First = nullptr;
    for (std::size_t I : Active) {
      MeterState &C = Meters[I];
      if (C.Level > 0 && (!First || C.End < First->End))
        First = &C;
    }
    if (!First)
      break;
    const double Part = std::min(First->Level, Most - Taken);
    First->Level -= Part;
    Taken += Part;
  }
  return Taken;
}

void TokenHolder::suspend(MeterState &C, TimeMs Now) {
  C.Silent = true;
  C.NoTokenRequestsBefore = Now + Settings.SilentMeterPause;
  C.TokenBackoff.record(false, Now);
  C.RateBackoff.record(false, Now);
}

void TokenHolder::expireRequests(TimeMs Now) {
  for (std::size_t I : Active) {
    MeterState &C = Meters[I];
    if (!C.Pending || Now - C.SentAt < Settings.RequestTimeout)
      continue;
    clearPending(C);
    suspend(C, Now);
  }
}

bool TokenHolder::isRenewable(const MeterState &C, double Part,
                              TimeMs Now) const {
  if (C.Pending || C.Rate <= 0 || !isActive(C, Now) ||
      C.RenewedSequence == C.ActiveSequence)
    return false;
  if (C.Silent && Now < C.NoTokenRequestsBefore)
    return false;
  const auto Before = static_cast<std::int64_t>(
      static_cast<double>(Settings.RateLeaseTerm.Value) * Part);
  return C.End - Now <= DurationMs(Before);
}

bool TokenHolder::wantsRate(const TokenDemand &Demand) const {
  const double Term =
      static_cast<double>(Settings.RateLeaseTerm.Value) / MsPerSecond;
  return Demand.PerSecond * Term >= MinRateLeaseRequests;
}

TokenHolder::MeterState *TokenHolder::dueForRenewal(TimeMs Now) {
  for (std::size_t I : Active)
    if (isRenewable(Meters[I], RenewalFraction, Now))
      return &Meters[I];
  return nullptr;
}

std::optional<TokenRequest>
TokenHolder::piggybackRequest(const SlotId &Meter,
                              std::string_view Organisation,
                              const TokenDemand &Demand, TimeMs Now) {
  if (!wantsRate(Demand))
    return std::nullopt;
  for (std::size_t I : Active) {
    MeterState &C = Meters[I];
    if (isRenewable(C, PiggybackRenewalFraction, Now) && C.Meter == Meter)
      return makeRequest(C, Organisation, Demand, 0, Now).Request;
  }
  if (coversDemand(PiggybackRateFraction, Demand, Now))
    return std::nullopt;
  MeterState *C = find(Meter);
  if (!C || C->Pending || isActive(*C, Now) || C->RateBackoff.Until > Now)
    return std::nullopt;
  return makeRequest(*C, Organisation, Demand, 0, Now).Request;
}

bool TokenHolder::coversDemand(double Part, const TokenDemand &Demand,
                               TimeMs Now) const {
  return rate(Now) + Demand.OwnRate >= Part * Demand.PerSecond;
}

TokenHolder::MeterState *TokenHolder::nextTokenMeter(TimeMs Now) {
  if (Now < OverallTokenBackoff.Until)
    return nullptr;
  MeterState *Best = nullptr;
  for (MeterState &C : Meters) {
    if (C.Pending || C.NoTokenRequestsBefore > Now ||
        C.TokenBackoff.Until > Now)
      continue;
    if (!Best || C.TokenBackoff.Pause < Best->TokenBackoff.Pause)
      Best = &C;
  }
  return Best;
}

TokenHolder::MeterState *TokenHolder::bestRateMeter(bool Near, TimeMs Now) {
  MeterState *Best = nullptr;
  for (MeterState &C : Meters) {
    const bool Silent = C.Silent && Now < C.NoTokenRequestsBefore;
    const bool Lends = C.Rate > 0 && isActive(C, Now);
    if (C.Near != Near || C.Pending || Silent || Lends ||
        C.RateBackoff.Until > Now)
      continue;
    if (!Best || C.RateBackoff.Pause < Best->RateBackoff.Pause)
      Best = &C;
  }
  return Best;
}

TokenHolder::MeterState *TokenHolder::nextRateMeter(const TokenDemand &Demand,
                                                    TimeMs Now) {
  if (coversDemand(RateLeaseFraction, Demand, Now) || PendingRate)
    return nullptr;
  MeterState *Near = bestRateMeter(true, Now);
  if (Near && Now >= NearRateBackoff.Until)
    return Near;
  const bool NearExhausted =
      !Near || NearRateBackoff.Pause >= NearExhaustedBackoff;
  if (!NearExhausted || Now < FarRateBackoff.Until)
    return nullptr;
  return bestRateMeter(false, Now);
}

void TokenHolder::Backoff::record(bool Successful, TimeMs Now) {
  if (Successful) {
    Pause = Shortest;
    Until = Now;
    return;
  }
  Until = Now + Pause;
  Pause = std::min(Pause * 2, MaxBackoff);
}

AddressedRequest TokenHolder::makeRequest(MeterState &C,
                                          std::string_view Organisation,
                                          const TokenDemand &Demand,
                                          std::uint32_t Need, TimeMs Now) {
  const bool Leased = isActive(C, Now);
  const double Others = rate(Now) + Demand.OwnRate - (Leased ? C.Rate : 0);
  C.Pending = true;
  C.PendingNeed = Need;
  PendingTokens += Need;
  C.SentAt = Now;
  const std::size_t Index = static_cast<std::size_t>(&C - Meters.data());
  if (std::find(Active.begin(), Active.end(), Index) == Active.end())
    Active.push_back(Index);

  TokenRequest Message;
  Message.Organisation = Organisation;
  // Start at the current time: a meter that remembers an earlier holder of this
  // process would reject a lower sequence as a repeated request.
  const auto Least =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Now.Value, 0));
  LastSequence = std::max(LastSequence + 1, Least);
  C.LastSequence = LastSequence;
  Message.Sequence = LastSequence;
  Message.ActiveSequence = C.ActiveSequence;
  C.RenewedSequence = C.ActiveSequence;
  Message.Demand = std::max(0.0, Demand.PerSecond - Others);
  // Keep the leased rate on renewal unless supply is far above demand, since
  // the demand estimate fluctuates more than demand itself.
  if (Leased && Others + C.Rate < Demand.PerSecond * AmpleSupplyRatio)
    Message.Demand = std::max(Message.Demand, C.Rate);
  Message.Held = Leased ? C.Level : 0;
  Message.Need = Need;
  return {C.Meter, std::move(Message)};
}

std::optional<AddressedRequest>
TokenHolder::nextRequest(std::string_view Organisation,
                         const TokenDemand &Demand, TimeMs Now) {
  expireRequests(Now);
  const double Held = level(Now) + Demand.OwnLevel;
  // Do not request tokens again that are already requested; surplus tokens
  // would expire unused.
  const double Missing =
      std::ceil(Demand.Waiting - Held - static_cast<double>(PendingTokens));
  const auto Need =
      static_cast<std::uint32_t>(std::clamp(Missing, 0.0, MaxNeed));
  MeterState *C = nullptr;
  // Request rates first: a rate saves many later requests when bytes are
  // scarce.
  if (wantsRate(Demand))
    C = dueForRenewal(Now);
  if (!C && wantsRate(Demand)) {
    C = nextRateMeter(Demand, Now);
    PendingRate |= C != nullptr;
  }
  if (!C && Need > 0 && Demand.MayRequestTokens)
    C = nextTokenMeter(Now);
  if (!C)
    return std::nullopt;
  return makeRequest(*C, Organisation, Demand, Need, Now);
}

void TokenHolder::onGrant(const SlotId &Meter, const TokenGrant &Grant,
                          TimeMs Now) {
  MeterState *C = find(Meter);
  if (!C || !C->Pending || Grant.Sequence != C->LastSequence)
    return;
  advance(Now);
  if (PendingRate)
    rateBackoff(*C).record(Grant.Rate > 0, Now);
  if (C->PendingNeed > 0)
    recordTokenResult(*C, Grant.Tokens > 0, Now);
  else
    C->RateBackoff.record(Grant.Rate > 0, Now);
  clearPending(*C);
  C->Silent = false;
  C->NoTokenRequestsBefore = Now + Grant.RequestDelay;
  C->NextTokenAt = Now + Grant.TokenDelay;
  const TimeMs End = C->SentAt + Grant.Term;
  if (Grant.Cap <= 0 || End <= Now)
    return;
  C->Level = std::min(C->Level + Grant.Tokens, Grant.Cap);
  C->Rate = Grant.Rate;
  C->Cap = Grant.Cap;
  // Skip one clock step: the meter may itself have accrued tokens at this rate
  // for less than a step after the grant.
  C->AccruedTo = Now + Settings.ClockStep;
  C->End = End;
  C->ActiveSequence = Grant.Sequence;
}

void TokenHolder::recordTokenResult(MeterState &C, bool Successful,
                                    TimeMs Now) {
  C.TokenBackoff.record(Successful, Now);
  ConsecutiveMisses = Successful ? 0 : ConsecutiveMisses + 1;
  // Back off, so that an organisation far above its rate does not use up the
  // byte limit shared with others.
  if (Successful || ConsecutiveMisses >= MaxConsecutiveMisses)
    OverallTokenBackoff.record(Successful, Now);
}

void TokenHolder::onRequestFailed(const SlotId &Meter, std::uint64_t Sequence,
                                  TimeMs Now) {
  MeterState *C = find(Meter);
  if (!C || !C->Pending || Sequence != C->LastSequence)
    return;
  clearPending(*C);
  suspend(*C, Now);
}

TimeMs TokenHolder::nextLocalToken(const TokenDemand &Demand, TimeMs Now) {
  advance(Now);
  std::vector<const MeterState *> Leases;
  for (std::size_t I : Active)
    if (isActive(Meters[I], Now))
      Leases.push_back(&Meters[I]);
  std::sort(
      Leases.begin(), Leases.end(),
      [](const MeterState *L, const MeterState *R) { return L->End > R->End; });
  // Tokens of a lease are lost when it expires, so only leases count that last
  // until the forecast time. Try all of them, then drop the first to expire.
  while (true) {
    double Level = Demand.OwnLevel - Demand.Waiting;
    double Rate = Demand.OwnRate;
    for (const MeterState *C : Leases) {
      Level += C->Level;
      Rate += C->Rate;
    }
    const double Usable = Rate * (1 - Settings.MaxDrift);
    if (Usable > 0) {
      const double Ms =
          std::ceil(std::max(0.0, 1 - Level) / Usable * MsPerSecond);
      const TimeMs At =
          Now +
          DurationMs(static_cast<std::int64_t>(std::min(Ms, MaxForecastMs))) +
          Settings.ClockStep;
      if (Leases.empty() || At < Leases.back()->End)
        return At;
    }
    if (Leases.empty())
      return Never;
    Leases.pop_back();
  }
}

TimeMs TokenHolder::nextToken(const TokenDemand &Demand, TimeMs Now) {
  TimeMs First = nextLocalToken(Demand, Now);
  for (const MeterState &C : Meters)
    if (!C.Silent && C.NextTokenAt > Now)
      First = std::min(First, C.NextTokenAt);
  return First;
}

void TokenHolder::discard() {
  for (MeterState &C : Meters) {
    clearPending(C);
    C.ActiveSequence = 0;
    C.Level = 0;
    C.Rate = 0;
  }
  Active.clear();
}

} // namespace fescuewood
