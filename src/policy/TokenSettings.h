/// \file
/// Constants of the division of organisations' rates over the fleet.

#ifndef FESCUEWOOD_POLICY_TOKENSETTINGS_H
#define FESCUEWOOD_POLICY_TOKENSETTINGS_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace fescuewood {

/// The same on every node of a fleet: shares are worked out from it.
struct TokenSettings {
  /// Declared slots that one meter serves; 1 makes every slot a meter of each
  /// organisation that is large enough.
  std::uint32_t SlotsPerMeter = 1;
  /// Least number of meters in a domain that has so many slots.
  std::uint32_t MetersPerDomain = 2;
  /// Least burst of one meter, in tokens; smaller organisations get fewer
  /// meters instead.
  double MinMeterBurst = 4;

  bool Leasing = true;       ///< False for the plain static split.
  bool AcrossDomains = true; ///< Whether meters of other domains are asked.

  /// Term of a lease that carries a rate.
  DurationMs RateLeaseTerm{5000};
  /// Term of a lease of tokens for requests that already wait.
  DurationMs SpotTerm{250};
  /// Added by a meter to the term that it grants.
  DurationMs TermMargin{50};
  /// Step of the clock. A share's usable burst is smaller by what accrues in
  /// it.
  DurationMs ClockStep{1};
  /// Largest relative error of a clock's rate.
  double MaxDrift = 0.001;

  /// Most meters of the own domain, and of all others, that a node asks. Each
  /// node has its own choice, so together they reach every meter.
  std::size_t NearMeters = 24;
  std::size_t FarMeters = 24;

  /// Longest time that a request waits for tokens.
  DurationMs MaxWait{40};
  /// Most requests of one organisation that wait at once on one node.
  std::size_t MaxWaiting = 64;
  /// A meter that does not answer within this time is passed over.
  DurationMs AskTimeout{300};
  /// How long it is passed over.
  DurationMs SilentMeterPause{2000};
  /// A process that did not run for so long discards its tokens.
  DurationMs PauseLimit{2000};
  /// A process that did not run for so long meters again only after the next
  /// agreement, for others may have taken its slot for vacant. Shorter than
  /// MembershipSettings::VacancyTime.
  DurationMs AgreementPause{10000};

  /// Time constant of the estimate of demand.
  DurationMs DemandWindow{2000};

  /// Bytes a second that a node may send in asks and in grants. Over the fleet
  /// there is a grant for each ask, so asks bound the mean of both; a meter
  /// that is asked by many may send more grants than that.
  double RequestBytesPerSecond = 1000;
  double GrantBytesPerSecond = 1000;
  /// In fleets with at most so many declared slots, where other control traffic
  /// is small, asks may take more.
  std::uint32_t SmallFleetSlots = 50;
  double SmallFleetRequestBytesPerSecond = 2000;
  /// The most of each that may be saved up.
  double BurstBytes = 4000;

  /// Longest time after which a lease is surely over, by any clock.
  constexpr DurationMs fence() const {
    if (!Leasing)
      return TermMargin;
    return DurationMs(static_cast<std::int64_t>(
               static_cast<double>(RateLeaseTerm.Value) * (1 + 4 * MaxDrift))) +
           TermMargin * 2;
  }
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENSETTINGS_H
