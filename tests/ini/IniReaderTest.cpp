#include "ini/IniReader.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(IniReader) {
  Problems Found;
  std::vector<IniSection> Sections;

  void read(std::string_view Text) { Sections = readIni(Text, "a.ini", Found); }

  /// Reads a text that must have exactly this one problem.
  void readBad(std::string_view Text, ResultCode Code, std::size_t Line) {
    Found.clear();
    read(Text);
    LONGS_EQUAL(1, Found.size());
    CHECK_TRUE_TEXT(Code == Found[0].Code, Found[0].text().c_str());
    LONGS_EQUAL(Line, Found[0].Where.Line);
    STRCMP_EQUAL("a.ini", Found[0].Where.File.c_str());
  }
};

TEST(IniReader, ReadsSectionsAndEntriesWithTheirLines) {
  read("; a comment\n[route queue-read]\n\n  # another\npath = /queue\n"
       "[log]\nlevel=info");

  STRCMP_EQUAL("", problemsText(Found).c_str());
  LONGS_EQUAL(2, Sections.size());
  STRCMP_EQUAL("[route queue-read]", Sections[0].heading().c_str());
  LONGS_EQUAL(2, Sections[0].Line);
  STRCMP_EQUAL("path", Sections[0].Entries[0].Name.c_str());
  STRCMP_EQUAL("/queue", Sections[0].Entries[0].Value.c_str());
  LONGS_EQUAL(5, Sections[0].Entries[0].Line);
  STRCMP_EQUAL("[log]", Sections[1].heading().c_str());
  STRCMP_EQUAL("info", Sections[1].Entries[0].Value.c_str());
}

TEST(IniReader, KeepsASectionWithoutEntries) {
  read("[organisation empty]\n");

  LONGS_EQUAL(1, Sections.size());
}

TEST(IniReader, AcceptsAByteOrderMarkAndWindowsLineEnds) {
  read("\xef\xbb\xbf[log]\r\nlevel = info\r\n");

  STRCMP_EQUAL("", problemsText(Found).c_str());
  STRCMP_EQUAL("info", Sections[0].Entries[0].Value.c_str());
}

TEST(IniReader, KeepsTheLongestLineWholeAndRefusesALongerOne) {
  const std::string Start = "[a]\nb = ";
  const std::string Value(MaxIniLineBytes - 4, 'x');

  read(Start + Value + "\n");

  STRCMP_EQUAL("", problemsText(Found).c_str());
  STRCMP_EQUAL(Value.c_str(), Sections[0].Entries[0].Value.c_str());
  readBad(Start + Value + "x\n", ResultCode::IniLineTooLong, 2);
}

TEST(IniReader, KeepsALongHeadingWhole) {
  const std::string Name(MaxIniNameBytes, 'n');

  read("[" + Name + " " + Name + "]\na = 1\n");

  STRCMP_EQUAL("", problemsText(Found).c_str());
  STRCMP_EQUAL(Name.c_str(), Sections[0].Name.c_str());
  readBad("[a " + Name + "n]\n", ResultCode::IniBadHeading, 1);
}

TEST(IniReader, RefusesWhatTheLibraryWouldCutOrJoin) {
  readBad("[a]\nb = 1\n  c = 2\n", ResultCode::IniIndentedLine, 3);
  readBad("[a]\nb = 1 ; note\n", ResultCode::IniInlineComment, 2);
  readBad("[a]\nb = 1 # note\n", ResultCode::IniInlineComment, 2);
  readBad("[a]\nb = ; note\n", ResultCode::IniInlineComment, 2);
  readBad("[a] junk\n", ResultCode::IniBadHeading, 1);
  readBad("[a\nb = 1\n", ResultCode::IniBadHeading, 1);
  readBad(std::string_view("[a]\nb = 1\0 2\n", 13), ResultCode::IniBadByte, 2);
  readBad("[a]\nb = 1\rc = 2\n", ResultCode::IniBadByte, 2);
}

TEST(IniReader, TakesUtf8AndNothingElse) {
  read("; Secretaria Estadual de Suprimentos, praça\n[a]\nb = é€😀\n");
  STRCMP_EQUAL("", problemsText(Found).c_str());
  STRCMP_EQUAL("é€😀", Sections[0].Entries[0].Value.c_str());

  readBad("[a]\nb = \xe9\n", ResultCode::IniBadByte, 2);
  readBad("; \xe2\x82\n[a]\n", ResultCode::IniBadByte, 1);
  readBad("; \xc0\xaf\n[a]\n", ResultCode::IniBadByte, 1);
}

TEST(IniReader, RefusesDuplicatesInOneFile) {
  readBad("[a]\nb = 1\nb = 2\n", ResultCode::IniDuplicateKey, 3);
  readBad("[a]\nb = 1\n[a]\nc = 2\n", ResultCode::IniDuplicateSection, 3);
}

TEST(IniReader, RefusesOtherCaseAndOtherSeparators) {
  readBad("[A]\n", ResultCode::IniBadHeading, 1);
  readBad("[a]\nB = 1\n", ResultCode::IniBadLine, 2);
  readBad("[a]\nb: 1\n", ResultCode::IniBadLine, 2);
  readBad("[a]\nb:c = 1\n", ResultCode::IniBadLine, 2);
  readBad("[a]\nb\n", ResultCode::IniBadLine, 2);
  readBad("[a]\n= 1\n", ResultCode::IniBadLine, 2);
  readBad("b = 1\n[a]\n", ResultCode::IniBadLine, 1);
}

// The search for duplicates compared every key of a section with all others: a
// megabyte of keys took 42 s.
TEST(IniReader, TakesABoundedNumberOfKeysInASection) {
  std::string Text = "[a]\n";
  for (std::size_t I = 0; I <= MaxIniSectionKeys; ++I)
    Text += "k" + std::to_string(I) + " = 1\n";

  read(Text);

  LONGS_EQUAL(MaxIniSectionKeys, Sections[0].Entries.size());
  LONGS_EQUAL(1, Found.size());
  CHECK(ResultCode::IniTooManyKeys == Found[0].Code);
}

TEST(IniReader, ListsABoundedNumberOfProblems) {
  std::string Text;
  for (int I = 0; I < 100000; ++I)
    Text += "x\n";

  read(Text);

  LONGS_EQUAL(MaxProblems + 1, Found.size());
  CHECK(ResultCode::TooManyProblems == Found.back().Code);
}

// Whatever the bytes are, each line is read as it stands or is a problem: the
// lines of the result, of the problems, blank ones and comments make up the
// text.
TEST(IniReader, LosesNoLine) {
  checkProperty("entries + headings + problems + blanks = lines", [] {
    const auto Piece = rc::gen::element<std::string>(
        "[a]", "[a b]", "[", "]", "x = 1", "y", "=", " ", "\t", ";", "#", "\r",
        "\n", "\n", "\n", ":", "\xef\xbb\xbf", "\xff", "z9 = ", "A");
    const auto Pieces = *rc::gen::container<std::vector<std::string>>(Piece);
    std::string Text;
    for (const std::string &P : Pieces)
      Text += P;
    Problems Found;

    const std::vector<IniSection> Sections = readIni(Text, "a.ini", Found);

    std::vector<std::size_t> Accounted;
    for (const IniSection &S : Sections) {
      Accounted.push_back(S.Line);
      for (const IniEntry &E : S.Entries)
        Accounted.push_back(E.Line);
    }
    for (const Problem &P : Found)
      Accounted.push_back(P.Where.Line);
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
      const bool Listed =
          std::count(Accounted.begin(), Accounted.end(), Line) > 0;
      if (!Blank && Content[First] == '[')
        AfterBadHeading =
            std::none_of(Sections.begin(), Sections.end(),
                         [&](const IniSection &S) { return S.Line == Line; });
      RC_ASSERT((Blank || Comment || Listed || AfterBadHeading));
    }
  });
}
