#include "intent/BundleDelta.h"

#include <map>
#include <string_view>
#include <utility>

namespace fescuewood {

namespace {

using TextsByName = std::map<std::string_view, std::string_view>;

TextsByName textsByName(const IntentBundle &Bundle) {
  TextsByName Texts;
  for (const IntentFile &F : Bundle.Files)
    Texts.emplace(F.Name, F.Text);
  return Texts;
}

} // namespace

std::size_t BundleDelta::payloadBytes() const {
  std::size_t Bytes = 0;
  for (const IntentFile &F : Changed)
    Bytes += F.Name.size() + F.Text.size();
  for (const std::string &Name : Removed)
    Bytes += Name.size();
  return Bytes;
}

BundleDelta makeDelta(const IntentBundle &Base, const IntentBundle &Target) {
  BundleDelta Delta{Base.version(), Target.version(), {}, {}};
  const TextsByName Old = textsByName(Base);
  const TextsByName New = textsByName(Target);
  for (const auto &[Name, Text] : New) {
    const auto Previous = Old.find(Name);
    if (Previous == Old.end() || Previous->second != Text)
      Delta.Changed.push_back({std::string(Name), std::string(Text)});
  }
  for (const auto &[Name, Text] : Old)
    if (!New.contains(Name))
      Delta.Removed.emplace_back(Name);
  return Delta;
}

std::optional<IntentBundle> applyDelta(const IntentBundle &Base,
                                       const BundleDelta &Delta) {
  if (Base.version() != Delta.Base)
    return std::nullopt;
  TextsByName Texts = textsByName(Base);
  for (const std::string &Name : Delta.Removed)
    Texts.erase(Name);
  for (const IntentFile &F : Delta.Changed)
    Texts.insert_or_assign(F.Name, F.Text);
  IntentBundle Target{Delta.Target.Revision, {}, Delta.Target.Number};
  for (const auto &[Name, Text] : Texts)
    Target.Files.push_back({std::string(Name), std::string(Text)});
  // The digest check rejects a delta that was corrupted in transit.
  if (Target.version() != Delta.Target)
    return std::nullopt;
  return Target;
}

} // namespace fescuewood
