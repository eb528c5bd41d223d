/// \file
/// Bounded queue of requests for one target, ordered by what can still meet its
/// objective.
///
/// Scheduling is that of \ref FairQueue between classes, priorities and
/// organisations. Within an organisation's backlog of one priority,
/// \ref ObjectiveBacklog decides. A priority that has been passed over
/// \ref MaxOvertakes times in a row is served next, so strict priority starves
/// no priority for longer.
///
/// Load shedding:
/// - A request that cannot meet its deadline behind the others is refused on
///   arrival, or another one with more work that is past its objective.
/// - Where bytes or requests have no room, the request whose refusal costs
///   callers least gives way: lowest priority, then past its objective, then
///   most work. It belongs to the same organisation, so that the shares of the
///   organisations hold; an inner call displaces requests of all organisations.
/// - No request of a caller displaces an inner call.

#ifndef FESCUEWOOD_POLICY_OBJECTIVEQUEUE_H
#define FESCUEWOOD_POLICY_OBJECTIVEQUEUE_H

#include "policy/BoundedCallQueue.h"
#include "policy/ObjectiveBacklog.h"
#include "policy/OvertakeMean.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

/// Pops in a row after which a priority that was passed over is served. Bounds
/// the wait of each priority to this plus the number of priorities, in pops.
inline constexpr std::uint32_t MaxOvertakes = 16;

/// Requests that one arrival displaces at most; it bounds the time of a
/// decision.
inline constexpr std::size_t MaxDisplaced = 8;

/// A queued request that is refused.
struct QueueRefusal {
  CallId Id;
  ResultCode Reason = ResultCode::DeadlineUnreachable; ///< Or Displaced.
  CallId DisplacedBy; ///< The arrival that took its place, if displaced.
};

/// Queue of one target in order of objectives. Not thread-safe.
class ObjectiveQueue : public BoundedCallQueue {
public:
  /// Called with each queued request that is refused.
  using RefusalHook = std::function<void(const QueueRefusal &)>;

  ObjectiveQueue(CallQueueSettings Settings, RefusalHook OnRefusal);

  bool push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now) override;
  std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now) override;
  bool remove(const CallId &Id, TimeMs Now) override;
  void expire(const ServiceRate &Rate, TimeMs Now) override;
  void onSpareCapacity() override;

private:
  /// The requests of one organisation in a lane, and its share of the service.
  struct Share {
    ObjectiveBacklog Requests;
    std::uint32_t Weight = 1;
    double Start = 0; ///< Virtual start time of its next request.
  };

  /// The requests of one class and priority, by organisation.
  struct Lane {
    std::map<std::string, Share, std::less<>> Shares;
    double VirtualTime = 0;
    std::size_t Size = 0;
    DurationMs Work{0};
    /// Pops of other lanes since the last pop from this one, or since its first
    /// request arrived.
    std::uint32_t PassedOver = 0;
    OvertakeMean Overtakes; ///< Work of other lanes, in ms.
  };

  static std::pair<TimeMs, CallId> expiryOf(const QueuedCall &Call);
  bool makeRoom(const QueuedCall &Call, TimeMs Now,
                std::vector<ObjectiveBacklog::Entry> &Displaced);
  const ObjectiveBacklog::Entry *victimFor(const QueuedCall &Call,
                                           TimeMs Now) const;
  bool shed(const CallId &Arrival, const ServiceRate &Rate, TimeMs Now,
            std::vector<ObjectiveBacklog::Entry> &Displaced);
  void add(ObjectiveBacklog::Entry Added);
  ObjectiveBacklog::Entry take(const CallId &Id);
  ObjectiveBacklog::Entry takeUnserved(const CallId &Id, TimeMs Now);
  ServicePace pace(const LaneId &Key, const Share &Own, const ServiceRate &Rate,
                   TimeMs Begin) const;
  Lane *nextLane(Class Type);
  static Share *nextShare(Lane &Source);
  bool hasRequests(Class Type) const;
  void onPop(Lane &Source, const ObjectiveBacklog::Entry &Popped, TimeMs Now);
  void drop(const CallId &Id, TimeMs Now);
  void deferLate(const ServiceRate &Rate, TimeMs Now);

  RefusalHook OnRefusal;
  std::map<LaneId, Lane> Lanes;
  /// Requests by the time from which they are refused.
  std::set<std::pair<TimeMs, CallId>> ByExpiry;
  std::uint64_t NextArrival = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBJECTIVEQUEUE_H
