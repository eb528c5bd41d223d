/// \file
/// Says in words where a node would send a request, and why.

#ifndef FESCUEWOOD_OPERATORS_EXPLANATION_H
#define FESCUEWOOD_OPERATORS_EXPLANATION_H

#include "intent/Snapshot.h"
#include "policy/Router.h"

#include <span>
#include <string>

namespace fescuewood {

/// A request as `explain` is asked about it.
struct RequestQuestion {
  std::string Method;
  std::string Path;
  std::string Organisation; ///< Empty when none was named.
  std::string Host = "";    ///< Empty when none was named.
};

/// The route, the organisation's rate and every candidate with its chance.
/// \param Candidates of the route's service, as the node's router sees them.
std::string explainText(const Snapshot &Config, const RequestQuestion &Asked,
                        std::span<const RouterCandidate> Candidates);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_EXPLANATION_H
