#include "calls/TargetSide.h"

#include "policy/FairQueue.h"
#include "policy/RetryRules.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Interval between two expiry runs of the crash guard.
constexpr DurationMs GuardExpiryInterval{1000};

AdmissionSettings admissionSettings(const CallSettings &Settings) {
  return {Settings.ColdShare, Settings.LatencyTolerance, Settings.CautionTime,
          Settings.WarmTime, Settings.IdleDecayTime};
}

CallLedgerLimits ledgerLimits(const CallSettings &Settings,
                              std::size_t AnswerBytes) {
  CallLedgerLimits Limits;
  Limits.MaxIds = Settings.MaxLedgerIds;
  Limits.MaxKeptBytes = AnswerBytes;
  Limits.KeepAnswers = Settings.KeepTime;
  return Limits;
}

CallQueueSettings queueSettings(const CallSettings &Settings) {
  CallQueueSettings Queue;
  Queue.MaxBytes = Settings.MaxQueueBytes;
  Queue.WaitingShare = Settings.WaitingShare;
  return Queue;
}

} // namespace

TargetSide::TargetSide(CallContext &Context, EntryQueries Entries)
    : Context(Context), Entries(std::move(Entries)),
      Memory(answerMemoryLimit(Context.Settings.MaxKeptBytes,
                               Context.Settings.AnswerMemoryShare,
                               Context.Identity.MachineBytes)),
      Ledger(ledgerLimits(Context.Settings, Memory.limit()), Context.now()),
      Replies(Context, [this](const CallFetch &Fetch) { return fetch(Fetch); }),
      Bodies(Context, bodyHooks()), Queue(makeQueue()),
      Limit(admissionSettings(Context.Settings), 1, Context.now()) {}

std::unique_ptr<CallQueue> TargetSide::makeQueue() {
  const CallQueueSettings Settings = queueSettings(Context.Settings);
  if (Context.Settings.Order == QueueOrder::Objective)
    return std::make_unique<ObjectiveQueue>(
        Settings,
        [this](const QueueRefusal &Refusal) { onQueueRefusal(Refusal); });
  return std::make_unique<FairQueue>(Settings, [this](const CallId &Id) {
    onQueueRefusal({Id, ResultCode::DeadlineUnreachable, {}});
  });
}

void TargetSide::start(CallStart Start, const CallReplyHook &OnReply) {
  accept(std::move(Start), OnReply, false);
}

void TargetSide::accept(CallStart Start, const CallReplyHook &OnReply,
                        bool FromPeer) {
  const TimeMs Now = Context.now();
  const CallId Id = Start.Request.Id;
  Context.Guard.merge(Start.Marks, Now);
  // A request addressed to an earlier incarnation of this node may have run
  // there already.
  const bool IsForThisProcess =
      Start.Recipient == Context.Identity.Incarnation ||
      (Start.Recipient == 0 && Start.Request.Idempotent);
  if (!IsForThisProcess)
    Ledger.fence(Id, Now);
  if (Ledger.begin(Id, Now) != CallLedger::Arrival::New) {
    OnReply(ledgerReply(Id, 0));
    return;
  }
  HeldCall &Call = HeldCalls[Id];
  Call.ArrivedAt = Now;
  Call.Deadline = Now + Start.Request.Remaining;
  Call.Request = std::move(Start.Request);
  Call.OnReply = OnReply;
  Call.FromPeer = FromPeer;
  const ClaimedBody Body = Bodies.claim(Start.IsStaged, Call.Request);
  Call.BodyBytes = Body.HeldBytes;
  Call.StagedFor = Body.StagedFor;
  ResultCode Refusal = Body.Reason;
  if (Refusal == ResultCode::Ok)
    Refusal = refusalOnArrival(Call);
  Call.LinkBytes = linkBytes(Call);
  AcceptedBytes += Call.LinkBytes;
  if (Refusal == ResultCode::Ok)
    enqueue(Id);
  else
    refuse(Id, Refusal);
  startQueued();
}

CallReply TargetSide::fetch(const CallFetch &Fetch) {
  bool Fenced = false;
  if (Fetch.Fence)
    Fenced = Ledger.fence(Fetch.Id, Context.now());
  if (Fenced)
    Bodies.drop(Fetch.Id);
  CallReply Reply = ledgerReply(Fetch.Id, Fetch.Offset, Fetch.MaxPieceBytes);
  Reply.Fenced = Reply.Fenced || Fenced;
  return Reply;
}

CallReply TargetSide::cancel(const CallCancel &Cancel) {
  Ledger.fence(Cancel.Id, Context.now());
  Ledger.release(Cancel.Id);
  Replies.drop(Cancel.Id);
  Bodies.drop(Cancel.Id);
  const auto Found = HeldCalls.find(Cancel.Id);
  if (Found == HeldCalls.end())
    return stateReply(Cancel.Id);
  if (Queue->remove(Cancel.Id, Context.now())) {
    refuse(Cancel.Id, ResultCode::CallerGone);
  } else if (!Found->second.Cancelled) {
    Found->second.Cancelled = true;
    if (Context.Hooks.Target.Cancel)
      Context.Hooks.Target.Cancel(Cancel.Id);
  }
  return stateReply(Cancel.Id);
}

void TargetSide::onConfig() {
  const Snapshot &Config = *Context.Config;
  const auto Own = Config.Services.find(Context.Identity.Service);
  if (Own != Config.Services.end()) {
    if (!Context.Identity.TargetListed)
      Limit.setSlots(Own->second.Slots);
    Warmup.setRate(Own->second.WarmupPerSecond);
    SlowStart = Own->second.SlowStart;
  }
  const bool AnyWithdrawn = Withdrawn.update(Config);
  const bool WasOut = std::exchange(OwnDomainOut, isOwnDomainOut());
  if (OwnDomainOut)
    refuseQueued(ResultCode::DomainOut);
  // The target may have restarted undetected while its domain was out.
  if (WasOut && !OwnDomainOut) {
    Limit.reset(Context.now());
    setColdFor(SlowStart);
    probe();
  }
  if (AnyWithdrawn)
    refuseQueued(ResultCode::KeyWithdrawn, [this](const HeldCall &Call) {
      return Withdrawn.contains(Call.Request.KeyDigestPrefix);
    });
  askForNotice();
  updateState();
  startQueued();
}

void TargetSide::setColdFor(DurationMs Span) {
  const TimeMs Now = Context.now();
  Warmup.setColdUntil(Now + Span, Now);
}

void TargetSide::onLeaving() {
  refuseQueued(ResultCode::TargetDraining,
               [this](const HeldCall &Call) { return mayBeCut(Call); });
}

void TargetSide::onDraining() { updateState(); }

void TargetSide::tick() {
  const TimeMs Now = Context.now();
  Queue->expire(serviceRate(), Now);
  Ledger.expire(Now);
  reportDependents();
  Replies.tick();
  Bodies.tick();
  if (Now >= NextGuardExpiry) {
    Context.Guard.expire(Now);
    NextGuardExpiry = Now + GuardExpiryInterval;
  }
  releaseAbandoned(Now);
  const bool Usable = refusalByListing() == ResultCode::Ok;
  if ((Suspended || (Down && Usable)) && Now >= NextProbe)
    probe();
  updateState();
  startQueued();
}

TimeMs TargetSide::nextDue() const {
  if (Queue->size() > 0 || !Bodies.idle())
    return Context.now();
  TimeMs Next = std::min(Replies.nextDue(), Context.Dependents.nextChange());
  if (!AbandonedRuns.empty())
    Next = std::min(Next, AbandonedRuns.front());
  if (Suspended || Down)
    Next = std::min(Next, NextProbe);
  return Next;
}

LoadReport TargetSide::load() {
  LoadReport Load;
  Load.InFlight = InFlight;
  Load.Limit = Limit.limit(Context.now());
  if (Context.Settings.Admission != AdmissionMode::Adaptive)
    Load.Limit = Limit.slots();
  if (Warmup.cold(Context.now()))
    Load.Limit = 1;
  Load.Limit = std::min(Load.Limit, Announced.concurrency(Limit.latency()));
  Load.Queued = static_cast<std::uint32_t>(Queue->size());
  Load.Latency = Limit.latency();
  Load.State = ReportedState.value_or(TargetState::Cold);
  Load.LinkDelay = linkDelay();
  return Load;
}

void TargetSide::fill(CallStatus &Status) {
  Status.State = ReportedState.value_or(TargetState::Cold);
  Status.InFlight = InFlight;
  Status.Limit = load().Limit;
  Status.Slots = Limit.slots();
  Status.Queued = Queue->size();
  Status.QueuedBytes = Queue->bytes();
  Status.Quarantined = Context.Guard.quarantined();
  Status.LedgerIds = Ledger.size();
  Status.KeptBytes = Ledger.keptBytes();
  Status.AnswerLimit = Memory.limit();
  Status.LinkBacklogBytes = Replies.backlogBytes();
  Status.DependentRoutesLimited = Context.Dependents.limitedRoutes();
  Bodies.fill(Status);
}

CallReply TargetSide::baseReply() {
  CallReply Reply;
  Reply.Load = load();
  Reply.RetentionTime = Ledger.remembered(Context.now());
  Reply.Marks = Context.Guard.encode(Context.now());
  return Reply;
}

CallReply TargetSide::stateReply(const CallId &Id) {
  CallReply Reply = baseReply();
  const LedgerEntry *Entry = Ledger.find(Id);
  if (!Entry)
    return Reply;
  switch (Entry->Progress) {
  case LedgerEntry::State::Running:
    Reply.State = CallState::Running;
    break;
  case LedgerEntry::State::Refused:
    Reply.State = CallState::Refused;
    Reply.Reason = Entry->Reason;
    Reply.RetryAfter = retryAfter(Entry->Reason);
    Reply.Fenced = true;
    break;
  case LedgerEntry::State::Done:
    Reply.State = CallState::Done;
    Reply.TotalBytes = Entry->Answer.size();
    break;
  }
  return Reply;
}

CallReply TargetSide::ledgerReply(const CallId &Id, std::uint64_t Offset,
                                  std::uint64_t MaxPieceBytes) {
  CallReply Reply = stateReply(Id);
  if (Reply.State == CallState::Done)
    addAnswerPiece(Reply, Ledger.find(Id)->Answer, Offset, MaxPieceBytes);
  return Reply;
}

/// Estimated time until the calls that are queued now have been served.
DurationMs TargetSide::retryAfter(ResultCode Reason) {
  if (Reason == ResultCode::TargetRateUsed)
    return Announced.limit().wait(Queue->size(), Context.now());
  if (Reason == ResultCode::DependencyShort)
    return DependentRetryAfter;
  if (Reason == ResultCode::LinkBusy)
    return Replies.timeToSend(ProducingBytes);
  const bool Busy = Reason == ResultCode::QueueFull ||
                    Reason == ResultCode::AnswerMemoryFull ||
                    Reason == ResultCode::BodyMemoryFull ||
                    isLackOfTime(Reason);
  if (!Busy)
    return DurationMs(0);
  const ServiceRate Current = serviceRate();
  const auto PendingCalls = static_cast<std::int64_t>(Queue->size()) + 1;
  return DurationMs(Current.Latency.Value * PendingCalls /
                    std::max(1U, Current.Limit));
}

ResultCode TargetSide::refusalOnArrival(const HeldCall &Call) {
  const CallRequest &Request = Call.Request;
  if (Context.outlastsDrain(Call.Deadline) || mayBeCut(Call))
    return ResultCode::TargetDraining;
  if (!Context.Identity.Service.empty() &&
      Request.Service != Context.Identity.Service)
    return ResultCode::NoTargetAvailable;
  if (Down)
    return ResultCode::TargetDown;
  if (const ResultCode Refusal = refusalOnStart(Call);
      Refusal != ResultCode::Ok)
    return Refusal;
  if (const ResultCode Refusal = refusalByLink(Call, AcceptedBytes);
      Refusal != ResultCode::Ok)
    return Refusal;
  if (exceedsNamedRate(Request))
    return ResultCode::TargetRateUsed;
  return refusalByDependency(Request);
}

ResultCode TargetSide::refusalOnStart(const HeldCall &Call) {
  const CallRequest &Request = Call.Request;
  if (const ResultCode Refusal = refusalByListing(); Refusal != ResultCode::Ok)
    return Refusal;
  if (isOwnDomainOut())
    return ResultCode::DomainOut;
  if (Request.KeyDigestPrefix != 0 &&
      Withdrawn.contains(Request.KeyDigestPrefix))
    return ResultCode::KeyWithdrawn;
  if (!Context.Guard.empty() &&
      Context.Guard.shouldRefuse(fingerprintOf(Request), Context.now()))
    return ResultCode::RequestCrashesTargets;
  if (Memory.expectsLarge(Request.Route) &&
      !Memory.fits(Request.Route, Ledger.keptBytes() + Entries.JoiningBytes()))
    return ResultCode::AnswerMemoryFull;
  return refusalByLink(Call, ProducingBytes);
}

QueuedCall TargetSide::queueEntry(const CallRequest &Request,
                                  TimeMs Deadline) const {
  QueuedCall Call;
  Call.Id = Request.Id;
  Call.Organisation = Request.Organisation;
  Call.CanWait = Request.CanWait;
  Call.Priority = Request.Priority;
  Call.Deadline = Deadline;
  Call.Cost = std::max(DurationMs(1), Limit.latency(Request.Route));
  Call.Bytes =
      Request.Target.size() + Request.Body.size() + fieldBytes(Request.Headers);
  if (!Context.Config)
    return Call;
  const auto Known = Context.Config->Organisations.find(Request.Organisation);
  if (Known != Context.Config->Organisations.end())
    Call.Weight = Known->second.Weight;
  // An inner call has no objective: the request that waits for it needs it
  // until its deadline.
  const Route *MatchedRoute = Context.Config->findRouteByName(Request.Route);
  if (MatchedRoute && MatchedRoute->Objective > DurationMs(0) &&
      Request.Priority != InnerCallPriority)
    Call.SoftDeadline =
        softDeadline(Request, MatchedRoute->Objective, Call.Cost);
  return Call;
}

TimeMs TargetSide::softDeadline(const CallRequest &Request,
                                DurationMs Objective, DurationMs Cost) const {
  if (Context.Settings.Order == QueueOrder::Objective)
    return Context.now() - Request.Age + Objective;
  // The objective is at least two runs long, so that calls can also queue for a
  // target that is slower than the objective.
  return Context.now() + std::max(Objective, DurationMs(2 * Cost.Value));
}

void TargetSide::enqueue(const CallId &Id) {
  HeldCall &Call = HeldCalls.at(Id);
  QueuedCall Entry = queueEntry(Call.Request, Call.Deadline);
  Entry.Bytes -= Call.BodyBytes;
  if (Entry.SoftDeadline != Never)
    Call.LatestTimelyStart = Entry.SoftDeadline - Entry.Cost;
  if (!Queue->push(std::move(Entry), serviceRate(), Context.now()))
    onQueueRefusal({Id, Queue->lastReason(), {}});
}

void TargetSide::onQueueRefusal(const QueueRefusal &Refusal) {
  if (Refusal.Reason == ResultCode::Displaced) {
    ++Context.Counters.Displaced;
    reportDisplaced(Refusal);
  } else {
    ++Context.Counters.Shed;
  }
  refuse(Refusal.Id, Refusal.Reason);
}

void TargetSide::reportDisplaced(const QueueRefusal &Refusal) const {
  const HeldCall &Displaced = HeldCalls.at(Refusal.Id);
  const CallRequest &Arrival = HeldCalls.at(Refusal.DisplacedBy).Request;
  const HeaderScheme &Scheme = Context.Identity.Scheme;
  const DurationMs Waited = Context.now() - Displaced.ArrivedAt;
  Context.report(EventId::CallDisplaced,
                 {{"request", requestId(Displaced.Request, Scheme)},
                  {"call", Refusal.Id.text()},
                  {"route", Displaced.Request.Route},
                  {"queued_ms", std::to_string(Waited.Value)},
                  {"by_request", requestId(Arrival, Scheme)},
                  {"by_call", Arrival.Id.text()},
                  {"by_route", Arrival.Route}});
}

void TargetSide::finish(const CallId &Id, const CallReply &Reply) {
  const auto Found = HeldCalls.find(Id);
  const CallReplyHook OnReply = std::move(Found->second.OnReply);
  Memory.release(Found->second.AnswerBytes);
  Bodies.release(Found->second.BodyBytes);
  AcceptedBytes -= Found->second.LinkBytes;
  if (Found->second.Running)
    ProducingBytes -= Found->second.LinkBytes;
  HeldCalls.erase(Found);
  OnReply(Reply);
}

void TargetSide::refuse(const CallId &Id, ResultCode Reason) {
  Ledger.refuse(Id, Reason);
  finish(Id, ledgerReply(Id, 0));
}

void TargetSide::refuseQueued(
    ResultCode Reason, const std::function<bool(const HeldCall &)> &Matches) {
  std::vector<CallId> Refused;
  for (const auto &[Id, Call] : HeldCalls)
    if (!Call.Running && (!Matches || Matches(Call)))
      Refused.push_back(Id);
  for (const CallId &Id : Refused) {
    Queue->remove(Id, Context.now());
    if (Reason == ResultCode::KeyWithdrawn)
      Context.report(EventId::WaitingCallRevoked, {{"call", Id.text()}});
    refuse(Id, Reason);
  }
}

/// Whether the shutdown may cut a call that another target could have run. An
/// idempotent call without another target is worth the risk: most runs end long
/// before their deadlines. One that must not be repeated is not.
bool TargetSide::mayBeCut(const HeldCall &Call) const {
  return Context.outlastsShutdown(Call.Deadline) &&
         (!Call.Request.Idempotent ||
          Entries.HasOtherTarget(Call.Request.Service));
}

ServiceRate TargetSide::serviceRate() {
  // Only runs update the latency. An idle target is assumed to be fast;
  // otherwise a single slow answer would refuse all shorter calls permanently.
  const DurationMs Expected = InFlight == 0 ? DurationMs(0) : Limit.latency();
  if (Warmup.cold(Context.now()))
    return {1, std::max(Expected, Warmup.interval())};
  return boundByNamedRate(
      {std::min(concurrencyLimit(), Limit.slots()), Expected});
}

bool TargetSide::isOwnDomainOut() const {
  if (!Context.Config)
    return false;
  const auto Own = Context.Config->Domains.find(Context.Identity.Domain);
  return Own != Context.Config->Domains.end() &&
         Own->second.Status == DomainStatus::Out;
}

} // namespace fescuewood
