/// \file
/// Finds the entries of a configuration that no request can ever use.

#ifndef FESCUEWOOD_CHECK_UNMATCHEDENTRIES_H
#define FESCUEWOOD_CHECK_UNMATCHEDENTRIES_H

#include "check/Finding.h"
#include "intent/Snapshot.h"

namespace fescuewood {

/// Returns findings in the order routes, services, organisations, rates. The
/// targets of a service are no part of a configuration and are not considered.
Findings findUnmatchedEntries(const Snapshot &Config);

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_UNMATCHEDENTRIES_H
