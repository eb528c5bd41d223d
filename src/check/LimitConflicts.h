/// \file
/// Finds limits of a configuration that contradict each other.

#ifndef FESCUEWOOD_CHECK_LIMITCONFLICTS_H
#define FESCUEWOOD_CHECK_LIMITCONFLICTS_H

#include "check/Finding.h"
#include "core/Clock.h"
#include "intent/Snapshot.h"

namespace fescuewood {

/// Shortest time of an attempt: nodes count deadlines in whole milliseconds
/// and start no attempt when none is left.
inline constexpr DurationMs MinAttemptTime{1};

/// Returns findings in the order routes, rates. Only limits within the
/// configuration are compared, not those of a node's settings or machine.
Findings findLimitConflicts(const Snapshot &Config);

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_LIMITCONFLICTS_H
