#include "ini/IniReader.h"

#include "core/Trim.h"
#include "core/Utf8.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <ini.h>

namespace fescuewood {

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view Blanks = " \t";
constexpr std::string_view CommentStarts = ";#";

/// What inih adds to a line in its buffer: CR, LF and a terminating zero.
constexpr int IniLineOverheadBytes = 3;

bool isOneOf(char C, std::string_view Set) {
  return Set.find(C) != std::string_view::npos;
}

bool isControl(char C) {
  const auto Byte = static_cast<unsigned char>(C);
  return (Byte < 0x20 && C != '\t') || Byte == 0x7f;
}

/// Whether a line is a heading or the attempt at one.
bool startsHeading(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r");
  return First != std::string_view::npos && Text[First] == '[';
}

/// Whether a comment would start inside of this value.
bool holdsComment(std::string_view Value) {
  for (std::size_t I = 0; I < Value.size(); ++I) {
    const bool AfterBlank = I == 0 || isOneOf(Value[I - 1], Blanks);
    if (AfterBlank && isOneOf(Value[I], CommentStarts))
      return true;
  }
  return false;
}

/// Feeds inih line by line and takes back what it splits.
class LineFeed {
public:
  LineFeed(std::string_view Text, std::string_view FileName, Problems &Found)
      : Rest(Text), FileName(FileName), Found(Found) {
    if (Rest.starts_with(ByteOrderMark))
      Rest.remove_prefix(ByteOrderMark.size());
  }

  std::vector<IniSection> run() {
    static std::once_flag LineLength;
    std::call_once(LineLength, [] {
      ini_use_stack = false;
      ini_initial_alloc =
          static_cast<int>(MaxIniLineBytes) + IniLineOverheadBytes;
      ini_max_line = ini_initial_alloc;
    });
    const int FirstBadLine = ini_parse_stream(&readLine, this, &handle, this);
    if (FirstBadLine != 0)
      problem(ResultCode::IniBadLine, "",
              "the INI library refuses the text from here");
    return std::move(Sections);
  }

private:
  /// inih's reader: hands over the next line, emptied if it has a problem.
  static char *readLine(char *Buffer, int Size, void *Self) {
    return static_cast<LineFeed *>(Self)->nextLine(
        Buffer, static_cast<std::size_t>(Size));
  }

  /// inih's handler, called at most once per line handed over.
  static int handle(void *Self, const char * /*Section*/, const char *Name,
                    const char *Value) {
    static_cast<LineFeed *>(Self)->addEntry(Name, Value);
    return 1;
  }

  char *nextLine(char *Buffer, std::size_t Size) {
    if (Rest.empty())
      return nullptr;
    const std::size_t End = std::min(Rest.find('\n'), Rest.size());
    std::string_view Text = Rest.substr(0, End);
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
    ++Line;
    if (Text.ends_with('\r'))
      Text.remove_suffix(1);
    if (!accept(Text, Size))
      Text = {};
    *std::copy(Text.begin(), Text.end(), Buffer) = '\0';
    return Buffer;
  }

  /// Whether inih would read exactly what the line says.
  bool accept(std::string_view Text, std::size_t BufferBytes) {
    // Entries below a heading that cannot be read have no known section; a
    // message for each of them would hide the one that matters.
    if (startsHeading(Text)) {
      InSection = false;
      SkipEntries = true;
    }
    if (Text.size() > MaxIniLineBytes || Text.size() >= BufferBytes)
      return problem(ResultCode::IniLineTooLong, "",
                     fmt::format("the line has {} bytes; at most {} are taken",
                                 Text.size(), MaxIniLineBytes));
    if (std::any_of(Text.begin(), Text.end(), isControl) || !isUtf8(Text))
      return problem(ResultCode::IniBadByte, "",
                     "a control character or bytes that are not UTF-8");
    const std::string_view Content = trimmed(Text, Blanks);
    if (Content.empty() || isOneOf(Content.front(), CommentStarts))
      return false;
    if (isOneOf(Text.front(), Blanks))
      return problem(ResultCode::IniIndentedLine, quotedText(Content),
                     "the line starts with a blank; values cannot be "
                     "continued, so start it at the margin");
    return Content.front() == '[' ? acceptHeading(Content)
                                  : acceptEntry(Content);
  }

  bool acceptHeading(std::string_view Content) {
    const std::string_view Inner =
        Content.ends_with(']') ? Content.substr(1, Content.size() - 2) : "";
    const std::size_t Space = Inner.find(' ');
    const std::string_view Kind = Inner.substr(0, Space);
    const bool Named = Space != std::string_view::npos;
    const std::string_view Name = Named ? Inner.substr(Space + 1) : "";
    if (!isIniName(Kind) || (Named && !isIniName(Name))) {
      return problem(
          ResultCode::IniBadHeading, quotedText(Content),
          fmt::format("expected \"[kind]\" or \"[kind name]\" with nothing "
                      "after it, each {}, at most {} bytes",
                      IniNameForm, MaxIniNameBytes));
    }
    InSection = true;
    if (!Seen.insert({std::string(Kind), std::string(Name)}).second)
      problem(ResultCode::IniDuplicateSection, quotedText(Content),
              "stands twice in this file; put its keys under one heading");
    Sections.push_back(
        IniSection{std::string(Kind), std::string(Name), Line, {}});
    return true;
  }

  bool acceptEntry(std::string_view Content) {
    const std::size_t Equals = Content.find('=');
    const std::string_view Name = trimmed(Content.substr(0, Equals), Blanks);
    if (Equals == std::string_view::npos || !isIniName(Name))
      return problem(
          ResultCode::IniBadLine, quotedText(Content),
          fmt::format("expected \"name = value\" with {}", IniNameForm));
    if (holdsComment(Content.substr(Equals + 1)))
      return problem(ResultCode::IniInlineComment, quotedText(Name),
                     "put the comment on a line of its own");
    if (InSection)
      return true;
    if (!SkipEntries)
      problem(ResultCode::IniBadLine, quotedText(Name),
              "stands before any section; expected a heading first");
    return false;
  }

  void addEntry(const char *Name, const char *Value) {
    std::vector<IniEntry> &Entries = Sections.back().Entries;
    const std::string Title = Sections.back().heading() + " " + Name;
    if (Entries.size() == MaxIniSectionKeys) {
      problem(ResultCode::IniTooManyKeys, Title,
              fmt::format("at most {} keys are taken", MaxIniSectionKeys));
      return;
    }
    const bool Repeated =
        std::any_of(Entries.begin(), Entries.end(),
                    [&](const IniEntry &E) { return E.Name == Name; });
    if (Repeated) {
      problem(ResultCode::IniDuplicateKey, Title,
              "stands twice in this section");
      return;
    }
    Entries.push_back({Name, Value, Line});
  }

  bool problem(ResultCode Code, std::string Name, std::string Detail) {
    report(Found, {Code,
                   {std::string(FileName), Line},
                   std::move(Name),
                   std::move(Detail)});
    return false;
  }

  std::string_view Rest;
  std::string_view FileName;
  Problems &Found;
  std::size_t Line = 0;
  bool InSection = false;
  bool SkipEntries = false;
  std::vector<IniSection> Sections;
  std::set<std::pair<std::string, std::string>> Seen;
};

} // namespace

std::string IniSection::heading() const {
  return Name.empty() ? "[" + Kind + "]" : "[" + Kind + " " + Name + "]";
}

std::vector<IniSection> readIni(std::string_view Text,
                                std::string_view FileName, Problems &Found) {
  return LineFeed(Text, FileName, Found).run();
}

bool isIniName(std::string_view Text) {
  const auto IsWord = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
  };
  return !Text.empty() && Text.size() <= MaxIniNameBytes &&
         IsWord(Text.front()) &&
         std::all_of(Text.begin(), Text.end(),
                     [&](char C) { return IsWord(C) || isOneOf(C, "-_./"); });
}

} // namespace fescuewood
