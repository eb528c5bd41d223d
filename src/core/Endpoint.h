/// \file
/// Endpoint: IP address and port, in the format of settings and instance lists.

#ifndef FESCUEWOOD_CORE_ENDPOINT_H
#define FESCUEWOOD_CORE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Address that a process listens on or connects to. Host names are rejected.
struct Endpoint {
  std::string Ip; ///< IPv4 in dotted form, or IPv6 without brackets.
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// "127.0.0.1:80" or "[::1]:80".
  std::string text() const;

  /// Parses the format of \ref text; std::nullopt for other input.
  static std::optional<Endpoint> parse(std::string_view Text);
};

/// Whether \p Text is an IPv4 or IPv6 address.
bool isIpAddress(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_ENDPOINT_H
