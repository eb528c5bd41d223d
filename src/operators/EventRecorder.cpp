#include "operators/EventRecorder.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

EventRecorder::EventRecorder(std::string Node, std::string Domain,
                             std::size_t Capacity, TimeHook CurrentTime,
                             OutputHook OnEvent)
    : Node(std::move(Node)), Domain(std::move(Domain)), Capacity(Capacity),
      CurrentTime(std::move(CurrentTime)), OnEvent(std::move(OnEvent)) {}

void EventRecorder::record(const Event &Occurrence) {
  // The lock is held during the output hook to keep the output in sequence.
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Counts[Occurrence.Id];
  const HybridTime Time = CurrentTime();
  const auto Suppressed = Repetitions.admit(Occurrence, TimeMs(Time.WallMs));
  if (!Suppressed)
    return;
  StampedEvent Stamped{NextSequence++, Time, Node, Domain, Occurrence};
  if (*Suppressed > 0)
    Stamped.Occurrence.Fields.push_back(
        {"repeated", std::to_string(*Suppressed)});
  OnEvent(Stamped);
  RecentEvents.push_back(std::move(Stamped));
  if (RecentEvents.size() > Capacity)
    RecentEvents.pop_front();
}

std::vector<StampedEvent>
EventRecorder::eventsAfter(std::uint64_t Sequence) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<StampedEvent> Result;
  std::copy_if(RecentEvents.begin(), RecentEvents.end(),
               std::back_inserter(Result),
               [&](const StampedEvent &E) { return E.Sequence > Sequence; });
  return Result;
}

std::uint64_t EventRecorder::count(EventId Id) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const auto It = Counts.find(Id);
  return It == Counts.end() ? 0 : It->second;
}

} // namespace fescuewood
