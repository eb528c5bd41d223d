#include "core/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace fescuewood {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

std::optional<std::uint8_t> hexValue(char C) {
  if (C >= '0' && C <= '9')
    return static_cast<std::uint8_t>(C - '0');
  if (C >= 'a' && C <= 'f')
    return static_cast<std::uint8_t>(C - 'a' + 10);
  if (C >= 'A' && C <= 'F')
    return static_cast<std::uint8_t>(C - 'A' + 10);
  return std::nullopt;
}

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

Digest Digest::sha256(std::string_view Data) {
  Digest Result;
  EVP_Digest(Data.data(), Data.size(), Result.Bytes.data(), nullptr,
             EVP_sha256(), nullptr);
  return Result;
}

Digest Digest::hmacSha256(std::string_view Secret, std::string_view Data) {
  Digest Result;
  unsigned int Length = SizeBytes;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       asBytes(Data), Data.size(), Result.Bytes.data(), &Length);
  return Result;
}

std::optional<Digest> Digest::fromHex(std::string_view Text) {
  if (Text.size() != 2 * SizeBytes)
    return std::nullopt;
  Digest Result;
  for (std::size_t I = 0; I < SizeBytes; ++I) {
    const auto High = hexValue(Text[2 * I]);
    const auto Low = hexValue(Text[2 * I + 1]);
    if (!High || !Low)
      return std::nullopt;
    Result.Bytes[I] = static_cast<std::uint8_t>((*High << 4) | *Low);
  }
  return Result;
}

std::string Digest::hex() const {
  std::string Text;
  Text.reserve(2 * SizeBytes);
  for (std::uint8_t Byte : Bytes) {
    Text.push_back(HexDigits[Byte >> 4]);
    Text.push_back(HexDigits[Byte & 0xF]);
  }
  return Text;
}

bool equalInConstantTime(const Digest &Left, const Digest &Right) {
  return CRYPTO_memcmp(Left.Bytes.data(), Right.Bytes.data(),
                       Digest::SizeBytes) == 0;
}

std::uint64_t stableHash(std::string_view Text) {
  // FNV-1a followed by the MurmurHash3 finaliser: rendezvous hashing needs the
  // avalanche effect that FNV-1a alone lacks.
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (char C : Text) {
    Hash ^= static_cast<std::uint8_t>(C);
    Hash *= 0x100000001b3ULL;
  }
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33;
  Hash *= 0xc4ceb9fe1a85ec53ULL;
  Hash ^= Hash >> 33;
  return Hash;
}

} // namespace fescuewood
