#include "calls/EntrySide.h"

#include "calls/Refusals.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// A call waits one part in so many of its time for a first target. Callers
/// come back within a third of what they have left, so the rest is theirs.
constexpr std::int64_t VainWaitDivisor = 3;

RouterSettings routerOf(const CallSettings &Settings) {
  RouterSettings Result;
  Result.PickAtRandom = Settings.Routing == RoutingMode::Random;
  Result.NearFirst = Settings.Routing == RoutingMode::NearFirst;
  Result.Choices = Settings.Choices;
  Result.RegionCost = Settings.RegionCost;
  Result.RemoteCost = Settings.RemoteCost;
  Result.LoadMaxAge = Settings.LoadMaxAge;
  Result.DomainRampTime = Settings.DomainRampTime;
  Result.SuspectTime = Settings.SuspectTime;
  return Result;
}

std::size_t bytesOf(const CallRequest &Request) {
  std::size_t Bytes = sizeof(CallRequest) + Request.Body.size();
  Bytes += Request.Target.size();
  for (const Header &Field : Request.Headers)
    Bytes += Field.Name.size() + Field.Value.size();
  return Bytes;
}

} // namespace

EntrySide::EntrySide(CallContext &Context, LocalTarget Local)
    : Context(Context), Local(std::move(Local)),
      Targets(routerOf(Context.Settings), Context.Self.Domain),
      Budget(Context.Settings.RetryShare, Context.Settings.RetryReserve) {}

void EntrySide::submit(CallHandle Handle, CallRequest Request,
                       AnswerHook OnAnswer) {
  const TimeMs Now = Context.now();
  EntryCall &Call = Calls[Handle];
  Call.OnAnswer = std::move(OnAnswer);
  Call.Submitted = Now;
  Call.Deadline = Now + Request.Remaining;
  if (Request.CanWait && Request.Depth == 0)
    Call.Deadline = Call.Deadline + Context.Settings.WaitLimit;
  Call.Bytes = bytesOf(Request);
  Call.Request = std::move(Request);
  HeldBytes += Call.Bytes;
  // Those that can wait are bounded by the connections that they came on, each
  // of which is not read beyond them.
  if (Context.Draining)
    refuse(Handle, Call, ResultCode::ShuttingDown, Outcome::NotRun);
  else if (!Context.Config)
    refuse(Handle, Call, ResultCode::NotConfigured, Outcome::NotRun);
  else if (!Call.Request.CanWait && HeldBytes > Context.Settings.MaxHeldBytes)
    refuse(Handle, Call, ResultCode::QueueFull, Outcome::NotRun);
  else
    dispatch(Handle, Call);
}

void EntrySide::cancel(CallHandle Handle) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end())
    return;
  EntryCall &Call = Found->second;
  const bool Sent = Call.Present && !Call.Present->Greeting;
  leave(Call, Leaving::Unsettled);
  refuse(Handle, Call, ResultCode::CallerGone,
         Sent ? Outcome::Unknown : unrun(Call));
}

void EntrySide::onConfig() {
  const Snapshot &Config = *Context.Config;
  Withdrawn.update(Config);
  for (const DomainChange &Change : Targets.setSnapshot(Config, Context.now()))
    Context.report(Change.Status == DomainStatus::Out ? EventId::DomainTakenOut
                                                      : EventId::DomainReturned,
                   {{"domain", Change.Domain}});
}

void EntrySide::setInstances(std::span<const Instance> Instances) {
  Targets.setInstances(Instances);
  std::set<std::string, std::less<>> Addresses;
  for (const Instance &Place : Instances)
    Addresses.insert(Place.PeerAddress);
  std::erase_if(Links, [&Addresses](const auto &Item) {
    return !Addresses.contains(Item.first);
  });
}

void EntrySide::tick() {
  const TimeMs Now = Context.now();
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const CallHandle Handle = Timers.begin()->second;
    Timers.erase(Timers.begin());
    step(Handle);
  }
}

void EntrySide::abandonAll() {
  while (!Calls.empty()) {
    const CallHandle Handle = Calls.begin()->first;
    EntryCall &Call = Calls.begin()->second;
    const bool Sent = Call.Present && !Call.Present->Greeting;
    refuse(Handle, Call, ResultCode::ShuttingDown,
           Sent ? Outcome::Unknown : unrun(Call));
  }
}

void EntrySide::fill(CallStatus &Status) const {
  Status.Entered = Calls.size();
  Status.HeldBytes = HeldBytes;
}

EntrySide::EntryCall *EntrySide::find(CallHandle Handle, const CallId &Id) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end() || !Found->second.Present ||
      Found->second.Present->Id != Id)
    return nullptr;
  return &Found->second;
}

void EntrySide::schedule(CallHandle Handle, EntryCall &Call, TimeMs When) {
  const DurationMs Grace = Call.Present ? AnswerGrace : DurationMs(0);
  Timers.erase({Call.Due, Handle});
  Call.Due = std::min(When, Call.Deadline + Grace);
  Timers.emplace(Call.Due, Handle);
}

void EntrySide::step(CallHandle Handle) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end())
    return;
  EntryCall &Call = Found->second;
  const TimeMs Now = Context.now();
  const DurationMs Grace = Call.Present ? AnswerGrace : DurationMs(0);
  if (Now >= Call.Deadline + Grace) {
    giveUp(Handle, Call);
    return;
  }
  if (!Call.Present) {
    dispatch(Handle, Call);
    return;
  }
  if (Context.Settings.Retry == RetryMode::Plain) {
    // The comparison: what became of the first request is not asked.
    if (mayMove(Call, true))
      move(Handle, Call, "plain retry", Leaving::Unsettled);
    else
      schedule(Handle, Call, Call.Deadline + AnswerGrace);
    return;
  }
  if (Call.Present->Asking) {
    schedule(Handle, Call, Now + Context.Settings.HeartbeatInterval);
    return;
  }
  ask(Handle, Call, PeerRoute::Fresh);
}

void EntrySide::dispatch(CallHandle Handle, EntryCall &Call) {
  const TimeMs Now = Context.now();
  if (Withdrawn.contains(Call.Request.KeyDigestPrefix) &&
      Call.Request.KeyDigestPrefix != 0) {
    refuse(Handle, Call, ResultCode::KeyWithdrawn, unrun(Call));
    return;
  }
  if (!Context.Guard.empty() &&
      Context.Guard.shouldRefuse(fingerprintOf(Call.Request), Now)) {
    refuse(Handle, Call, ResultCode::RequestCrashesTargets, unrun(Call));
    return;
  }
  const Instance *Target =
      Targets.pick(Call.Request.Service, Call.Tried, Now, Context.Hooks.Random,
                   Call.Request.Large ? AnswerSize::Large : AnswerSize::Usual);
  if (Target)
    begin(Handle, Call, *Target);
  else
    park(Handle, Call);
}

void EntrySide::park(CallHandle Handle, EntryCall &Call) {
  const bool TriedEnough =
      !Call.Request.CanWait && Call.Attempts >= Context.Settings.MaxAttempts;
  // A refusal that another round would only repeat is passed on at once.
  const bool Hopeless = !Call.Request.CanWait &&
                        Call.LastRefusal == ResultCode::DeadlineUnreachable;
  if (TriedEnough || Hopeless || waitedInVain(Call)) {
    refuse(Handle, Call, Call.LastRefusal, unrun(Call));
    return;
  }
  const TimeMs Now = Context.now();
  // Half of the pause is random, so that parked calls do not come back at once.
  const auto Half = static_cast<std::uint64_t>(Call.Pause.Value) / 2;
  const DurationMs Jitter(
      static_cast<std::int64_t>(Context.Hooks.Random() % (Half + 1)));
  const TimeMs Next =
      Now + DurationMs(static_cast<std::int64_t>(Half)) + Jitter;
  Call.Pause = std::min(Call.Pause * 2, LongestRetryPause);
  Call.Tried.clear();
  schedule(Handle, Call, Next);
}

/// Whether a call has found no target at all for so long that its caller does
/// better to come back in the time that is left.
bool EntrySide::waitedInVain(const EntryCall &Call) const {
  const DurationMs Whole = Call.Deadline - Call.Submitted;
  return !Call.Request.CanWait && Call.Attempts == 0 &&
         Context.now() - Call.Submitted >=
             DurationMs(Whole.Value / VainWaitDivisor);
}

bool EntrySide::mayMove(EntryCall &Call, bool Costs) {
  // A call that can wait is paced by its pauses instead.
  if (Call.Request.CanWait)
    return true;
  const std::uint32_t Most = Call.Request.MaxAttempts;
  if (Call.Attempts >= Context.Settings.MaxAttempts ||
      (Most > 0 && Call.Offers >= Most))
    return false;
  return !Costs || Budget.spend();
}

void EntrySide::move(CallHandle Handle, EntryCall &Call, std::string_view Why,
                     Leaving Left) {
  ++Context.Figures.Retries;
  Context.report(EventId::CallMoved,
                 {{"request", requestIdOf(Call.Request, Context.Self.Scheme)},
                  {"call", Call.Present->Id.text()},
                  {"target", Call.Present->Target},
                  {"reason", std::string(Why)}});
  Call.Tried.push_back(Call.Present->Target);
  leave(Call, Left);
  dispatch(Handle, Call);
}

void EntrySide::leave(EntryCall &Call, Leaving Left) {
  if (!Call.Present)
    return;
  Targets.onEnded(Call.Present->Target);
  if (Left == Leaving::Unsettled && Context.Settings.Retry != RetryMode::Plain)
    tellCancelled(*Call.Present);
  Call.Present.reset();
}

void EntrySide::giveUp(CallHandle Handle, EntryCall &Call) {
  if (!Call.Present) {
    const bool Untried = Call.Attempts == 0;
    refuse(Handle, Call,
           Untried ? ResultCode::NoTargetAvailable
                   : ResultCode::DeadlineExceeded,
           unrun(Call));
    return;
  }
  const Outcome Known = Call.Present->Greeting ? unrun(Call) : Outcome::Unknown;
  leave(Call, Leaving::Unsettled);
  refuse(Handle, Call, ResultCode::DeadlineExceeded, Known);
}

void EntrySide::refuse(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                       Outcome Ran) {
  if (Call.Fallback && Reason != ResultCode::CallerGone) {
    // No other target did better; the caller gets what the first one said.
    reportAnswer(Call, *Call.Fallback);
    finish(Handle, Call, std::move(*Call.Fallback));
    return;
  }
  reportEnd(
      EventId::CallRefused, Call,
      {"remaining_ms", std::to_string((Call.Deadline - Context.now()).Value)},
      Reason, Ran);
  if (!Call.Request.Organisation.empty())
    ++Context.Figures.RefusedByOrganisation[Call.Request.Organisation];
  CallAnswer Answer = refusal(statusOf(Reason, Ran), Reason, Ran);
  if (Ran == Outcome::NotRun && Answer.Status == ServiceUnavailable)
    Answer.Headers.push_back(
        {"Retry-After", retryAfterText(Context.Self.Scheme, comeBack(Call))});
  finish(Handle, Call, std::move(Answer));
}

/// The line about a call that ends here; \p Detail is what only its event has.
void EntrySide::reportEnd(EventId Id, const EntryCall &Call, EventField Detail,
                          ResultCode Reason, Outcome Ran) const {
  Context.report(
      Id, {{"request", requestIdOf(Call.Request, Context.Self.Scheme)},
           {"organisation", Call.Request.Organisation},
           {"route", Call.Request.Route},
           {"service", Call.Request.Service},
           {"target", lastTarget(Call)},
           {"attempts", std::to_string(Call.Attempts)},
           {"held_ms", std::to_string((Context.now() - Call.Submitted).Value)},
           std::move(Detail),
           {"reason", std::string(resultName(Reason))},
           {"outcome", std::string(outcomeName(Ran))}});
}

/// The target that a call is or was given to; empty when there was none.
std::string EntrySide::lastTarget(const EntryCall &Call) {
  if (Call.Present)
    return Call.Present->Target;
  return Call.Tried.empty() ? "" : Call.Tried.back();
}

/// When a refused caller may try again: when its last target expects room, and
/// at different times, so that those refused together do not return together.
DurationMs EntrySide::comeBack(const EntryCall &Call) {
  const DurationMs Wait = std::max(Call.RetryAfter, LeastComeBack);
  const auto Spread = static_cast<std::uint64_t>(Wait.Value);
  return Wait + DurationMs(static_cast<std::int64_t>(Context.Hooks.Random() %
                                                     (Spread + 1)));
}

void EntrySide::finish(CallHandle Handle, EntryCall &Call, CallAnswer Answer) {
  OutcomeCounts &Counts = Context.Figures.Results[Answer.Reason];
  if (Answer.Ran == Outcome::NotRun)
    ++Counts.NotRun;
  else if (Answer.Ran == Outcome::Ran)
    ++Counts.Ran;
  else
    ++Counts.Unknown;
  Context.Figures.EntryLatency.add(Context.now() - Call.Submitted);
  if (Call.Present)
    Targets.onEnded(Call.Present->Target);
  HeldBytes -= Call.Bytes;
  Timers.erase({Call.Due, Handle});
  const AnswerHook OnAnswer = std::move(Call.OnAnswer);
  Calls.erase(Handle);
  OnAnswer(std::move(Answer));
}

Outcome EntrySide::unrun(const EntryCall &Call) const {
  return Call.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace fescuewood
