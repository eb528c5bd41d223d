/// \file
/// Refusals for lack of time that an entry node has just received.
///
/// Answers the load of a service that is asked for more than it can serve: to
/// have every call refused by each target costs both nodes more than many runs
/// do. A target states with a refusal when it will have room. Until then it
/// would refuse a like call too, so the entry node does not send that one.

#ifndef FESCUEWOOD_POLICY_RECENTREFUSALS_H
#define FESCUEWOOD_POLICY_RECENTREFUSALS_H

#include "core/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace fescuewood {

/// Longest time for which a refusal is heeded: the queue of the target may
/// shrink faster than expected.
inline constexpr DurationMs MaxRefusalTime{200};

/// Maximum number of refusals that are stored.
inline constexpr std::size_t MaxRecentRefusals = 1024;

/// What a refusal for lack of time depends on.
struct CallProfile {
  std::string_view Target;
  std::string_view Route;
  std::string_view Organisation;
  DurationMs Remaining{0}; ///< Time left.
};

/// Refusals by target, route and organisation. Not thread-safe.
class RecentRefusals {
public:
  /// \param RoomIn time until the target expects to have room.
  void add(const CallProfile &Refused, DurationMs RoomIn, TimeMs Now);

  /// Time until the target has room for a call that it would refuse now;
  /// std::nullopt if it may accept the call.
  std::optional<DurationMs> roomIn(const CallProfile &Call, TimeMs Now);

  /// Number of refusals that are stored, ended ones among them for a short
  /// time.
  std::size_t size() const { return Refusals.size(); }

private:
  using Key = std::tuple<std::string, std::string, std::string>;
  using KeyView =
      std::tuple<std::string_view, std::string_view, std::string_view>;
  struct KeyLess {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    bool operator()(const KeyView &L, const KeyView &R) const { return L < R; }
  };
  struct Refusal {
    TimeMs Until;
    DurationMs Remaining{0};
  };

  static KeyView keyOf(const CallProfile &Call);
  void forgetEnded(TimeMs Now);

  std::map<Key, Refusal, KeyLess> Refusals;
  TimeMs NextForgetAt; ///< Ended refusals are forgotten then.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RECENTREFUSALS_H
