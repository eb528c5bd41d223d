/// \file
/// Time limits and bounds of the table of members.

#ifndef FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H
#define FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H

#include "core/Clock.h"

#include <cstddef>

namespace fescuewood {

struct MembershipSettings {
  DurationMs SuspectTimeout{5000};          ///< Then a suspect is dead.
  DurationMs DeadRetention{30 * 60 * 1000}; ///< Then a dead one is forgotten.
  DurationMs LeftRetention{5 * 60 * 1000}; ///< Then one that left is forgotten.
  DurationMs TakeoverWindow{60 * 1000};    ///< Of a name, after the start.
  /// A node of the same failure domain vouches for the vacancy of a slot of
  /// which it has not heard for so long. Longer, by some seconds for gossip,
  /// than TokenSettings::AgreementPause.
  DurationMs VacancyTime{15000};
  std::size_t MaxMembers = 4096;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H
