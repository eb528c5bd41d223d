#include "calls/Entry.h"

#include "callers/HeaderFields.h"
#include "calls/KeyStrip.h"
#include "calls/Refusals.h"
#include "policy/StagedBodies.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

std::string_view requestPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view hostHeader(const CallRequest &Request) {
  const std::string *Host = findField(Request.Headers, "Host");
  return Host ? std::string_view(*Host) : std::string_view();
}

/// Whether a target makes the call while it runs another request. In a scheme
/// without call tokens, this is a call without an organisation in a mesh that
/// has organisations.
bool isInnerCall(const HeaderScheme &Scheme, const Snapshot &Config,
                 const CallRequest &Call) {
  if (Scheme.UseCallTokens)
    return Call.Depth > 0;
  return Call.Organisation.empty() && !Config.Organisations.empty();
}

} // namespace

Entry::Entry(EntryHooks Hooks, EntryOptions Options)
    : Hooks(std::move(Hooks)), Options(std::move(Options)) {}

void Entry::setSnapshot(SnapshotPtr Snapshot) {
  ActiveConfigPtr Next;
  if (Snapshot) {
    KeyTable Keys(*Snapshot);
    SplitTable Splits(*Snapshot, Options.Seed);
    Next = std::make_shared<const ActiveConfig>(
        ActiveConfig{std::move(Snapshot), std::move(Keys), std::move(Splits)});
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Active = std::move(Next);
}

Entry::ActiveConfigPtr Entry::activeConfig() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Active;
}

void Entry::handle(CallerRequest Request, const AnswerHook &OnAnswer) const {
  CallRequest Call;
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Headers = std::move(Request.Headers);
  Call.Body = std::move(Request.Body);
  Call.Depth = Request.Depth;
  // Asked before the version is read: a newer one may come into force while the
  // request is decided, and its proof says nothing about the keys of this one.
  const bool KeysProven = !Hooks.KeysProven || Hooks.KeysProven();
  const ActiveConfigPtr Current = activeConfig();
  if (!Current) {
    refuse(OnAnswer, ResultCode::NotConfigured, Call);
    return;
  }
  // A key may have been withdrawn while this process was paused.
  if (Hooks.ViewCurrent && !Hooks.ViewCurrent()) {
    refuse(OnAnswer, ResultCode::ViewOutdated, Call);
    return;
  }
  const Route *MatchedRoute = Current->Config->findRoute(
      Call.Method, hostHeader(Call), requestPath(Call.Target));
  if (!MatchedRoute) {
    refuse(OnAnswer, ResultCode::RouteUnknown, Call);
    return;
  }
  applyRoute(*Current, *MatchedRoute, Call);
  if (Request.Remaining)
    Call.Remaining = std::min(Call.Remaining, *Request.Remaining);
  if (Call.Body.size() > MatchedRoute->MaxBodyBytes) {
    refuse(OnAnswer, ResultCode::RequestBodyTooLarge, Call);
    return;
  }
  const bool HasCallToken =
      Options.Scheme.UseCallTokens &&
      findField(Call.Headers, Options.Scheme.CallToken) != nullptr;
  const ResultCode Refusal =
      identify(*Current, *MatchedRoute, KeysProven, Call);
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
  if (isInnerCall(Options.Scheme, *Current->Config, Call))
    Call.Priority = InnerCallPriority;
  setOriginHeaders(Call);
  // A call inside the mesh was charged when its chain entered the mesh.
  if (HasCallToken || Call.Organisation.empty() || !Hooks.Charge)
    Hooks.Submit(Request.Number, std::move(Call), OnAnswer);
  else
    chargeAndSubmit(Request.Number, std::move(Call), OnAnswer);
}

void Entry::chargeAndSubmit(std::uint64_t Number, CallRequest Call,
                            const AnswerHook &OnAnswer) const {
  // The decision hook must be copyable, so it shares ownership of the call.
  const auto SharedCall = std::make_shared<CallRequest>(std::move(Call));
  const TimeMs ArrivedAt = Options.Time.now();
  Hooks.Charge(SharedCall->Organisation, [this, Number, SharedCall, ArrivedAt,
                                          OnAnswer](
                                             const RateDecision &Decision) {
    if (Decision.Admitted) {
      SharedCall->Age = Options.Time.now() - ArrivedAt;
      SharedCall->Remaining = SharedCall->Remaining - SharedCall->Age;
      const AnswerHook OnEnd = returningToken(*SharedCall, Decision, OnAnswer);
      Hooks.Submit(Number, std::move(*SharedCall), OnEnd);
      return;
    }
    report(ResultCode::RateExceeded, *SharedCall);
    CallAnswer Answer = refusal(httpStatus(ResultCode::RateExceeded),
                                ResultCode::RateExceeded, Outcome::NotRun);
    Answer.Headers.push_back(
        {"Retry-After", retryAfterText(Options.Scheme, Decision.RetryAfter)});
    OnAnswer(std::move(Answer));
  });
}

/// Returns \p OnAnswer, preceded by the return of the request's token if the
/// request has not run: a rate counts what runs.
AnswerHook Entry::returningToken(const CallRequest &Call,
                                 const RateDecision &Decision,
                                 const AnswerHook &OnAnswer) const {
  if (!Hooks.GiveBack)
    return OnAnswer;
  return [this, Organisation = Call.Organisation, Decision,
          OnAnswer](CallAnswer Answer) {
    if (Answer.RequestOutcome == Outcome::NotRun)
      Hooks.GiveBack(Organisation, Decision);
    OnAnswer(std::move(Answer));
  };
}

/// Sets the request's fields that its route determines.
void Entry::applyRoute(const ActiveConfig &Current, const Route &MatchedRoute,
                       CallRequest &Call) const {
  Call.Route = MatchedRoute.Name;
  Call.Service = Current.Splits.pick(MatchedRoute);
  Call.Idempotent = MatchedRoute.Idempotent;
  Call.CanWait = MatchedRoute.CanWait;
  Call.HasLargePayload =
      MatchedRoute.Large ||
      (MatchedRoute.LargeBody && Call.Body.size() > BodyPieceBytes);
  Call.Remaining = MatchedRoute.Timeout;
  Call.MaxAttempts =
      static_cast<std::uint8_t>(std::min(MatchedRoute.MaxAttempts, 255U));
  Call.Priority = callPriority(0, MatchedRoute.Priority);
}

ResultCode Entry::identify(const ActiveConfig &Current,
                           const Route &MatchedRoute, bool KeysProven,
                           CallRequest &Request) const {
  if (Options.Scheme.UseCallTokens &&
      findField(Request.Headers, Options.Scheme.CallToken))
    return identifyByToken(Current, MatchedRoute, Request);
  std::optional<std::string> PresentedKey;
  // Removes the key before any other decision, also on open routes.
  if (Options.Scheme.KeyInFieldOrQuery) {
    if (!extractKey(Current, Request, PresentedKey))
      return ResultCode::RequestMalformed;
  } else {
    PresentedKey = presentedKey(Request.Headers, Options.Scheme);
    stripKey(Request.Headers, Options.Scheme);
  }
  return identifyByKey(Current, MatchedRoute, KeysProven, PresentedKey,
                       Request);
}

/// Removes the key from all parts of a request and returns it in \p
/// PresentedKey. Returns false if the request cannot be forwarded without the
/// key.
bool Entry::extractKey(const ActiveConfig &Current, CallRequest &Request,
                       std::optional<std::string> &PresentedKey) {
  PresentedKey =
      presentedKey(Request.Headers, Request.Target, [&Current](auto Text) {
        return Current.Keys.identify(Text).has_value();
      });
  return stripKey(PresentedKey.value_or(std::string()), Request.Headers,
                  Request.Target);
}

ResultCode Entry::identifyByKey(const ActiveConfig &Current,
                                const Route &MatchedRoute, bool KeysProven,
                                const std::optional<std::string> &PresentedKey,
                                CallRequest &Request) {
  if (MatchedRoute.Access == RouteAccess::Open)
    return ResultCode::Ok;
  // Without proof, a key that this node does not know may also be a new one.
  if (!KeysProven)
    return ResultCode::KeysUnproven;
  const auto Owner =
      PresentedKey ? Current.Keys.identify(*PresentedKey) : std::nullopt;
  if (!Owner)
    return ResultCode::CallerUnknown;
  Request.Organisation = std::string(*Owner);
  Request.KeyDigestPrefix = keyDigestPrefix(Digest::sha256(*PresentedKey));
  const auto Known = Current.Config->Organisations.find(Request.Organisation);
  if (Known != Current.Config->Organisations.end())
    Request.Priority =
        callPriority(Known->second.Priority, MatchedRoute.Priority);
  return ResultCode::Ok;
}

ResultCode Entry::identifyByToken(const ActiveConfig &Current,
                                  const Route &MatchedRoute,
                                  CallRequest &Request) const {
  const std::string *Token =
      findField(Request.Headers, Options.Scheme.CallToken);
  const auto Claims =
      Hooks.CheckToken ? Hooks.CheckToken(*Token) : std::nullopt;
  removeField(Request.Headers, Options.Scheme.CallToken);
  std::optional<std::string> PresentedKey;
  if (!extractKey(Current, Request, PresentedKey))
    return ResultCode::RequestMalformed;
  if (!Claims)
    return ResultCode::CallerUnknown;
  Request.Depth =
      static_cast<std::uint8_t>(std::min<int>(Claims->Depth + 1, MaxCallDepth));
  Request.Remaining = std::min(Request.Remaining, Claims->Remaining);
  if (MatchedRoute.Access == RouteAccess::Open)
    return ResultCode::Ok;
  Request.Organisation = Claims->Organisation;
  return Request.Organisation.empty() ? ResultCode::CallerUnknown
                                      : ResultCode::Ok;
}

/// Sets the origin headers for the target, replacing any from the caller.
void Entry::setOriginHeaders(CallRequest &Request) const {
  setField(Request.Headers, Options.Scheme.Organisation, Request.Organisation);
  setField(Request.Headers, Options.Scheme.OriginService, Options.Service);
  setField(Request.Headers, Options.Scheme.TargetInstance, "");
}

void Entry::refuse(const AnswerHook &OnAnswer, ResultCode Reason,
                   const CallRequest &Request) const {
  report(Reason, Request);
  OnAnswer(
      refusal(httpStatus(Reason, Outcome::NotRun), Reason, Outcome::NotRun));
}

void Entry::report(ResultCode Reason, const CallRequest &Request) const {
  if (!Hooks.OnEvent)
    return;
  Hooks.OnEvent({EventId::CallRefused,
                 {{"request", requestId(Request, Options.Scheme)},
                  {"organisation", Request.Organisation},
                  {"route", Request.Route},
                  {"service", Request.Service},
                  {"remaining_ms", std::to_string(Request.Remaining.Value)},
                  {"reason", std::string(resultName(Reason))},
                  {"outcome", "not-run"}}});
}

} // namespace fescuewood
