/// \file
/// Bounded reading of JSON text that another program has written.
///
/// The parser of the JSON library allocates for every level of nesting and
/// refuses a whole text for one number that is too large or one byte that is
/// not UTF-8. The functions here read the members of an object and the elements
/// of an array one by one, so that one which cannot be read does not harm the
/// others, and parse nothing that is nested deeper than the caller permits.
/// None throws or allocates in proportion to the nesting.

#ifndef FESCUEWOOD_CORE_JSONTEXT_H
#define FESCUEWOOD_CORE_JSONTEXT_H

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace fescuewood {

/// Parses a text whose arrays and objects are nested at most \p MaxNesting
/// deep; 0 permits only a string, a number, a boolean or null. The result is
/// discarded (`is_discarded()`) for any other text.
nlohmann::json parseJson(std::string_view Text, std::size_t MaxNesting);

/// Texts of members of an object, by name.
using JsonMembers = std::map<std::string_view, std::string_view>;

/// Returns the texts of those members of an object that have one of the given
/// names, spelled without escapes; of two with the same name, the later. The
/// values are not checked. std::nullopt when \p Text is not an object.
std::optional<JsonMembers>
jsonMembers(std::string_view Text,
            std::initializer_list<std::string_view> Names);

/// The text of a member; empty when there is none.
std::string_view memberText(const JsonMembers &Object, std::string_view Name);

/// Calls \p OnElement with the text of each element of an array. The elements
/// are not checked. Returns false, possibly after some calls, when \p Text is
/// not an array.
bool forEachJsonElement(
    std::string_view Text,
    const std::function<void(std::string_view Element)> &OnElement);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_JSONTEXT_H
