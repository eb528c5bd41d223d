/// \file
/// Queue of the member records that a node gossips.
///
/// Each record is sent a number of times that grows with the logarithm of the
/// fleet size, and fewer times when receivers report that they know it: rumour
/// spreading with feedback and a counter (A. Demers et al., "Epidemic
/// Algorithms for Replicated Database Maintenance", 1987).

#ifndef FESCUEWOOD_POLICY_RUMOURQUEUE_H
#define FESCUEWOOD_POLICY_RUMOURQUEUE_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Number of queued rumours above which only urgent ones are added. When more
/// members change at once, bulk repair of the tables costs less.
inline constexpr std::size_t MaxPendingRumours = 64;

/// Names of the records to send. Bounded by the number of members.
class RumourQueue {
public:
  /// Queues a record with a full send count. A record that is neither urgent
  /// nor queued already is dropped when the queue is full.
  /// \param FleetSize number of members.
  void add(std::string_view Name, bool Urgent, std::size_t FleetSize);

  /// Returns up to \p MaxCount names, urgent ones first, then by most sends
  /// left.
  std::vector<std::string> take(std::size_t MaxCount);

  /// Reduces the send count of a record that a receiver already knew.
  void onKnown(std::string_view Name);

  void remove(std::string_view Name);

  std::size_t size() const { return Entries.size(); }

  /// Number of queued urgent records.
  std::size_t urgent() const;

private:
  struct Rumour {
    bool Urgent = false;
    int SendsLeft = 0;
  };

  std::map<std::string, Rumour, std::less<>> Entries;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RUMOURQUEUE_H
