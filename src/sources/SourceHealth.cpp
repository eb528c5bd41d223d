#include "sources/SourceHealth.h"

#include <utility>

namespace fescuewood {

namespace {

/// Consecutive failed reads after which a source counts as unreachable. A
/// single failure may be transient.
constexpr unsigned FailuresUntilUnreachable = 2;

} // namespace

SourceHealth::SourceHealth(
    std::function<void(bool Reachable)> OnReachabilityChange, EventHook OnEvent)
    : OnReachabilityChange(std::move(OnReachabilityChange)),
      OnEvent(std::move(OnEvent)) {}

bool SourceHealth::onSuccess() {
  ConsecutiveFailures = 0;
  LastFailure = ResultCode::Ok;
  if (Reachable)
    return false;
  setReachable(true, EventId::PlatformBack);
  return true;
}

bool SourceHealth::onFailure(ResultCode Reason, const std::string &Detail) {
  ++TotalFailures;
  // Reports each new reason once, so that a long outage does not emit one event
  // per read.
  if (Reason != LastFailure)
    emit(EventId::PlatformReadFailed,
         {{"reason", std::string(resultName(Reason)) + ": " + Detail}});
  LastFailure = Reason;
  ++ConsecutiveFailures;
  if (!Reachable || ConsecutiveFailures < FailuresUntilUnreachable)
    return false;
  setReachable(false, EventId::PlatformOut);
  return true;
}

void SourceHealth::setReachable(bool NowReachable, EventId Id) {
  Reachable = NowReachable;
  emit(Id);
  if (OnReachabilityChange)
    OnReachabilityChange(NowReachable);
}

void SourceHealth::emit(EventId Id, std::vector<EventField> Fields) const {
  if (OnEvent)
    OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
