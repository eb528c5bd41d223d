/// \file
/// Requests in the order in which they are to start, with the work before each.
///
/// Tells which request would start too late at a given service rate, and which
/// is the longest one before it. Items are kept in blocks with a summary each,
/// so an operation looks at the summaries and at one block: about the square
/// root of the number of items.

#ifndef FESCUEWOOD_POLICY_WORKLIST_H
#define FESCUEWOOD_POLICY_WORKLIST_H

#include "calls/Call.h"
#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuewood {

/// One request of a \ref WorkList.
struct WorkItem {
  std::int64_t Key = 0;      ///< Items start in order of their keys.
  std::uint64_t Arrival = 0; ///< Unique; orders items of the same key.
  CallId Id;
  DurationMs Work{1}; ///< Expected service time.
  TimeMs LatestStart; ///< A later start is too late.
};

/// How fast a list is served: an item with the work W before it starts at
/// Begin + W / Speed.
struct ServicePace {
  TimeMs Begin;
  double Speed = 1;
};

/// Rounds a speed to one of a few values, at most a twentieth away, so that the
/// summaries of a list stay valid while the service rate hardly changes.
double paceSpeed(double Speed);

/// Ordered requests of one group. Not thread-safe.
class WorkList {
public:
  void insert(const WorkItem &Item);

  /// Removes the item with the same key and arrival.
  void erase(const WorkItem &Item);

  bool empty() const { return Count == 0; }
  std::size_t size() const { return Count; }
  DurationMs work() const { return Total; }

  /// First item in order. The list must not be empty.
  const WorkItem &front() const { return Blocks.front().Items.front(); }

  /// Finds the first item that would start too late and returns the longest one
  /// up to and including it; of several the latest arrival. To remove the
  /// longest each time leaves the largest number that can start in time if the
  /// list is ordered by due time (Moore, 1968). std::nullopt if all can start
  /// in time.
  std::optional<WorkItem> longestUpToFirstLate(const ServicePace &Pace);

  /// The longest item; std::nullopt if the list is empty.
  std::optional<WorkItem> longest() const;

private:
  struct Block {
    std::vector<WorkItem> Items;
    DurationMs Work{0};
    std::size_t Longest = 0; ///< Position of the longest item.
    /// Speed that \ref Margin is valid for; 0 if it has to be computed.
    double MarginSpeed = 0;
    /// Least Speed * LatestStart - work before the item in the block.
    double Margin = 0;
  };

  static bool precedes(const WorkItem &Left, const WorkItem &Right);
  static bool isLonger(const WorkItem &Left, const WorkItem &Right);
  static void summarise(Block &Changed);
  static void updateMargin(Block &Each, double Speed);
  std::size_t blockOf(const WorkItem &Item) const;
  void split(std::size_t At);

  std::vector<Block> Blocks; ///< None is empty.
  std::size_t Count = 0;
  DurationMs Total{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_WORKLIST_H
