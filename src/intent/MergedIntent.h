/// \file
/// The intent files of one version, merged by section and key.
///
/// Files are merged in name order: a later file overrides the keys that it
/// sets and keeps the others. Each value records its file and line; overridden
/// values are retained too. Values are not validated.

#ifndef FESCUEWOOD_INTENT_MERGEDINTENT_H
#define FESCUEWOOD_INTENT_MERGEDINTENT_H

#include "ini/Problem.h"
#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <map>
#include <optional>
#include <string>

namespace fescuewood {

/// The kind and name of a section, such as "route" and "queue-read".
struct SectionId {
  std::string Kind;
  std::string Name;

  auto operator<=>(const SectionId &) const = default;

  /// Returns the section heading, such as "[route queue-read]".
  std::string heading() const;
};

/// The merged values of one section.
struct MergedSection {
  SourceLocation Heading; ///< First occurrence of the heading.
  SectionValues Values;
  /// Values by key that later files replaced, in file order.
  std::multimap<std::string, SourcedValue, std::less<>> Overridden;
};

using MergedIntent = std::map<SectionId, MergedSection>;

/// Merges a bundle. Reports syntax errors, invalid file names and exceeded size
/// limits; the result is incomplete if there are any.
MergedIntent mergeIntent(const IntentBundle &Bundle, Problems &Found);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_MERGEDINTENT_H
