#include "callers/HeaderFields.h"

#include "core/Trim.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace fescuewood {

namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1) and message framing fields
/// (RFC 9112, section 6).
constexpr std::array<std::string_view, 10> HopByHopFields = {
    "Connection", "Keep-Alive",     "Proxy-Connection",  "Proxy-Authenticate",
    "TE",         "Trailer",        "Transfer-Encoding", "Upgrade",
    "Expect",     "Content-Length",
};

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  for (char &Byte : Result)
    Byte = static_cast<char>(std::tolower(static_cast<unsigned char>(Byte)));
  return Result;
}

/// Calls \p Visit with each trimmed member of a comma-separated list.
template <typename Visitor>
void forEachListMember(std::string_view List, Visitor Visit) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    const std::string_view Member = trimmedFieldValue(List.substr(0, Comma));
    List = Comma == std::string_view::npos ? "" : List.substr(Comma + 1);
    if (!Member.empty())
      Visit(Member);
  }
}

} // namespace

bool isTokenByte(unsigned char Byte) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return std::isalnum(Byte) != 0 ||
         Symbols.find(static_cast<char>(Byte)) != std::string_view::npos;
}

bool isFieldValueByte(unsigned char Byte) {
  return Byte == '\t' || (Byte >= ' ' && Byte != 0x7f);
}

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isFieldValueByte);
}

std::string_view trimmedFieldValue(std::string_view Value) {
  return trimmed(Value, " \t");
}

bool isSameFieldName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

const std::string *findField(const std::vector<Header> &Fields,
                             std::string_view Name) {
  for (const Header &Field : Fields)
    if (isSameFieldName(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::optional<std::uint64_t> parseNumberField(const std::vector<Header> &Fields,
                                              std::string_view Name) {
  const std::string *Value = findField(Fields, Name);
  if (!Value || Value->empty())
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Value->data() + Value->size();
  const auto [Stop, Error] = std::from_chars(Value->data(), End, Number);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Number;
}

std::optional<double> parseDecimalField(const std::vector<Header> &Fields,
                                        std::string_view Name) {
  const std::string *Field = findField(Fields, Name);
  if (!Field)
    return std::nullopt;
  const std::string_view Text = trimmedFieldValue(*Field);
  double Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size() ||
      !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

void setField(std::vector<Header> &Fields, const std::string &Name,
              std::string Value) {
  if (Name.empty())
    return;
  removeField(Fields, Name);
  if (!Value.empty())
    Fields.push_back({Name, std::move(Value)});
}

void removeField(std::vector<Header> &Fields, std::string_view Name) {
  std::erase_if(Fields, [&](const Header &Field) {
    return isSameFieldName(Field.Name, Name);
  });
}

void removeHopByHopFields(std::vector<Header> &Fields) {
  // A set, since a head may hold thousands of fields and of options.
  std::set<std::string> Removed;
  for (std::string_view Name : HopByHopFields)
    Removed.insert(lowerCase(Name));
  for (const Header &Field : Fields) {
    if (!isSameFieldName(Field.Name, "Connection"))
      continue;
    forEachListMember(Field.Value, [&](std::string_view Member) {
      Removed.insert(lowerCase(Member));
    });
  }
  std::erase_if(Fields, [&](const Header &Field) {
    return Removed.contains(lowerCase(Field.Name));
  });
}

} // namespace fescuewood
