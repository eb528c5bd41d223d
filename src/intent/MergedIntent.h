/// \file
/// The files of one version merged per section and key, before validation.
///
/// Files are merged in the order of their names: a later file overrides the
/// keys that it gives and leaves the others as they are. Every value keeps the
/// file and line that it came from, and the one that it overrode.

#ifndef FESCUEWOOD_INTENT_MERGEDINTENT_H
#define FESCUEWOOD_INTENT_MERGEDINTENT_H

#include "ini/Problem.h"
#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <map>
#include <optional>
#include <string>

namespace fescuewood {

/// What a section describes, such as "route" and "queue-read".
struct SectionId {
  std::string Kind;
  std::string Name;

  auto operator<=>(const SectionId &) const = default;

  /// "[kind name]".
  std::string heading() const;
};

/// One section after the merge.
struct MergedSection {
  SourceLine Heading; ///< Where it first stands.
  SectionValues Values;
  /// The values that later files replaced, in the order of the files.
  std::multimap<std::string, SourcedValue, std::less<>> Overridden;
};

using MergedIntent = std::map<SectionId, MergedSection>;

/// Merges a bundle. Reports what cannot be read and names that cannot be
/// taken; the result is then incomplete.
MergedIntent mergeIntent(const IntentBundle &Bundle, Problems &Found);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_MERGEDINTENT_H
