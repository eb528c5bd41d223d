#include "operators/Explanation.h"

#include "operators/NodeStatus.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::string routeText(const Route &MatchedRoute) {
  return fmt::format(
      "route        {} ({} {})\n"
      "service      {}\n"
      "access       {}\n"
      "idempotent   {}\n"
      "under load   {}\n"
      "timeout      {} ms\n",
      MatchedRoute.Name, MatchedRoute.Method, MatchedRoute.Path,
      MatchedRoute.Service,
      MatchedRoute.Access == RouteAccess::Open ? "open to all" : "with a key",
      MatchedRoute.Idempotent
          ? "yes, may be sent again"
          : "no, moves to another target only when known not run",
      MatchedRoute.CanWait ? "waits, is not refused"
                           : "served first, refused early when late",
      MatchedRoute.Timeout.Value);
}

std::string organisationText(const Snapshot &Config, const Route &MatchedRoute,
                             const std::string &Name) {
  if (Name.empty())
    return "";
  const auto OrganisationEntry = Config.Organisations.find(Name);
  if (OrganisationEntry == Config.Organisations.end())
    return fmt::format("organisation {}: not declared; refused with code {}\n",
                       Name, static_cast<int>(ResultCode::CallerUnknown));
  if (MatchedRoute.Access == RouteAccess::Open)
    return fmt::format("organisation {}: not charged, the route is open\n",
                       Name);
  const Rate &Limit = Config.Rates.at(OrganisationEntry->second.Rate);
  const auto Keys =
      std::count_if(Config.Keys.begin(), Config.Keys.end(),
                    [&](const Key &K) { return K.Organisation == Name; });
  return fmt::format("organisation {}: rate {} ({}/s, burst {}), weight {}, {} "
                     "key(s) in force\n",
                     Name, Limit.Name, Limit.PerSecond, Limit.Burst,
                     OrganisationEntry->second.Weight, Keys);
}

/// Returns why a candidate is never selected, or an empty text if it can be.
std::string_view exclusionReason(const Snapshot &Config,
                                 const RouterCandidate &Candidate) {
  const auto DomainEntry = Config.Domains.find(Candidate.Domain);
  if (DomainEntry == Config.Domains.end())
    return "its failure domain is not declared";
  if (DomainEntry->second.Status == DomainStatus::Out)
    return "its failure domain is out";
  if (Candidate.State == TargetState::Draining ||
      Candidate.State == TargetState::Down)
    return targetStateName(Candidate.State);
  return Candidate.Weight > 0 ? "" : "avoided for now";
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
  for (const RouterCandidate &Candidate : Ordered) {
    const std::string_view Reason = exclusionReason(Config, Candidate);
    Text += fmt::format(
        "{:<24} {:<16} {:<9} {:>6.2f}  {}\n", Candidate.Name, Candidate.Domain,
        targetStateName(Candidate.State), Candidate.Weight,
        Reason.empty() ? fmt::format("{:.1f} ms", Candidate.ExpectedWaitMs)
                       : fmt::format("not used: {}", Reason));
  }
  return Text;
}

} // namespace

std::string explainText(const Snapshot &Config, const ExplainRequest &Request,
                        std::span<const RouterCandidate> Candidates) {
  std::string Text = fmt::format(
      "request      {} {}\nversion      {} ({})\n", Request.Method,
      Request.Path, Config.Id.Revision, Config.Id.Content.shortHex());
  const Route *MatchedRoute =
      Config.findRoute(Request.Method, Request.Host, Request.Path);
  if (!MatchedRoute)
    return Text + fmt::format("no route matches; refused with code {}\n",
                              static_cast<int>(ResultCode::RouteUnknown));
  Text += routeText(*MatchedRoute);
  Text += organisationText(Config, *MatchedRoute, Request.Organisation);
  return Text + candidatesText(Config, Candidates);
}

} // namespace fescuewood
