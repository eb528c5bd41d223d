#include "calls/CallToken.h"

#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Format number and parts: 1.depth.deadline.incarnation.sequence.organisation
/// and the signature, all but the format in lower-case hexadecimal.
constexpr std::string_view Format = "1";
constexpr char Separator = '.';
constexpr std::size_t Parts = 7;

/// Keeps these signatures apart from others made under the fleet secret.
constexpr std::string_view Purpose = "fescuewood call token\n";

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Result;
  while (Result.size() < Parts) {
    const std::size_t End = Text.find(Separator);
    Result.push_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Result;
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value, 16);
  if (Text.empty() || Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::string hexOf(std::string_view Text) {
  std::string Result;
  for (char C : Text)
    Result += fmt::format("{:02x}", static_cast<std::uint8_t>(C));
  return Result;
}

std::optional<std::string> textOf(std::string_view Hex) {
  if (Hex.size() % 2 != 0)
    return std::nullopt;
  std::string Result;
  for (std::size_t I = 0; I < Hex.size(); I += 2) {
    const auto Byte = parseHex(Hex.substr(I, 2));
    if (!Byte)
      return std::nullopt;
    Result.push_back(static_cast<char>(*Byte));
  }
  return Result;
}

std::optional<CallToken> parse(const std::vector<std::string_view> &Fields) {
  const auto Depth = parseHex(Fields[1]);
  const auto Deadline = parseHex(Fields[2]);
  const auto Incarnation = parseHex(Fields[3]);
  const auto Sequence = parseHex(Fields[4]);
  auto Organisation = textOf(Fields[5]);
  if (!Depth || !Deadline || !Incarnation || !Sequence || !Organisation)
    return std::nullopt;
  if (*Depth > std::numeric_limits<std::uint8_t>::max())
    return std::nullopt;
  CallToken Token;
  Token.Organisation = std::move(*Organisation);
  Token.Depth = static_cast<std::uint8_t>(*Depth);
  Token.Deadline = TimeMs(static_cast<std::int64_t>(*Deadline));
  Token.Call = {*Incarnation, *Sequence};
  return Token;
}

} // namespace

CallTokenSigner::CallTokenSigner(std::string FleetSecret, std::string Issuer)
    : Secret(std::move(FleetSecret)), Issuer(std::move(Issuer)) {}

std::string CallTokenSigner::issue(const CallToken &Token) const {
  const std::string Statement = fmt::format(
      "{}.{:x}.{:x}.{:x}.{:x}.{}", Format, Token.Depth,
      static_cast<std::uint64_t>(Token.Deadline.Value), Token.Call.Incarnation,
      Token.Call.Sequence, hexOf(Token.Organisation));
  return Statement + Separator + signature(Statement).hex();
}

std::optional<CallToken> CallTokenSigner::verify(std::string_view Text,
                                                 TimeMs Now) {
  if (Text.size() > MaxCallTokenBytes)
    return refuse(ResultCode::CallTokenMalformed);
  const std::vector<std::string_view> Fields = split(Text);
  if (Fields.size() != Parts || Fields[0] != Format)
    return refuse(ResultCode::CallTokenMalformed);
  const std::string_view Shown = Fields.back();
  const auto Signature = Digest::fromHex(Shown);
  if (!Signature)
    return refuse(ResultCode::CallTokenMalformed);

  const std::string_view Statement =
      Text.substr(0, Text.size() - Shown.size() - 1);
  if (!equalInConstantTime(*Signature, signature(Statement)))
    return refuse(ResultCode::CallTokenForged);
  // Upper-case digits would make a second text of the same token.
  if (Signature->hex() != Shown)
    return refuse(ResultCode::CallTokenForged);

  auto Token = parse(Fields);
  if (!Token)
    return refuse(ResultCode::CallTokenMalformed);
  if (Token->Deadline <= Now)
    return refuse(ResultCode::CallTokenExpired);
  return Token;
}

Digest CallTokenSigner::signature(std::string_view Statement) const {
  std::string Message(Purpose);
  Message += Issuer;
  Message += '\n';
  Message += Statement;
  return Digest::keyed(Secret, Message);
}

std::nullopt_t CallTokenSigner::refuse(ResultCode Reason) {
  LastReason = Reason;
  return std::nullopt;
}

} // namespace fescuewood
