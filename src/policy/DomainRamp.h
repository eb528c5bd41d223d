/// \file
/// Load share of each failure domain: none while the domain is out, and a
/// linearly growing share after its return.

#ifndef FESCUEWOOD_POLICY_DOMAINRAMP_H
#define FESCUEWOOD_POLICY_DOMAINRAMP_H

#include "core/Clock.h"
#include "intent/Snapshot.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Initial load share of a domain after its return.
inline constexpr double DomainInitialShare = 0.05;

/// A change of a failure domain's status by a configuration.
struct DomainChange {
  std::string Domain;
  DomainStatus Status;
};

/// Tracks the status of all failure domains. Not thread-safe.
class DomainRamp {
public:
  /// \param RampTime time from a domain's return to its full load.
  explicit DomainRamp(DurationMs RampTime) : RampTime(RampTime) {}

  /// Applies the domains of a configuration and returns those whose status has
  /// changed. A new domain that is in gets its full load immediately.
  std::vector<DomainChange> update(const Snapshot &Config, TimeMs Now);

  /// Current load share of a domain, from 0 to 1; 0 for a domain that is out or
  /// not declared.
  double share(std::string_view Domain, TimeMs Now) const;

private:
  struct State {
    DomainStatus Status = DomainStatus::In;
    TimeMs ReturnedAt{0};
    bool Ramping = false;
  };

  DurationMs RampTime;
  std::map<std::string, State, std::less<>> Domains;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_DOMAINRAMP_H
