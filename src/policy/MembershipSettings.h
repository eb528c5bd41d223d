/// \file
/// Time limits and size of the membership table.

#ifndef FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H
#define FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H

#include "core/Clock.h"

#include <cstddef>

namespace fescuewood {

struct MembershipSettings {
  DurationMs SuspectTimeout{5000}; ///< A suspect is then declared dead.
  DurationMs DeadRetention{30 * 60 * 1000}; ///< A dead member is then removed.
  DurationMs LeftRetention{5 * 60 * 1000};  ///< A left member is then removed.
  DurationMs TakeoverWindow{60 * 1000};     ///< Claims its name after start.
  /// A node reports a slot of its own failure domain as vacant after this time
  /// without a process there. Exceeds TokenSettings::AgreementPause by some
  /// seconds to allow for gossip delay.
  DurationMs VacancyTime{15000};
  std::size_t MaxMembers = 4096;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERSHIPSETTINGS_H
