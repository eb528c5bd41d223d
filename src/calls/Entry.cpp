#include "calls/Entry.h"

#include "callers/HeaderFields.h"
#include "calls/KeyStrip.h"
#include "calls/Refusals.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::int64_t MsPerSecond = 1000;

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Retry-After in whole seconds, rounded up so that a retry then is not early.
Header retryAfter(DurationMs Wait) {
  const std::int64_t Seconds =
      std::max<std::int64_t>(1, (Wait.Value + MsPerSecond - 1) / MsPerSecond);
  return {"Retry-After", std::to_string(Seconds)};
}

} // namespace

Entry::Entry(EntryHooks Hooks) : Hooks(std::move(Hooks)) {}

void Entry::setSnapshot(SnapshotPtr Snapshot) {
  InForcePtr Next;
  if (Snapshot) {
    KeyTable Keys(*Snapshot);
    Next = std::make_shared<const InForce>(
        InForce{std::move(Snapshot), std::move(Keys)});
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Present = std::move(Next);
}

Entry::InForcePtr Entry::inForce() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Present;
}

void Entry::take(CallerRequest Request, const AnswerHook &OnAnswer) const {
  CallRequest Call;
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Headers = std::move(Request.Headers);
  Call.Body = std::move(Request.Body);
  Call.Depth = Request.Depth;
  const InForcePtr Now = inForce();
  if (!Now) {
    refuse(OnAnswer, ResultCode::NotConfigured, Call);
    return;
  }
  // A key may have been withdrawn while the process was paused.
  if (Hooks.ViewCurrent && !Hooks.ViewCurrent()) {
    refuse(OnAnswer, ResultCode::ViewOutdated, Call);
    return;
  }
  const Route *Matched =
      Now->Config->findRoute(Call.Method, pathOf(Call.Target));
  if (!Matched) {
    refuse(OnAnswer, ResultCode::RouteUnknown, Call);
    return;
  }
  Call.Route = Matched->Name;
  Call.Service = Matched->Service;
  Call.Idempotent = Matched->Idempotent;
  Call.CanWait = Matched->CanWait;
  Call.Remaining = Matched->Timeout;
  if (Request.Remaining)
    Call.Remaining = std::min(Call.Remaining, *Request.Remaining);
  if (Call.Body.size() > Matched->MaxBodyBytes) {
    refuse(OnAnswer, ResultCode::RequestBodyTooLarge, Call);
    return;
  }
  const bool Inside = findField(Call.Headers, CallTokenField) != nullptr;
  const ResultCode Refusal = identify(*Now, *Matched, Call);
  if (Refusal != ResultCode::Ok) {
    refuse(OnAnswer, Refusal, Call);
    return;
  }
  if (Call.Depth >= MaxCallDepth) {
    refuse(OnAnswer, ResultCode::DepthExceeded, Call);
    return;
  }
  if (Call.Remaining <= DurationMs(0)) {
    refuse(OnAnswer, ResultCode::DeadlineExceeded, Call);
    return;
  }
  // A call inside the mesh was charged where its chain entered.
  if (Inside || Call.Organisation.empty() || !Hooks.Charge)
    Hooks.Submit(Request.Number, std::move(Call), OnAnswer);
  else
    chargeAndSubmit(Request.Number, std::move(Call), OnAnswer);
}

void Entry::chargeAndSubmit(std::uint64_t Number, CallRequest Call,
                            const AnswerHook &OnAnswer) const {
  // A decision hook is copyable, so the call is shared with it.
  const auto Waiting = std::make_shared<CallRequest>(std::move(Call));
  Hooks.Charge(Waiting->Organisation, [this, Number, Waiting,
                                       OnAnswer](const RateDecision &Decision) {
    if (Decision.Admitted) {
      Hooks.Submit(Number, std::move(*Waiting), OnAnswer);
      return;
    }
    CallAnswer Answer = refusal(statusOf(ResultCode::RateExceeded),
                                ResultCode::RateExceeded, Outcome::NotRun);
    Answer.Headers.push_back(retryAfter(Decision.RetryAfter));
    OnAnswer(std::move(Answer));
  });
}

ResultCode Entry::identify(const InForce &Now, const Route &Matched,
                           CallRequest &Request) const {
  const auto IsKey = [&Now](std::string_view Text) {
    return Now.Keys.identify(Text).has_value();
  };
  const std::string *Token = findField(Request.Headers, CallTokenField);
  const auto Claims =
      Token && Hooks.CheckToken ? Hooks.CheckToken(*Token) : std::nullopt;
  const bool HasToken = Token != nullptr;
  removeField(Request.Headers, CallTokenField);
  const auto Shown = shownKey(Request.Headers, Request.Target, IsKey);
  // The key goes before anything else is decided, also on open routes.
  if (!stripKey(Shown.value_or(std::string()), Request.Headers, Request.Target))
    return ResultCode::RequestMalformed;
  if (HasToken && !Claims)
    return ResultCode::CallerUnknown;
  if (Claims) {
    Request.Depth = static_cast<std::uint8_t>(
        std::min<int>(Claims->Depth + 1, MaxCallDepth));
    Request.Remaining = std::min(Request.Remaining, Claims->Remaining);
  }
  if (Matched.Access == RouteAccess::Open)
    return ResultCode::Ok;
  if (Claims) {
    Request.Organisation = Claims->Organisation;
    return Request.Organisation.empty() ? ResultCode::CallerUnknown
                                        : ResultCode::Ok;
  }
  const auto Owner = Shown ? Now.Keys.identify(*Shown) : std::nullopt;
  if (!Owner)
    return ResultCode::CallerUnknown;
  Request.Organisation = std::string(*Owner);
  Request.KeyMark = keyMark(Digest::of(*Shown));
  return ResultCode::Ok;
}

void Entry::refuse(const AnswerHook &OnAnswer, ResultCode Reason,
                   const CallRequest &Request) const {
  if (Hooks.OnEvent) {
    Hooks.OnEvent({EventId::CallRefused,
                   {{"organisation", Request.Organisation},
                    {"route", Request.Route},
                    {"reason", std::string(resultName(Reason))},
                    {"outcome", "not-run"}}});
  }
  OnAnswer(refusal(statusOf(Reason), Reason, Outcome::NotRun));
}

} // namespace fescuewood
