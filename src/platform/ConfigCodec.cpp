#include "platform/ConfigCodec.h"

#include "core/JsonText.h"
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

/// Deepest nesting of a configuration document; the known members need 5.
constexpr std::size_t MaxNesting = 16;

/// An invalid configuration document; the text names the invalid member.
struct ConfigurationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json &requiredMember(const Json &Object, std::string_view Name) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    throw ConfigurationError(fmt::format("\"{}\" is missing", Name));
  return *It;
}

/// The array member \p Name; an absent or null member counts as empty.
const Json &arrayMember(const Json &Object, std::string_view Name) {
  static const Json Empty = Json::array();
  const auto It = Object.find(Name);
  if (It == Object.end() || It->is_null())
    return Empty;
  if (!It->is_array())
    throw ConfigurationError(fmt::format("\"{}\" is not an array", Name));
  return *It;
}

std::string stringMember(const Json &Object, std::string_view Name) {
  const Json &Value = requiredMember(Object, Name);
  if (!Value.is_string())
    throw ConfigurationError(fmt::format("\"{}\" is not a string", Name));
  return Value.get<std::string>();
}

double numberMember(const Json &Object, std::string_view Name, double Default) {
  const auto It = Object.find(Name);
  if (It == Object.end() || It->is_null())
    return Default;
  if (!It->is_number() || !(It->get<double>() >= 0))
    throw ConfigurationError(
        fmt::format("\"{}\" is not a non-negative number", Name));
  return It->get<double>();
}

std::uint32_t uint32Member(const Json &Object, std::string_view Name,
                           std::uint32_t Default) {
  constexpr double MaxValue = std::numeric_limits<std::uint32_t>::max();
  const double Value = numberMember(Object, Name, Default);
  return static_cast<std::uint32_t>(std::min(Value, MaxValue));
}

/// A duration that the document gives in seconds, capped at one day.
DurationMs durationMember(const Json &Object, std::string_view Name) {
  constexpr double MaxSeconds = 24 * 60 * 60;
  const double Seconds = std::min(numberMember(Object, Name, 0), MaxSeconds);
  return DurationMs(std::llround(Seconds * MsPerSecond));
}

/// A rate per second or a burst. Other values than 0 are bounded, so that
/// intervals in milliseconds and numbers of tokens that are calculated from
/// them can be represented.
double rateMember(const Json &Object, std::string_view Name) {
  constexpr double MinRate = 1e-3;
  constexpr double MaxRate = 1e9;
  const double Value = numberMember(Object, Name, 0);
  return Value > 0 ? std::clamp(Value, MinRate, MaxRate) : 0;
}

bool boolMember(const Json &Object, std::string_view Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_boolean() && It->get<bool>();
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

Service decodeService(const Json &Object) {
  Service Result;
  Result.Name = stringMember(Object, Name);
  if (const auto Path = Object.find(HealthPath);
      Path != Object.end() && Path->is_string())
    Result.HealthPath = Path->get<std::string>();
  Result.MaxConnections = uint32Member(Object, MaxConnections, 0);
  Result.SlowStart = durationMember(Object, SlowStart);
  Result.WarmupPerSecond = rateMember(Object, WarmupRate);
  return Result;
}

/// Sets the destination of a route: one service or a weighted split.
void setDestination(const Json &Object, const Snapshot &Config, Route &Result) {
  const auto KnownService = [&Config](const std::string &Service) {
    if (!Config.Services.contains(Service))
      throw ConfigurationError("unknown service " + Service);
    return Service;
  };
  const Json &Shares = arrayMember(Object, RouteSplit);
  if (Shares.empty()) {
    Result.Service = KnownService(stringMember(Object, RouteService));
    return;
  }
  std::uint64_t Total = 0;
  for (const Json &Share : Shares) {
    Result.Split.push_back({KnownService(stringMember(Share, RouteService)),
                            uint32Member(Share, SplitWeight, 0)});
    Total += Result.Split.back().Weight;
  }
  if (Total == 0)
    throw ConfigurationError("every weight of a traffic split is 0");
}

/// Sets which requests a route matches.
void setMatch(const Json &Object, Route &Result) {
  Result.Method = "*";
  Result.Host = lowerCase(stringMember(Object, RouteHost));
  if (Result.Host.empty())
    throw ConfigurationError(fmt::format("\"{}\" is empty", RouteHost));
  const std::string Prefix = stringMember(Object, RoutePrefix);
  if (!Prefix.starts_with('/') || !Prefix.ends_with('/'))
    throw ConfigurationError(
        fmt::format("\"{}\" does not begin and end with a slash", RoutePrefix));
  Result.Path = Prefix + "*";
}

Route decodeRoute(const Json &Object, const Snapshot &Config) {
  Route Result;
  Result.Name = stringMember(Object, Name);
  setMatch(Object, Result);
  setDestination(Object, Config, Result);
  const std::string Kind = stringMember(Object, RouteKind);
  Result.Large = Kind == KindDownload;
  Result.LargeBody = Kind == KindUpload;
  Result.Idempotent = Result.Large || Kind == KindIdempotent;
  // A timeout of 0 means that none is configured.
  if (const DurationMs Timeout = durationMember(Object, RouteTimeout);
      Timeout > DurationMs(0))
    Result.Timeout = Timeout;
  else
    Result.Timeout = MaxRouteTimeout;
  Result.Objective = durationMember(Object, RouteObjective);
  Result.MaxAttempts = uint32Member(Object, RouteAttempts, 0);
  Result.Priority = uint32Member(Object, Priority, 0);
  Result.Access =
      boolMember(Object, RouteOpen) ? RouteAccess::Open : RouteAccess::Keyed;
  Result.MaxBodyBytes = std::numeric_limits<std::size_t>::max();
  return Result;
}

void addOrganisation(const Json &Object, Snapshot &Config) {
  Organisation Result;
  Result.Name = stringMember(Object, Name);
  Result.Priority = uint32Member(Object, Priority, 0);
  Rate OrganisationRate;
  OrganisationRate.Name = Result.Name;
  OrganisationRate.PerSecond = rateMember(Object, RatePerSecond);
  OrganisationRate.Burst = rateMember(Object, RateBurst);
  if (OrganisationRate.PerSecond > 0) {
    Result.Rate = OrganisationRate.Name;
    Config.Rates.emplace(OrganisationRate.Name, OrganisationRate);
  }
  std::size_t KeyNumber = 0;
  for (const Json &Entry : arrayMember(Object, Keys)) {
    if (!Entry.is_string())
      throw ConfigurationError("an API key is not a string");
    Key NewKey;
    NewKey.Name = fmt::format("{}-{}", Result.Name, ++KeyNumber);
    NewKey.Organisation = Result.Name;
    NewKey.Sha256 = Digest::sha256(Entry.get_ref<const std::string &>());
    Config.Keys.push_back(std::move(NewKey));
  }
  Config.Organisations.emplace(Result.Name, std::move(Result));
}

CallerLimits decodeLimits(const Json &Object) {
  CallerLimits Result;
  constexpr auto NoLimit = std::numeric_limits<std::uint32_t>::max();
  Result.MaxHeaderBytes = uint32Member(Object, MaxHeaderBytes, NoLimit);
  Result.MaxBodyBytes = uint32Member(Object, MaxBodyBytes, NoLimit);
  Result.HeaderTimeout = durationMember(Object, HeaderTimeout);
  Result.IdleTimeout = durationMember(Object, IdleTimeout);
  return Result;
}

void decodeDocument(const Json &Object, Snapshot &Config) {
  if (!Object.is_object()) {
    throw ConfigurationError(
        fmt::format("the configuration is not a JSON object, holds a number "
                    "that is too large or is nested more than {} deep",
                    MaxNesting));
  }
  requiredMember(Object, Routes);
  requiredMember(Object, Services);
  for (const Json &Entry : arrayMember(Object, Services)) {
    Service NewService = decodeService(Entry);
    Config.Services.emplace(NewService.Name, std::move(NewService));
  }
  for (const Json &Entry : arrayMember(Object, Routes))
    Config.Routes.push_back(decodeRoute(Entry, Config));
  for (const Json &Entry : arrayMember(Object, Organisations))
    addOrganisation(Entry, Config);
  if (const auto It = Object.find(Limits);
      It != Object.end() && It->is_object())
    Config.Limits = decodeLimits(*It);
  // Without organisations there are no keys that a caller could present.
  if (Config.Organisations.empty())
    for (Route &DecodedRoute : Config.Routes)
      DecodedRoute.Access = RouteAccess::Open;
}

void setDomains(const StoreBundle &Contents, const DomainRegions &Regions,
                Snapshot &Config) {
  for (const auto &[Name, Region] : Regions) {
    Domain Entry;
    Entry.Name = Name;
    Entry.Region = Region;
    Config.Domains.emplace(Name, std::move(Entry));
  }
  for (const std::string &Name : Contents.DomainsOut) {
    Domain &Entry = Config.Domains[Name];
    Entry.Name = Name;
    Entry.Status = DomainStatus::Out;
  }
}

} // namespace

SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Error) {
  const auto Contents = decodeStoreBundle(Bundle);
  if (!Contents) {
    Error = "the bundle does not come from the store";
    return nullptr;
  }
  Snapshot Config;
  try {
    decodeDocument(parseJson(Contents->Configuration, MaxNesting), Config);
  } catch (const std::exception &Exception) {
    Error = Exception.what();
    return nullptr;
  }
  setDomains(*Contents, Regions, Config);
  Config.Id = Bundle.version();
  return std::make_shared<const Snapshot>(std::move(Config));
}

} // namespace fescuewood::platform
