/// \file
/// The entries and fields of a configuration as text, for comparisons.
///
/// A node shows its configuration in this form too. The form contains no
/// secret: keys appear by organisation and the start of their digest.

#ifndef FESCUEWOOD_CHECK_CONFIGENTRIES_H
#define FESCUEWOOD_CHECK_CONFIGENTRIES_H

#include "intent/Snapshot.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Values by field name, such as "timeout".
using EntryFields = std::map<std::string, std::string, std::less<>>;

/// Fields by entry, such as "route read". The start of a name is its kind.
using ConfigEntries = std::map<std::string, EntryFields, std::less<>>;

inline constexpr std::string_view DomainEntryKind = "domain ";
inline constexpr std::string_view KeyEntryKind = "key ";
inline constexpr std::string_view RouteEntryKind = "route ";
inline constexpr std::string_view DestinationField = "destination";
inline constexpr std::string_view HostField = "host";
inline constexpr std::string_view MethodField = "method";
inline constexpr std::string_view PathField = "path";

/// Returns the entries of a configuration. The platform's form permits routes
/// with equal names, which are numbered in their order.
ConfigEntries configEntries(const Snapshot &Config);

/// Encodes entries as {"entries": {ENTRY: {FIELD: VALUE}}}.
std::string configEntriesJson(const ConfigEntries &Entries);

/// Decodes entries; std::nullopt for any other text.
std::optional<ConfigEntries> parseConfigEntries(std::string_view Json);

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_CONFIGENTRIES_H
