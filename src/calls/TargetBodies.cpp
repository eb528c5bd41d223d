// Admission of bodies that are staged before their calls start.
// TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include <algorithm>

namespace fescuewood {

BodyReceiverHooks TargetSide::bodyHooks() {
  BodyReceiverHooks Hooks;
  Hooks.Refusal = [this](const CallRequest &Request) {
    return refusalOfBody(Request);
  };
  Hooks.IsKnown = [this](const CallId &Id) {
    return Ledger.find(Id) != nullptr;
  };
  Hooks.RunTime = [this](const std::string &Route) {
    return Limit.latency(Route);
  };
  Hooks.Load = [this] { return load(); };
  return Hooks;
}

/// Refuses a body whose call would be refused when it starts, before the body
/// has crossed the link.
BodyRefusal TargetSide::refusalOfBody(const CallRequest &Request) {
  HeldCall Expected;
  Expected.Request = Request;
  Expected.Deadline = Context.now() + Request.Remaining;
  Expected.FromPeer = true;
  ResultCode Reason = refusalOnArrival(Expected);
  if (Reason == ResultCode::Ok) {
    // Most of the queue precedes the call when it starts.
    const ServiceRate Rate = serviceRate();
    const auto Queued = static_cast<std::int64_t>(Queue->size());
    const DurationMs Wait(Rate.Latency.Value * Queued /
                          std::max(1U, Rate.Limit));
    if (Wait + Limit.latency(Request.Route) > Request.Remaining)
      Reason = ResultCode::DeadlineUnreachable;
  }
  return {Reason, retryAfter(Reason)};
}

} // namespace fescuewood
