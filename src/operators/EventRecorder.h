/// \file
/// Takes the events of every duty; stamps, keeps and logs them.
///
/// Hand \ref EventRecorder::hook to each package. The newest events stay in a
/// bounded ring for the time line; each also goes to the line hook once.
/// Repetitions beyond the limit are counted in the field `repeated` of the next
/// event of their kind.

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

/// Events of one kind and reason that one period records, and the period.
/// Enough for each request of a node of the design size, 59 calls a second, to
/// leave its line at rest; what goes beyond is counted.
inline constexpr std::uint32_t EventsPerPeriod = 600;
inline constexpr DurationMs EventPeriod{10'000};

/// Events that one process keeps for the time line.
inline constexpr std::size_t RecordedEvents = 4096;

class EventRecorder {
public:
  using StampHook = std::function<HybridTime()>;
  using LineHook = std::function<void(const StampedEvent &)>;

  /// \param Stamp called for each event, on the thread that reports it.
  EventRecorder(std::string Node, std::string Domain, std::size_t Capacity,
                StampHook Stamp, LineHook OnLine);

  /// Records one event; thread-safe, and does no I/O but the line hook's.
  void record(const Event &What);

  EventHook hook() {
    return [this](const Event &What) { record(What); };
  }

  /// The kept events with a sequence above \p Sequence, oldest first.
  std::vector<StampedEvent> after(std::uint64_t Sequence) const;

  /// Number of events of each kind since the start, held back ones included.
  std::uint64_t count(EventId Id) const;

private:
  std::string Node;
  std::string Domain;
  std::size_t Capacity;
  StampHook Stamp;
  LineHook OnLine;

  mutable std::mutex Mutex;
  RepetitionLimit Limit{EventsPerPeriod, EventPeriod};
  std::deque<StampedEvent> Kept;
  std::map<EventId, std::uint64_t> Counts;
  std::uint64_t NextSequence = 1;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_EVENTRECORDER_H
