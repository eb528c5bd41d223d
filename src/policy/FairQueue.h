/// \file
/// The requests that wait for a slot of one target, shared fairly between
/// organisations.
///
/// A request enters with \ref FairQueue::push or is refused early, when its
/// deadline cannot be met, and leaves with \ref FairQueue::pop. Within a class,
/// organisations share by start-time fair queueing (Goyal, Vin and Cheng,
/// 1996): over any span in which two of them wait, what they get differs by at
/// most one request each, in proportion to their weights, whatever they send.
/// Urgent requests go before those that can wait, but for a fixed share; within
/// either, requests of a higher rank go first, and fairness holds within a
/// rank.
///
/// Load that this answers: requests of high ranks that fill the target without
/// end. A lower rank is then served late or never, whatever the target's rate
/// promises; how often it is overtaken is counted, and what cannot be in time
/// so is refused on arrival instead of being held until its deadline.
///
/// And load that stays above what the target can do: a queue that is let grow
/// up to the deadlines then makes every answer late and serves not one request
/// more. Once requests have started late for a while, the queue takes only what
/// can be answered while that is good, until it has had to refuse nothing for a
/// while.
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

/// Bounds and shares of a \ref FairQueue.
struct FairQueueSettings {
  std::size_t MaxBytes = 16 << 20;
  std::size_t MaxRequests = 20000;
  std::uint32_t WaitingShare = 8; ///< One pop in so many is a waiting one's.
};

/// What the queue has to know of a request.
struct QueuedCall {
  CallId Id;
  std::string Organisation;
  std::uint32_t Weight = 1; ///< Of the organisation.
  bool CanWait = false;
  std::uint16_t Priority = 0; ///< 0 goes first.
  TimeMs Deadline;
  TimeMs SoftDeadline = Never; ///< An answer after this is late for its caller.
  std::size_t Bytes = 0;       ///< Memory that the request holds.
  DurationMs Cost{1};          ///< Expected time of this request at the target.
};

/// What the target can do at present.
struct ServiceRate {
  std::uint32_t Limit = 1; ///< Requests at once.
  DurationMs Latency{0};   ///< Typical time of one.
};

/// Requests of all organisations for one target. Not thread-safe.
class FairQueue {
public:
  /// Called with each request that is dropped because it is too late.
  using ExpiryHook = std::function<void(const CallId &)>;

  FairQueue(FairQueueSettings Settings, ExpiryHook OnExpiry);

  /// Adds a request. Returns false when there is no room for its organisation
  /// (QueueFull) or an urgent one would come too late (DeadlineUnreachable);
  /// \ref lastReason then says which.
  bool push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now);

  /// Takes the next request that can still be answered in time.
  std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now);

  /// Takes a request out. Returns false when it does not wait here.
  bool remove(const CallId &Id, TimeMs Now);

  /// Drops what cannot be answered in time any more, through the hook.
  void expire(const ServiceRate &Rate, TimeMs Now);

  /// Says that the target could take another request and none waits: no rank is
  /// overtaken any more.
  void onSpareCapacity();

  std::size_t size() const { return Index.size(); }
  std::size_t bytes() const { return Bytes; }

  /// Why the last push returned false.
  ResultCode lastReason() const { return LastReason; }

private:
  enum class Class : std::uint8_t { Urgent, Waiting };

  struct Waiter {
    QueuedCall Call;
    double Start = 0; ///< Virtual time at which its service may begin.
  };

  struct Backlog {
    std::deque<Waiter> Waiters;
    double LastFinish = 0; ///< Virtual finish time of the newest request.
    std::uint32_t Weight = 1;
  };

  /// The requests of one class, by organisation.
  struct Lane {
    std::map<std::string, Backlog, std::less<>> Backlogs;
    double VirtualTime = 0;
    std::size_t Size = 0;
    std::uint32_t Overtaken = 0; ///< Since one here was served, or came first.
    double UsuallyOvertaken = 0; ///< For each one served here, lately.
    TimeMs LearntAt;
  };

  /// Lanes are served in this order: within a class the smaller number first.
  struct LaneId {
    Class Which = Class::Urgent;
    std::uint16_t Priority = 0;

    auto operator<=>(const LaneId &) const = default;
  };

  struct Place {
    LaneId Which;
    std::string Organisation;
  };

  static LaneId laneOf(const QueuedCall &Call);
  std::size_t sizeOf(Class Which) const;
  bool tooLateToBeGood(const QueuedCall &Call, TimeMs Start, TimeMs Now) const;
  void learnStart(const QueuedCall &Call, TimeMs Now);
  std::optional<QueuedCall> popClass(Class Which, TimeMs Now);
  static double usuallyOvertaken(const Lane &Of, TimeMs Now);
  static double overtakes(const Lane &Of, TimeMs Now);
  static void learnServed(Lane &Of, TimeMs Now);
  static void learnUnserved(Lane &Of, TimeMs Now);
  bool refuse(ResultCode Reason);
  bool hasRoom(const QueuedCall &Call) const;
  bool tooLate(const QueuedCall &Call, const ServiceRate &Rate,
               TimeMs Now) const;
  bool comesInTime(const QueuedCall &Call, const ServiceRate &Rate, TimeMs Now);
  void add(QueuedCall Call);
  DurationMs expectedWait(const QueuedCall &Call, const ServiceRate &Rate,
                          TimeMs Now);
  std::optional<QueuedCall> popFrom(Lane &From);
  void forget(const QueuedCall &Call);
  static void prune(Lane &From);

  FairQueueSettings Settings;
  ExpiryHook OnExpiry;
  std::map<LaneId, Lane> Lanes;
  std::map<CallId, Place> Index;
  std::map<std::string, std::size_t, std::less<>> BytesByOrganisation;
  std::size_t Bytes = 0;
  std::uint32_t UrgentInARow = 0;
  std::optional<TimeMs> LateSince; ///< Every start since then came too late.
  TimeMs ShortUntil; ///< Until then only what can be good is taken.
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_FAIRQUEUE_H
