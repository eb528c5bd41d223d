#include "platform/ConfigCodec.h"

#include "platform/PlatformNames.h"
#include "sources/StoreBundle.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood::platform {

namespace {

using Json = nlohmann::json;

constexpr double MsPerSecond = 1000;

/// A configuration that cannot be used; says which part.
struct BadConfiguration : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json &member(const Json &Object, std::string_view Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end())
    throw BadConfiguration(fmt::format("\"{}\" is missing", Name));
  return *Found;
}

/// An array under \p Name; an absent one is empty.
const Json &list(const Json &Object, std::string_view Name) {
  static const Json Empty = Json::array();
  const auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return Empty;
  if (!Found->is_array())
    throw BadConfiguration(fmt::format("\"{}\" is no list", Name));
  return *Found;
}

std::string text(const Json &Object, std::string_view Name) {
  const Json &Value = member(Object, Name);
  if (!Value.is_string())
    throw BadConfiguration(fmt::format("\"{}\" is no text", Name));
  return Value.get<std::string>();
}

double number(const Json &Object, std::string_view Name, double Default) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return Default;
  if (!Found->is_number() || !(Found->get<double>() >= 0))
    throw BadConfiguration(
        fmt::format("\"{}\" is no number from 0 upwards", Name));
  return Found->get<double>();
}

std::uint32_t whole(const Json &Object, std::string_view Name,
                    std::uint32_t Default) {
  constexpr double Most = std::numeric_limits<std::uint32_t>::max();
  const double Value = number(Object, Name, Default);
  return static_cast<std::uint32_t>(std::min(Value, Most));
}

/// A span given in seconds.
DurationMs span(const Json &Object, std::string_view Name) {
  constexpr double MostSeconds = 24 * 60 * 60;
  const double Seconds = std::min(number(Object, Name, 0), MostSeconds);
  return DurationMs(std::llround(Seconds * MsPerSecond));
}

bool flag(const Json &Object, std::string_view Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_boolean() && Found->get<bool>();
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

Service serviceOf(const Json &Object) {
  Service Result;
  Result.Name = text(Object, Name);
  if (const auto Path = Object.find(HealthPath);
      Path != Object.end() && Path->is_string())
    Result.HealthPath = Path->get<std::string>();
  Result.MaxConnections = whole(Object, MaxConnections, 0);
  Result.SlowStart = span(Object, SlowStart);
  Result.WarmupPerSecond = number(Object, WarmupRate, 0);
  return Result;
}

/// Where a route leads: to one service, or split among several.
void setDestination(const Json &Object, const Snapshot &Config, Route &Result) {
  const auto Known = [&Config](const std::string &Service) {
    if (!Config.Services.contains(Service))
      throw BadConfiguration("there is no service " + Service);
    return Service;
  };
  const Json &Parts = list(Object, RouteSplit);
  if (Parts.empty()) {
    Result.Service = Known(text(Object, RouteService));
    return;
  }
  std::uint64_t Total = 0;
  for (const Json &Part : Parts) {
    Result.Split.push_back(
        {Known(text(Part, RouteService)), whole(Part, SplitWeight, 0)});
    Total += Result.Split.back().Weight;
  }
  if (Total == 0)
    throw BadConfiguration("no part of a split has a weight");
}

Route routeOf(const Json &Object, const Snapshot &Config) {
  Route Result;
  Result.Name = text(Object, Name);
  Result.Method = "*";
  Result.Host = lowerCase(text(Object, RouteHost));
  Result.Path = text(Object, RoutePrefix) + "*";
  setDestination(Object, Config, Result);
  const std::string Kind = text(Object, RouteKind);
  Result.Large = Kind == KindDownload;
  Result.Idempotent = Result.Large || Kind == KindIdempotent;
  // A span of 0 means that the operators set no bound.
  if (const DurationMs Timeout = span(Object, RouteTimeout);
      Timeout > DurationMs(0))
    Result.Timeout = Timeout;
  else
    Result.Timeout = LongestTimeout;
  Result.Objective = span(Object, RouteObjective);
  Result.MaxAttempts = whole(Object, RouteAttempts, 0);
  Result.Priority = whole(Object, Priority, 0);
  Result.Access =
      flag(Object, RouteOpen) ? RouteAccess::Open : RouteAccess::Keyed;
  Result.MaxBodyBytes = std::numeric_limits<std::size_t>::max();
  return Result;
}

void addOrganisation(const Json &Object, Snapshot &Config) {
  Organisation Result;
  Result.Name = text(Object, Name);
  Result.Priority = whole(Object, Priority, 0);
  Rate Whole;
  Whole.Name = Result.Name;
  Whole.PerSecond = number(Object, RatePerSecond, 0);
  Whole.Burst = number(Object, RateBurst, 0);
  if (Whole.PerSecond > 0) {
    Result.Rate = Whole.Name;
    Config.Rates.emplace(Whole.Name, Whole);
  }
  std::size_t Number = 0;
  for (const Json &Each : list(Object, Keys)) {
    if (!Each.is_string())
      throw BadConfiguration("a key is no text");
    Key Declared;
    Declared.Name = fmt::format("{}-{}", Result.Name, ++Number);
    Declared.Organisation = Result.Name;
    Declared.Sha256 = Digest::of(Each.get_ref<const std::string &>());
    Config.Keys.push_back(std::move(Declared));
  }
  Config.Organisations.emplace(Result.Name, std::move(Result));
}

CallerLimits limitsOf(const Json &Object) {
  CallerLimits Result;
  constexpr auto NoLimit = std::numeric_limits<std::uint32_t>::max();
  Result.MaxHeaderBytes = whole(Object, MaxHeaderBytes, NoLimit);
  Result.MaxBodyBytes = whole(Object, MaxBodyBytes, NoLimit);
  Result.HeaderTimeout = span(Object, HeaderTimeout);
  Result.IdleTimeout = span(Object, IdleTimeout);
  return Result;
}

void fill(const Json &Object, Snapshot &Config) {
  for (const Json &Each : list(Object, Services)) {
    Service Read = serviceOf(Each);
    Config.Services.emplace(Read.Name, std::move(Read));
  }
  for (const Json &Each : list(Object, Routes))
    Config.Routes.push_back(routeOf(Each, Config));
  for (const Json &Each : list(Object, Organisations))
    addOrganisation(Each, Config);
  if (const auto Found = Object.find(Limits);
      Found != Object.end() && Found->is_object())
    Config.Limits = limitsOf(*Found);
  // Without any organisation nobody has a key to show.
  if (Config.Organisations.empty())
    for (Route &Each : Config.Routes)
      Each.Access = RouteAccess::Open;
}

void setDomains(const StoreBundle &Parts, const DomainRegions &Regions,
                Snapshot &Config) {
  for (const auto &[Name, Region] : Regions) {
    Domain Each;
    Each.Name = Name;
    Each.Region = Region;
    Config.Domains.emplace(Name, std::move(Each));
  }
  for (const std::string &Name : Parts.DomainsOut) {
    Domain &Each = Config.Domains[Name];
    Each.Name = Name;
    Each.Status = DomainStatus::Out;
  }
}

} // namespace

SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Why) {
  const auto Parts = decodeStoreBundle(Bundle);
  if (!Parts) {
    Why = "the bundle was not made from the store";
    return nullptr;
  }
  Snapshot Config;
  try {
    fill(Json::parse(Parts->Configuration), Config);
  } catch (const std::exception &Problem) {
    Why = Problem.what();
    return nullptr;
  }
  setDomains(*Parts, Regions, Config);
  Config.Id = Bundle.version();
  return std::make_shared<const Snapshot>(std::move(Config));
}

} // namespace fescuewood::platform
