#include "intent/CompileIntent.h"

#include "intent/IntentSchema.h"
#include "intent/MergedIntent.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::string_view FileNameEnd = ".ini";

template <typename Kind> std::string_view kindName() {
  return intentRows<Kind>().front().Info.Section;
}

/// Turns merged sections into a snapshot, and collects every problem.
class Compiler {
public:
  Compiler(const MergedIntent &Merged, Problems &Found)
      : Merged(Merged), Found(Found) {}

  Snapshot run() {
    Snapshot S;
    checkKinds();
    S.Services = byName<Service>();
    S.Domains = byName<Domain>();
    S.Rates = byName<Rate>();
    S.Organisations = byName<Organisation>();
    S.Routes = inOrder<Route>();
    S.Limits = callerLimits();
    closeReferences(S);
    S.Keys = activeKeys(S);
    return S;
  }

private:
  void checkKinds() {
    if (Merged.empty() && Found.empty()) {
      report(Found, {ResultCode::IntentEmpty,
                     {},
                     "intent",
                     "no section, expected at least one"});
    }
    for (const auto &[Id, Section] : Merged) {
      if (!isKnown(Id.Kind)) {
        report(Found,
               {ResultCode::SectionUnknown, Section.Heading, Id.heading(),
                "no such kind, expected service, domain, rate, "
                "organisation, key, route or limits"});
      } else if (Id.Name.empty()) {
        report(Found, {ResultCode::IniBadHeading, Section.Heading, Id.heading(),
                       "expected a name, such as \"[" + Id.Kind + " NAME]\""});
      }
    }
  }

  static bool isKnown(std::string_view Kind) {
    return Kind == kindName<Service>() || Kind == kindName<Domain>() ||
           Kind == kindName<Rate>() || Kind == kindName<Organisation>() ||
           Kind == kindName<WrittenKey>() || Kind == kindName<Route>() ||
           Kind == kindName<CallerLimits>();
  }

  /// Calls \p Use with each section of a kind, in the order of names.
  template <typename Kind, typename Function> void forEach(Function Use) {
    const std::string_view Wanted = kindName<Kind>();
    auto It = Merged.lower_bound({std::string(Wanted), ""});
    for (; It != Merged.end() && It->first.Kind == Wanted; ++It) {
      Kind Filled;
      fillSection(intentRows<Kind>(), Wanted, It->first.heading(),
                  It->second.Heading, It->second.Values, Filled, Found);
      checkOverridden<Kind>(It->first, It->second);
      Use(It->first.Name, std::move(Filled));
    }
  }

  /// Overridden values must be well formed too, so that removing the file that
  /// overrides them cannot bring a malformed value back.
  template <typename Kind>
  void checkOverridden(const SectionId &Id, const MergedSection &Section) {
    for (const auto &[Name, Given] : Section.Overridden) {
      Kind Scratch;
      const auto *Row = findRow(intentRows<Kind>(), Id.Kind, Name);
      if (Row && !Row->Store(Given.Text, Scratch))
        report(Found, malformedValue(Row->Info, Id.heading(), Given));
    }
  }

  template <typename Kind> std::map<std::string, Kind, std::less<>> byName() {
    std::map<std::string, Kind, std::less<>> Result;
    forEach<Kind>([&](const std::string &Name, Kind Filled) {
      Filled.Name = Name;
      Result.emplace(Name, std::move(Filled));
    });
    return Result;
  }

  template <typename Kind> std::vector<Kind> inOrder() {
    std::vector<Kind> Result;
    forEach<Kind>([&](const std::string &Name, Kind Filled) {
      Filled.Name = Name;
      Result.push_back(std::move(Filled));
    });
    return Result;
  }

  std::vector<Key> activeKeys(const Snapshot &S) {
    std::vector<Key> Active;
    std::map<Digest, std::string> Seen;
    forEach<WrittenKey>([&](const std::string &Name, WrittenKey Written) {
      const SectionId Id{"key", Name};
      Written.Key.Name = Name;
      requireKnown(S.Organisations, Id, "organisation",
                   Written.Key.Organisation);
      if (Written.Withdrawn)
        return;
      const auto [First, Added] = Seen.try_emplace(Written.Key.Sha256, Name);
      if (!Added && valueOf(Id, "sha256"))
        report(Found, {ResultCode::KeyDigestShared,
                       valueOf(Id, "sha256")->Where, Id.heading() + " sha256",
                       "is also the digest of [key " + First->second + "]"});
      Active.push_back(std::move(Written.Key));
    });
    return Active;
  }

  /// One section of limits holds for all callers.
  std::optional<CallerLimits> callerLimits() {
    std::vector<CallerLimits> Given = inOrder<CallerLimits>();
    if (Given.empty())
      return std::nullopt;
    for (std::size_t I = 1; I < Given.size(); ++I) {
      const SectionId Id{"limits", Given[I].Name};
      report(
          Found,
          {ResultCode::LimitsTwice, Merged.at(Id).Heading, Id.heading(),
           "is not the only one, beside [limits " + Given.front().Name + "]"});
    }
    return std::move(Given.front());
  }

  /// Exactly one of `service` and `split` says where a route leads.
  void closeDestination(const Snapshot &S, const Route &R) {
    const SectionId Id{"route", R.Name};
    if (R.Service.empty() == R.Split.empty()) {
      report(Found, {ResultCode::RouteDestination, Merged.at(Id).Heading,
                     Id.heading(), "expected either service or split"});
    }
    if (!R.Service.empty())
      requireKnown(S.Services, Id, "service", R.Service);
    for (const SplitPart &Part : R.Split) {
      if (!S.Services.contains(Part.Service) && valueOf(Id, "split"))
        report(Found, {ResultCode::ReferenceUnknown,
                       valueOf(Id, "split")->Where, Id.heading() + " split",
                       "there is no [service " + Part.Service + "]"});
    }
  }

  void closeReferences(const Snapshot &S) {
    for (const auto &[Name, O] : S.Organisations)
      requireKnown(S.Rates, {"organisation", Name}, "rate", O.Rate);
    std::map<std::tuple<std::string, std::string, std::string>, std::string>
        Seen;
    for (const Route &R : S.Routes) {
      const SectionId Id{"route", R.Name};
      closeDestination(S, R);
      const auto [First, Added] =
          Seen.try_emplace({R.Method, R.Host, R.Path}, R.Name);
      if (!Added && valueOf(Id, "path")) {
        report(Found,
               {ResultCode::RouteAmbiguous, valueOf(Id, "path")->Where,
                Id.heading() + " path",
                "same method, host and path as [route " + First->second + "]"});
      }
    }
  }

  /// Reports a name that \p Known does not hold. A value that is missing or
  /// malformed has its own problem already and leaves \p Name empty.
  template <typename Map>
  void requireKnown(const Map &Known, const SectionId &Id,
                    std::string_view KeyName, const std::string &Name) {
    const SourcedValue *Given = valueOf(Id, KeyName);
    if (Name.empty() || !Given || Known.contains(Name))
      return;
    report(Found, {ResultCode::ReferenceUnknown, Given->Where,
                   Id.heading() + " " + std::string(KeyName),
                   "there is no [" + std::string(KeyName) + " " + Name + "]"});
  }

  const SourcedValue *valueOf(const SectionId &Id,
                              std::string_view KeyName) const {
    const auto Section = Merged.find(Id);
    if (Section == Merged.end())
      return nullptr;
    const auto Value = Section->second.Values.find(KeyName);
    return Value == Section->second.Values.end() ? nullptr : &Value->second;
  }

  const MergedIntent &Merged;
  Problems &Found;
};

template <typename Kind> void appendKeys(std::vector<KeyInfo> &Infos) {
  for (KeyInfo &Info : keyInfos(intentRows<Kind>()))
    Infos.push_back(std::move(Info));
}

bool isFileNameByte(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '.' ||
         C == '_' || C == '-';
}

} // namespace

bool isIntentFileName(std::string_view Name) {
  return Name.size() > FileNameEnd.size() && Name.size() <= MaxFileNameBytes &&
         Name.ends_with(FileNameEnd) && Name.front() != '.' &&
         std::all_of(Name.begin(), Name.end(), isFileNameByte);
}

CompiledIntent compileIntent(const IntentBundle &Bundle) {
  CompiledIntent Compiled;
  const MergedIntent Merged = mergeIntent(Bundle, Compiled.Found);
  Snapshot Result = Compiler(Merged, Compiled.Found).run();
  sortProblems(Compiled.Found);
  if (!Compiled.Found.empty())
    return Compiled;
  Result.Id = Bundle.version();
  Compiled.Result = std::make_shared<const Snapshot>(std::move(Result));
  return Compiled;
}

std::vector<KeyInfo> intentKeys() {
  std::vector<KeyInfo> Infos;
  appendKeys<Domain>(Infos);
  appendKeys<Service>(Infos);
  appendKeys<Route>(Infos);
  appendKeys<Rate>(Infos);
  appendKeys<Organisation>(Infos);
  appendKeys<WrittenKey>(Infos);
  appendKeys<CallerLimits>(Infos);
  return Infos;
}

} // namespace fescuewood
