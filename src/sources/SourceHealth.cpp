#include "sources/SourceHealth.h"

#include <utility>

namespace fescuewood {

namespace {

/// One failed read may be chance; at two in a row the source counts as out.
constexpr unsigned FailuresUntilOut = 2;

} // namespace

SourceHealth::SourceHealth(std::function<void(bool Reachable)> OnState,
                           EventHook OnEvent)
    : OnState(std::move(OnState)), OnEvent(std::move(OnEvent)) {}

bool SourceHealth::succeeded() {
  InARow = 0;
  LastFailure = ResultCode::Ok;
  if (Reachable)
    return false;
  tell(true, EventId::PlatformBack);
  return true;
}

bool SourceHealth::failed(ResultCode Reason, const std::string &Detail) {
  ++All;
  // An outage of hours is one event for each new reason, not one per read.
  if (Reason != LastFailure)
    emit(EventId::PlatformReadFailed,
         {{"reason", std::string(resultName(Reason)) + ": " + Detail}});
  LastFailure = Reason;
  ++InARow;
  if (!Reachable || InARow < FailuresUntilOut)
    return false;
  tell(false, EventId::PlatformOut);
  return true;
}

void SourceHealth::tell(bool NowReachable, EventId Id) {
  Reachable = NowReachable;
  emit(Id);
  if (OnState)
    OnState(NowReachable);
}

void SourceHealth::emit(EventId Id, std::vector<EventField> Fields) const {
  if (OnEvent)
    OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
