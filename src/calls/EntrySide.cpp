#include "calls/EntrySide.h"

#include "calls/Refusals.h"
#include "policy/RetryRules.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescuewood {

namespace {

/// A call waits at most this fraction of its time for a first target. Callers
/// retry within a third of their remaining time, so the rest is left to them.
constexpr std::int64_t FirstTargetWaitDivisor = 3;

RouterSettings routerSettings(const CallSettings &Settings) {
  RouterSettings Result;
  Result.PickAtRandom = Settings.Routing == RoutingMode::Random;
  Result.ByFinish = Settings.Routing == RoutingMode::EarliestFinish;
  Result.NearFirst =
      Settings.Routing == RoutingMode::NearFirst || Result.ByFinish;
  Result.Choices = Settings.Choices;
  Result.RegionCost = Settings.RegionCost;
  Result.RemoteCost = Settings.RemoteCost;
  Result.LoadMaxAge = Settings.LoadMaxAge;
  Result.DomainRampTime = Settings.DomainRampTime;
  Result.SuspectTime = Settings.SuspectTime;
  return Result;
}

std::size_t requestBytes(const CallRequest &Request) {
  std::size_t Bytes = sizeof(CallRequest) + Request.Body.size();
  return Bytes + Request.Target.size() + fieldBytes(Request.Headers);
}

} // namespace

EntrySide::EntrySide(CallContext &Context, LocalTarget Local)
    : Context(Context), Local(std::move(Local)),
      Targets(routerSettings(Context.Settings), Context.Identity.Domain),
      Budget(Context.Settings.RetryShare, Context.Settings.RetryReserve) {}

void EntrySide::submit(CallHandle Handle, CallRequest Request,
                       AnswerHook OnAnswer) {
  const TimeMs Now = Context.now();
  std::optional<std::string> ParentRoute = adoptParent(Request);
  EntryCall &Call = Calls[Handle];
  Call.ParentRoute = std::move(ParentRoute);
  Call.OnAnswer = std::move(OnAnswer);
  Call.SubmittedAt = Now;
  Call.Deadline = Now + Request.Remaining;
  if (Request.CanWait && Request.Depth == 0)
    Call.Deadline = Call.Deadline + Context.Settings.WaitLimit;
  Call.Bytes = requestBytes(Request);
  Call.Request = std::move(Request);
  HeldBytes += Call.Bytes;
  // Calls that can wait need no byte limit: a caller's connection is not read
  // further while its call waits, so the number of connections bounds them.
  // The run that makes an inner call is completed, so its calls must be too.
  const bool IsInner = Call.Request.Priority == InnerCallPriority;
  if (Context.outlastsDrain(Call.Deadline) && !IsInner)
    refuse(Handle, Call, ResultCode::ShuttingDown, Outcome::NotRun);
  else if (!Context.Config)
    refuse(Handle, Call, ResultCode::NotConfigured, Outcome::NotRun);
  else if (!Call.Request.CanWait && exceedsHeldBytes(Call))
    refuse(Handle, Call, ResultCode::QueueFull, Outcome::NotRun);
  else
    dispatch(Handle, Call);
}

/// Whether there is no memory for a call beside the others. With staged bodies,
/// a single one may be as large as the callers' limit.
bool EntrySide::exceedsHeldBytes(const EntryCall &Call) const {
  const bool IsAlone = Context.Settings.LinkMbps > 0 && HeldBytes == Call.Bytes;
  return HeldBytes > Context.Settings.MaxHeldBytes && !IsAlone;
}

/// Ranks a call that the local target makes while it runs another request, and
/// bounds its time by that request's. Where there are organisations, the entry
/// knows such a call by its lack of one.
/// Returns the route of that request if inner calls decide on the admission of
/// its route.
std::optional<std::string> EntrySide::adoptParent(CallRequest &Request) const {
  if (!Context.Config || !Context.Config->Organisations.empty())
    return std::nullopt;
  const std::string Id = requestId(Request, Context.Identity.Scheme);
  const std::optional<TimeMs> ParentDeadline =
      Context.Parents.parentDeadline(Id);
  if (!ParentDeadline)
    return std::nullopt;
  Request.Priority = InnerCallPriority;
  Request.Remaining =
      std::min(Request.Remaining, *ParentDeadline - Context.now());
  return Context.limitsDependents() ? Context.Parents.parentRoute(Id)
                                    : std::nullopt;
}

void EntrySide::cancel(CallHandle Handle) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end())
    return;
  EntryCall &Call = Found->second;
  const bool Sent = Call.Current && Call.Current->isStarted();
  endAttempt(Call, RemoteWork::MayContinue);
  refuse(Handle, Call, ResultCode::CallerGone,
         Sent ? Outcome::Unknown : outcomeOfEarlierAttempts(Call));
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
  for (const Instance &Peer : Instances)
    Addresses.insert(Peer.PeerAddress);
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

void EntrySide::refuseAll() {
  while (!Calls.empty()) {
    const CallHandle Handle = Calls.begin()->first;
    EntryCall &Call = Calls.begin()->second;
    const bool Sent = Call.Current && Call.Current->isStarted();
    refuse(Handle, Call, ResultCode::ShuttingDown,
           Sent ? Outcome::Unknown : outcomeOfEarlierAttempts(Call));
  }
}

void EntrySide::refuseUnsent() {
  std::vector<CallHandle> Unsent;
  for (const auto &[Handle, Call] : Calls)
    if (!Call.Current && !Call.Kept &&
        Call.Request.Priority != InnerCallPriority)
      Unsent.push_back(Handle);
  for (const CallHandle Handle : Unsent) {
    EntryCall &Call = Calls.at(Handle);
    refuse(Handle, Call, ResultCode::ShuttingDown,
           outcomeOfEarlierAttempts(Call));
  }
}

bool EntrySide::hasOtherTarget(std::string_view Service) const {
  const std::string Own[] = {Context.Identity.Name};
  return Targets.hasTarget(Service, Own, Context.now());
}

void EntrySide::fill(CallStatus &Status) const {
  Status.Entered = Calls.size();
  Status.HeldBytes = HeldBytes;
  Status.JoiningBytes = joiningBytes();
}

std::size_t EntrySide::joiningBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Handle, Call] : Calls)
    if (Call.Current)
      Bytes += Call.Current->Answer.heldBytes();
  return Bytes;
}

EntrySide::EntryCall *EntrySide::find(CallHandle Handle, const CallId &Id) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end() || !Found->second.Current ||
      Found->second.Current->Id != Id)
    return nullptr;
  return &Found->second;
}

void EntrySide::schedule(CallHandle Handle, EntryCall &Call, TimeMs When) {
  const DurationMs Grace = Call.Current ? AnswerGrace : DurationMs(0);
  Timers.erase({Call.NextStepAt, Handle});
  Call.NextStepAt = std::min(When, Call.Deadline + Grace);
  Timers.emplace(Call.NextStepAt, Handle);
}

void EntrySide::step(CallHandle Handle) {
  const auto Found = Calls.find(Handle);
  if (Found == Calls.end())
    return;
  EntryCall &Call = Found->second;
  const TimeMs Now = Context.now();
  const DurationMs Grace = Call.Current ? AnswerGrace : DurationMs(0);
  if (Now >= Call.Deadline + Grace) {
    expire(Handle, Call);
    return;
  }
  if (!Call.Current) {
    dispatch(Handle, Call);
    return;
  }
  if (Call.Current->Staging) {
    // Each message has its own timeout; only the deadline remains.
    if (Now >= Call.Deadline)
      expire(Handle, Call);
    else
      schedule(Handle, Call, Call.Deadline);
    return;
  }
  if (Context.Settings.Retry == RetryMode::Plain) {
    // Baseline mode: retries without fetching the outcome of the first attempt.
    if (claimRetry(Call, true))
      failOver(Handle, Call, "plain retry", RemoteWork::MayContinue);
    else
      schedule(Handle, Call, Call.Deadline + AnswerGrace);
    return;
  }
  if (Call.Current->FetchPending) {
    schedule(Handle, Call, Now + Context.Settings.HeartbeatInterval);
    return;
  }
  fetchOutcome(Handle, Call, PeerRoute::Fresh);
}

void EntrySide::dispatch(CallHandle Handle, EntryCall &Call) {
  const TimeMs Now = Context.now();
  if (Withdrawn.contains(Call.Request.KeyDigestPrefix) &&
      Call.Request.KeyDigestPrefix != 0) {
    refuse(Handle, Call, ResultCode::KeyWithdrawn,
           outcomeOfEarlierAttempts(Call));
    return;
  }
  if (!Context.Guard.empty() &&
      Context.Guard.shouldRefuse(fingerprintOf(Call.Request), Now)) {
    refuse(Handle, Call, ResultCode::RequestCrashesTargets,
           outcomeOfEarlierAttempts(Call));
    return;
  }
  if (const Instance *Target = pickTarget(Call)) {
    Missing.find(Call.Request.Service);
    startAttempt(Handle, Call, *Target);
  } else {
    waitOrRefuse(Handle, Call);
  }
}

/// Picks the next target; null if there is none. Targets that would refuse the
/// call, as they have lately refused like ones, count as tried.
const Instance *EntrySide::pickTarget(EntryCall &Call) {
  const TimeMs Now = Context.now();
  const PayloadSize Size =
      Call.Request.HasLargePayload ? PayloadSize::Large : PayloadSize::Usual;
  while (const Instance *Target =
             Targets.pick(Call.Request.Service, Call.TriedTargets, Now,
                          Context.Hooks.Random, Size)) {
    const CallProfile Profile = profileOf(Call, Target->Name, Now);
    const auto ByQueue = RefusedLately.roomIn(Profile, Now);
    const auto ByLink = Size == PayloadSize::Large
                            ? RefusedByLinkLately.roomIn(Profile, Now)
                            : std::nullopt;
    if (Call.Request.CanWait || (!ByQueue && !ByLink))
      return Target;
    Call.LastRefusal =
        ByQueue ? ResultCode::DeadlineUnreachable : ResultCode::LinkBusy;
    Call.RetryAfter = ByQueue ? *ByQueue : *ByLink;
    Call.TriedTargets.push_back(Target->Name);
  }
  return nullptr;
}

CallProfile EntrySide::profileOf(const EntryCall &Call, std::string_view Target,
                                 TimeMs Now) {
  return {Target, Call.Request.Route, Call.Request.Organisation,
          Call.Deadline - Now};
}

void EntrySide::waitOrRefuse(CallHandle Handle, EntryCall &Call) {
  if (resumeKept(Handle, Call))
    return;
  const bool AttemptsExhausted =
      !Call.Request.CanWait && Call.Attempts >= Context.Settings.MaxAttempts;
  // A retry would only repeat this refusal, so it is returned immediately.
  const bool RetryIsFutile =
      !Call.Request.CanWait && isRepeatFutile(Call.LastRefusal);
  if (AttemptsExhausted || RetryIsFutile || isLastingMiss(Call) ||
      hasWaitedTooLong(Call)) {
    refuse(Handle, Call, Call.LastRefusal, outcomeOfEarlierAttempts(Call));
    return;
  }
  const TimeMs Now = Context.now();
  // Half of the delay is random, so that waiting calls do not retry in bursts.
  const auto Half = static_cast<std::uint64_t>(Call.RetryDelay.Value) / 2;
  const DurationMs Jitter(
      static_cast<std::int64_t>(Context.Hooks.Random() % (Half + 1)));
  const TimeMs Next =
      Now + DurationMs(static_cast<std::int64_t>(Half)) + Jitter;
  Call.RetryDelay = std::min(Call.RetryDelay * 2, MaxRetryDelay);
  Call.TriedTargets.clear();
  schedule(Handle, Call, Next);
}

/// Whether no call to the service has found a target for so long that waiting
/// for one is futile; sets the time after which the caller may retry.
bool EntrySide::isLastingMiss(EntryCall &Call) {
  const bool SawNone =
      Call.Attempts == 0 && Call.LastRefusal == ResultCode::NoTargetAvailable;
  if (!SawNone || !Missing.miss(Call.Request.Service, Context.now()) ||
      Call.Request.CanWait)
    return false;
  Call.RetryAfter = LastingMissRetryAfter;
  return true;
}

/// Whether a call without a first target should be refused now, while its
/// caller still has time for a retry of its own.
bool EntrySide::hasWaitedTooLong(const EntryCall &Call) const {
  const DurationMs TimeBudget = Call.Deadline - Call.SubmittedAt;
  return !Call.Request.CanWait && Call.Attempts == 0 &&
         Context.now() - Call.SubmittedAt >=
             DurationMs(TimeBudget.Value / FirstTargetWaitDivisor);
}

/// Whether \p Call may be retried; spends a token of the retry budget if
/// \p UsesBudget.
bool EntrySide::claimRetry(EntryCall &Call, bool UsesBudget) {
  // The retry delay paces calls that can wait.
  if (Call.Request.CanWait)
    return true;
  const std::uint32_t MaxTargets = Call.Request.MaxAttempts;
  const bool CurrentCounts = Call.Current && Call.Current->MayBeDelivered;
  const std::uint32_t Deliveries =
      Call.PossibleDeliveries + (CurrentCounts ? 1 : 0);
  if (Call.Attempts >= Context.Settings.MaxAttempts ||
      (MaxTargets > 0 && Deliveries >= MaxTargets))
    return false;
  return !UsesBudget || Budget.spend();
}

void EntrySide::failOver(CallHandle Handle, EntryCall &Call,
                         std::string_view Reason, RemoteWork Remote) {
  ++Context.Counters.Retries;
  Context.report(EventId::CallMoved,
                 {{"request", requestId(Call.Request, Context.Identity.Scheme)},
                  {"call", Call.Current->Id.text()},
                  {"target", Call.Current->Target},
                  {"reason", std::string(Reason)}});
  Call.TriedTargets.push_back(Call.Current->Target);
  endAttempt(Call, Remote);
  dispatch(Handle, Call);
}

void EntrySide::endAttempt(EntryCall &Call, RemoteWork Remote) {
  if (!Call.Current)
    return;
  Targets.onEnded(Call.Current->Target);
  if (Call.Current->MayBeDelivered)
    ++Call.PossibleDeliveries;
  if (Remote == RemoteWork::MayContinue &&
      Context.Settings.Retry != RetryMode::Plain)
    sendCancel(*Call.Current);
  if (Remote == RemoteWork::Kept) {
    cancelKept(Call);
    Call.Kept = std::move(Call.Current);
  }
  Call.Current.reset();
}

void EntrySide::cancelKept(EntryCall &Call) {
  if (Call.Kept)
    sendCancel(*Call.Kept);
  Call.Kept.reset();
}

/// Waits again for the kept run of a call that no other target takes. Returns
/// false if there is none.
bool EntrySide::resumeKept(CallHandle Handle, EntryCall &Call) {
  if (!Call.Kept)
    return false;
  endAttempt(Call, RemoteWork::Ended);
  Call.Current = std::exchange(Call.Kept, std::nullopt);
  Attempt &Current = *Call.Current;
  if (Current.MayBeDelivered)
    --Call.PossibleDeliveries;
  // Replies meanwhile were ignored.
  Current.StartPending = false;
  Current.FetchedAhead.clear();
  Targets.onSent(Current.Target);
  Context.report(EventId::CallMoved,
                 {{"request", requestId(Call.Request, Context.Identity.Scheme)},
                  {"call", Current.Id.text()},
                  {"target", Current.Target},
                  {"reason", "back to the first run, no other target"}});
  fetchOutcome(Handle, Call, PeerRoute::Fresh);
  return true;
}

void EntrySide::expire(CallHandle Handle, EntryCall &Call) {
  if (!Call.Current) {
    const bool NeverSent = Call.Attempts == 0;
    refuse(Handle, Call,
           NeverSent ? ResultCode::NoTargetAvailable
                     : ResultCode::DeadlineExceeded,
           outcomeOfEarlierAttempts(Call));
    return;
  }
  // The deadline of a short call passes before its node is queried.
  if (!hasHeardSince(*Call.Current))
    Call.SawSilence = true;
  const Outcome Known = Call.Current->isStarted()
                            ? Outcome::Unknown
                            : outcomeOfEarlierAttempts(Call);
  endAttempt(Call, RemoteWork::MayContinue);
  refuse(Handle, Call, ResultCode::DeadlineExceeded, Known);
}

void EntrySide::refuse(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                       Outcome RunOutcome) {
  if (Call.Fallback && Reason != ResultCode::CallerGone) {
    // No retry succeeded: the caller gets an earlier target's failure answer.
    reportAnswer(Call, Call.FallbackId, *Call.Fallback);
    finish(Handle, Call, std::move(*Call.Fallback));
    return;
  }
  reportEnd(
      EventId::CallRefused, Call,
      {{"remaining_ms", std::to_string((Call.Deadline - Context.now()).Value)}},
      Reason, RunOutcome);
  if (!Call.Request.Organisation.empty())
    ++Context.Counters.RefusedByOrganisation[Call.Request.Organisation];
  CallAnswer Answer =
      refusal(httpStatus(Reason, RunOutcome), Reason, RunOutcome);
  if (RunOutcome == Outcome::NotRun && Answer.Status == ServiceUnavailable)
    Answer.Headers.push_back(
        {"Retry-After",
         retryAfterText(Context.Identity.Scheme, retryAfter(Call))});
  finish(Handle, Call, std::move(Answer));
}

/// Reports the event of a call that ends; \p Details are the fields that are
/// specific to \p Id.
void EntrySide::reportEnd(EventId Id, const EntryCall &Call,
                          std::vector<EventField> Details, ResultCode Reason,
                          Outcome RunOutcome) const {
  std::vector<EventField> Fields = {
      {"request", requestId(Call.Request, Context.Identity.Scheme)},
      {"organisation", Call.Request.Organisation},
      {"route", Call.Request.Route},
      {"service", Call.Request.Service},
      {"target", lastTarget(Call)},
      {"attempts", std::to_string(Call.Attempts)},
      {"held_ms", std::to_string((Context.now() - Call.SubmittedAt).Value)}};
  std::move(Details.begin(), Details.end(), std::back_inserter(Fields));
  Fields.push_back({"reason", std::string(resultName(Reason))});
  Fields.push_back({"outcome", std::string(outcomeName(RunOutcome))});
  Context.report(Id, std::move(Fields));
}

/// The target of the current or most recent attempt; empty if there is none.
std::string EntrySide::lastTarget(const EntryCall &Call) {
  if (Call.Current)
    return Call.Current->Target;
  return Call.TriedTargets.empty() ? "" : Call.TriedTargets.back();
}

/// Delay after which a refused caller may retry: the time until its last target
/// expects free capacity, with random jitter so that callers refused together
/// do not retry together.
DurationMs EntrySide::retryAfter(const EntryCall &Call) {
  const DurationMs Wait = std::max(Call.RetryAfter, MinRetryAfter);
  const auto Spread = static_cast<std::uint64_t>(Wait.Value);
  return Wait + DurationMs(static_cast<std::int64_t>(Context.Hooks.Random() %
                                                     (Spread + 1)));
}

void EntrySide::finish(CallHandle Handle, EntryCall &Call, CallAnswer Answer) {
  OutcomeCounts &Counts = Context.Counters.Results[Answer.Reason];
  if (Answer.RequestOutcome == Outcome::NotRun)
    ++Counts.NotRun;
  else if (Answer.RequestOutcome == Outcome::Ran)
    ++Counts.Ran;
  else
    ++Counts.Unknown;
  Context.Counters.EntryLatency.add(Context.now() - Call.SubmittedAt);
  if (Call.Current)
    Targets.onEnded(Call.Current->Target);
  cancelKept(Call);
  HeldBytes -= Call.Bytes;
  Timers.erase({Call.NextStepAt, Handle});
  recordInnerCall(Call, Answer);
  const AnswerHook OnAnswer = std::move(Call.OnAnswer);
  Calls.erase(Handle);
  OnAnswer(std::move(Answer));
}

/// Whether the node of an attempt has replied to any call since it was sent.
bool EntrySide::hasHeardSince(const Attempt &Sent) const {
  const auto Found = Links.find(Sent.Address);
  return Sent.Address.empty() ||
         (Found != Links.end() && Found->second.LastReplyAt > Sent.SentAt);
}

/// Passes the end of an inner call to the admission of its parent's route. A
/// call that met a silent node says nothing about the room at the service.
void EntrySide::recordInnerCall(const EntryCall &Call,
                                const CallAnswer &Answer) {
  if (!Call.ParentRoute || Call.SawSilence)
    return;
  const std::optional<InnerCallEnd> End =
      innerCallEnd(Answer.Reason, Answer.Status);
  if (!End)
    return;
  const TimeMs Now = Context.now();
  Context.Dependents.onInnerCall(
      *Call.ParentRoute,
      {*End, Now - Call.SubmittedAt, Call.Deadline - Call.SubmittedAt}, Now);
}

Outcome EntrySide::outcomeOfEarlierAttempts(const EntryCall &Call) const {
  return Call.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace fescuewood
