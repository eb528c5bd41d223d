// Admission of requests whose runs call a service that is short of room.
// TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include <fmt/format.h>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

/// Refuses a request whose run would likely lose an inner call.
ResultCode TargetSide::refusalByDependency(const CallRequest &Request) {
  if (!Context.limitsDependents() ||
      Context.Dependents.admit(Request.Route, Context.now()))
    return ResultCode::Ok;
  ++Context.Counters.DependentRefusals;
  reportDependents();
  return ResultCode::DependencyShort;
}

/// Reports each shortage once with its first refusal and once after its end, so
/// that the volume does not depend on the number of refusals.
void TargetSide::reportDependents() {
  if (!Context.limitsDependents())
    return;
  for (DependentChange &Change :
       Context.Dependents.takeChanges(Context.now())) {
    std::vector<EventField> Fields = {{"route", std::move(Change.Route)}};
    if (Change.Limited) {
      Fields.push_back({"share", fmt::format("{:.2f}", Change.Share)});
    } else {
      Fields.push_back({"refused", std::to_string(Change.Refused)});
      Fields.push_back({"lasted_ms", std::to_string(Change.Lasted.Value)});
    }
    Context.report(Change.Limited ? EventId::DependentLimited
                                  : EventId::DependentRestored,
                   std::move(Fields));
  }
}

} // namespace fescuewood
