#include "ini/IniReader.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(IniReader) {
  Problems ProblemList;
  std::vector<IniSection> Sections;

  void read(std::string_view Text) {
    Sections = readIni(Text, "a.ini", ProblemList);
  }

  /// Reads a text and checks that it has exactly this problem.
  void expectProblem(std::string_view Text, ResultCode Code, std::size_t Line) {
    ProblemList.clear();
    read(Text);
    LONGS_EQUAL(1, ProblemList.size());
    CHECK_TRUE_TEXT(Code == ProblemList[0].Code, ProblemList[0].text().c_str());
    LONGS_EQUAL(Line, ProblemList[0].Where.Line);
    STRCMP_EQUAL("a.ini", ProblemList[0].Where.File.c_str());
  }
};

TEST(IniReader, ReadsSectionsAndEntriesWithLineNumbers) {
  read("; a comment\n[route queue-read]\n\n  # another\npath = /queue\n"
       "[log]\nlevel=info");

  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  LONGS_EQUAL(2, Sections.size());
  STRCMP_EQUAL("[route queue-read]", Sections[0].heading().c_str());
  LONGS_EQUAL(2, Sections[0].Line);
  STRCMP_EQUAL("path", Sections[0].Entries[0].Name.c_str());
  STRCMP_EQUAL("/queue", Sections[0].Entries[0].Value.c_str());
  LONGS_EQUAL(5, Sections[0].Entries[0].Line);
  STRCMP_EQUAL("[log]", Sections[1].heading().c_str());
  STRCMP_EQUAL("info", Sections[1].Entries[0].Value.c_str());
}

TEST(IniReader, KeepsEmptySections) {
  read("[organisation empty]\n");

  LONGS_EQUAL(1, Sections.size());
}

TEST(IniReader, AcceptsByteOrderMarkAndCrLf) {
  read("\xef\xbb\xbf[log]\r\nlevel = info\r\n");

  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  STRCMP_EQUAL("info", Sections[0].Entries[0].Value.c_str());
}

TEST(IniReader, AcceptsLineAtLimitAndRejectsLongerOne) {
  const std::string Start = "[a]\nb = ";
  const std::string Value(MaxIniLineBytes - 4, 'x');

  read(Start + Value + "\n");

  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  STRCMP_EQUAL(Value.c_str(), Sections[0].Entries[0].Value.c_str());
  expectProblem(Start + Value + "x\n", ResultCode::IniLineTooLong, 2);
}

TEST(IniReader, AcceptsHeadingAtLimitAndRejectsLongerOne) {
  const std::string Name(MaxIniNameBytes, 'n');

  read("[" + Name + " " + Name + "]\na = 1\n");

  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  STRCMP_EQUAL(Name.c_str(), Sections[0].Name.c_str());
  expectProblem("[a " + Name + "n]\n", ResultCode::IniBadHeading, 1);
}

TEST(IniReader, RejectsLinesThatInihWouldAlter) {
  expectProblem("[a]\nb = 1\n  c = 2\n", ResultCode::IniIndentedLine, 3);
  expectProblem("[a]\nb = 1 ; note\n", ResultCode::IniInlineComment, 2);
  expectProblem("[a]\nb = 1 # note\n", ResultCode::IniInlineComment, 2);
  expectProblem("[a]\nb = ; note\n", ResultCode::IniInlineComment, 2);
  expectProblem("[a] junk\n", ResultCode::IniBadHeading, 1);
  expectProblem("[a\nb = 1\n", ResultCode::IniBadHeading, 1);
  expectProblem(std::string_view("[a]\nb = 1\0 2\n", 13),
                ResultCode::IniBadByte, 2);
  expectProblem("[a]\nb = 1\rc = 2\n", ResultCode::IniBadByte, 2);
}

TEST(IniReader, AcceptsOnlyUtf8) {
  read("; Secretaria Estadual de Suprimentos, praça\n[a]\nb = é€😀\n");
  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  STRCMP_EQUAL("é€😀", Sections[0].Entries[0].Value.c_str());

  expectProblem("[a]\nb = \xe9\n", ResultCode::IniBadByte, 2);
  expectProblem("; \xe2\x82\n[a]\n", ResultCode::IniBadByte, 1);
  expectProblem("; \xc0\xaf\n[a]\n", ResultCode::IniBadByte, 1);
}

TEST(IniReader, RejectsDuplicatesInOneFile) {
  expectProblem("[a]\nb = 1\nb = 2\n", ResultCode::IniDuplicateKey, 3);
  expectProblem("[a]\nb = 1\n[a]\nc = 2\n", ResultCode::IniDuplicateSection, 3);
}

TEST(IniReader, RejectsUpperCaseAndOtherSeparators) {
  expectProblem("[A]\n", ResultCode::IniBadHeading, 1);
  expectProblem("[a]\nB = 1\n", ResultCode::IniBadLine, 2);
  expectProblem("[a]\nb: 1\n", ResultCode::IniBadLine, 2);
  expectProblem("[a]\nb:c = 1\n", ResultCode::IniBadLine, 2);
  expectProblem("[a]\nb\n", ResultCode::IniBadLine, 2);
  expectProblem("[a]\n= 1\n", ResultCode::IniBadLine, 2);
  expectProblem("b = 1\n[a]\n", ResultCode::IniBadLine, 1);
}

// Guards against unbounded duplicate detection, which compares each key of a
// section with all others: without the limit, 1 MB of keys took 42 s.
TEST(IniReader, LimitsNumberOfKeysInSection) {
  std::string Text = "[a]\n";
  for (std::size_t I = 0; I <= MaxIniSectionKeys; ++I)
    Text += "k" + std::to_string(I) + " = 1\n";

  read(Text);

  LONGS_EQUAL(MaxIniSectionKeys, Sections[0].Entries.size());
  LONGS_EQUAL(1, ProblemList.size());
  CHECK(ResultCode::IniTooManyKeys == ProblemList[0].Code);
}

TEST(IniReader, LimitsNumberOfListedProblems) {
  std::string Text;
  for (int I = 0; I < 100000; ++I)
    Text += "x\n";

  read(Text);

  LONGS_EQUAL(MaxProblems + 1, ProblemList.size());
  CHECK(ResultCode::TooManyProblems == ProblemList.back().Code);
}

// Guards against silently dropped lines: for any input, each line is a heading,
// an entry, a reported problem, blank, a comment or below a malformed heading.
TEST(IniReader, AccountsForEveryLine) {
  checkProperty("entries + headings + problems + blanks = lines", [] {
    const auto Piece = rc::gen::element<std::string>(
        "[a]", "[a b]", "[", "]", "x = 1", "y", "=", " ", "\t", ";", "#", "\r",
        "\n", "\n", "\n", ":", "\xef\xbb\xbf", "\xff", "z9 = ", "A");
    const auto Pieces = *rc::gen::container<std::vector<std::string>>(Piece);
    std::string Text;
    for (const std::string &P : Pieces)
      Text += P;
    Problems ProblemList;

    const std::vector<IniSection> Sections =
        readIni(Text, "a.ini", ProblemList);

    std::vector<std::size_t> AccountedLines;
    for (const IniSection &S : Sections) {
      AccountedLines.push_back(S.Line);
      for (const IniEntry &E : S.Entries)
        AccountedLines.push_back(E.Line);
    }
    for (const Problem &P : ProblemList)
      AccountedLines.push_back(P.Where.Line);
    std::size_t Line = 1;
    bool AfterBadHeading = false;
    std::size_t Start = Text.starts_with("\xef\xbb\xbf") ? 3 : 0;
    for (; Start < Text.size(); ++Line) {
      const std::size_t End = std::min(Text.find('\n', Start), Text.size());
      const std::string Content = Text.substr(Start, End - Start);
      Start = End + 1;
      const std::size_t First = Content.find_first_not_of(" \t\r");
      const bool Blank = First == std::string::npos;
      const bool Comment =
          !Blank && (Content[First] == ';' || Content[First] == '#');
      const bool IsAccounted =
          std::count(AccountedLines.begin(), AccountedLines.end(), Line) > 0;
      if (!Blank && Content[First] == '[')
        AfterBadHeading =
            std::none_of(Sections.begin(), Sections.end(),
                         [&](const IniSection &S) { return S.Line == Line; });
      RC_ASSERT((Blank || Comment || IsAccounted || AfterBadHeading));
    }
  });
}
