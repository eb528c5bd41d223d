/// \file
/// SHA-256 digests and HMAC-SHA-256, by OpenSSL.

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

/// A SHA-256 value. Ordered bytewise, so that ties resolve the same everywhere.
struct Digest {
  static constexpr std::size_t SizeBytes = 32;

  std::array<std::uint8_t, SizeBytes> Bytes{};

  auto operator<=>(const Digest &) const = default;

  /// SHA-256 of \p Data.
  static Digest of(std::string_view Data);

  /// HMAC-SHA-256 of \p Data under \p Secret.
  static Digest keyed(std::string_view Secret, std::string_view Data);

  /// Parses 64 hexadecimal digits of either case; nothing for anything else.
  static std::optional<Digest> fromHex(std::string_view Text);

  /// 64 lower-case hexadecimal digits.
  std::string hex() const;

  /// The first 12 digits of \ref hex, for logs and tables.
  std::string shortHex() const { return hex().substr(0, 12); }
};

/// Compares in a time that does not depend on where the two differ.
bool equalInConstantTime(const Digest &Left, const Digest &Right);

/// A well-mixed 64-bit hash of text that is the same on every machine, for
/// rendezvous hashing. Not for secrets.
std::uint64_t stableHash(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_DIGEST_H
