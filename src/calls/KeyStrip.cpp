#include "calls/KeyStrip.h"

#include "callers/HeaderFields.h"
#include "calls/Entry.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace fescuewood {

namespace {

constexpr std::string_view BearerScheme = "bearer ";

/// A query parameter, as views into the request target.
struct Parameter {
  std::string_view Name;
  std::string_view Value;
  std::string_view Whole;
};

std::string percentDecoded(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const char *First = Text.data() + I + 1;
      const auto Parsed = std::from_chars(First, First + 2, Byte, 16);
      if (Parsed.ec == std::errc() && Parsed.ptr == First + 2) {
        Result += static_cast<char>(Byte);
        I += 2;
        continue;
      }
    }
    Result += Text[I] == '+' ? ' ' : Text[I];
  }
  return Result;
}

std::vector<Parameter> parameters(std::string_view Target) {
  std::vector<Parameter> Result;
  const std::size_t QueryStart = Target.find('?');
  if (QueryStart == std::string_view::npos)
    return Result;
  std::string_view Rest = Target.substr(QueryStart + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Whole = Rest.substr(0, End);
    const std::size_t Equals = std::min(Whole.find('='), Whole.size());
    const std::string_view Value =
        Equals < Whole.size() ? Whole.substr(Equals + 1) : std::string_view();
    Result.push_back({Whole.substr(0, Equals), Value, Whole});
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Result;
}

/// Returns the part of \p Value after \p Prefix, which is matched without
/// regard to case in \p Value; std::nullopt if it does not match or nothing
/// follows.
std::optional<std::string_view> credentials(std::string_view Value,
                                            std::string_view Prefix) {
  if (Value.size() <= Prefix.size())
    return std::nullopt;
  const bool Matches = std::equal(
      Prefix.begin(), Prefix.end(), Value.begin(),
      [](char Expected, char Actual) {
        return Expected == std::tolower(static_cast<unsigned char>(Actual));
      });
  if (!Matches)
    return std::nullopt;
  return Value.substr(Prefix.size());
}

bool isKeyParameter(const Parameter &Each) {
  return percentDecoded(Each.Name) == KeyParameter;
}

bool containsKey(std::string_view Text, std::string_view Key) {
  return Text.find(Key) != std::string_view::npos ||
         percentDecoded(Text).find(Key) != std::string::npos;
}

} // namespace

std::optional<std::string> presentedKey(const std::vector<Header> &Headers,
                                        std::string_view Target,
                                        const KeyPredicate &IsKey) {
  std::vector<std::string> PresentedKeys;
  for (const Header &Field : Headers)
    if (isSameFieldName(Field.Name, KeyField))
      PresentedKeys.push_back(Field.Value);
  if (PresentedKeys.empty()) {
    for (const Header &Field : Headers) {
      if (!isSameFieldName(Field.Name, AuthorizationField))
        continue;
      const auto Token = credentials(Field.Value, BearerScheme);
      if (Token && IsKey(*Token))
        PresentedKeys.emplace_back(*Token);
    }
  }
  if (PresentedKeys.empty())
    for (const Parameter &Each : parameters(Target))
      if (isKeyParameter(Each))
        PresentedKeys.push_back(percentDecoded(Each.Value));
  if (PresentedKeys.empty() || PresentedKeys.front().empty())
    return std::nullopt;
  const bool Same = std::all_of(PresentedKeys.begin(), PresentedKeys.end(),
                                [&PresentedKeys](const std::string &Each) {
                                  return Each == PresentedKeys.front();
                                });
  if (!Same)
    return std::nullopt;
  return PresentedKeys.front();
}

std::optional<std::string> presentedKey(const std::vector<Header> &Headers,
                                        const HeaderScheme &Scheme) {
  std::optional<std::string> PresentedKey;
  for (const Header &Field : Headers) {
    if (!isSameFieldName(Field.Name, Scheme.Key))
      continue;
    const auto Key = credentials(Field.Value, Scheme.KeyPrefix);
    if (!Key || (PresentedKey && *PresentedKey != *Key))
      return std::nullopt;
    PresentedKey = std::string(*Key);
  }
  return PresentedKey;
}

void stripKey(std::vector<Header> &Headers, const HeaderScheme &Scheme) {
  std::erase_if(Headers, [&Scheme](const Header &Field) {
    return isSameFieldName(Field.Name, Scheme.Key) &&
           credentials(Field.Value, Scheme.KeyPrefix);
  });
}

bool stripKey(std::string_view Key, std::vector<Header> &Headers,
              std::string &Target) {
  removeField(Headers, KeyField);
  std::erase_if(Headers, [Key](const Header &Field) {
    return !Key.empty() &&
           (containsKey(Field.Value, Key) || containsKey(Field.Name, Key));
  });
  const std::string Path = Target.substr(0, Target.find('?'));
  std::string Query;
  for (const Parameter &Each : parameters(Target)) {
    if (isKeyParameter(Each) || (!Key.empty() && containsKey(Each.Whole, Key)))
      continue;
    Query += Query.empty() ? '?' : '&';
    Query += Each.Whole;
  }
  Target = Path + Query;
  return Key.empty() || !containsKey(Path, Key);
}

} // namespace fescuewood
