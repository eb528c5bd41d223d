#include "ini/Schema.h"

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::string keyTitle(std::string_view Title, std::string_view Name) {
  return fmt::format("{} {}", Title, Name);
}

} // namespace

Problem malformedValue(const KeyInfo &Info, std::string_view Title,
                       const SourcedValue &Input) {
  return {
      ResultCode::ValueMalformed, Input.Where, keyTitle(Title, Info.Name),
      fmt::format("found {}, expected {}", quotedText(Input.Text), Info.Form)};
}

Problem unknownKey(std::span<const KeyInfo> Known, std::string_view Section,
                   std::string_view Title, std::string_view Name,
                   const SourceLocation &Location) {
  std::string Names;
  for (const KeyInfo &Info : Known)
    if (Info.Section == Section)
      Names += (Names.empty() ? "" : ", ") + Info.Name;
  return {ResultCode::KeyUnknown, Location, keyTitle(Title, Name),
          fmt::format("unknown key, expected one of {}", Names)};
}

Problem missingKey(const KeyInfo &Info, std::string_view Title,
                   const SourceLocation &Location) {
  return {ResultCode::KeyMissing, Location, keyTitle(Title, Info.Name),
          fmt::format("missing, expected {}", Info.Form)};
}

} // namespace fescuewood
