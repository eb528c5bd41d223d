/// \file
/// The recorder of a process's events.
///
/// Every package reports its events to \ref EventRecorder::hook. The recorder
/// timestamps them, passes each one to the output hook and keeps the newest in
/// a bounded buffer for the timeline. Repetitions above the limit are
/// suppressed; the next recorded event of the same kind carries their number in
/// the field `repeated`.

#ifndef FESCUEWOOD_OPERATORS_EVENTRECORDER_H
#define FESCUEWOOD_OPERATORS_EVENTRECORDER_H

#include "operators/RepetitionLimit.h"
#include "operators/StampedEvent.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fescuewood {

/// Maximum number of recorded events of one kind and reason per
/// \ref RepetitionPeriod. Allows one event for each request of a node of the
/// design size, 59 calls per second; further events are only counted.
inline constexpr std::uint32_t MaxEventsPerPeriod = 600;
inline constexpr DurationMs RepetitionPeriod{10'000};

/// Number of recent events that a process keeps for the timeline.
inline constexpr std::size_t MaxRecentEvents = 4096;

/// Timestamps, limits, buffers and forwards events. Thread-safe.
class EventRecorder {
public:
  using TimeHook = std::function<HybridTime()>;
  using OutputHook = std::function<void(const StampedEvent &)>;

  /// \param Capacity maximum number of events in the buffer.
  /// \param CurrentTime called for each event, on the thread that reports it.
  /// \param OnEvent called with each recorded event, in sequence order.
  EventRecorder(std::string Node, std::string Domain, std::size_t Capacity,
                TimeHook CurrentTime, OutputHook OnEvent);

  /// Records an event. Does no I/O apart from the output hook.
  void record(const Event &Occurrence);

  /// Returns a hook that records events; valid while the recorder exists.
  EventHook hook() {
    return [this](const Event &Occurrence) { record(Occurrence); };
  }

  /// Returns the buffered events with a sequence number above \p Sequence,
  /// oldest first.
  std::vector<StampedEvent> eventsAfter(std::uint64_t Sequence) const;

  /// Returns the number of events of a kind since the start, including
  /// suppressed ones.
  std::uint64_t count(EventId Id) const;

private:
  std::string Node;
  std::string Domain;
  std::size_t Capacity;
  TimeHook CurrentTime;
  OutputHook OnEvent;

  mutable std::mutex Mutex;
  RepetitionLimit Repetitions{MaxEventsPerPeriod, RepetitionPeriod};
  std::deque<StampedEvent> RecentEvents;
  std::map<EventId, std::uint64_t> Counts;
  std::uint64_t NextSequence = 1;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_EVENTRECORDER_H
