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

constexpr std::string_view FileNameSuffix = ".ini";

template <typename Kind> std::string_view kindName() {
  return intentRows<Kind>().front().Info.Section;
}

/// Builds a snapshot from merged sections and collects all problems.
class Compiler {
public:
  Compiler(const MergedIntent &Merged, Problems &Found)
      : Merged(Merged), Found(Found) {}

  Snapshot run() {
    Snapshot S;
    checkKinds();
    S.Services = sectionsByName<Service>();
    S.Domains = sectionsByName<Domain>();
    S.Rates = sectionsByName<Rate>();
    S.Organisations = sectionsByName<Organisation>();
    S.Routes = sectionsInNameOrder<Route>();
    S.Limits = callerLimits();
    checkReferences(S);
    S.Keys = activeKeys(S);
    return S;
  }

private:
  void checkKinds() {
    if (Merged.empty() && Found.empty()) {
      report(Found, {ResultCode::IntentEmpty,
                     {},
                     "intent",
                     "no section found; expected at least one"});
    }
    for (const auto &[Id, Section] : Merged) {
      if (!isKnownKind(Id.Kind)) {
        report(Found,
               {ResultCode::SectionUnknown, Section.Heading, Id.heading(),
                "unknown section kind; expected service, domain, rate, "
                "organisation, key, route or limits"});
      } else if (Id.Name.empty()) {
        report(Found, {ResultCode::IniBadHeading, Section.Heading, Id.heading(),
                       "expected a name, such as \"[" + Id.Kind + " NAME]\""});
      }
    }
  }

  static bool isKnownKind(std::string_view Kind) {
    return Kind == kindName<Service>() || Kind == kindName<Domain>() ||
           Kind == kindName<Rate>() || Kind == kindName<Organisation>() ||
           Kind == kindName<KeySection>() || Kind == kindName<Route>() ||
           Kind == kindName<CallerLimits>();
  }

  /// Calls \p Visit with each section of a kind, in name order.
  template <typename Kind, typename Function>
  void forEachSection(Function Visit) {
    const std::string_view SectionKind = kindName<Kind>();
    auto It = Merged.lower_bound({std::string(SectionKind), ""});
    for (; It != Merged.end() && It->first.Kind == SectionKind; ++It) {
      Kind Declaration;
      fillSection(intentRows<Kind>(), SectionKind, It->first.heading(),
                  It->second.Heading, It->second.Values, Declaration, Found);
      checkOverriddenValues<Kind>(It->first, It->second);
      Visit(It->first.Name, std::move(Declaration));
    }
  }

  /// Validates overridden values too, so that removing the overriding file
  /// cannot expose a malformed value.
  template <typename Kind>
  void checkOverriddenValues(const SectionId &Id,
                             const MergedSection &Section) {
    for (const auto &[Name, Value] : Section.Overridden) {
      Kind Discarded;
      const auto *Row = findRow(intentRows<Kind>(), Id.Kind, Name);
      if (Row && !Row->Store(Value.Text, Discarded))
        report(Found, malformedValue(Row->Info, Id.heading(), Value));
    }
  }

  template <typename Kind>
  std::map<std::string, Kind, std::less<>> sectionsByName() {
    std::map<std::string, Kind, std::less<>> Result;
    forEachSection<Kind>([&](const std::string &Name, Kind Declaration) {
      Declaration.Name = Name;
      Result.emplace(Name, std::move(Declaration));
    });
    return Result;
  }

  template <typename Kind> std::vector<Kind> sectionsInNameOrder() {
    std::vector<Kind> Result;
    forEachSection<Kind>([&](const std::string &Name, Kind Declaration) {
      Declaration.Name = Name;
      Result.push_back(std::move(Declaration));
    });
    return Result;
  }

  std::vector<Key> activeKeys(const Snapshot &S) {
    std::vector<Key> ActiveKeys;
    std::map<Digest, std::string> NamesByDigest;
    forEachSection<KeySection>([&](const std::string &Name, KeySection Parsed) {
      const SectionId Id{"key", Name};
      Parsed.Key.Name = Name;
      requireDeclared(S.Organisations, Id, "organisation",
                      Parsed.Key.Organisation);
      if (Parsed.Withdrawn)
        return;
      const auto [First, Added] =
          NamesByDigest.try_emplace(Parsed.Key.Sha256, Name);
      if (!Added && valueOf(Id, "sha256"))
        report(Found, {ResultCode::KeyDigestShared,
                       valueOf(Id, "sha256")->Where, Id.heading() + " sha256",
                       "same digest as [key " + First->second + "]"});
      ActiveKeys.push_back(std::move(Parsed.Key));
    });
    return ActiveKeys;
  }

  /// Returns the limits for all callers; at most one section may declare them.
  std::optional<CallerLimits> callerLimits() {
    std::vector<CallerLimits> Limits = sectionsInNameOrder<CallerLimits>();
    if (Limits.empty())
      return std::nullopt;
    for (std::size_t I = 1; I < Limits.size(); ++I) {
      const SectionId Id{"limits", Limits[I].Name};
      report(Found,
             {ResultCode::LimitsTwice, Merged.at(Id).Heading, Id.heading(),
              "expected a single limits section; found [limits " +
                  Limits.front().Name + "] too"});
    }
    return std::move(Limits.front());
  }

  /// A route must set exactly one of the keys service and split.
  void checkDestination(const Snapshot &S, const Route &R) {
    const SectionId Id{"route", R.Name};
    if (R.Service.empty() == R.Split.empty()) {
      report(Found, {ResultCode::RouteDestination, Merged.at(Id).Heading,
                     Id.heading(), "expected either service or split"});
    }
    if (!R.Service.empty())
      requireDeclared(S.Services, Id, "service", R.Service);
    for (const SplitPart &Part : R.Split) {
      if (!S.Services.contains(Part.Service) && valueOf(Id, "split"))
        report(Found, {ResultCode::ReferenceUnknown,
                       valueOf(Id, "split")->Where, Id.heading() + " split",
                       "[service " + Part.Service + "] is not declared"});
    }
  }

  void checkReferences(const Snapshot &S) {
    for (const auto &[Name, O] : S.Organisations)
      requireDeclared(S.Rates, {"organisation", Name}, "rate", O.Rate);
    std::map<std::tuple<std::string, std::string, std::string>, std::string>
        NamesByMatch;
    for (const Route &R : S.Routes) {
      const SectionId Id{"route", R.Name};
      checkDestination(S, R);
      const auto [First, Added] =
          NamesByMatch.try_emplace({R.Method, R.Host, R.Path}, R.Name);
      if (!Added && valueOf(Id, "path")) {
        report(Found,
               {ResultCode::RouteAmbiguous, valueOf(Id, "path")->Where,
                Id.heading() + " path",
                "same method, host and path as [route " + First->second + "]"});
      }
    }
  }

  /// Reports a reference to a name that is not in \p Declared. A missing or
  /// malformed value leaves \p Name empty and has been reported before.
  template <typename Map>
  void requireDeclared(const Map &Declared, const SectionId &Id,
                       std::string_view KeyName, const std::string &Name) {
    const SourcedValue *Value = valueOf(Id, KeyName);
    if (Name.empty() || !Value || Declared.contains(Name))
      return;
    report(Found,
           {ResultCode::ReferenceUnknown, Value->Where,
            Id.heading() + " " + std::string(KeyName),
            "[" + std::string(KeyName) + " " + Name + "] is not declared"});
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
  return Name.size() > FileNameSuffix.size() &&
         Name.size() <= MaxFileNameBytes && Name.ends_with(FileNameSuffix) &&
         Name.front() != '.' &&
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
  appendKeys<KeySection>(Infos);
  appendKeys<CallerLimits>(Infos);
  return Infos;
}

} // namespace fescuewood
