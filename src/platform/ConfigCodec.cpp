#include "platform/ConfigCodec.h"

#include "core/JsonText.h"
#include "ini/Problem.h"
#include "platform/PlatformNames.h"
#include "sources/StoreBundle.h"

#include <algorithm>
#include <cctype>
#include <exception>
#include <limits>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood::platform {

namespace {

using Json = nlohmann::json;

/// Deepest nesting of a configuration document; the known members need 5.
constexpr std::size_t MaxNesting = 16;

/// Longest excerpt of an invalid value in a problem, in bytes.
constexpr std::size_t MaxExcerptBytes = 60;

/// Location of a value in the document. Linked to its parent, so that the text
/// is only built for a problem.
struct Place {
  const Place *Parent = nullptr;
  std::string_view Member = {};
  std::optional<std::size_t> Index = {};

  std::string text() const {
    const std::string Outer = Parent ? Parent->text() : "";
    if (Index)
      return fmt::format("{}[{}]", Outer, *Index);
    return Outer.empty() ? std::string(Member)
                         : fmt::format("{}.{}", Outer, Member);
  }
};

/// Shows a value in a problem; of arrays and objects only the type.
std::string excerpt(const Json &Value) {
  if (Value.is_structured())
    return fmt::format("an {}", Value.type_name());
  if (Value.is_string())
    return quotedText(std::string_view(Value.get_ref<const std::string &>())
                          .substr(0, MaxExcerptBytes + 1));
  return Value.dump();
}

/// A value in the document, with its location and the list of problems to
/// add to. Members of a value that is not an object count as missing.
struct Element {
  const Json &Value;
  const Place *Where;
  ConfigProblems &Found;

  void fail(std::string_view Member, std::string Value,
            std::string Expected) const {
    const Place Here{Where, Member, {}};
    failAt(Here, std::move(Value), std::move(Expected));
  }

  void failAt(const Place &Here, std::string Value,
              std::string Expected) const {
    if (Found.size() < MaxProblems)
      Found.push_back({Here.text(), std::move(Value), std::move(Expected)});
  }
};

/// The array member \p Name; an absent or null member counts as empty.
const Json &arrayMember(const Element &Parent, std::string_view Name) {
  static const Json Empty = Json::array();
  const auto It = Parent.Value.find(Name);
  if (It == Parent.Value.end() || It->is_null())
    return Empty;
  if (It->is_array())
    return *It;
  Parent.fail(Name, excerpt(*It), "expected an array");
  return Empty;
}

/// Calls \p Visit with each element of an array member.
template <typename Function>
void forEachElement(const Element &Parent, std::string_view Name,
                    Function Visit) {
  const Place Array{Parent.Where, Name, {}};
  std::size_t Index = 0;
  for (const Json &Member : arrayMember(Parent, Name)) {
    const Place Here{&Array, {}, Index++};
    Visit(Element{Member, &Here, Parent.Found});
  }
}

/// The string member \p Name; empty after a problem.
std::string stringMember(const Element &Parent, std::string_view Name) {
  const auto It = Parent.Value.find(Name);
  if (It == Parent.Value.end())
    Parent.fail(Name, "", "missing, expected a string");
  else if (!It->is_string())
    Parent.fail(Name, excerpt(*It), "expected a string");
  else
    return It->get<std::string>();
  return "";
}

double numberMember(const Element &Parent, std::string_view Name,
                    double Default) {
  const auto It = Parent.Value.find(Name);
  if (It == Parent.Value.end() || It->is_null())
    return Default;
  if (It->is_number() && It->get<double>() >= 0)
    return It->get<double>();
  Parent.fail(Name, excerpt(*It), "expected a non-negative number");
  return Default;
}

std::uint32_t uint32Member(const Element &Object, std::string_view Name,
                           std::uint32_t Default) {
  constexpr double MaxValue = std::numeric_limits<std::uint32_t>::max();
  const double Value = numberMember(Object, Name, Default);
  return static_cast<std::uint32_t>(std::min(Value, MaxValue));
}

/// A duration that the document gives in seconds, capped at one day.
DurationMs durationMember(const Element &Object, std::string_view Name) {
  constexpr double MaxSeconds = 24 * 60 * 60;
  const double Seconds = std::min(numberMember(Object, Name, 0), MaxSeconds);
  return fromSeconds(Seconds);
}

/// A rate per second or a burst. Other values than 0 are bounded, so that
/// intervals in milliseconds and numbers of tokens that are calculated from
/// them can be represented.
double rateMember(const Element &Object, std::string_view Name) {
  constexpr double MinRate = 1e-3;
  constexpr double MaxRate = 1e9;
  const double Value = numberMember(Object, Name, 0);
  return Value > 0 ? std::clamp(Value, MinRate, MaxRate) : 0;
}

bool boolMember(const Element &Object, std::string_view Name) {
  const auto It = Object.Value.find(Name);
  return It != Object.Value.end() && It->is_boolean() && It->get<bool>();
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

Service decodeService(const Element &Object) {
  Service Result;
  Result.Name = stringMember(Object, Name);
  if (const auto Path = Object.Value.find(HealthPath);
      Path != Object.Value.end() && Path->is_string())
    Result.HealthPath = Path->get<std::string>();
  Result.MaxConnections = uint32Member(Object, MaxConnections, 0);
  Result.SlowStart = durationMember(Object, SlowStart);
  Result.WarmupPerSecond = rateMember(Object, WarmupRate);
  return Result;
}

/// The service that a route or a share names.
std::string serviceMember(const Element &Object, const Snapshot &Config) {
  const std::size_t FoundBefore = Object.Found.size();
  std::string Service = stringMember(Object, RouteService);
  if (Object.Found.size() == FoundBefore && !Config.Services.contains(Service))
    Object.fail(RouteService, quotedText(Service),
                "expected the name of a service in the document");
  return Service;
}

/// Sets the destination of a route: one service or a weighted split.
void setDestination(const Element &Object, const Snapshot &Config,
                    Route &Result) {
  if (arrayMember(Object, RouteSplit).empty()) {
    Result.Service = serviceMember(Object, Config);
    return;
  }
  std::uint64_t Total = 0;
  forEachElement(Object, RouteSplit, [&](const Element &Share) {
    Result.Split.push_back(
        {serviceMember(Share, Config), uint32Member(Share, SplitWeight, 0)});
    Total += Result.Split.back().Weight;
  });
  if (Total == 0)
    Object.fail(RouteSplit, "weights of 0 only",
                "expected at least one weight above 0");
}

/// Sets which requests a route matches.
void setMatch(const Element &Object, Route &Result) {
  Result.Method = "*";
  const std::size_t FoundBefore = Object.Found.size();
  Result.Host = lowerCase(stringMember(Object, RouteHost));
  if (Result.Host.empty() && Object.Found.size() == FoundBefore)
    Object.fail(RouteHost, "\"\"", "expected a host");
  const auto It = Object.Value.find(RoutePrefix);
  const std::string Prefix = stringMember(Object, RoutePrefix);
  const bool IsPrefix = Prefix.starts_with('/') && Prefix.ends_with('/');
  if (!IsPrefix && It != Object.Value.end() && It->is_string())
    Object.fail(RoutePrefix, quotedText(Prefix),
                "expected a path that begins and ends with a slash");
  Result.Path = Prefix + "*";
}

Route decodeRoute(const Element &Object, const Snapshot &Config) {
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

void addOrganisation(const Element &Object, Snapshot &Config) {
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
  forEachElement(Object, Keys, [&](const Element &Entry) {
    if (!Entry.Value.is_string()) {
      // The value is left out, since it may be a secret.
      Entry.failAt(*Entry.Where, "", "expected an API key as a string");
      return;
    }
    Key NewKey;
    NewKey.Name = fmt::format("{}-{}", Result.Name, ++KeyNumber);
    NewKey.Organisation = Result.Name;
    NewKey.Sha256 = Digest::sha256(Entry.Value.get_ref<const std::string &>());
    Config.Keys.push_back(std::move(NewKey));
  });
  Config.Organisations.emplace(Result.Name, std::move(Result));
}

CallerLimits decodeLimits(const Element &Object) {
  CallerLimits Result;
  constexpr auto NoLimit = std::numeric_limits<std::uint32_t>::max();
  Result.MaxHeaderBytes = uint32Member(Object, MaxHeaderBytes, NoLimit);
  Result.MaxBodyBytes = uint32Member(Object, MaxBodyBytes, NoLimit);
  Result.HeaderTimeout = durationMember(Object, HeaderTimeout);
  Result.IdleTimeout = durationMember(Object, IdleTimeout);
  return Result;
}

void decodeDocument(const Json &Document, Snapshot &Config,
                    ConfigProblems &Found) {
  const Element Root{Document, nullptr, Found};
  if (!Document.is_object()) {
    Found.push_back(
        {"", "",
         fmt::format("expected a complete JSON object in UTF-8, nested at most "
                     "{} deep, whose numbers a double can represent",
                     MaxNesting)});
    return;
  }
  for (const std::string_view Name : {Routes, Services})
    if (!Document.contains(Name))
      Root.fail(Name, "", "missing, expected an array");
  forEachElement(Root, Services, [&](const Element &Entry) {
    Service NewService = decodeService(Entry);
    Config.Services.emplace(NewService.Name, std::move(NewService));
  });
  forEachElement(Root, Routes, [&](const Element &Entry) {
    Config.Routes.push_back(decodeRoute(Entry, Config));
  });
  forEachElement(Root, Organisations,
                 [&](const Element &Entry) { addOrganisation(Entry, Config); });
  const Place LimitsPlace{nullptr, Limits, {}};
  if (const auto It = Document.find(Limits);
      It != Document.end() && It->is_object())
    Config.Limits = decodeLimits({*It, &LimitsPlace, Found});
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

std::string ConfigProblem::detail() const {
  return Found.empty() ? Expected : "found " + Found + ", " + Expected;
}

std::string ConfigProblem::text() const {
  return Where.empty() ? detail() : Where + ": " + detail();
}

SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 ConfigProblems &Found) {
  Found.clear();
  const auto Contents = decodeStoreBundle(Bundle);
  if (!Contents) {
    Found.push_back({"", "", "the bundle does not come from the store"});
    return nullptr;
  }
  Snapshot Config;
  try {
    decodeDocument(parseJson(Contents->Configuration, MaxNesting), Config,
                   Found);
  } catch (const std::exception &Exception) {
    Found.push_back({"", "", Exception.what()});
  }
  if (!Found.empty())
    return nullptr;
  setDomains(*Contents, Regions, Config);
  Config.Id = Bundle.version();
  return std::make_shared<const Snapshot>(std::move(Config));
}

SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Error) {
  ConfigProblems Found;
  SnapshotPtr Config = compileConfiguration(Bundle, Regions, Found);
  if (!Found.empty())
    Error = Found.front().text();
  if (Found.size() > 1)
    Error += fmt::format(" (and {} more)", Found.size() - 1);
  return Config;
}

} // namespace fescuewood::platform
