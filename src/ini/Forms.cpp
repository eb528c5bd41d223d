#include "ini/Forms.h"

#include "core/Trim.h"
#include "ini/IniReader.h"

#include <cmath>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view Text,
                                                    std::size_t MaxCount) {
  std::vector<Endpoint> Parsed;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const auto Next = Endpoint::parse(trimmed(Text.substr(0, Comma), " "));
    const bool EndsInComma = Comma + 1 == Text.size();
    if (!Next || Parsed.size() == MaxCount || EndsInComma)
      return std::nullopt;
    Parsed.push_back(*Next);
    Text = Comma == std::string_view::npos ? "" : Text.substr(Comma + 1);
  }
  return Parsed;
}

} // namespace

ValueForm<DurationMs> milliseconds(std::uint64_t Min, std::uint64_t Max) {
  ValueForm<std::int64_t> Number = wholeNumber<std::int64_t>(Min, Max);
  auto Parse = [ParseNumber = std::move(Number.Parse)](
                   std::string_view Text) -> std::optional<DurationMs> {
    const std::optional<std::int64_t> Value = ParseNumber(Text);
    if (!Value)
      return std::nullopt;
    return DurationMs(*Value);
  };
  return {std::move(Number.Text), std::move(Parse)};
}

ValueForm<double> decimalNumber(double Min, double Max) {
  auto Parse = [Min, Max](std::string_view Text) -> std::optional<double> {
    double Value = 0;
    const char *End = Text.data() + Text.size();
    const auto [Rest, Error] =
        std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
    const bool Complete = Error == std::errc() && Rest == End;
    if (!Complete || !std::isfinite(Value) || Value < Min || Value > Max)
      return std::nullopt;
    return Value;
  };
  return {fmt::format("a number from {} to {}", Min, Max), std::move(Parse)};
}

ValueForm<bool> yesOrNo() {
  return oneOf<bool>({{"yes", true}, {"no", false}});
}

ValueForm<std::string> nameForm() {
  auto Parse = [](std::string_view Text) -> std::optional<std::string> {
    if (!isIniName(Text))
      return std::nullopt;
    return std::string(Text);
  };
  return {std::string(IniNameForm), std::move(Parse)};
}

ValueForm<std::string> textForm(std::size_t MinBytes, std::size_t MaxBytes) {
  auto Parse = [MinBytes,
                MaxBytes](std::string_view Text) -> std::optional<std::string> {
    if (Text.size() < MinBytes || Text.size() > MaxBytes)
      return std::nullopt;
    return std::string(Text);
  };
  return {fmt::format("text of {} to {} bytes", MinBytes, MaxBytes),
          std::move(Parse)};
}

ValueForm<std::string> ipAddressForm() {
  auto Parse = [](std::string_view Text) -> std::optional<std::string> {
    if (!isIpAddress(Text))
      return std::nullopt;
    return std::string(Text);
  };
  return {"an IP address", std::move(Parse)};
}

ValueForm<Endpoint> endpointForm() { return {"IP:port", &Endpoint::parse}; }

ValueForm<std::optional<Endpoint>> optionalEndpointForm() {
  using ParseResult = std::optional<std::optional<Endpoint>>;
  return {"IP:port or empty", [](std::string_view Text) -> ParseResult {
            if (Text.empty())
              return ParseResult(std::in_place, std::nullopt);
            const std::optional<Endpoint> Parsed = Endpoint::parse(Text);
            return Parsed ? ParseResult(std::in_place, *Parsed) : std::nullopt;
          }};
}

ValueForm<std::vector<Endpoint>> endpointListForm(std::size_t MaxCount) {
  auto Parse = [MaxCount](std::string_view Text) {
    return parseEndpoints(Text, MaxCount);
  };
  return {
      fmt::format("up to {} endpoints IP:port, separated by commas", MaxCount),
      std::move(Parse)};
}

ValueForm<Digest> sha256Form() {
  return {"64 hexadecimal digits", &Digest::fromHex};
}

} // namespace fescuewood
