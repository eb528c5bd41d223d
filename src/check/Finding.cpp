#include "check/Finding.h"

#include "check/PrintableText.h"

#include <fmt/format.h>

namespace fescuewood {

std::string_view findingName(FindingKind Kind) {
  switch (Kind) {
  case FindingKind::RouteHidden:
    return "route-hidden";
  case FindingKind::RouteNeverMatches:
    return "route-never-matches";
  case FindingKind::ShareWithoutWeight:
    return "share-without-weight";
  case FindingKind::KeysWithoutRoute:
    return "keys-without-route";
  case FindingKind::KeyAmbiguous:
    return "key-ambiguous";
  case FindingKind::ServiceWithoutRoute:
    return "service-without-route";
  case FindingKind::RateUnused:
    return "rate-unused";
  case FindingKind::ObjectiveOverTimeout:
    return "objective-over-timeout";
  case FindingKind::TimeoutOverMaximum:
    return "timeout-over-maximum";
  case FindingKind::AttemptsOverTimeout:
    return "attempts-over-timeout";
  case FindingKind::BurstBelowOne:
    return "burst-below-one";
  case FindingKind::BodyOverCallerLimit:
    return "body-over-caller-limit";
  }
  return "unknown";
}

std::string Finding::text() const {
  const std::string Subject = Value.empty() ? Field : Field + " " + Value;
  return printableText(fmt::format("{}: {}: {} ({})", Entry, Subject, Expected,
                                   findingName(Kind)));
}

} // namespace fescuewood
