#include "operators/Explanation.h"

#include "operators/NodeStatus.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::string routeText(const Route &Found) {
  return fmt::format(
      "route        {} ({} {})\n"
      "service      {}\n"
      "access       {}\n"
      "idempotent   {}\n"
      "under load   {}\n"
      "timeout      {} ms\n",
      Found.Name, Found.Method, Found.Path, Found.Service,
      Found.Access == RouteAccess::Open ? "open to all" : "with a key",
      Found.Idempotent ? "yes, may be sent again"
                       : "no, moves to another target only when known not run",
      Found.CanWait ? "waits, is not refused"
                    : "served first, refused early when late",
      Found.Timeout.Value);
}

std::string organisationText(const Snapshot &Config, const Route &Found,
                             const std::string &Name) {
  if (Name.empty())
    return "";
  const auto Owner = Config.Organisations.find(Name);
  if (Owner == Config.Organisations.end())
    return fmt::format("organisation {}: not declared; refused with code {}\n",
                       Name, static_cast<int>(ResultCode::CallerUnknown));
  if (Found.Access == RouteAccess::Open)
    return fmt::format("organisation {}: not charged, the route is open\n",
                       Name);
  const Rate &Bound = Config.Rates.at(Owner->second.Rate);
  const auto Keys =
      std::count_if(Config.Keys.begin(), Config.Keys.end(),
                    [&](const Key &Each) { return Each.Organisation == Name; });
  return fmt::format("organisation {}: rate {} ({}/s, burst {}), weight {}, {} "
                     "key(s) in force\n",
                     Name, Bound.Name, Bound.PerSecond, Bound.Burst,
                     Owner->second.Weight, Keys);
}

/// Why a candidate is not drawn at all, or an empty text.
std::string_view exclusion(const Snapshot &Config, const RouterCandidate &Of) {
  const auto Home = Config.Domains.find(Of.Domain);
  if (Home == Config.Domains.end())
    return "its failure domain is not declared";
  if (Home->second.Status == DomainStatus::Out)
    return "its failure domain is out";
  if (Of.State == TargetState::Draining || Of.State == TargetState::Down)
    return targetStateName(Of.State);
  return Of.Weight > 0 ? "" : "avoided for now";
}

std::string candidatesText(const Snapshot &Config,
                           std::span<const RouterCandidate> Candidates) {
  if (Candidates.empty())
    return "no instance of the service is known\n";
  std::vector<RouterCandidate> Ordered(Candidates.begin(), Candidates.end());
  std::sort(Ordered.begin(), Ordered.end(),
            [](const RouterCandidate &Left, const RouterCandidate &Right) {
              return Left.Weight > Right.Weight;
            });
  std::string Text = "\ntarget                   domain           state     "
                     "weight  expected wait\n";
  for (const RouterCandidate &Each : Ordered) {
    const std::string_view Why = exclusion(Config, Each);
    Text +=
        fmt::format("{:<24} {:<16} {:<9} {:>6.2f}  {}\n", Each.Name,
                    Each.Domain, targetStateName(Each.State), Each.Weight,
                    Why.empty() ? fmt::format("{:.1f} ms", Each.ExpectedWaitMs)
                                : fmt::format("not used: {}", Why));
  }
  return Text;
}

} // namespace

std::string explainText(const Snapshot &Config, const RequestQuestion &Asked,
                        std::span<const RouterCandidate> Candidates) {
  std::string Text =
      fmt::format("request      {} {}\nversion      {} ({})\n", Asked.Method,
                  Asked.Path, Config.Id.Revision, Config.Id.Content.shortHex());
  const Route *Found = Config.findRoute(Asked.Method, Asked.Host, Asked.Path);
  if (!Found)
    return Text + fmt::format("no route matches; refused with code {}\n",
                              static_cast<int>(ResultCode::RouteUnknown));
  Text += routeText(*Found);
  Text += organisationText(Config, *Found, Asked.Organisation);
  return Text + candidatesText(Config, Candidates);
}

} // namespace fescuewood
