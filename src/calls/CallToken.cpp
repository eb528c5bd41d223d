#include "calls/CallToken.h"

#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Token format: 1.depth.deadline.process.sequence.organisation.signature,
/// where 1 is the format version; all other fields are lower-case hexadecimal.
constexpr std::string_view FormatVersion = "1";
constexpr char Separator = '.';
constexpr std::size_t FieldCount = 7;

/// Signature prefix that separates call tokens from other uses of the fleet
/// secret.
constexpr std::string_view SignatureContext = "fescuewood call token\n";

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Result;
  while (Result.size() < FieldCount) {
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

std::string toHex(std::string_view Text) {
  std::string Result;
  for (char C : Text)
    Result += fmt::format("{:02x}", static_cast<std::uint8_t>(C));
  return Result;
}

std::optional<std::string> fromHex(std::string_view Hex) {
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
  const auto Process = parseHex(Fields[3]);
  const auto Sequence = parseHex(Fields[4]);
  auto Organisation = fromHex(Fields[5]);
  if (!Depth || !Deadline || !Process || !Sequence || !Organisation)
    return std::nullopt;
  if (*Depth > std::numeric_limits<std::uint8_t>::max())
    return std::nullopt;
  CallToken Token;
  Token.Organisation = std::move(*Organisation);
  Token.Depth = static_cast<std::uint8_t>(*Depth);
  Token.Deadline = TimeMs(static_cast<std::int64_t>(*Deadline));
  Token.Call = {*Process, *Sequence};
  return Token;
}

} // namespace

CallTokenSigner::CallTokenSigner(std::string FleetSecret, std::string Issuer)
    : Secret(std::move(FleetSecret)), Issuer(std::move(Issuer)) {}

std::string CallTokenSigner::issue(const CallToken &Token) const {
  const std::string Payload = fmt::format(
      "{}.{:x}.{:x}.{:x}.{:x}.{}", FormatVersion, Token.Depth,
      static_cast<std::uint64_t>(Token.Deadline.Value), Token.Call.Process,
      Token.Call.Sequence, toHex(Token.Organisation));
  return Payload + Separator + signature(Payload).hex();
}

std::optional<CallToken> CallTokenSigner::verify(std::string_view Text,
                                                 TimeMs Now) {
  if (Text.size() > MaxCallTokenBytes)
    return fail(ResultCode::CallTokenMalformed);
  const std::vector<std::string_view> Fields = split(Text);
  if (Fields.size() != FieldCount || Fields[0] != FormatVersion)
    return fail(ResultCode::CallTokenMalformed);
  const std::string_view SignatureText = Fields.back();
  const auto Signature = Digest::fromHex(SignatureText);
  if (!Signature)
    return fail(ResultCode::CallTokenMalformed);

  const std::string_view Payload =
      Text.substr(0, Text.size() - SignatureText.size() - 1);
  if (!equalInConstantTime(*Signature, signature(Payload)))
    return fail(ResultCode::CallTokenForged);
  // Upper-case digits would allow a second text for the same token.
  if (Signature->hex() != SignatureText)
    return fail(ResultCode::CallTokenForged);

  auto Token = parse(Fields);
  if (!Token)
    return fail(ResultCode::CallTokenMalformed);
  if (Token->Deadline <= Now)
    return fail(ResultCode::CallTokenExpired);
  return Token;
}

Digest CallTokenSigner::signature(std::string_view Payload) const {
  std::string Message(SignatureContext);
  Message += Issuer;
  Message += '\n';
  Message += Payload;
  return Digest::hmacSha256(Secret, Message);
}

std::nullopt_t CallTokenSigner::fail(ResultCode Reason) {
  LastReason = Reason;
  return std::nullopt;
}

} // namespace fescuewood
