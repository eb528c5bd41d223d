#include "policy/ParentRequests.h"

#include <algorithm>

namespace fescuewood {

void ParentRequests::add(std::string_view RequestId, TimeMs Deadline) {
  if (Separator != '\0' && !RequestId.empty())
    Running.emplace(std::string(RequestId), Deadline);
}

void ParentRequests::remove(std::string_view RequestId, TimeMs Deadline) {
  const auto [First, Last] = Running.equal_range(RequestId);
  const auto Found = std::find_if(
      First, Last, [&](const auto &Item) { return Item.second == Deadline; });
  if (Found != Last)
    Running.erase(Found);
}

std::optional<TimeMs>
ParentRequests::parentDeadline(std::string_view CallRequestId) const {
  if (Separator == '\0' || Running.empty())
    return std::nullopt;
  // The id of the parent may contain the separator as well.
  const std::size_t End = CallRequestId.rfind(Separator);
  if (End == std::string_view::npos)
    return std::nullopt;
  const auto [First, Last] = Running.equal_range(CallRequestId.substr(0, End));
  std::optional<TimeMs> Latest;
  for (auto Each = First; Each != Last; ++Each)
    Latest = std::max(Latest.value_or(Each->second), Each->second);
  return Latest;
}

} // namespace fescuewood
