#include "policy/TargetListing.h"

#include <utility>

namespace fescuewood {

void TargetListing::setEntry(std::optional<ListedInstance> Read) {
  Entry = std::move(Read);
}

ResultCode TargetListing::refusal(TimeMs Now) const {
  if (!Entry || (Entry->AssumedUntil && Now >= *Entry->AssumedUntil))
    return ResultCode::TargetUnlisted;
  if (Entry->State == ListedState::Leaving || isReportedLeaving())
    return ResultCode::TargetDraining;
  return ResultCode::Ok;
}

std::string_view TargetListing::evidence() const {
  if (isReportedLeaving())
    return "report";
  return Entry && Entry->AssumedUntil ? "assumption" : "own reading";
}

bool TargetListing::isReportedLeaving() const {
  return Entry && Report.Leaving && Report.ListRevision > Entry->Revision;
}

} // namespace fescuewood
