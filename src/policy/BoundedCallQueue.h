/// \file
/// What the queues of a target have in common: their bounds, the record of what
/// is queued, and the turns of deferrable requests.
///
/// Memory is bounded. An organisation may hold at most as much as is still
/// free (Choudhury and Hahne, 1998), so one alone never fills the queue.

#ifndef FESCUEWOOD_POLICY_BOUNDEDCALLQUEUE_H
#define FESCUEWOOD_POLICY_BOUNDEDCALLQUEUE_H

#include "policy/CallQueue.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace fescuewood {

/// Base of the queues, which hold the requests themselves.
class BoundedCallQueue : public CallQueue {
public:
  std::size_t size() const final { return Index.size(); }
  std::size_t bytes() const final { return Bytes; }
  ResultCode lastReason() const final { return LastReason; }

protected:
  enum class Class : std::uint8_t { Urgent, Deferrable };

  /// Lanes are ordered by class, then by priority.
  struct LaneId {
    Class Type = Class::Urgent;
    std::uint16_t Priority = 0;

    auto operator<=>(const LaneId &) const = default;
  };

  /// Where a request is queued.
  struct Location {
    LaneId Key;
    std::string Organisation;
  };

  explicit BoundedCallQueue(CallQueueSettings Settings) : Settings(Settings) {}

  static LaneId laneOf(const QueuedCall &Call);

  /// Whether a request fits into the bounds.
  bool hasRoom(const QueuedCall &Call) const;

  /// Sets \ref lastReason; returns false, the result of the failed push.
  bool refuse(ResultCode Reason);

  /// Records a request that is queued, or one that leaves the queue.
  void hold(const QueuedCall &Call);
  void release(const QueuedCall &Call);

  /// Location of a queued request; null if it is not queued.
  const Location *locate(const CallId &Id) const;

  /// Class of the next request, of those that have requests. Urgent ones
  /// precede, except for the turns of the deferrable ones.
  Class nextClass(bool HasUrgent, bool HasDeferrable) const;

  /// Counts a request of a class that starts.
  void onServed(Class Type);

private:
  CallQueueSettings Settings;
  std::map<CallId, Location> Index;
  std::map<std::string, std::size_t, std::less<>> BytesByOrganisation;
  std::size_t Bytes = 0;
  std::uint32_t ConsecutiveUrgent = 0;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_BOUNDEDCALLQUEUE_H
