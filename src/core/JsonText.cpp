#include "core/JsonText.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

/// Finds where the parts of a JSON text begin and end.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view Text) : Text(Text) {}

  /// Skips white space, then \p Wanted; false when another character follows.
  bool skip(char Wanted) {
    skipSpace();
    if (atEnd() || Text[Position] != Wanted)
      return false;
    ++Position;
    return true;
  }

  /// Whether only white space is left.
  bool onlySpaceLeft() {
    skipSpace();
    return atEnd();
  }

  /// Skips white space and a value, and returns the value's text; empty when
  /// no value follows.
  std::string_view value() {
    skipSpace();
    const std::size_t Begin = Position;
    const bool Ended = !atEnd() && skipValue();
    return Ended ? Text.substr(Begin, Position - Begin) : std::string_view();
  }

  /// Deepest nesting seen by \ref value.
  std::size_t nesting() const { return Nesting; }

private:
  bool atEnd() const { return Position >= Text.size(); }

  void skipSpace() {
    Position =
        std::min(Text.find_first_not_of(" \t\r\n", Position), Text.size());
  }

  bool skipValue() {
    const char First = Text[Position];
    if (First == '"')
      return skipString();
    if (First == '[' || First == '{')
      return skipContainer();
    Position =
        std::min(Text.find_first_of(",:[]{}\" \t\r\n", Position), Text.size());
    return true;
  }

  bool skipString() {
    for (++Position; !atEnd(); ++Position) {
      const char Next = Text[Position];
      if (Next == '"')
        return ++Position, true;
      if (Next == '\\')
        ++Position;
    }
    return false;
  }

  bool skipContainer() {
    std::size_t Depth = 0;
    while (!atEnd()) {
      const char Next = Text[Position];
      if (Next == '"') {
        if (!skipString())
          return false;
        continue;
      }
      ++Position;
      if (Next == '[' || Next == '{')
        Nesting = std::max(Nesting, ++Depth);
      else if ((Next == ']' || Next == '}') && --Depth == 0)
        return true;
    }
    return false;
  }

  std::string_view Text;
  std::size_t Position = 0;
  std::size_t Nesting = 0;
};

/// Reads the parts of a container, each with \p ReadPart, which returns false
/// when there is none.
bool readParts(JsonScanner &Scanner, char Open, char Close,
               const std::function<bool()> &ReadPart) {
  if (!Scanner.skip(Open))
    return false;
  if (Scanner.skip(Close))
    return Scanner.onlySpaceLeft();
  do {
    if (!ReadPart())
      return false;
  } while (Scanner.skip(','));
  return Scanner.skip(Close) && Scanner.onlySpaceLeft();
}

} // namespace

nlohmann::json parseJson(std::string_view Text, std::size_t MaxNesting) {
  using Json = nlohmann::json;
  JsonScanner Scanner(Text);
  const bool IsOneValue = !Scanner.value().empty() && Scanner.onlySpaceLeft();
  if (!IsOneValue || Scanner.nesting() > MaxNesting)
    return Json(Json::value_t::discarded);
  return Json::parse(Text, nullptr, /*allow_exceptions=*/false);
}

std::optional<JsonMembers>
jsonMembers(std::string_view Text,
            std::initializer_list<std::string_view> Names) {
  JsonScanner Scanner(Text);
  JsonMembers Result;
  const bool IsObject = readParts(Scanner, '{', '}', [&] {
    const std::string_view Name = Scanner.value();
    if (Name.size() < 2 || Name.front() != '"' || !Scanner.skip(':'))
      return false;
    const std::string_view Value = Scanner.value();
    const std::string_view Unquoted = Name.substr(1, Name.size() - 2);
    if (std::find(Names.begin(), Names.end(), Unquoted) != Names.end())
      Result[Unquoted] = Value;
    return !Value.empty();
  });
  return IsObject ? std::optional(std::move(Result)) : std::nullopt;
}

std::string_view memberText(const JsonMembers &Object, std::string_view Name) {
  const auto It = Object.find(Name);
  return It == Object.end() ? std::string_view() : It->second;
}

bool forEachJsonElement(
    std::string_view Text,
    const std::function<void(std::string_view Element)> &OnElement) {
  JsonScanner Scanner(Text);
  return readParts(Scanner, '[', ']', [&Scanner, &OnElement] {
    const std::string_view Element = Scanner.value();
    if (Element.empty())
      return false;
    OnElement(Element);
    return true;
  });
}

} // namespace fescuewood
