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

#ifndef FESCUEWOOD_POLICY_FAIRQUEUE_H
#define FESCUEWOOD_POLICY_FAIRQUEUE_H

#include "policy/BoundedCallQueue.h"
#include "policy/OvertakeMean.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

using FairQueueSettings = CallQueueSettings;

/// Fair queue of one target. Not thread-safe.
class FairQueue : public BoundedCallQueue {
public:
  /// Called with each request that is dropped because it has expired.
  using ExpiryHook = std::function<void(const CallId &)>;

  FairQueue(FairQueueSettings Settings, ExpiryHook OnExpiry);

  bool push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now) override;
  std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now) override;
  bool remove(const CallId &Id, TimeMs Now) override;

  /// Drops requests that can no longer be answered in time; each is passed to
  /// the expiry hook.
  void expire(const ServiceRate &Rate, TimeMs Now) override;

  /// Resets the overtake statistics of all priorities.
  void onSpareCapacity() override;

private:
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
    OvertakeMean Overtakes; ///< By higher priorities.
  };

  std::size_t sizeOf(Class Type) const;
  bool missesSoftDeadline(const QueuedCall &Call, TimeMs Start,
                          TimeMs Now) const;
  void onStart(const QueuedCall &Call, TimeMs Now);
  std::optional<QueuedCall> popClass(Class Type, TimeMs Now);
  bool isTooLate(const QueuedCall &Call, const ServiceRate &Rate,
                 TimeMs Now) const;
  bool canMeetDeadline(const QueuedCall &Call, const ServiceRate &Rate,
                       TimeMs Now);
  void add(QueuedCall Call);
  DurationMs expectedWait(const QueuedCall &Call, const ServiceRate &Rate,
                          TimeMs Now);
  std::optional<QueuedCall> popLane(Lane &Source);
  static void eraseIdleBacklogs(Lane &Source);

  ExpiryHook OnExpiry;
  std::map<LaneId, Lane> Lanes;
  /// Every start since then has missed its soft deadline.
  std::optional<TimeMs> LateSince;
  /// Until then, only requests that can meet their soft deadline are accepted.
  TimeMs SheddingUntil;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_FAIRQUEUE_H
