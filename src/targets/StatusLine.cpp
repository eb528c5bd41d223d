#include "targets/StatusLine.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <cstddef>

namespace fescuewood {

namespace {

constexpr std::string_view Protocol = "HTTP/1.";
constexpr std::size_t StatusPosition = Protocol.size() + 2;
constexpr std::size_t StatusDigits = 3;
constexpr std::size_t ReasonPosition = StatusPosition + StatusDigits + 1;

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// Whether a text begins with a version, a space and a status of three digits
/// that ends there or at a space.
bool startsWithStatus(std::string_view Text) {
  if (Text.size() < ReasonPosition - 1 || !Text.starts_with(Protocol))
    return false;
  const std::string_view Status = Text.substr(StatusPosition, StatusDigits);
  return isDigit(Text[Protocol.size()]) && Text[StatusPosition - 1] == ' ' &&
         std::all_of(Status.begin(), Status.end(), isDigit) &&
         (Text.size() < ReasonPosition || Text[ReasonPosition - 1] == ' ');
}

bool isKnownVersion(char Minor) { return Minor == '0' || Minor == '1'; }

} // namespace

std::optional<int> parseStatusLine(std::string_view Line) {
  if (!startsWithStatus(Line) || !isKnownVersion(Line[Protocol.size()]))
    return std::nullopt;
  const std::string_view Reason =
      Line.substr(std::min(ReasonPosition, Line.size()));
  if (!isFieldValue(Reason) || containsStatusLine(Reason))
    return std::nullopt;
  int Status = 0;
  for (const char Digit : Line.substr(StatusPosition, StatusDigits))
    Status = Status * 10 + (Digit - '0');
  if (Status < MinStatus || Status > MaxStatus)
    return std::nullopt;
  return Status;
}

bool containsStatusLine(std::string_view Text) {
  for (std::size_t At = Text.find(Protocol); At != std::string_view::npos;
       At = Text.find(Protocol, At + 1))
    if (startsWithStatus(Text.substr(At)))
      return true;
  return false;
}

} // namespace fescuewood
