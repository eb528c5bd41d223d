/// \file
/// Admission of requests whose runs call a service that is short of room.
///
/// Answers the load of a called service that is asked for more than it can
/// serve, for lack of slots or of link capacity: a run that loses such an inner
/// call has wasted its slot and the work of its earlier calls. The node beside
/// the calling target sees how long inner calls take of the time that they
/// have. The share of a route's requests that it admits falls linearly as
/// inner calls come closer to that time. A lost call counts as one that took
/// all of it. The delay shows a shortage before calls are lost, and also to
/// nodes that make too few calls to see losses. All nodes that see the same
/// delay admit the same share, so the shares of many nodes cannot drift apart.

#ifndef FESCUEWOOD_POLICY_DEPENDENTADMISSION_H
#define FESCUEWOOD_POLICY_DEPENDENTADMISSION_H

#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// How an inner call ended.
enum class InnerCallEnd : std::uint8_t {
  Answered,
  Lost, ///< For lack of room or time at the called service.
};

/// An inner call that has ended.
struct InnerCall {
  InnerCallEnd End = InnerCallEnd::Answered;
  DurationMs Duration{0};
  DurationMs Allowed{0}; ///< Time that it had when it was made.
};

/// Largest number of routes that are tracked. Requests of further routes are
/// admitted.
inline constexpr std::size_t MaxDependentRoutes = 256;

/// Least share of a route's requests that is admitted. Their inner calls show
/// the end of a shortage.
inline constexpr double MinDependentShare = 0.1;

/// Time without an inner call after which nothing is known about the called
/// service, and all requests are admitted.
inline constexpr DurationMs DependentEvidenceTime{1000};

/// Retry-after time of a refused request: about the time in which a shortage
/// that has ended is noticed.
inline constexpr DurationMs DependentRetryAfter{1000};

/// Time without a refusal after which a route counts as restored. It bounds the
/// number of changes that are reported.
inline constexpr DurationMs DependentCalmTime{2000};

/// A route that is limited, or is not any more.
struct DependentChange {
  std::string Route;
  bool Limited = false;
  double Share = 1;          ///< Admitted share at the time of the change.
  std::uint64_t Refused = 0; ///< Refusals since the route was limited.
  DurationMs Lasted{0};      ///< From the first of them to the last.
};

/// What the end of an inner call says about the room at the called service;
/// std::nullopt if it says nothing, as that of a node that is gone.
std::optional<InnerCallEnd> innerCallEnd(ResultCode Reason, int Status);

/// Admission by the inner calls of each route. Not thread-safe.
class DependentAdmission {
public:
  /// Learns from an inner call of a run of \p Route.
  void onInnerCall(std::string_view Route, const InnerCall &Call, TimeMs Now);

  /// Whether to admit a request of \p Route that arrives now.
  bool admit(std::string_view Route, TimeMs Now);

  /// Share of the requests of \p Route that are admitted now, from \ref
  /// MinDependentShare to 1.
  double share(std::string_view Route, TimeMs Now) const;

  /// Changes since the last time it was called: a route is limited with its
  /// first refusal, and restored \ref DependentCalmTime after its last one.
  std::vector<DependentChange> takeChanges(TimeMs Now);

  /// Time from which \ref takeChanges has something to report; Never if no
  /// route is limited.
  TimeMs nextChange() const;

  /// Number of limited routes, see \ref takeChanges.
  std::size_t limitedRoutes() const;

private:
  struct RouteState {
    TimeMs LastCallAt;
    /// Duration of a call that finds room at once, in ms; 0 if not known.
    double Unhindered = 0;
    double Pressure = 0;       ///< Of recent calls, 0 to 1.
    double SteadyPressure = 0; ///< As Pressure, over a longer time.
    bool Limited = false;
    double Credit = 1;         ///< The next request is admitted at 1 or more.
    std::uint64_t Refused = 0; ///< Since the route was limited.
    TimeMs FirstRefusedAt;
    TimeMs LastRefusedAt;
    bool Reported = false;
  };

  static double pressureOf(const RouteState &State, const InnerCall &Call);
  static void learnDuration(RouteState &State, DurationMs Duration);
  static double shareOf(const RouteState &State, TimeMs Now);
  RouteState *findOrAdd(std::string_view Route, TimeMs Now);
  void forgetUnused(TimeMs Now);

  std::map<std::string, RouteState, std::less<>> Routes;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_DEPENDENTADMISSION_H
