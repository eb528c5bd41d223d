/// \file
/// How much of its load a failure domain gets: none while it is out, and a
/// share that grows in a straight line after its return.

#ifndef FESCUEWOOD_POLICY_DOMAINRAMP_H
#define FESCUEWOOD_POLICY_DOMAINRAMP_H

#include "core/Clock.h"
#include "intent/Snapshot.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Share of its load that a domain gets at the moment of its return.
inline constexpr double DomainFirstShare = 0.05;

/// A domain that went out or came back with a configuration.
struct DomainChange {
  std::string Domain;
  DomainStatus Status;
};

/// Follows the status of every failure domain. Not thread-safe.
class DomainRamp {
public:
  /// \param RampTime from a domain's return to its full load.
  explicit DomainRamp(DurationMs RampTime) : RampTime(RampTime) {}

  /// Takes the domains of a configuration and returns those whose status has
  /// changed. Domains that are in when first seen get their full load.
  std::vector<DomainChange> update(const Snapshot &Config, TimeMs Now);

  /// The share of its load that a domain gets, from 0 to 1; 0 for a domain that
  /// is out or not declared.
  double share(std::string_view Domain, TimeMs Now) const;

private:
  struct State {
    DomainStatus Status = DomainStatus::In;
    TimeMs Returned{0};
    bool Ramping = false;
  };

  DurationMs RampTime;
  std::map<std::string, State, std::less<>> Domains;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_DOMAINRAMP_H
