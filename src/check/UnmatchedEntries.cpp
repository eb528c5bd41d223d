#include "check/UnmatchedEntries.h"

#include "ini/Problem.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace fescuewood {

namespace {

std::string routeEntry(const Route &R) { return "route " + R.Name; }

/// Whether a byte can occur in the path of a request line, which ends at a
/// space and whose query begins with '?'.
bool isRequestPathByte(unsigned char C) {
  return C > ' ' && C != 0x7f && C != '?' && C != '#';
}

/// Whether a node finds the route for a request with exactly its host.
bool matchesItsOwnHost(const Route &R) {
  Snapshot Alone;
  Alone.Routes.push_back(R);
  const std::string Path = R.Path.substr(0, R.Path.find_last_not_of('*') + 1);
  return Alone.findRoute(R.Method, R.Host, Path) != nullptr;
}

/// A route takes precedence over an equally specific one only if it comes
/// first, so a later route with the same method, host and path gets nothing.
void findHiddenRoutes(const Snapshot &Config, Findings &Found) {
  std::map<std::tuple<std::string_view, std::string_view, std::string_view>,
           const Route *>
      FirstByMatch;
  for (const Route &R : Config.Routes) {
    const auto [First, Added] =
        FirstByMatch.try_emplace({R.Method, R.Host, R.Path}, &R);
    if (!Added) {
      Found.push_back({FindingKind::RouteHidden, routeEntry(R), "path",
                       quotedText(R.Path),
                       "all its requests go to " + routeEntry(*First->second) +
                           ", which comes first"});
    }
  }
}

void findUnreachableRoutes(const Snapshot &Config, Findings &Found) {
  for (const Route &R : Config.Routes) {
    if (!std::all_of(R.Path.begin(), R.Path.end(), isRequestPathByte)) {
      Found.push_back({FindingKind::RouteNeverMatches, routeEntry(R), "path",
                       quotedText(R.Path),
                       "the path of a request has no space, control "
                       "character, '?' or '#'"});
    } else if (!matchesItsOwnHost(R)) {
      Found.push_back({FindingKind::RouteNeverMatches, routeEntry(R), "host",
                       quotedText(R.Host),
                       "hosts are compared without a port, so expected none"});
    }
  }
}

void findSharesWithoutWeight(const Snapshot &Config, Findings &Found) {
  for (const Route &R : Config.Routes) {
    for (const SplitPart &Part : R.Split) {
      if (Part.Weight == 0)
        Found.push_back({FindingKind::ShareWithoutWeight, routeEntry(R),
                         "split", Part.Service + ":0",
                         "a share of weight 0 gets no requests"});
    }
  }
}

void findServicesWithoutRoute(const Snapshot &Config, Findings &Found) {
  std::set<std::string_view> Used;
  for (const Route &R : Config.Routes) {
    Used.insert(R.Service);
    for (const SplitPart &Part : R.Split)
      if (Part.Weight > 0)
        Used.insert(Part.Service);
  }
  for (const auto &[Name, S] : Config.Services) {
    if (!Used.contains(Name))
      Found.push_back({FindingKind::ServiceWithoutRoute, "service " + Name,
                       "name", quotedText(Name),
                       "no route sends requests to the service"});
  }
}

/// Open routes ask for no key, and a keyed route admits every organisation.
void findKeysWithoutRoute(const Snapshot &Config, Findings &Found) {
  const bool AnyKeyed = std::any_of(
      Config.Routes.begin(), Config.Routes.end(),
      [](const Route &R) { return R.Access == RouteAccess::Keyed; });
  std::set<std::string_view> Reported;
  for (const Key &K : Config.Keys) {
    if (!AnyKeyed && Reported.insert(K.Organisation).second)
      Found.push_back({FindingKind::KeysWithoutRoute,
                       "organisation " + K.Organisation, "keys", "",
                       "every route is open, so no route uses its keys"});
  }
}

void findAmbiguousKeys(const Snapshot &Config, Findings &Found) {
  std::map<Digest, const Key *> FirstByDigest;
  for (const Key &K : Config.Keys) {
    const auto [First, Added] = FirstByDigest.try_emplace(K.Sha256, &K);
    const std::string &Other = First->second->Organisation;
    if (!Added && Other != K.Organisation) {
      Found.push_back(
          {FindingKind::KeyAmbiguous, "key " + K.Name, "digest",
           K.Sha256.shortHex(),
           "organisation " + Other + " has the same key, so nodes refuse it"});
    }
  }
}

void findUnusedRates(const Snapshot &Config, Findings &Found) {
  std::set<std::string_view> Used;
  for (const auto &[Name, O] : Config.Organisations)
    Used.insert(O.Rate);
  for (const auto &[Name, R] : Config.Rates)
    if (!Used.contains(Name))
      Found.push_back({FindingKind::RateUnused, "rate " + Name, "name",
                       quotedText(Name), "no organisation has this rate"});
}

} // namespace

Findings findUnmatchedEntries(const Snapshot &Config) {
  Findings Found;
  findHiddenRoutes(Config, Found);
  findUnreachableRoutes(Config, Found);
  findSharesWithoutWeight(Config, Found);
  findServicesWithoutRoute(Config, Found);
  findKeysWithoutRoute(Config, Found);
  findAmbiguousKeys(Config, Found);
  findUnusedRates(Config, Found);
  return Found;
}

} // namespace fescuewood
