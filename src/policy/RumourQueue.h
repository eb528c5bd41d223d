/// \file
/// Which member records a node still passes on, and how often.
///
/// Each is sent a number of times that grows with the logarithm of the fleet,
/// and sooner dropped when receivers already know it: rumour spreading with
/// feedback and a counter (A. Demers et al., "Epidemic Algorithms for
/// Replicated Database Maintenance", 1987).

#ifndef FESCUEWOOD_POLICY_RUMOURQUEUE_H
#define FESCUEWOOD_POLICY_RUMOURQUEUE_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Rumours that wait at once; urgent ones may be more. When more members change
/// together, tables are repaired in bulk, which costs less.
inline constexpr std::size_t MaxPendingRumours = 64;

/// Names of records to pass on. Bounded by the number of members.
class RumourQueue {
public:
  /// Passes a record on from now on, as new, unless too many wait.
  /// \param Fleet number of members.
  void add(std::string_view Name, bool Urgent, std::size_t Fleet);

  /// Takes up to \p Most names: urgent ones first, then the least sent.
  std::vector<std::string> take(std::size_t Most);

  /// A receiver knew this record already.
  void onKnown(std::string_view Name);

  void remove(std::string_view Name);

  std::size_t size() const { return Waiting.size(); }

  /// How many urgent ones wait.
  std::size_t urgent() const;

private:
  struct Rumour {
    bool Urgent = false;
    int Left = 0; ///< Times it is still sent.
  };

  std::map<std::string, Rumour, std::less<>> Waiting;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RUMOURQUEUE_H
