#include "intent/Snapshot.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <tuple>

namespace fescuewood {

namespace {

constexpr std::string_view DigestPrefix = "fescuewood-intent-1";

/// Appends a length as 8 bytes, little-endian. The length prefixes make the
/// encoding of a list of texts unambiguous.
void appendLength(std::string &Bytes, std::size_t Length) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8)
    Bytes +=
        static_cast<char>((static_cast<std::uint64_t>(Length) >> Shift) & 0xff);
}

void appendText(std::string &Bytes, std::string_view Text) {
  appendLength(Bytes, Text.size());
  Bytes += Text;
}

bool isPrefix(const Route &R) { return R.Path.ends_with('*'); }

/// Returns the path of a route without a final '*'.
std::string_view literalPath(const Route &R) {
  const std::string_view Path = R.Path;
  return isPrefix(R) ? Path.substr(0, Path.size() - 1) : Path;
}

/// Returns a request's host without the port; an IPv6 address keeps its
/// brackets.
std::string_view hostWithoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  const bool HasPort = Colon != std::string_view::npos &&
                       Host.find(']', Colon) == std::string_view::npos;
  return HasPort ? Host.substr(0, Colon) : Host;
}

/// Compares hosts without regard to case.
/// \param Declared in lower case.
bool matchesHost(std::string_view Declared, std::string_view Actual) {
  return std::equal(Declared.begin(), Declared.end(), Actual.begin(),
                    Actual.end(), [](char Expected, unsigned char Byte) {
                      return Expected == static_cast<char>(std::tolower(Byte));
                    });
}

/// Returns true if the route applies to a request.
/// \param Host without a port.
bool matches(const Route &R, std::string_view Method, std::string_view Host,
             std::string_view Path) {
  if (R.Method != "*" && R.Method != Method)
    return false;
  if (!R.Host.empty() && !matchesHost(R.Host, Host))
    return false;
  const std::string_view Literal = literalPath(R);
  return isPrefix(R) ? Path.starts_with(Literal) : Path == Literal;
}

/// Sort key of a route; the greatest one is selected.
auto precedence(const Route &R) {
  return std::tuple(!R.Host.empty(), literalPath(R).size(), !isPrefix(R),
                    R.Method != "*");
}

} // namespace

Version IntentBundle::version() const {
  std::vector<const IntentFile *> Sorted;
  std::size_t Size = 0;
  for (const IntentFile &F : Files) {
    Sorted.push_back(&F);
    Size += F.Name.size() + F.Text.size();
  }
  std::sort(Sorted.begin(), Sorted.end(),
            [](const IntentFile *Left, const IntentFile *Right) {
              return std::tie(Left->Name, Left->Text) <
                     std::tie(Right->Name, Right->Text);
            });
  constexpr std::size_t BytesOfTwoLengths = 16;
  std::string Bytes;
  Bytes.reserve(Size + Sorted.size() * BytesOfTwoLengths + DigestPrefix.size());
  Bytes += DigestPrefix;
  for (const IntentFile *F : Sorted) {
    appendText(Bytes, F->Name);
    appendText(Bytes, F->Text);
  }
  return {Revision, Digest::sha256(Bytes), Number};
}

const Route *Snapshot::findRouteByName(std::string_view Name) const {
  const auto Found =
      std::find_if(Routes.begin(), Routes.end(),
                   [Name](const Route &R) { return R.Name == Name; });
  return Found == Routes.end() ? nullptr : &*Found;
}

const Route *Snapshot::findRoute(std::string_view Method, std::string_view Host,
                                 std::string_view Path) const {
  const std::string_view HostName = hostWithoutPort(Host);
  const Route *Best = nullptr;
  for (const Route &R : Routes) {
    if (!matches(R, Method, HostName, Path))
      continue;
    if (!Best || precedence(R) > precedence(*Best))
      Best = &R;
  }
  return Best;
}

} // namespace fescuewood
