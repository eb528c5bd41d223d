// Fuzz tests with mutated example intents and arbitrary bytes: a version either
// compiles to a complete snapshot whose references all resolve, or is rejected
// with problems whose locations lie in its files.

#include "intent/CompileIntent.h"
#include "intent/IntentFolder.h"
#include "intent/IntentReport.h"
#include "intent/MergedIntent.h"

#include "support/Property.h"

#include <algorithm>
#include <filesystem>
#include <random>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

IntentBundle example(bool First) {
  Problems Found;
  const std::string Name = First ? "intent-teiknibas" : "intent-secretaria";
  return readIntentFolder(SOURCE_DIR "/examples/" + Name, Found)->Bundle;
}

std::size_t countLines(const std::string &Text) {
  return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n')) +
         1;
}

/// Counts the lines that are neither blank nor a comment.
std::size_t countStatements(const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t Start = 0; Start < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Start), Text.size());
    const std::string Line = Text.substr(Start, End - Start);
    const std::size_t First = Line.find_first_not_of(" \t\r");
    const bool Ignored =
        First == std::string::npos || Line[First] == ';' || Line[First] == '#';
    Count += Ignored ? 0 : 1;
    Start = End + 1;
  }
  return Count;
}

void mutate(std::string &Text, std::mt19937 &Random) {
  static const std::vector<std::string> Fragments{"\n",
                                                  "=",
                                                  ";",
                                                  "[",
                                                  "]",
                                                  " ",
                                                  "\t",
                                                  "\r\n",
                                                  "\"",
                                                  "[service queue]\n",
                                                  "0",
                                                  "*",
                                                  "slots = 1\n",
                                                  "-1",
                                                  std::string(1, '\0'),
                                                  "\xff",
                                                  "status = out\n",
                                                  "[route x]\n",
                                                  "path = /x\n",
                                                  "service = till\n"};
  const auto RandomBelow = [&](std::size_t Bound) {
    return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
  };
  const std::size_t Position = RandomBelow(Text.size() + 1);
  switch (RandomBelow(4)) {
  case 0:
    Text.insert(Position, Fragments[RandomBelow(Fragments.size())]);
    break;
  case 1:
    Text.erase(Position, RandomBelow(40) + 1);
    break;
  case 2:
    Text.insert(Position,
                Text.substr(RandomBelow(Text.size() + 1), RandomBelow(80)));
    break;
  default:
    if (Position < Text.size())
      Text[Position] = static_cast<char>(RandomBelow(256));
    break;
  }
}

void checkReferencesResolve(const Snapshot &S) {
  std::set<Digest> Digests;
  std::set<std::pair<std::string, std::string>> Paths;
  for (const Route &R : S.Routes) {
    RC_ASSERT(S.Services.contains(R.Service));
    RC_ASSERT(Paths.insert({R.Method, R.Path}).second);
  }
  for (const auto &[Name, O] : S.Organisations)
    RC_ASSERT(S.Rates.contains(O.Rate));
  for (const Key &K : S.Keys) {
    RC_ASSERT(S.Organisations.contains(K.Organisation));
    RC_ASSERT(Digests.insert(K.Sha256).second);
  }
}

void checkProblemLocations(const IntentBundle &Bundle, const Problems &Found) {
  for (const Problem &P : Found) {
    const auto File = std::find_if(
        Bundle.Files.begin(), Bundle.Files.end(),
        [&](const IntentFile &F) { return F.Name == P.Where.File; });
    const bool NoLine = P.Where.Line == 0;
    RC_ASSERT((NoLine || File != Bundle.Files.end()));
    RC_ASSERT((NoLine || P.Where.Line <= countLines(File->Text)));
  }
}

void checkNoStatementIsLost(const IntentBundle &Bundle) {
  Problems Found;
  std::size_t Merged = 0;
  for (const auto &[Id, Section] : mergeIntent(Bundle, Found))
    Merged += Section.Values.size() + Section.Overridden.size();
  std::size_t Headings = 0;
  std::size_t Statements = 0;
  for (const IntentFile &F : Bundle.Files) {
    Statements += countStatements(F.Text);
    Headings += static_cast<std::size_t>(F.Text.starts_with("[") ||
                                         F.Text.starts_with("\xef\xbb\xbf["));
    for (std::size_t At = F.Text.find("\n["); At != std::string::npos;
         At = F.Text.find("\n[", At + 1))
      ++Headings;
  }
  RC_ASSERT(Merged + Headings == Statements);
}

void checkCompleteOrRejected(const IntentBundle &Bundle) {
  const CompiledIntent Compiled = compileIntent(Bundle);
  RC_ASSERT((Compiled.Result != nullptr) == Compiled.Found.empty());
  checkProblemLocations(Bundle, Compiled.Found);
  if (!Compiled.Result)
    return;
  checkReferencesResolve(*Compiled.Result);
  checkNoStatementIsLost(Bundle);
}

} // namespace

TEST_GROUP(IntentFuzz){};

TEST(IntentFuzz, MutatedIntentIsCompleteOrRejected) {
  const IntentBundle Examples[] = {example(false), example(true)};
  checkProperty("mutations", [&] {
    std::mt19937 Random(*rc::gen::arbitrary<std::uint32_t>());
    IntentBundle Bundle = Examples[Random() % 2];
    for (auto Mutations = Random() % 4 + 1; Mutations > 0; --Mutations)
      mutate(Bundle.Files[Random() % Bundle.Files.size()].Text, Random);

    checkCompleteOrRejected(Bundle);
  });
}

TEST(IntentFuzz, ArbitraryBytesAreCompleteOrRejected) {
  checkProperty("bytes", [] {
    const auto Text = *rc::gen::arbitrary<std::string>();
    const auto Name = *rc::gen::arbitrary<std::string>();

    checkCompleteOrRejected({1, {{"a.ini", Text}, {Name, Text}}});
  });
}

// Regression corpus: inputs that were once compiled wrongly. Each entry is an
// intent folder whose name starts with the expected result.
TEST(IntentFuzz, CorpusEntriesHaveTheirExpectedResult) {
  const std::filesystem::path Corpus = SOURCE_DIR "/tests/corpus/intent";
  std::size_t Entries = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Corpus)) {
    const std::string Name = Entry.path().filename().string();
    Problems Found;
    const auto Folder = readIntentFolder(Entry.path().string(), Found);
    const CompiledIntent Compiled = compileIntent(Folder->Bundle);
    const bool Accepted = Compiled.Result != nullptr;

    CHECK_TRUE_TEXT(Name.starts_with(Accepted ? "accepted-" : "refused-"),
                    (Name + "\n" + problemsText(Compiled.Found)).c_str());
    ++Entries;
  }
  CHECK(Entries > 0);
}
