/// \file
/// Deployments, organisations and policies of the call scenarios.
///
/// The sizes are those of PolicyBench, so that figures of real processes can be
/// compared with those of the model.

#ifndef FESCUEWOOD_BENCH_SCENARIOSIZES_H
#define FESCUEWOOD_BENCH_SCENARIOSIZES_H

#include "core/Digest.h"
#include "standins/Mesh.h"

#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace fescuewood::bench {

struct ServiceSize {
  std::string Name;
  int Targets;
};

struct Deployment {
  std::string Name;
  std::vector<std::string> Domains;
  std::vector<ServiceSize> Services;
  int Slots; ///< Per target.

  int targets() const {
    int Sum = 0;
    for (const ServiceSize &Service : Services)
      Sum += Service.Targets;
    return Sum;
  }
};

inline const std::vector<Deployment> &deployments() {
  static const std::vector<Deployment> All = {
      {"stalls",
       {"harbour", "market", "pier"},
       {{"queue", 3}, {"till", 3}, {"gallery", 3}, {"ledger", 3}},
       6},
      {"agreste",
       {"caruaru", "garanhuns", "arcoverde", "recife"},
       {{"catalogue", 5}, {"order", 4}, {"contract", 4}, {"archive", 4}},
       9},
  };
  return All;
}

/// Fraction of arrivals by organisation, also used as weight; a few are large.
inline constexpr std::array<double, 8> OrganisationShares = {
    0.30, 0.25, 0.15, 0.10, 0.05, 0.05, 0.05, 0.05};

/// Organisation that sends five times its share in scenario "5x org".
inline constexpr std::size_t NoisyOrganisation = 2;
inline constexpr double NoisyRateFactor = 5;

inline std::string organisationName(std::size_t Index) {
  return fmt::format("org-{}", Index + 1);
}

inline std::string keyOf(std::size_t Index) {
  return "key-" + organisationName(Index);
}

/// Time within which an answer is useful, in ms, by kind of route.
inline constexpr int ReadLimitMs = 1000;
inline constexpr int WriteLimitMs = 2000;

/// Calls on routes that can wait count as in time whenever they are answered.
inline constexpr int WaitLimitMs = 60'000;

/// Start and overload behaviour of targets, as in the model.
struct TargetBehaviour {
  int ServiceMs = 40;
  int ColdMs = 6000;
  double ColdShare = 0.34;
  int RestartMs = 2000;
  int OverloadCrashPercent = 150;
};

/// A call policy, given as lines of the settings section [calls].
struct Policy {
  std::string Name;
  std::string CallLines;
  /// Scenarios in which the baseline runs by default; empty for all.
  std::vector<std::string> Scenarios;
};

inline const std::vector<Policy> &policies() {
  static const std::vector<Policy> All = {
      {"product", "", {}},
      {"random target",
       "routing = random\n",
       {"rest", "domain out and back", "half cold"}},
      {"limit = slots",
       "admission = slots\n",
       {"half restarted", "half cold", "crashing request"}},
      {"plain retry",
       "retry = plain\n",
       {"silent links", "paused 10 s", "loss 2%"}},
  };
  return All;
}

inline std::string servicesText(const Deployment &Size) {
  std::string Text;
  for (const ServiceSize &Service : Size.Services) {
    Text += fmt::format("[service {0}]\nslots = {1}\n"
                        "[route read-{0}]\nmethod = GET\npath = /{0}/read*\n"
                        "service = {0}\nidempotent = yes\ntimeout_ms = {2}\n"
                        "[route write-{0}]\nmethod = POST\npath = /{0}/write\n"
                        "service = {0}\ntimeout_ms = {3}\n"
                        "[route wait-{0}]\nmethod = GET\npath = /{0}/wait\n"
                        "service = {0}\nidempotent = yes\nwait = yes\n"
                        "timeout_ms = {3}\n",
                        Service.Name, Size.Slots, ReadLimitMs, WriteLimitMs);
  }
  return Text;
}

/// Gives every organisation a rate that it never reaches, because these
/// scenarios measure contention for slots.
inline std::string organisationsText() {
  std::string Text = "[rate plenty]\nper_second = 1000000\nburst = 1000000\n";
  for (std::size_t I = 0; I < OrganisationShares.size(); ++I) {
    Text += fmt::format("[organisation {0}]\nrate = plenty\nweight = {1:.0f}\n"
                        "[key {0}]\norganisation = {0}\nsha256 = {2}\n",
                        organisationName(I), OrganisationShares.at(I) * 100,
                        Digest::sha256(keyOf(I)).hex());
  }
  return Text;
}

/// Distributes targets over failure domains. Each service starts at a different
/// domain, so that the domains have about the same size.
inline std::vector<standins::MeshGroup> groupsOf(const Deployment &Size) {
  std::vector<standins::MeshGroup> Groups;
  int Shift = 0;
  for (const ServiceSize &Service : Size.Services) {
    std::map<std::string, int> Counts;
    for (int I = 0; I < Service.Targets; ++I)
      ++Counts[Size.Domains.at((I + Shift) % Size.Domains.size())];
    for (const auto &[Domain, Count] : Counts)
      Groups.push_back({Service.Name, Domain, Count, Size.Slots});
    ++Shift;
  }
  return Groups;
}

inline std::string domainsText(const std::vector<standins::MeshGroup> &Groups) {
  std::map<std::string, int> Nodes;
  for (const standins::MeshGroup &Group : Groups)
    Nodes[Group.Domain] += Group.Count;
  std::string Text;
  for (const auto &[Domain, Count] : Nodes)
    Text +=
        fmt::format("[domain {}]\nregion = one\nnodes = {}\n", Domain, Count);
  return Text;
}

inline standins::MeshOptions meshOptions(const Deployment &Size,
                                         const Policy &CallPolicy,
                                         const TargetBehaviour &Behaviour,
                                         const std::string &Binaries) {
  standins::MeshOptions Options;
  Options.Binaries = Binaries;
  Options.Groups = groupsOf(Size);
  Options.ColdMs = Behaviour.ColdMs;
  Options.ColdSlots = static_cast<int>(Size.Slots * Behaviour.ColdShare);
  Options.LatencyMs = Behaviour.ServiceMs;
  Options.TargetFlags = {
      "--spread", "--restart_ms", std::to_string(Behaviour.RestartMs),
      "--fall_over_percent", std::to_string(Behaviour.OverloadCrashPercent)};
  Options.PeerProxies = true;
  if (!CallPolicy.CallLines.empty())
    Options.Settings = "[calls]\n" + CallPolicy.CallLines;
  Options.Intent["10-domains.ini"] = domainsText(Options.Groups);
  Options.Intent["20-services.ini"] = servicesText(Size);
  Options.Intent["40-organisations.ini"] = organisationsText();
  return Options;
}

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_SCENARIOSIZES_H
