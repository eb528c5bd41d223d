/// \file
/// Interface of the queue of requests for one target.
///
/// \ref CallQueue::push accepts a request or rejects it on arrival;
/// \ref CallQueue::pop removes the next one to run. \ref FairQueue serves an
/// organisation's requests in order of arrival, \ref ObjectiveQueue by what can
/// still meet its objective.

#ifndef FESCUEWOOD_POLICY_CALLQUEUE_H
#define FESCUEWOOD_POLICY_CALLQUEUE_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fescuewood {

/// Configuration of a \ref CallQueue.
struct CallQueueSettings {
  std::size_t MaxBytes = 16 << 20;
  std::size_t MaxRequests = 20000;
  std::uint32_t WaitingShare = 8; ///< One pop in this many is deferrable.
};

/// A request as the queue sees it.
struct QueuedCall {
  CallId Id;
  std::string Organisation;
  std::uint32_t Weight = 1;   ///< Weight of the organisation.
  bool CanWait = false;       ///< Deferrable; all others are urgent.
  std::uint16_t Priority = 0; ///< 0 is the highest.
  TimeMs Deadline;
  TimeMs SoftDeadline = Never; ///< Soft deadline of the answer.
  std::size_t Bytes = 0;       ///< Memory held by the request.
  DurationMs Cost{1};          ///< Expected service time at the target.
};

/// Current capacity of the target.
struct ServiceRate {
  std::uint32_t Limit = 1; ///< Concurrent requests.
  DurationMs Latency{0};   ///< Typical service time of a request.
};

/// Least time before the deadline at which a request is started, as a multiple
/// of its expected service time; one that is started later mostly times out and
/// wastes its slot.
inline constexpr double MinRemainingCostFactor = 1.5;

/// Least time before the deadline at which a request is started.
inline DurationMs minRemainingTime(const QueuedCall &Call,
                                   const ServiceRate &Rate) {
  // An idle target is tried whatever its recent latency.
  if (Call.CanWait || Rate.Latency <= DurationMs(0))
    return DurationMs(0);
  return DurationMs(static_cast<std::int64_t>(
      MinRemainingCostFactor * static_cast<double>(Call.Cost.Value)));
}

/// Virtual service time of a request before division by its weight.
inline double virtualCost(const QueuedCall &Call) {
  return static_cast<double>(std::max<std::int64_t>(1, Call.Cost.Value));
}

/// Queue of one target. Not thread-safe.
class CallQueue {
public:
  CallQueue() = default;
  CallQueue(const CallQueue &) = delete;
  CallQueue &operator=(const CallQueue &) = delete;
  virtual ~CallQueue() = default;

  /// Adds a request. On failure returns false and sets \ref lastReason to
  /// ResultCode::QueueFull or to ResultCode::DeadlineUnreachable.
  virtual bool push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now) = 0;

  /// Removes and returns the next request that can still be answered in time.
  virtual std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now) = 0;

  /// Removes a request. Returns false when it is not queued.
  virtual bool remove(const CallId &Id, TimeMs Now) = 0;

  /// Drops requests that can no longer be answered in time.
  virtual void expire(const ServiceRate &Rate, TimeMs Now) = 0;

  /// Reports that the target has spare capacity and the queue is empty.
  virtual void onSpareCapacity() = 0;

  virtual std::size_t size() const = 0;
  virtual std::size_t bytes() const = 0;

  /// Reason for the most recent failed \ref push.
  virtual ResultCode lastReason() const = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CALLQUEUE_H
