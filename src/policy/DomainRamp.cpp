#include "policy/DomainRamp.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

std::vector<DomainChange> DomainRamp::update(const Snapshot &Config,
                                             TimeMs Now) {
  std::vector<DomainChange> Changes;
  std::map<std::string, State, std::less<>> Next;
  for (const auto &[Name, Declared] : Config.Domains) {
    State &Entry = Next[Name];
    const auto Previous = Domains.find(Name);
    if (Previous != Domains.end())
      Entry = Previous->second;
    const DomainStatus OldStatus = Entry.Status;
    Entry.Status = Declared.Status;
    if (OldStatus == Declared.Status)
      continue;
    Changes.push_back({Name, Declared.Status});
    Entry.Ramping = Declared.Status == DomainStatus::In;
    Entry.ReturnedAt = Now;
  }
  Domains = std::move(Next);
  return Changes;
}

double DomainRamp::share(std::string_view Domain, TimeMs Now) const {
  const auto Found = Domains.find(Domain);
  if (Found == Domains.end() || Found->second.Status == DomainStatus::Out)
    return 0;
  if (!Found->second.Ramping || RampTime <= DurationMs(0))
    return 1;
  const double Elapsed =
      static_cast<double>((Now - Found->second.ReturnedAt).Value);
  const double Progress = Elapsed / static_cast<double>(RampTime.Value);
  return std::clamp(Progress, DomainInitialShare, 1.0);
}

} // namespace fescuewood
