#include "policy/ParentRequests.h"

#include <algorithm>

namespace fescuewood {

void ParentRequests::add(std::string_view RequestId, TimeMs Deadline,
                         std::string_view Route) {
  if (Separator != '\0' && !RequestId.empty())
    Running.emplace(std::string(RequestId),
                    Request{Deadline, std::string(Route)});
}

void ParentRequests::remove(std::string_view RequestId, TimeMs Deadline) {
  const auto [First, Last] = Running.equal_range(RequestId);
  const auto Found = std::find_if(First, Last, [&](const auto &Item) {
    return Item.second.Deadline == Deadline;
  });
  if (Found != Last)
    Running.erase(Found);
}

std::optional<TimeMs>
ParentRequests::parentDeadline(std::string_view CallRequestId) const {
  const Request *Parent = parent(CallRequestId);
  return Parent ? std::optional(Parent->Deadline) : std::nullopt;
}

std::optional<std::string>
ParentRequests::parentRoute(std::string_view CallRequestId) const {
  const Request *Parent = parent(CallRequestId);
  return Parent ? std::optional(Parent->Route) : std::nullopt;
}

const ParentRequests::Request *
ParentRequests::parent(std::string_view CallRequestId) const {
  if (Separator == '\0' || Running.empty())
    return nullptr;
  // The id of the parent may contain the separator as well.
  const std::size_t End = CallRequestId.rfind(Separator);
  if (End == std::string_view::npos)
    return nullptr;
  const auto [First, Last] = Running.equal_range(CallRequestId.substr(0, End));
  const Request *Latest = nullptr;
  for (auto Each = First; Each != Last; ++Each)
    if (!Latest || Each->second.Deadline > Latest->Deadline)
      Latest = &Each->second;
  return Latest;
}

} // namespace fescuewood
