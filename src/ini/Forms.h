/// \file
/// The forms that values take: how each is parsed and described to people.

#ifndef FESCUEWOOD_INI_FORMS_H
#define FESCUEWOOD_INI_FORMS_H

#include "core/Clock.h"
#include "core/Digest.h"
#include "core/Endpoint.h"
#include "ini/Schema.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// A whole number in decimal digits within bounds, both included.
template <typename Number>
ValueForm<Number> wholeNumber(std::uint64_t Min, std::uint64_t Max) {
  auto Parse = [Min, Max](std::string_view Text) -> std::optional<Number> {
    std::uint64_t Value = 0;
    const char *End = Text.data() + Text.size();
    const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
    if (Error != std::errc() || Rest != End || Value < Min || Value > Max)
      return std::nullopt;
    return static_cast<Number>(Value);
  };
  return {"a whole number from " + std::to_string(Min) + " to " +
              std::to_string(Max),
          std::move(Parse)};
}

/// One of several words.
template <typename Value>
ValueForm<Value>
oneOf(std::initializer_list<std::pair<std::string_view, Value>> Words) {
  const std::vector<std::pair<std::string_view, Value>> Table(Words);
  std::string Text;
  for (const auto &[Word, Meaning] : Table)
    Text += (Text.empty() ? "" : " or ") + std::string(Word);
  auto Parse = [Table](std::string_view Given) -> std::optional<Value> {
    for (const auto &[Word, Meaning] : Table)
      if (Word == Given)
        return Meaning;
    return std::nullopt;
  };
  return {std::move(Text), std::move(Parse)};
}

/// A span of whole milliseconds within bounds, both included.
ValueForm<DurationMs> milliseconds(std::uint64_t Min, std::uint64_t Max);

/// A decimal number within bounds, both included.
ValueForm<double> decimalNumber(double Min, double Max);

/// "yes" or "no".
ValueForm<bool> yesOrNo();

/// A name as \ref isIniName takes it.
ValueForm<std::string> nameForm();

/// Any text between two lengths in bytes, both included.
ValueForm<std::string> textForm(std::size_t MinBytes, std::size_t MaxBytes);

/// An IPv4 or IPv6 number.
ValueForm<std::string> ipAddressForm();

/// "IP:port".
ValueForm<Endpoint> endpointForm();

/// "IP:port", or empty for none.
ValueForm<std::optional<Endpoint>> optionalEndpointForm();

/// "IP:port, IP:port, ..."; may be empty.
ValueForm<std::vector<Endpoint>> endpointListForm(std::size_t MaxCount);

/// 64 hexadecimal digits.
ValueForm<Digest> sha256Form();

} // namespace fescuewood

#endif // FESCUEWOOD_INI_FORMS_H
