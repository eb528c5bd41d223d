#include "policy/TokenHolder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// A lease is renewed when less than this part of its term is left.
constexpr double RenewPart = 0.15;

/// Its renewal goes along with other messages to its meter when less than this
/// part is left.
constexpr double CompanionPart = 0.8;

/// With less than this part of the demand supplied, other messages carry an ask
/// for a rate along.
constexpr double CompanionRatePart = 0.2;

/// Fewest requests expected in a term for which a rate is leased.
constexpr double MinFlowRequests = 3;

/// Part of the demand for which rates are leased; the rest is asked for when
/// requests wait.
constexpr double EnoughRatePart = 0.8;

/// Supply above this multiple of demand is more than enough.
constexpr double AmpleFactor = 1.5;

/// The time until a meter that had nothing to give is asked again doubles with
/// each such answer up to this. The same holds between meters asked for a rate.
constexpr DurationMs LongestPause{8000};

/// With such a pause between vain asks for a rate in the own failure domain,
/// the others are asked as well.
constexpr DurationMs DryPause{400};

/// Longest forecast of the next token.
constexpr double LongestForecastMs = 3600 * 1000;

/// After so many meters in a row without a token, asking pauses.
constexpr std::uint32_t MaxMisses = 4;

/// Most tokens asked for at once.
constexpr double MaxNeed = 100000;

} // namespace

bool TokenHolder::inForce(const Contact &C, TimeMs Now) const {
  return C.Adopted != 0 && Now < C.End;
}

TokenHolder::Contact *TokenHolder::find(const SlotId &Meter) {
  const auto It =
      std::find_if(Contacts.begin(), Contacts.end(),
                   [&](const Contact &C) { return C.Meter == Meter; });
  return It == Contacts.end() ? nullptr : &*It;
}

void TokenHolder::setMeters(const std::vector<SlotId> &Order,
                            std::string_view OwnDomain) {
  std::vector<Contact> Next;
  Active.clear();
  PendingTokens = 0;
  for (const SlotId &Meter : Order) {
    Contact *Old = find(Meter);
    Contact C = Old ? *Old : Contact();
    C.Meter = Meter;
    C.Near = Meter.Domain == OwnDomain;
    if (C.Adopted != 0 || C.Pending)
      Active.push_back(Next.size());
    PendingTokens += C.PendingNeed;
    Next.push_back(std::move(C));
  }
  Contacts = std::move(Next);
  PendingRate = false;
}

TokenHolder::Backoff &TokenHolder::ratesOf(const Contact &C) {
  return C.Near ? NearRates : FarRates;
}

void TokenHolder::settle(Contact &C) {
  PendingTokens -= C.PendingNeed;
  C.Pending = false;
  C.PendingNeed = 0;
  PendingRate = false;
}

void TokenHolder::advance(TimeMs Now) {
  std::erase_if(Active, [&](std::size_t I) {
    Contact &C = Contacts[I];
    if (inForce(C, Now)) {
      if (Now > C.AccruedTo) {
        const double Seconds =
            static_cast<double>((Now - C.AccruedTo).Value) / MsPerSecond;
        C.Level += C.Rate * (1 - Settings.MaxDrift) * Seconds;
        C.Level = std::min(C.Level, C.Cap);
        C.AccruedTo = Now;
      }
      return false;
    }
    C.Adopted = 0;
    C.Level = 0;
    C.Rate = 0;
    return !C.Pending;
  });
}

double TokenHolder::level(TimeMs Now) {
  advance(Now);
  double Sum = 0;
  for (std::size_t I : Active)
    Sum += Contacts[I].Level;
  return Sum;
}

double TokenHolder::rate(TimeMs Now) const {
  double Sum = 0;
  for (std::size_t I : Active)
    if (inForce(Contacts[I], Now))
      Sum += Contacts[I].Rate;
  return Sum;
}

double TokenHolder::cap(TimeMs Now) const {
  double Sum = 0;
  for (std::size_t I : Active)
    if (inForce(Contacts[I], Now))
      Sum += Contacts[I].Cap;
  return Sum;
}

double TokenHolder::takeUpTo(double Most, TimeMs Now) {
  advance(Now);
  double Taken = 0;
  while (Taken < Most) {
    Contact *First = nullptr;
    for (std::size_t I : Active) {
      Contact &C = Contacts[I];
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

void TokenHolder::passOver(Contact &C, TimeMs Now) {
  C.Silent = true;
  C.QuietUntil = Now + Settings.SilentMeterPause;
  C.AvoidTokens.note(false, Now);
  C.AvoidRate.note(false, Now);
}

void TokenHolder::expireAsks(TimeMs Now) {
  for (std::size_t I : Active) {
    Contact &C = Contacts[I];
    if (!C.Pending || Now - C.SentAt < Settings.AskTimeout)
      continue;
    settle(C);
    passOver(C, Now);
  }
}

bool TokenHolder::renewable(const Contact &C, double Part, TimeMs Now) const {
  if (C.Pending || C.Rate <= 0 || !inForce(C, Now) || C.Renewed == C.Adopted)
    return false;
  if (C.Silent && Now < C.QuietUntil)
    return false;
  const auto Before = static_cast<std::int64_t>(
      static_cast<double>(Settings.RateLeaseTerm.Value) * Part);
  return C.End - Now <= DurationMs(Before);
}

bool TokenHolder::wantsRate(const TokenDemand &Demand) const {
  const double Term =
      static_cast<double>(Settings.RateLeaseTerm.Value) / MsPerSecond;
  return Demand.PerSecond * Term >= MinFlowRequests;
}

TokenHolder::Contact *TokenHolder::dueForRenewal(TimeMs Now) {
  for (std::size_t I : Active)
    if (renewable(Contacts[I], RenewPart, Now))
      return &Contacts[I];
  return nullptr;
}

std::optional<TokenRequest>
TokenHolder::companionAsk(const SlotId &Meter, std::string_view Organisation,
                          const TokenDemand &Demand, TimeMs Now) {
  if (!wantsRate(Demand))
    return std::nullopt;
  for (std::size_t I : Active) {
    Contact &C = Contacts[I];
    if (renewable(C, CompanionPart, Now) && C.Meter == Meter)
      return ask(C, Organisation, Demand, 0, Now).Ask;
  }
  if (suppliedFor(CompanionRatePart, Demand, Now))
    return std::nullopt;
  Contact *C = find(Meter);
  if (!C || C->Pending || inForce(*C, Now) || C->AvoidRate.Until > Now)
    return std::nullopt;
  return ask(*C, Organisation, Demand, 0, Now).Ask;
}

bool TokenHolder::suppliedFor(double Part, const TokenDemand &Demand,
                              TimeMs Now) const {
  return rate(Now) + Demand.OwnRate >= Part * Demand.PerSecond;
}

TokenHolder::Contact *TokenHolder::nextForNeed(TimeMs Now) {
  if (Now < Needs.Until)
    return nullptr;
  Contact *Best = nullptr;
  for (Contact &C : Contacts) {
    if (C.Pending || C.QuietUntil > Now || C.AvoidTokens.Until > Now)
      continue;
    if (!Best || C.AvoidTokens.Pause < Best->AvoidTokens.Pause)
      Best = &C;
  }
  return Best;
}

TokenHolder::Contact *TokenHolder::bestForRate(bool Near, TimeMs Now) {
  Contact *Best = nullptr;
  for (Contact &C : Contacts) {
    const bool Silent = C.Silent && Now < C.QuietUntil;
    const bool Lends = C.Rate > 0 && inForce(C, Now);
    if (C.Near != Near || C.Pending || Silent || Lends ||
        C.AvoidRate.Until > Now)
      continue;
    if (!Best || C.AvoidRate.Pause < Best->AvoidRate.Pause)
      Best = &C;
  }
  return Best;
}

TokenHolder::Contact *TokenHolder::nextForRate(const TokenDemand &Demand,
                                               TimeMs Now) {
  if (suppliedFor(EnoughRatePart, Demand, Now) || PendingRate)
    return nullptr;
  Contact *Near = bestForRate(true, Now);
  if (Near && Now >= NearRates.Until)
    return Near;
  const bool NearIsDry = !Near || NearRates.Pause >= DryPause;
  if (!NearIsDry || Now < FarRates.Until)
    return nullptr;
  return bestForRate(false, Now);
}

void TokenHolder::Backoff::note(bool Useful, TimeMs Now) {
  if (Useful) {
    Pause = Shortest;
    Until = Now;
    return;
  }
  Until = Now + Pause;
  Pause = std::min(Pause * 2, LongestPause);
}

AddressedAsk TokenHolder::ask(Contact &C, std::string_view Organisation,
                              const TokenDemand &Demand, std::uint32_t Need,
                              TimeMs Now) {
  const bool Leased = inForce(C, Now);
  const double Others = rate(Now) + Demand.OwnRate - (Leased ? C.Rate : 0);
  C.Pending = true;
  C.PendingNeed = Need;
  PendingTokens += Need;
  C.SentAt = Now;
  const std::size_t Index = static_cast<std::size_t>(&C - Contacts.data());
  if (std::find(Active.begin(), Active.end(), Index) == Active.end())
    Active.push_back(Index);

  TokenRequest Message;
  Message.Organisation = Organisation;
  // Never below the time, so that a meter which remembers an earlier holder of
  // this process does not take the ask for a repeated one.
  const auto Least =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Now.Value, 0));
  LastSequence = std::max(LastSequence + 1, Least);
  C.LastSequence = LastSequence;
  Message.Sequence = LastSequence;
  Message.Adopted = C.Adopted;
  C.Renewed = C.Adopted;
  Message.Demand = std::max(0.0, Demand.PerSecond - Others);
  // Unless there is far too much, a lease is renewed as it is: the estimate of
  // demand swings more than demand does.
  if (Leased && Others + C.Rate < Demand.PerSecond * AmpleFactor)
    Message.Demand = std::max(Message.Demand, C.Rate);
  Message.Held = Leased ? C.Level : 0;
  Message.Need = Need;
  return {C.Meter, std::move(Message)};
}

std::optional<AddressedAsk> TokenHolder::nextAsk(std::string_view Organisation,
                                                 const TokenDemand &Demand,
                                                 TimeMs Now) {
  expireAsks(Now);
  const double Held = level(Now) + Demand.OwnLevel;
  // What was asked for already is not asked for twice: it would be wasted.
  const double Missing =
      std::ceil(Demand.Waiting - Held - static_cast<double>(PendingTokens));
  const auto Need =
      static_cast<std::uint32_t>(std::clamp(Missing, 0.0, MaxNeed));
  Contact *C = nullptr;
  // A rate saves many later asks, so it goes first when bytes are scarce.
  if (wantsRate(Demand))
    C = dueForRenewal(Now);
  if (!C && wantsRate(Demand)) {
    C = nextForRate(Demand, Now);
    PendingRate |= C != nullptr;
  }
  if (!C && Need > 0 && Demand.MayAskForNeed)
    C = nextForNeed(Now);
  if (!C)
    return std::nullopt;
  return ask(*C, Organisation, Demand, Need, Now);
}

void TokenHolder::accept(const SlotId &Meter, const TokenGrant &Given,
                         TimeMs Now) {
  Contact *C = find(Meter);
  if (!C || !C->Pending || Given.Sequence != C->LastSequence)
    return;
  advance(Now);
  if (PendingRate)
    ratesOf(*C).note(Given.Rate > 0, Now);
  if (C->PendingNeed > 0)
    noteNeed(*C, Given.Tokens > 0, Now);
  else
    C->AvoidRate.note(Given.Rate > 0, Now);
  settle(*C);
  C->Silent = false;
  C->QuietUntil = Now + Given.Quiet;
  C->ReadyAt = Now + Given.Ready;
  const TimeMs End = C->SentAt + Given.Term;
  if (Given.Cap <= 0 || End <= Now)
    return;
  C->Level = std::min(C->Level + Given.Tokens, Given.Cap);
  C->Rate = Given.Rate;
  C->Cap = Given.Cap;
  // By less than a step of its clock, the meter may still have accrued.
  C->AccruedTo = Now + Settings.ClockStep;
  C->End = End;
  C->Adopted = Given.Sequence;
}

void TokenHolder::noteNeed(Contact &C, bool Useful, TimeMs Now) {
  C.AvoidTokens.note(Useful, Now);
  Misses = Useful ? 0 : Misses + 1;
  // An organisation far over its rate must not use up the bytes of others.
  if (Useful || Misses >= MaxMisses)
    Needs.note(Useful, Now);
}

void TokenHolder::lose(const SlotId &Meter, std::uint64_t Sequence,
                       TimeMs Now) {
  Contact *C = find(Meter);
  if (!C || !C->Pending || Sequence != C->LastSequence)
    return;
  settle(*C);
  passOver(*C, Now);
}

TimeMs TokenHolder::ownToken(const TokenDemand &Demand, TimeMs Now) {
  advance(Now);
  std::vector<const Contact *> Leases;
  for (std::size_t I : Active)
    if (inForce(Contacts[I], Now))
      Leases.push_back(&Contacts[I]);
  std::sort(Leases.begin(), Leases.end(),
            [](const Contact *L, const Contact *R) { return L->End > R->End; });
  // A lease takes its tokens with it when it ends, so only those count that
  // last until a token is whole: all of them, else all but the first to end.
  while (true) {
    double Level = Demand.OwnLevel - Demand.Waiting;
    double Rate = Demand.OwnRate;
    for (const Contact *C : Leases) {
      Level += C->Level;
      Rate += C->Rate;
    }
    const double Usable = Rate * (1 - Settings.MaxDrift);
    if (Usable > 0) {
      const double Ms =
          std::ceil(std::max(0.0, 1 - Level) / Usable * MsPerSecond);
      const TimeMs At = Now +
                        DurationMs(static_cast<std::int64_t>(
                            std::min(Ms, LongestForecastMs))) +
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
  TimeMs First = ownToken(Demand, Now);
  for (const Contact &C : Contacts)
    if (!C.Silent && C.ReadyAt > Now)
      First = std::min(First, C.ReadyAt);
  return First;
}

void TokenHolder::discard() {
  for (Contact &C : Contacts) {
    settle(C);
    C.Adopted = 0;
    C.Level = 0;
    C.Rate = 0;
  }
  Active.clear();
}

} // namespace fescuewood
