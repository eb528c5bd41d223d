/// \file
/// Bounded queue of requests for one target, scheduled fairly between
/// organisations.
///
/// \ref FairQueue::push accepts a request, or rejects it on arrival if its
/// deadline cannot be met; \ref FairQueue::pop removes the next one to run.
///
/// Scheduling:
/// - Urgent requests precede deferrable ones (`CanWait`), except for a fixed
///   share of the pops that is reserved for deferrable requests.
/// - Within each of these classes, priorities are strict.
/// - Within a priority, organisations share by start-time fair queueing (Goyal,
///   Vin and Cheng, 1996): while two of them are backlogged, their service
///   normalised by weight differs by at most one request each, whatever they
///   send.
///
/// Load shedding:
/// - Requests of high priority can saturate the target, so that a lower
///   priority is served late or never at any service rate. The queue counts how
///   often each priority is overtaken and rejects on arrival what would miss
///   its deadline for that reason, instead of holding it until the deadline.
/// - Under sustained overload, a queue that grows up to the deadlines delays
///   every answer without raising throughput. Once requests have started too
///   late for their soft deadlines for a while, the queue accepts only requests
///   that can meet theirs, until it has rejected none for a while.
///
/// Memory is bounded. An organisation may hold at most as much as is still
/// free (Choudhury and Hahne, 1998), so one alone never fills the queue.

#ifndef FESCUEWOOD_POLICY_FAIRQUEUE_H
#define FESCUEWOOD_POLICY_FAIRQUEUE_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Configuration of a \ref FairQueue.
struct FairQueueSettings {
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

/// Fair queue of one target. Not thread-safe.
class FairQueue {
public:
  /// Called with each request that is dropped because it has expired.
  using ExpiryHook = std::function<void(const CallId &)>;

  FairQueue(FairQueueSettings Settings, ExpiryHook OnExpiry);

  /// Adds a request.
  ///
  /// On failure returns false and sets \ref lastReason to
  /// ResultCode::QueueFull, when there is no room for the organisation, or to
  /// ResultCode::DeadlineUnreachable, when an urgent request would be late.
  bool push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now);

  /// Removes and returns the next request that can still be answered in time.
  std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now);

  /// Removes a request. Returns false when it is not queued.
  bool remove(const CallId &Id, TimeMs Now);

  /// Drops requests that can no longer be answered in time; each is passed to
  /// the expiry hook.
  void expire(const ServiceRate &Rate, TimeMs Now);

  /// Reports that the target has spare capacity and the queue is empty. Resets
  /// the overtake statistics of all priorities.
  void onSpareCapacity();

  std::size_t size() const { return Index.size(); }
  std::size_t bytes() const { return Bytes; }

  /// Reason for the most recent failed \ref push.
  ResultCode lastReason() const { return LastReason; }

private:
  enum class Class : std::uint8_t { Urgent, Deferrable };

  struct Entry {
    QueuedCall Call;
    double Start = 0; ///< Virtual start time.
  };

  /// The queued requests of one organisation within a lane.
  struct Backlog {
    std::deque<Entry> Entries;
    double LastFinish = 0; ///< Virtual finish time of the newest request.
    std::uint32_t Weight = 1;
  };

  /// The requests of one class and priority, by organisation.
  struct Lane {
    std::map<std::string, Backlog, std::less<>> Backlogs;
    double VirtualTime = 0;
    std::size_t Size = 0;
    /// Pops of higher priorities since the last pop from this lane, or since
    /// its first request arrived.
    std::uint32_t HeadOvertakes = 0;
    /// Decaying mean of \ref HeadOvertakes per request of this lane.
    double MeanOvertakes = 0;
    TimeMs MeanUpdatedAt;
  };

  /// Lanes are ordered by class, then by priority.
  struct LaneId {
    Class Type = Class::Urgent;
    std::uint16_t Priority = 0;

    auto operator<=>(const LaneId &) const = default;
  };

  struct Location {
    LaneId Key;
    std::string Organisation;
  };

  static LaneId laneOf(const QueuedCall &Call);
  std::size_t sizeOf(Class Type) const;
  bool missesSoftDeadline(const QueuedCall &Call, TimeMs Start,
                          TimeMs Now) const;
  void onStart(const QueuedCall &Call, TimeMs Now);
  std::optional<QueuedCall> popClass(Class Type, TimeMs Now);
  static double meanOvertakes(const Lane &Current, TimeMs Now);
  static double expectedOvertakes(const Lane &Current, TimeMs Now);
  static void onServed(Lane &Current, TimeMs Now);
  static void onUnserved(Lane &Current, TimeMs Now);
  bool refuse(ResultCode Reason);
  bool hasRoom(const QueuedCall &Call) const;
  bool isTooLate(const QueuedCall &Call, const ServiceRate &Rate,
                 TimeMs Now) const;
  bool canMeetDeadline(const QueuedCall &Call, const ServiceRate &Rate,
                       TimeMs Now);
  void add(QueuedCall Call);
  DurationMs expectedWait(const QueuedCall &Call, const ServiceRate &Rate,
                          TimeMs Now);
  std::optional<QueuedCall> popLane(Lane &Source);
  void release(const QueuedCall &Call);
  static void eraseIdleBacklogs(Lane &Source);

  FairQueueSettings Settings;
  ExpiryHook OnExpiry;
  std::map<LaneId, Lane> Lanes;
  std::map<CallId, Location> Index;
  std::map<std::string, std::size_t, std::less<>> BytesByOrganisation;
  std::size_t Bytes = 0;
  std::uint32_t ConsecutiveUrgent = 0;
  /// Every start since then has missed its soft deadline.
  std::optional<TimeMs> LateSince;
  /// Until then, only requests that can meet their soft deadline are accepted.
  TimeMs SheddingUntil;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_FAIRQUEUE_H
