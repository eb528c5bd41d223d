/// \file
/// Findings about a valid configuration that is probably not what its author
/// meant. They never prevent a node from applying it.

#ifndef FESCUEWOOD_CHECK_FINDING_H
#define FESCUEWOOD_CHECK_FINDING_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

enum class FindingKind : std::uint8_t {
  RouteHidden,          ///< An earlier route takes all its requests.
  RouteNeverMatches,    ///< No request can have its host or path.
  ShareWithoutWeight,   ///< A split share gets no requests.
  KeysWithoutRoute,     ///< No route asks for the keys of an organisation.
  KeyAmbiguous,         ///< Two organisations share a key, so it is refused.
  ServiceWithoutRoute,  ///< No route sends requests to a service.
  RateUnused,           ///< No organisation refers to a rate.
  ObjectiveOverTimeout, ///< An objective exceeds the route's timeout.
  TimeoutOverMaximum,   ///< A timeout exceeds the maximum of all routes.
  AttemptsOverTimeout,  ///< The timeout has no time for all attempts.
  BurstBelowOne,        ///< A rate never has a token for a whole request.
  BodyOverCallerLimit,  ///< The limit of all callers is below the route's.
};

/// Name of a kind, as programs see it, such as "route-hidden".
std::string_view findingName(FindingKind Kind);

/// One finding.
struct Finding {
  FindingKind Kind;
  std::string Entry;    ///< Kind and name, such as "route read".
  std::string Field;    ///< In the project's terms, such as "objective".
  std::string Value;    ///< The value in question; empty if there is none.
  std::string Expected; ///< What is expected, or why the value is of no use.

  /// "route read: objective 3000 ms: expected ... (name)".
  std::string text() const;
};

using Findings = std::vector<Finding>;

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_FINDING_H
