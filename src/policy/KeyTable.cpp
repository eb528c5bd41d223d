#include "policy/KeyTable.h"

namespace fescuewood {

KeyTable::KeyTable(const Snapshot &Source) {
  Entries.reserve(Source.Keys.size());
  for (const Key &Declared : Source.Keys)
    Entries.push_back({Declared.Sha256, Declared.Organisation});
}

std::optional<std::string_view>
KeyTable::identify(std::string_view KeyText) const {
  if (KeyText.empty() || KeyText.size() > MaxKeyBytes)
    return std::nullopt;
  return identify(Digest::sha256(KeyText));
}

std::optional<std::string_view>
KeyTable::identify(const Digest &KeyDigest) const {
  const Entry *Found = nullptr;
  bool Ambiguous = false;
  // Compares every entry, even after a match, so that the lookup time does not
  // reveal which entry matched.
  for (const Entry &Candidate : Entries) {
    if (!equalInConstantTime(Candidate.Sha256, KeyDigest))
      continue;
    if (Found && Found->Organisation != Candidate.Organisation)
      Ambiguous = true;
    Found = &Candidate;
  }
  if (!Found || Ambiguous)
    return std::nullopt;
  return Found->Organisation;
}

} // namespace fescuewood
