#include "operators/EventRecorder.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

EventRecorder::EventRecorder(std::string Node, std::string Domain,
                             std::size_t Capacity, StampHook Stamp,
                             LineHook OnLine)
    : Node(std::move(Node)), Domain(std::move(Domain)), Capacity(Capacity),
      Stamp(std::move(Stamp)), OnLine(std::move(OnLine)) {}

void EventRecorder::record(const Event &What) {
  // The lock spans the line hook, so that lines come out in sequence.
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts[What.Id];
  const HybridTime Time = Stamp();
  const auto HeldBack = Limit.pass(What, TimeMs(Time.WallMs));
  if (!HeldBack)
    return;
  StampedEvent Stamped{NextSequence++, Time, Node, Domain, What};
  if (*HeldBack > 0)
    Stamped.What.Fields.push_back({"repeated", std::to_string(*HeldBack)});
  OnLine(Stamped);
  Kept.push_back(std::move(Stamped));
  if (Kept.size() > Capacity)
    Kept.pop_front();
}

std::vector<StampedEvent> EventRecorder::after(std::uint64_t Sequence) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<StampedEvent> Result;
  std::copy_if(
      Kept.begin(), Kept.end(), std::back_inserter(Result),
      [&](const StampedEvent &Each) { return Each.Sequence > Sequence; });
  return Result;
}

std::uint64_t EventRecorder::count(EventId Id) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto It = Counts.find(Id);
  return It == Counts.end() ? 0 : It->second;
}

} // namespace fescuewood
