#include "calls/TargetSide.h"

#include "callers/HeaderFields.h"
#include "calls/Entry.h"
#include "calls/Refusals.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace fescuewood {

namespace {

constexpr int TooManyRequests = 429;

constexpr int FirstServerError = 500;

AdmissionSettings admissionOf(const CallSettings &Settings) {
  return {Settings.ColdShare, Settings.LatencyTolerance, Settings.CautionTime,
          Settings.WarmTime, Settings.IdleDecayTime};
}

CallLedgerLimits ledgerOf(const CallSettings &Settings) {
  CallLedgerLimits Limits;
  Limits.MaxIds = Settings.MaxLedgerIds;
  Limits.MaxKeptBytes = Settings.MaxKeptBytes;
  Limits.KeepAnswers = Settings.KeepTime;
  return Limits;
}

FairQueueSettings queueOf(const CallSettings &Settings) {
  FairQueueSettings Queue;
  Queue.MaxBytes = Settings.MaxQueueBytes;
  Queue.WaitingShare = Settings.WaitingShare;
  return Queue;
}

RunVerdict verdictOf(const RunResult &Result) {
  if (Result.Answer) {
    const int Status = Result.Answer->Status;
    if (Status == ServiceUnavailable || Status == TooManyRequests)
      return RunVerdict::Shed;
    return Status >= FirstServerError ? RunVerdict::Failed
                                      : RunVerdict::Answered;
  }
  switch (Result.Failure) {
  case RunFailure::NotReached:
    return RunVerdict::Lost;
  case RunFailure::TimedOut:
    return RunVerdict::TimedOut;
  case RunFailure::None:
  case RunFailure::Broken:
  case RunFailure::Cancelled:
    break;
  }
  return RunVerdict::Failed;
}

} // namespace

TargetSide::TargetSide(CallContext &Context)
    : Context(Context), Ledger(ledgerOf(Context.Settings), Context.now()),
      Queue(queueOf(Context.Settings),
            [this](const CallId &Id) {
              refuse(Id, ResultCode::DeadlineUnreachable);
            }),
      Limit(admissionOf(Context.Settings), 1, Context.now()) {}

void TargetSide::start(CallStart Start, const CallReplyHook &OnReply) {
  const TimeMs Now = Context.now();
  const CallId Id = Start.Request.Id;
  Context.Guard.merge(Start.Marks, Now);
  if (Ledger.begin(Id, Now) != CallLedger::Arrival::New) {
    OnReply(describe(Id, 0));
    return;
  }
  HeldCall &Call = Held[Id];
  Call.Arrived = Now;
  Call.Deadline = Now + Start.Request.Remaining;
  Call.Request = std::move(Start.Request);
  Call.OnReply = OnReply;
  const ResultCode Refusal = refusalOnArrival(Call.Request);
  if (Refusal == ResultCode::Ok)
    enqueue(Id);
  else
    refuse(Id, Refusal);
  pump();
}

CallReply TargetSide::fetch(const CallFetch &Fetch) {
  bool Fenced = false;
  if (Fetch.Fence)
    Fenced = Ledger.fence(Fetch.Id, Context.now());
  CallReply Reply = describe(Fetch.Id, Fetch.Offset);
  Reply.Fenced = Reply.Fenced || Fenced;
  return Reply;
}

CallReply TargetSide::cancel(const CallCancel &Cancel) {
  Ledger.fence(Cancel.Id, Context.now());
  const auto Found = Held.find(Cancel.Id);
  if (Found == Held.end())
    return describe(Cancel.Id, 0);
  if (Queue.remove(Cancel.Id)) {
    refuse(Cancel.Id, ResultCode::CallerGone);
  } else if (!Found->second.Cancelled) {
    Found->second.Cancelled = true;
    if (Context.Hooks.Target.Cancel)
      Context.Hooks.Target.Cancel(Cancel.Id);
  }
  return describe(Cancel.Id, 0);
}

void TargetSide::onConfig() {
  const Snapshot &Config = *Context.Config;
  const auto Own = Config.Services.find(Context.Self.Service);
  if (Own != Config.Services.end())
    Limit.setSlots(Own->second.Slots);
  const bool AnyWithdrawn = Withdrawn.update(Config);
  if (ownDomainOut())
    refuseAllQueued(ResultCode::DomainOut);
  if (AnyWithdrawn) {
    std::vector<CallId> Revoked;
    for (const auto &[Id, Call] : Held)
      if (!Call.Running && Withdrawn.contains(Call.Request.KeyMark))
        Revoked.push_back(Id);
    for (const CallId &Id : Revoked) {
      Queue.remove(Id);
      Context.report(EventId::WaitingCallRevoked, {{"call", Id.text()}});
      refuse(Id, ResultCode::KeyWithdrawn);
    }
  }
  setState();
  pump();
}

void TargetSide::onDraining() { setState(); }

void TargetSide::tick() {
  const TimeMs Now = Context.now();
  Queue.expire(Now);
  Ledger.expire(Now);
  Context.Guard.expire(Now);
  releaseAbandoned(Now);
  if ((Down || Suspended) && Now >= NextProbe)
    probe();
  setState();
  pump();
}

LoadReport TargetSide::load() {
  LoadReport Load;
  Load.InFlight = InFlight;
  Load.Limit = Limit.limit(Context.now());
  if (Context.Settings.Admission != AdmissionMode::Adaptive)
    Load.Limit = Limit.slots();
  Load.Queued = static_cast<std::uint32_t>(Queue.size());
  Load.Latency = Limit.latency();
  Load.State = Told.value_or(TargetState::Cold);
  return Load;
}

void TargetSide::fill(CallStatus &Status) {
  Status.State = Told.value_or(TargetState::Cold);
  Status.InFlight = InFlight;
  Status.Limit = load().Limit;
  Status.Slots = Limit.slots();
  Status.Queued = Queue.size();
  Status.QueuedBytes = Queue.bytes();
  Status.Quarantined = Context.Guard.quarantined();
  Status.LedgerIds = Ledger.size();
  Status.KeptBytes = Ledger.keptBytes();
}

CallReply TargetSide::frame() {
  CallReply Reply;
  Reply.Load = load();
  Reply.Remembered = Ledger.remembered(Context.now());
  Reply.Marks = Context.Guard.encode(Context.now());
  return Reply;
}

CallReply TargetSide::describe(const CallId &Id, std::uint64_t Offset) {
  CallReply Reply = frame();
  const LedgerEntry *Entry = Ledger.find(Id);
  if (!Entry)
    return Reply;
  if (Entry->Progress == LedgerEntry::State::Running) {
    Reply.State = CallState::Running;
  } else if (Entry->Progress == LedgerEntry::State::Refused) {
    Reply.State = CallState::Refused;
    Reply.Reason = Entry->Reason;
    Reply.Fenced = true;
  } else {
    const CallReply Piece = answerPiece(Entry->Answer, Offset, Reply.Load);
    Reply.State = CallState::Done;
    Reply.Offset = Piece.Offset;
    Reply.TotalBytes = Piece.TotalBytes;
    Reply.Piece = Piece.Piece;
  }
  return Reply;
}

ResultCode TargetSide::refusalOnArrival(const CallRequest &Request) {
  if (Context.Draining)
    return ResultCode::TargetDraining;
  if (!Context.Self.Service.empty() && Request.Service != Context.Self.Service)
    return ResultCode::NoTargetAvailable;
  if (Down)
    return ResultCode::TargetDown;
  return refusalOnStart(Request);
}

ResultCode TargetSide::refusalOnStart(const CallRequest &Request) {
  if (ownDomainOut())
    return ResultCode::DomainOut;
  if (Request.KeyMark != 0 && Withdrawn.contains(Request.KeyMark))
    return ResultCode::KeyWithdrawn;
  if (!Context.Guard.empty() &&
      Context.Guard.refuses(fingerprintOf(Request), Context.now()))
    return ResultCode::RequestCrashesTargets;
  return ResultCode::Ok;
}

QueuedCall TargetSide::queued(const CallRequest &Request,
                              TimeMs Deadline) const {
  QueuedCall Call;
  Call.Id = Request.Id;
  Call.Organisation = Request.Organisation;
  Call.CanWait = Request.CanWait;
  Call.Deadline = Deadline;
  Call.Cost = std::max(DurationMs(1), Limit.latency());
  Call.Bytes = Request.Target.size() + Request.Body.size();
  for (const Header &Field : Request.Headers)
    Call.Bytes += Field.Name.size() + Field.Value.size();
  if (!Context.Config)
    return Call;
  const auto Known = Context.Config->Organisations.find(Request.Organisation);
  if (Known != Context.Config->Organisations.end())
    Call.Weight = Known->second.Weight;
  return Call;
}

void TargetSide::enqueue(const CallId &Id) {
  const HeldCall &Call = Held.at(Id);
  if (!Queue.push(queued(Call.Request, Call.Deadline), rate(), Context.now()))
    refuse(Id, Queue.lastReason());
}

void TargetSide::pump() {
  while (!Down && !Suspended && InFlight < allowed()) {
    const auto Next = Queue.pop(rate(), Context.now());
    if (!Next)
      return;
    HeldCall &Call = Held.at(*Next);
    const ResultCode Refusal = refusalOnStart(Call.Request);
    if (Refusal == ResultCode::Ok)
      run(*Next, Call);
    else
      refuse(*Next, Refusal);
  }
}

std::uint32_t TargetSide::allowed() {
  switch (Context.Settings.Admission) {
  case AdmissionMode::Adaptive:
    return Limit.limit(Context.now());
  case AdmissionMode::Slots:
    return Limit.slots();
  case AdmissionMode::Off:
    break;
  }
  return std::numeric_limits<std::uint32_t>::max();
}

void TargetSide::run(const CallId &Id, HeldCall &Call) {
  const TimeMs Now = Context.now();
  Call.Running = true;
  Call.Started = Now;
  Call.Epoch = Epoch;
  ++InFlight;
  ++Context.Figures.Runs;
  Context.Figures.QueueWait.add(Now - Call.Arrived);
  CallRequest Request = outgoing(Call);
  const DurationMs Timeout = Request.Remaining;
  Context.Hooks.Target.Run(Request, Timeout, [this, Id](RunResult Result) {
    Context.run([this, Id, Result = std::move(Result)]() mutable {
      onResult(Id, std::move(Result));
    });
  });
}

CallRequest TargetSide::outgoing(const HeldCall &Call) const {
  CallRequest Request = Call.Request;
  Request.Remaining = Call.Deadline - Call.Started;
  if (Context.Config && Request.CanWait) {
    // The time that a call may wait is not time that it may run.
    for (const Route &Each : Context.Config->Routes)
      if (Each.Name == Request.Route)
        Request.Remaining = std::min(Request.Remaining, Each.Timeout);
  }
  removeField(Request.Headers, TimeoutField);
  removeField(Request.Headers, DepthField);
  Request.Headers.push_back(
      {std::string(TimeoutField), std::to_string(Request.Remaining.Value)});
  Request.Headers.push_back(
      {std::string(DepthField), std::to_string(Request.Depth)});
  if (Context.Hooks.IssueToken)
    Request.Headers.push_back(
        {std::string(CallTokenField), Context.Hooks.IssueToken(Request)});
  return Request;
}

void TargetSide::onResult(const CallId &Id, RunResult Result) {
  const auto Found = Held.find(Id);
  if (Found == Held.end())
    return;
  const TimeMs Now = Context.now();
  const HeldCall &Call = Found->second;
  Context.Figures.TargetLatency.add(Now - Call.Started);
  learn(Call, Result, Now);
  const bool GivenUp = Result.Failure == RunFailure::TimedOut ||
                       Result.Failure == RunFailure::Cancelled;
  if (GivenUp)
    Abandoned.push_back(Now + AbandonedRunHold);
  else
    --InFlight;
  if (Result.Answer)
    onAnswer(Id, Call, std::move(*Result.Answer));
  else if (Result.Failure == RunFailure::NotReached)
    refuse(Id, Result.Reason);
  else
    onAnswer(Id, Call,
             refusal(GivenUp ? 504 : 502, Result.Reason, Outcome::Unknown));
  if (Result.Failure == RunFailure::NotReached)
    goDown();
  setState();
  pump();
}

void TargetSide::learn(const HeldCall &Call, const RunResult &Result,
                       TimeMs Now) {
  const std::uint32_t Before = Limit.limit(Now);
  if (Result.Failure == RunFailure::Broken)
    onBroken(Call);
  if (Result.Failure != RunFailure::Cancelled)
    Limit.onResult(Call.Request.Route, verdictOf(Result), Now - Call.Started,
                   InFlight, Now);
  const std::uint32_t After = Limit.limit(Now);
  if (After < Before) {
    Context.report(EventId::LimitReduced,
                   {{"target", Context.Self.Name},
                    {"limit", std::to_string(After)},
                    {"slots", std::to_string(Limit.slots())}});
  }
  if (Result.Answer && !Context.Guard.empty())
    Context.Guard.succeeded(fingerprintOf(Call.Request));
}

void TargetSide::onAnswer(const CallId &Id, const HeldCall &Call,
                          CallAnswer Answer) {
  if (Answer.Reason == ResultCode::Ok)
    Answer.Ran = Outcome::Ran;
  (void)Call;
  Ledger.finish(Id, encodeAnswer(Answer), Context.now());
  end(Id, describe(Id, 0));
}

void TargetSide::onBroken(const HeldCall &Call) {
  // Every run that had started before the break was noticed shares its id.
  const CrashId Crash =
      stableHash(fmt::format("{:x}/{}", Context.Self.Incarnation, Call.Epoch));
  if (Call.Epoch == Epoch) {
    ++Epoch;
    ++Context.Figures.Crashes;
    Context.report(EventId::TargetCrashed, {{"target", Context.Self.Name}});
  }
  const RequestFingerprint Request = fingerprintOf(Call.Request);
  if (Context.Guard.crashed(Request, Crash, Context.now())) {
    Context.report(EventId::RequestQuarantined,
                   {{"target", Context.Self.Name},
                    {"organisation", Call.Request.Organisation},
                    {"route", Call.Request.Route},
                    {"call", Call.Request.Id.text()}});
  }
  Suspended = true;
  NextProbe = Context.now();
  probe();
}

void TargetSide::end(const CallId &Id, const CallReply &Reply) {
  const auto Found = Held.find(Id);
  const CallReplyHook OnReply = std::move(Found->second.OnReply);
  Held.erase(Found);
  OnReply(Reply);
}

void TargetSide::refuse(const CallId &Id, ResultCode Reason) {
  Ledger.refuse(Id, Reason);
  end(Id, describe(Id, 0));
}

void TargetSide::refuseAllQueued(ResultCode Reason) {
  std::vector<CallId> Queued;
  for (const auto &[Id, Call] : Held)
    if (!Call.Running)
      Queued.push_back(Id);
  for (const CallId &Id : Queued) {
    Queue.remove(Id);
    refuse(Id, Reason);
  }
}

void TargetSide::goDown() {
  if (!Down)
    NextProbe = Context.now() + Context.Settings.ProbeInterval;
  Down = true;
  Suspended = false;
  setState();
  refuseAllQueued(ResultCode::TargetDown);
}

void TargetSide::probe() {
  if (Probing)
    return;
  NextProbe = Context.now() + Context.Settings.ProbeInterval;
  if (!Context.Hooks.Target.Probe) {
    onProbe(true);
    return;
  }
  Probing = true;
  Context.Hooks.Target.Probe([this](bool Answers) {
    Context.run([this, Answers] {
      Probing = false;
      onProbe(Answers);
    });
  });
}

void TargetSide::onProbe(bool Answers) {
  if (!Answers) {
    goDown();
    return;
  }
  const bool SurvivorsLeft =
      std::any_of(Held.begin(), Held.end(), [this](const auto &Item) {
        return Item.second.Running && Item.second.Epoch < Epoch;
      });
  // Requests that began before the break and still run show that the target
  // did not restart; otherwise it has to be taken for cold.
  if (Down || !SurvivorsLeft)
    Limit.reset(Context.now());
  Down = false;
  Suspended = false;
  setState();
  pump();
}

void TargetSide::releaseAbandoned(TimeMs Now) {
  while (!Abandoned.empty() && Abandoned.front() <= Now) {
    Abandoned.pop_front();
    --InFlight;
  }
}

void TargetSide::setState() {
  TargetState Next = TargetState::Ready;
  if (Context.Draining)
    Next = TargetState::Draining;
  else if (Down)
    Next = TargetState::Down;
  else if (Limit.cold())
    Next = TargetState::Cold;
  if (Told == Next)
    return;
  Told = Next;
  Context.report(EventId::TargetStateChanged,
                 {{"target", Context.Self.Name},
                  {"state", std::to_string(static_cast<int>(Next))}});
  if (Context.Hooks.OnTargetState)
    Context.Hooks.OnTargetState(Next);
}

ServiceRate TargetSide::rate() {
  return {std::min(allowed(), Limit.slots()), Limit.latency()};
}

bool TargetSide::ownDomainOut() const {
  if (!Context.Config)
    return false;
  const auto Own = Context.Config->Domains.find(Context.Self.Domain);
  return Own != Context.Config->Domains.end() &&
         Own->second.Status == DomainStatus::Out;
}

} // namespace fescuewood
