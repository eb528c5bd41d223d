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
constexpr std::string_view CommentPrefixes = ";#";

/// Buffer space that inih needs beyond the line: CR, LF and a terminating NUL.
constexpr int InihLineOverheadBytes = 3;

bool isOneOf(char C, std::string_view Set) {
  return Set.find(C) != std::string_view::npos;
}

bool isControl(char C) {
  const auto Byte = static_cast<unsigned char>(C);
  return (Byte < 0x20 && C != '\t') || Byte == 0x7f;
}

/// Whether a line is a heading, well-formed or not.
bool startsHeading(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r");
  return First != std::string_view::npos && Text[First] == '[';
}

/// Whether inih would treat part of \p Value as a comment.
bool hasInlineComment(std::string_view Value) {
  for (std::size_t I = 0; I < Value.size(); ++I) {
    const bool AfterBlank = I == 0 || isOneOf(Value[I - 1], Blanks);
    if (AfterBlank && isOneOf(Value[I], CommentPrefixes))
      return true;
  }
  return false;
}

/// Passes a text to inih line by line and collects the parsed entries.
class LineParser {
public:
  LineParser(std::string_view Text, std::string_view FileName,
             Problems &ProblemList)
      : Rest(Text), FileName(FileName), ProblemList(ProblemList) {
    if (Rest.starts_with(ByteOrderMark))
      Rest.remove_prefix(ByteOrderMark.size());
  }

  std::vector<IniSection> run() {
    static std::once_flag LineLength;
    std::call_once(LineLength, [] {
      ini_use_stack = false;
      ini_initial_alloc =
          static_cast<int>(MaxIniLineBytes) + InihLineOverheadBytes;
      ini_max_line = ini_initial_alloc;
    });
    const int FirstBadLine = ini_parse_stream(&readLine, this, &onEntry, this);
    if (FirstBadLine != 0)
      problem(ResultCode::IniBadLine, "",
              "the INI library rejects the text from this line on");
    return std::move(Sections);
  }

private:
  /// Line reader for inih: returns the next line, or an empty one in place of a
  /// line that is not accepted.
  static char *readLine(char *Buffer, int Size, void *Context) {
    return static_cast<LineParser *>(Context)->nextLine(
        Buffer, static_cast<std::size_t>(Size));
  }

  /// Entry handler for inih, called at most once per line.
  static int onEntry(void *Context, const char * /*Section*/, const char *Name,
                     const char *Value) {
    static_cast<LineParser *>(Context)->addEntry(Name, Value);
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

  /// Whether inih parses the line without altering it. Reports a problem
  /// otherwise, except for blank lines and comments.
  bool accept(std::string_view Text, std::size_t BufferBytes) {
    // The section of entries below a malformed heading is unknown; one message
    // for each of them would hide the message about the heading.
    if (startsHeading(Text)) {
      InSection = false;
      SkipEntries = true;
    }
    if (Text.size() > MaxIniLineBytes || Text.size() >= BufferBytes)
      return problem(ResultCode::IniLineTooLong, "",
                     fmt::format("the line has {} bytes; the limit is {}",
                                 Text.size(), MaxIniLineBytes));
    if (std::any_of(Text.begin(), Text.end(), isControl) || !isUtf8(Text))
      return problem(ResultCode::IniBadByte, "",
                     "contains a control character or invalid UTF-8");
    const std::string_view Content = trimmed(Text, Blanks);
    if (Content.empty() || isOneOf(Content.front(), CommentPrefixes))
      return false;
    if (isOneOf(Text.front(), Blanks))
      return problem(ResultCode::IniIndentedLine, quotedText(Content),
                     "the line is indented; values cannot span lines, "
                     "so remove the indentation");
    return Content.front() == '[' ? acceptHeading(Content)
                                  : acceptEntry(Content);
  }

  bool acceptHeading(std::string_view Content) {
    const std::string_view Inner =
        Content.ends_with(']') ? Content.substr(1, Content.size() - 2) : "";
    const std::size_t Space = Inner.find(' ');
    const std::string_view Kind = Inner.substr(0, Space);
    const bool HasName = Space != std::string_view::npos;
    const std::string_view Name = HasName ? Inner.substr(Space + 1) : "";
    if (!isIniName(Kind) || (HasName && !isIniName(Name))) {
      return problem(
          ResultCode::IniBadHeading, quotedText(Content),
          fmt::format("expected \"[kind]\" or \"[kind name]\" with nothing "
                      "after it, each {}, at most {} bytes",
                      IniNameForm, MaxIniNameBytes));
    }
    InSection = true;
    if (!SeenHeadings.insert({std::string(Kind), std::string(Name)}).second)
      problem(ResultCode::IniDuplicateSection, quotedText(Content),
              "duplicate section in this file; merge its keys");
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
    if (hasInlineComment(Content.substr(Equals + 1)))
      return problem(ResultCode::IniInlineComment, quotedText(Name),
                     "move the comment to a separate line");
    if (InSection)
      return true;
    if (!SkipEntries)
      problem(ResultCode::IniBadLine, quotedText(Name),
              "entry before the first section heading");
    return false;
  }

  void addEntry(const char *Name, const char *Value) {
    std::vector<IniEntry> &Entries = Sections.back().Entries;
    const std::string Title = Sections.back().heading() + " " + Name;
    if (Entries.size() == MaxIniSectionKeys) {
      problem(
          ResultCode::IniTooManyKeys, Title,
          fmt::format("a section may have at most {} keys", MaxIniSectionKeys));
      return;
    }
    const bool IsDuplicate =
        std::any_of(Entries.begin(), Entries.end(),
                    [&](const IniEntry &E) { return E.Name == Name; });
    if (IsDuplicate) {
      problem(ResultCode::IniDuplicateKey, Title,
              "duplicate key in this section");
      return;
    }
    Entries.push_back({Name, Value, Line});
  }

  bool problem(ResultCode Code, std::string Name, std::string Detail) {
    report(ProblemList, {Code,
                         {std::string(FileName), Line},
                         std::move(Name),
                         std::move(Detail)});
    return false;
  }

  std::string_view Rest;
  std::string_view FileName;
  Problems &ProblemList;
  std::size_t Line = 0;
  bool InSection = false;
  bool SkipEntries = false;
  std::vector<IniSection> Sections;
  std::set<std::pair<std::string, std::string>> SeenHeadings;
};

} // namespace

std::string IniSection::heading() const {
  return Name.empty() ? "[" + Kind + "]" : "[" + Kind + " " + Name + "]";
}

std::vector<IniSection> readIni(std::string_view Text,
                                std::string_view FileName,
                                Problems &ProblemList) {
  return LineParser(Text, FileName, ProblemList).run();
}

bool isIniName(std::string_view Text) {
  const auto IsLowerAlphanumeric = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
  };
  return !Text.empty() && Text.size() <= MaxIniNameBytes &&
         IsLowerAlphanumeric(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [&](char C) {
           return IsLowerAlphanumeric(C) || isOneOf(C, "-_./");
         });
}

} // namespace fescuewood
