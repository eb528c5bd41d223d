/// \file
/// The queued requests of one organisation and priority, in two groups.
///
/// Requests of the in-time group can all still meet their objectives at the
/// present service rate; they start first, least slack first. All others are in
/// the late group and start in order of arrival.
///
/// Answers the load of more requests than can be served within their
/// objectives: in order of arrival, and in order of deadlines alone, every one
/// then starts just too late. Here the fewest possible go to the late group,
/// those with the most work first (Moore, 1968).

#ifndef FESCUEWOOD_POLICY_OBJECTIVEBACKLOG_H
#define FESCUEWOOD_POLICY_OBJECTIVEBACKLOG_H

#include "policy/CallQueue.h"
#include "policy/OvertakeMean.h"
#include "policy/WorkList.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace fescuewood {

/// Requests of one organisation and priority. Not thread-safe.
class ObjectiveBacklog {
public:
  enum class Group : std::uint8_t { InTime, Late };

  /// A request and its position.
  struct Entry {
    QueuedCall Call;
    std::uint64_t Arrival = 0; ///< Unique; increases with each request.
    Group In = Group::InTime;

    /// Whether refusing this one costs callers less than refusing \p Other of
    /// the same priority: past its objective, then more work.
    bool costsLessThan(const Entry &Other) const;
  };

  /// Adds a request to its group.
  void add(Entry Added);

  /// Removes a request, which must be queued, and returns it.
  Entry take(const CallId &Id);

  /// Moves requests that cannot meet their objectives behind the others to the
  /// late group, \p MaxMoves at most. Returns the number of moves.
  std::size_t deferLate(const ServicePace &Pace, std::size_t MaxMoves);

  /// A request of the late group without which others can meet their deadlines;
  /// std::nullopt if all of the group can meet theirs.
  std::optional<CallId> unreachable(const ServicePace &Pace, TimeMs Now);

  /// The request whose refusal costs callers least. There must be one.
  const Entry &cheapest() const;

  /// The next request to start. There must be one.
  const Entry &next() const;

  /// Records that the request returned by \ref next starts.
  void onStart(const Entry &Started, TimeMs Now);

  /// Records that a request of the late group was removed unserved.
  void onUnserved(TimeMs Now);

  /// Resets the statistics of the late group.
  void onSpareCapacity() { LateOvertakes.reset(); }

  /// A request, which must be queued.
  const Entry &find(const CallId &Id) const { return Entries.at(Id); }

  bool empty() const { return Entries.empty(); }
  std::size_t size() const { return Entries.size(); }

private:
  static WorkItem itemOf(const Entry &Queued);
  WorkList &listOf(const Entry &Queued);

  std::map<CallId, Entry> Entries;
  WorkList InTime;
  WorkList Late;
  OvertakeMean LateOvertakes; ///< Work of in-time requests, in ms.
};

/// Time after which a request no longer counts on meeting its objective; its
/// deadline if it has none.
TimeMs latestStart(const QueuedCall &Call);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBJECTIVEBACKLOG_H
