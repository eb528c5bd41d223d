/// \file
/// Value formats for settings and intent: a parser and a description of each.

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

/// Decimal integer in the closed range [\p Min, \p Max].
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

/// One of a fixed set of words, each mapped to a value.
template <typename Value>
ValueForm<Value>
oneOf(std::initializer_list<std::pair<std::string_view, Value>> Words) {
  const std::vector<std::pair<std::string_view, Value>> Table(Words);
  std::string Text;
  for (const auto &[Word, Result] : Table)
    Text += (Text.empty() ? "" : " or ") + std::string(Word);
  auto Parse = [Table](std::string_view Input) -> std::optional<Value> {
    for (const auto &[Word, Result] : Table)
      if (Word == Input)
        return Result;
    return std::nullopt;
  };
  return {std::move(Text), std::move(Parse)};
}

/// Duration in whole milliseconds in the closed range [\p Min, \p Max].
ValueForm<DurationMs> milliseconds(std::uint64_t Min, std::uint64_t Max);

/// Decimal number in the closed range [\p Min, \p Max].
ValueForm<double> decimalNumber(double Min, double Max);

/// "yes" or "no".
ValueForm<bool> yesOrNo();

/// Name accepted by \ref isIniName.
ValueForm<std::string> nameForm();

/// Any text of \p MinBytes to \p MaxBytes bytes.
ValueForm<std::string> textForm(std::size_t MinBytes, std::size_t MaxBytes);

/// IPv4 or IPv6 address.
ValueForm<std::string> ipAddressForm();

/// "IP:port".
ValueForm<Endpoint> endpointForm();

/// "IP:port", or empty for none.
ValueForm<std::optional<Endpoint>> optionalEndpointForm();

/// "IP:port, IP:port, ..."; may be empty, at most \p MaxCount endpoints.
ValueForm<std::vector<Endpoint>> endpointListForm(std::size_t MaxCount);

/// 64 hexadecimal digits.
ValueForm<Digest> sha256Form();

} // namespace fescuewood

#endif // FESCUEWOOD_INI_FORMS_H
