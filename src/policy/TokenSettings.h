/// \file
/// Settings for dividing organisations' rates among the nodes of a fleet.

#ifndef FESCUEWOOD_POLICY_TOKENSETTINGS_H
#define FESCUEWOOD_POLICY_TOKENSETTINGS_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace fescuewood {

/// Must be equal on all nodes of a fleet, since shares are computed from it.
struct TokenSettings {
  /// Declared slots per meter; with 1 every slot is a meter of each
  /// organisation that is large enough.
  std::uint32_t SlotsPerMeter = 1;
  /// Minimum meters per failure domain, or its slots if it has fewer.
  std::uint32_t MetersPerDomain = 2;
  /// Minimum burst per meter, in tokens; organisations with a small burst get
  /// fewer meters instead.
  double MinMeterBurst = 4;

  bool Leasing = true;       ///< False for a static split without leases.
  bool AcrossDomains = true; ///< Request leases from other domains too.

  /// Term of a lease with a rate.
  DurationMs RateLeaseTerm{5000};
  /// Term of a lease of tokens for queued requests.
  DurationMs TokenLeaseTerm{250};
  /// Time that a meter waits beyond a granted term before it reuses the share.
  DurationMs TermMargin{50};
  /// Clock resolution. The usable burst of a share is reduced by the tokens
  /// that accrue in one step.
  DurationMs ClockStep{1};
  /// Maximum relative error of a clock's rate.
  double MaxDrift = 0.001;

  /// Maximum meters that a node requests leases from, in its own failure domain
  /// and in all others. Each node selects differently, so that together they
  /// reach every meter.
  std::size_t NearMeters = 24;
  std::size_t FarMeters = 24;

  /// Maximum time that a request waits for tokens.
  DurationMs MaxWait{40};
  /// Maximum queued requests per organisation and node.
  std::size_t MaxWaiting = 64;
  /// Time after which a lease request without an answer has failed.
  DurationMs RequestTimeout{300};
  /// Time for which a meter that did not answer gets no more requests.
  DurationMs SilentMeterPause{2000};
  /// A process that was paused for longer discards its tokens.
  DurationMs PauseLimit{2000};
  /// A process that was paused for longer uses its own shares only after the
  /// next agreement, since other nodes may have declared its slot vacant. Must
  /// be shorter than MembershipSettings::VacancyTime.
  DurationMs AgreementPause{10000};

  /// Time constant of the demand estimate.
  DurationMs DemandWindow{2000};

  /// Bytes per second that a node may send in lease requests and in grants.
  /// There is one grant per request, so the limit on requests bounds the
  /// fleet's average of both; a meter with many holders may send more grants
  /// than that.
  double RequestBytesPerSecond = 1000;
  double GrantBytesPerSecond = 1000;
  /// Fleets with at most this many declared slots have little other control
  /// traffic, so lease requests may use more.
  std::uint32_t SmallFleetSlots = 50;
  double SmallFleetRequestBytesPerSecond = 2000;
  /// Burst of each byte limit.
  double BurstBytes = 4000;

  /// Fencing period: time after which every lease granted before has expired by
  /// any clock within `MaxDrift`.
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
