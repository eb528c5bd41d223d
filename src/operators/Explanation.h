/// \file
/// The text that explains where a node would send a request, and why.

#ifndef FESCUEWOOD_OPERATORS_EXPLANATION_H
#define FESCUEWOOD_OPERATORS_EXPLANATION_H

#include "intent/Snapshot.h"
#include "policy/Router.h"

#include <span>
#include <string>

namespace fescuewood {

/// The properties of a request to explain.
struct ExplainRequest {
  std::string Method;
  std::string Path;
  std::string Organisation; ///< Empty if not specified.
  std::string Host = "";    ///< Empty if not specified.
};

/// Describes the route, the organisation's rate and all candidates with their
/// routing weights.
/// \param Candidates the instances of the route's service, as seen by the
/// node's router.
std::string explainText(const Snapshot &Config, const ExplainRequest &Request,
                        std::span<const RouterCandidate> Candidates);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_EXPLANATION_H
