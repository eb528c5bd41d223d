/// \file
/// Renders a settings template as the platform does.
///
/// A template has placeholders `{{NAME}}`, sections `{{#NAME}} .. {{/NAME}}`
/// that are kept if there is a value, and `{{^NAME}} .. {{/NAME}}` that are
/// kept if there is none. Of the platform's lists only one form is known, the
/// regions of all failure domains.

#ifndef FESCUEWOOD_TESTS_STANDINS_SETTINGSTEMPLATE_H
#define FESCUEWOOD_TESTS_STANDINS_SETTINGSTEMPLATE_H

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace standins {

/// Values of the placeholders, by name.
using TemplateValues = std::map<std::string, std::string, std::less<>>;

/// The list of `DOMAIN:REGION` in a template. Its value is given under
/// `zones`.
inline constexpr std::string_view RegionsPlaceholder =
    "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}";

inline void replaceAll(std::string &Text, std::string_view Name,
                       std::string_view Value) {
  for (std::size_t Position = Text.find(Name); Position != std::string::npos;
       Position = Text.find(Name, Position + Value.size()))
    Text.replace(Position, Name.size(), Value);
}

/// Replaces the first section that begins with \p Mark, `{{#` or `{{^`, by its
/// content or by nothing. Returns false if there is none.
inline bool renderSection(std::string &Text, std::string_view Mark,
                          const TemplateValues &Values) {
  const std::size_t From = Text.find(Mark);
  if (From == std::string::npos)
    return false;
  const std::size_t NameAt = From + Mark.size();
  const std::size_t Begin = Text.find("}}", NameAt);
  const std::string Name = Text.substr(NameAt, Begin - NameAt);
  const std::string End = "{{/" + Name + "}}";
  const std::size_t To = Text.find(End, NameAt);
  if (Begin == std::string::npos || To == std::string::npos)
    throw std::runtime_error("the settings template has an open section");
  const std::string Content = Text.substr(Begin + 2, To - Begin - 2);
  const bool IsKept = Values.contains(Name) == (Mark == "{{#");
  Text.replace(From, To + End.size() - From, IsKept ? Content : "");
  return true;
}

/// Renders a template. Throws std::runtime_error for a placeholder without a
/// value.
inline std::string renderTemplate(std::string Text,
                                  const TemplateValues &Values) {
  if (const auto Regions = Values.find("zones"); Regions != Values.end())
    replaceAll(Text, RegionsPlaceholder, Regions->second);
  for (const char *Mark : {"{{#", "{{^"})
    while (renderSection(Text, Mark, Values)) {
    }
  for (const auto &[Name, Value] : Values)
    replaceAll(Text, "{{" + Name + "}}", Value);
  if (Text.find("{{") != std::string::npos)
    throw std::runtime_error(
        "the settings template has an unknown placeholder");
  return Text;
}

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_SETTINGSTEMPLATE_H
