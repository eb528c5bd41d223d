/// \file
/// SHA-256 and HMAC-SHA-256 digests, computed by OpenSSL.

#ifndef FESCUEWOOD_CORE_DIGEST_H
#define FESCUEWOOD_CORE_DIGEST_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// SHA-256 value. Compares bytewise, so every node breaks ties the same way.
struct Digest {
  static constexpr std::size_t SizeBytes = 32;

  std::array<std::uint8_t, SizeBytes> Bytes{};

  auto operator<=>(const Digest &) const = default;

  /// SHA-256 of \p Data.
  static Digest sha256(std::string_view Data);

  /// HMAC-SHA-256 of \p Data under \p Secret.
  static Digest hmacSha256(std::string_view Secret, std::string_view Data);

  /// Parses 64 hexadecimal digits of either case; std::nullopt for other input.
  static std::optional<Digest> fromHex(std::string_view Text);

  /// 64 lower-case hexadecimal digits.
  std::string hex() const;

  /// The first 12 digits of \ref hex, for logs and tables.
  std::string shortHex() const { return hex().substr(0, 12); }
};

/// Compares in time that does not depend on where the digests differ.
bool equalInConstantTime(const Digest &Left, const Digest &Right);

/// 64-bit hash that is the same on every machine, for rendezvous hashing. Not
/// cryptographic.
std::uint64_t stableHash(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_DIGEST_H
