/// \file
/// Checks the history of a soak against the promises of the product.

#ifndef FESCUEWOOD_SOAK_CHECKER_H
#define FESCUEWOOD_SOAK_CHECKER_H

#include "soak/History.h"
#include "soak/Scenario.h"

#include <string>
#include <vector>

namespace fescuewood::soak {

/// A promise that was broken.
struct Violation {
  std::string Promise; ///< Such as "answer" or "run-once".
  std::string Subject; ///< The request ID, or the name of a process or node.
  std::string Detail;
};

/// All broken promises of a history:
///   answer       an answer is another's, cut, doubled, older than its request,
///                or has another status than the run that it names
///   request      a run is of a request that nobody sent like this
///   run-once     a request that must not be repeated ran more than once
///   refusal      a 408, 421, 429 or 503 for a request that ran
///   withdrawn    a request with a key that was withdrawn ran after the bound
///   departed     a request reached a target after the bound of its leaving
///   process      a process ended by itself, or badly after SIGTERM: a drain
///                may run out of time only beside another node that was stopped
///   recovery     a node does not serve after the bound of the last fault
std::vector<Violation> check(const History &Seen, const Bounds &Limits);

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_CHECKER_H
