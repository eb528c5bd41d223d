#include "core/Endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace fescuewood {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  if (Text.empty() || Error != std::errc() || Rest != End)
    return std::nullopt;
  return Port;
}

bool isIpv6(std::string_view Text) {
  return Text.find(':') != std::string_view::npos;
}

} // namespace

std::string Endpoint::text() const {
  const std::string Host = isIpv6(Ip) ? "[" + Ip + "]" : Ip;
  return Host + ":" + std::to_string(Port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  if (!isIpAddress(Host) || Bracketed != isIpv6(Host))
    return std::nullopt;
  const std::optional<std::uint16_t> Port = parsePort(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  return Endpoint{std::string(Host), *Port};
}

bool isIpAddress(std::string_view Text) {
  // inet_pton stops at an embedded NUL and would accept the text before it.
  if (Text.find('\0') != std::string_view::npos)
    return false;
  const std::string Copy(Text);
  in6_addr Address{};
  return inet_pton(AF_INET, Copy.c_str(), &Address) == 1 ||
         inet_pton(AF_INET6, Copy.c_str(), &Address) == 1;
}

} // namespace fescuewood
