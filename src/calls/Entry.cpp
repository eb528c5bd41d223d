#include "calls/Entry.h"

#include "callers/HeaderFields.h"
#include "calls/KeyStrip.h"
#include "calls/Refusals.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view hostOf(const CallRequest &Request) {
  const std::string *Host = findField(Request.Headers, "Host");
  return Host ? std::string_view(*Host) : std::string_view();
}

/// Whether a target makes the call for a request of its own. Where no call
/// tokens travel, it is one without a key in a mesh whose callers have keys.
bool isInner(const HeaderScheme &Scheme, const Snapshot &Config,
             const CallRequest &Call) {
  if (Scheme.CallTokens)
    return Call.Depth > 0;
  return Call.Organisation.empty() && !Config.Organisations.empty();
}

} // namespace

Entry::Entry(EntryHooks Hooks, EntryOptions Place)
    : Hooks(std::move(Hooks)), Place(std::move(Place)) {}

void Entry::setSnapshot(SnapshotPtr Snapshot) {
  InForcePtr Next;
  if (Snapshot) {
    KeyTable Keys(*Snapshot);
    SplitTable Splits(*Snapshot, Place.Seed);
    Next = std::make_shared<const InForce>(
        InForce{std::move(Snapshot), std::move(Keys), std::move(Splits)});
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
      Now->Config->findRoute(Call.Method, hostOf(Call), pathOf(Call.Target));
  if (!Matched) {
    refuse(OnAnswer, ResultCode::RouteUnknown, Call);
    return;
  }
  follow(*Now, *Matched, Call);
  if (Request.Remaining)
    Call.Remaining = std::min(Call.Remaining, *Request.Remaining);
  if (Call.Body.size() > Matched->MaxBodyBytes) {
    refuse(OnAnswer, ResultCode::RequestBodyTooLarge, Call);
    return;
  }
  const bool Inside =
      Place.Scheme.CallTokens &&
      findField(Call.Headers, Place.Scheme.CallToken) != nullptr;
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
  if (isInner(Place.Scheme, *Now->Config, Call))
    Call.Priority = InnerCallPriority;
  addOrigin(Call);
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
    report(ResultCode::RateExceeded, *Waiting);
    CallAnswer Answer = refusal(statusOf(ResultCode::RateExceeded),
                                ResultCode::RateExceeded, Outcome::NotRun);
    Answer.Headers.push_back(
        {"Retry-After", retryAfterText(Place.Scheme, Decision.RetryAfter)});
    OnAnswer(std::move(Answer));
  });
}

/// What a route says of its requests.
void Entry::follow(const InForce &Now, const Route &Matched,
                   CallRequest &Call) const {
  Call.Route = Matched.Name;
  Call.Service = Now.Splits.pick(Matched);
  Call.Idempotent = Matched.Idempotent;
  Call.CanWait = Matched.CanWait;
  Call.Large = Matched.Large;
  Call.Remaining = Matched.Timeout;
  Call.MaxAttempts =
      static_cast<std::uint8_t>(std::min(Matched.MaxAttempts, 255U));
  Call.Priority = callPriority(0, Matched.Priority);
}

ResultCode Entry::identify(const InForce &Now, const Route &Matched,
                           CallRequest &Request) const {
  if (Place.Scheme.CallTokens &&
      findField(Request.Headers, Place.Scheme.CallToken))
    return identifyByToken(Now, Matched, Request);
  std::optional<std::string> Shown;
  // The key goes before anything else is decided, also on open routes.
  if (Place.Scheme.KeyAnywhere) {
    if (!takeKeyAnywhere(Now, Request, Shown))
      return ResultCode::RequestMalformed;
  } else {
    Shown = shownKey(Request.Headers, Place.Scheme);
    stripKey(Request.Headers, Place.Scheme);
  }
  return identifyByKey(Now, Matched, Shown, Request);
}

/// Takes the key that a request shows, wherever it stands, out of it. False
/// when the request cannot travel on without it.
bool Entry::takeKeyAnywhere(const InForce &Now, CallRequest &Request,
                            std::optional<std::string> &Shown) {
  Shown = shownKey(Request.Headers, Request.Target, [&Now](auto Text) {
    return Now.Keys.identify(Text).has_value();
  });
  return stripKey(Shown.value_or(std::string()), Request.Headers,
                  Request.Target);
}

ResultCode Entry::identifyByKey(const InForce &Now, const Route &Matched,
                                const std::optional<std::string> &Shown,
                                CallRequest &Request) const {
  if (Matched.Access == RouteAccess::Open)
    return ResultCode::Ok;
  // Whether the key is unknown or merely not known here yet cannot be told
  // either without proof.
  if (Hooks.KeysProven && !Hooks.KeysProven())
    return ResultCode::KeysUnproven;
  const auto Owner = Shown ? Now.Keys.identify(*Shown) : std::nullopt;
  if (!Owner)
    return ResultCode::CallerUnknown;
  Request.Organisation = std::string(*Owner);
  Request.KeyDigestPrefix = keyDigestPrefix(Digest::of(*Shown));
  const auto Known = Now.Config->Organisations.find(Request.Organisation);
  if (Known != Now.Config->Organisations.end())
    Request.Priority = callPriority(Known->second.Priority, Matched.Priority);
  return ResultCode::Ok;
}

ResultCode Entry::identifyByToken(const InForce &Now, const Route &Matched,
                                  CallRequest &Request) const {
  const std::string *Token = findField(Request.Headers, Place.Scheme.CallToken);
  const auto Claims =
      Hooks.CheckToken ? Hooks.CheckToken(*Token) : std::nullopt;
  removeField(Request.Headers, Place.Scheme.CallToken);
  std::optional<std::string> Shown;
  if (!takeKeyAnywhere(Now, Request, Shown))
    return ResultCode::RequestMalformed;
  if (!Claims)
    return ResultCode::CallerUnknown;
  Request.Depth =
      static_cast<std::uint8_t>(std::min<int>(Claims->Depth + 1, MaxCallDepth));
  Request.Remaining = std::min(Request.Remaining, Claims->Remaining);
  if (Matched.Access == RouteAccess::Open)
    return ResultCode::Ok;
  Request.Organisation = Claims->Organisation;
  return Request.Organisation.empty() ? ResultCode::CallerUnknown
                                      : ResultCode::Ok;
}

/// Tells the target where the request comes from, whatever the caller said.
void Entry::addOrigin(CallRequest &Request) const {
  setField(Request.Headers, Place.Scheme.Organisation, Request.Organisation);
  setField(Request.Headers, Place.Scheme.OriginService, Place.Service);
  setField(Request.Headers, Place.Scheme.TargetInstance, "");
}

void Entry::refuse(const AnswerHook &OnAnswer, ResultCode Reason,
                   const CallRequest &Request) const {
  report(Reason, Request);
  OnAnswer(refusal(statusOf(Reason, Outcome::NotRun), Reason, Outcome::NotRun));
}

void Entry::report(ResultCode Reason, const CallRequest &Request) const {
  if (!Hooks.OnEvent)
    return;
  Hooks.OnEvent({EventId::CallRefused,
                 {{"request", requestIdOf(Request, Place.Scheme)},
                  {"organisation", Request.Organisation},
                  {"route", Request.Route},
                  {"service", Request.Service},
                  {"remaining_ms", std::to_string(Request.Remaining.Value)},
                  {"reason", std::string(resultName(Reason))},
                  {"outcome", "not-run"}}});
}

} // namespace fescuewood
