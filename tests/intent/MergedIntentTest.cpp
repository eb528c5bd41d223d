#include "intent/MergedIntent.h"

#include "intent/CompileIntent.h"

#include "support/Property.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

using Value = std::pair<std::string, std::string>; ///< Key and text.
/// Values of one file by section heading.
using FileValues = std::map<std::string, std::map<std::string, std::string>>;
using Files = std::map<std::string, FileValues>;

std::string textOf(const FileValues &Values) {
  std::string Text = "; a comment\n";
  for (const auto &[Heading, Entries] : Values) {
    Text += "[" + Heading + "]\n\n";
    for (const auto &[Name, Given] : Entries)
      Text.append(Name).append(" = ").append(Given).append("\n");
  }
  return Text;
}

IntentBundle bundleOf(const Files &All, std::uint64_t Revision = 1) {
  IntentBundle Bundle{Revision, {}};
  for (const auto &[Name, Values] : All)
    Bundle.Files.push_back({Name, textOf(Values)});
  return Bundle;
}

/// Generates files that set few keys of few sections, so that they often
/// overlap.
Files arbitraryFiles() {
  Files All;
  for (const char *Name : {"10-a.ini", "20-b.ini", "9-c.ini", "a.ini"}) {
    if (!*rc::gen::arbitrary<bool>())
      continue;
    FileValues &Values = All[Name];
    for (const char *Heading : {"service a", "service b", "domain d"}) {
      if (!*rc::gen::arbitrary<bool>())
        continue;
      auto &Entries = Values[Heading];
      for (const char *Key : {"slots", "region", "nodes"})
        if (*rc::gen::arbitrary<bool>())
          Entries[Key] = std::to_string(*rc::gen::inRange(0, 5));
    }
  }
  return All;
}

std::string lineOf(const IntentBundle &Bundle, const SourceLocation &Where) {
  for (const IntentFile &F : Bundle.Files) {
    if (F.Name != Where.File)
      continue;
    std::size_t Start = 0;
    for (std::size_t Line = 1; Line < Where.Line; ++Line)
      Start = F.Text.find('\n', Start) + 1;
    return F.Text.substr(Start, F.Text.find('\n', Start) - Start);
  }
  return "";
}

} // namespace

TEST_GROUP(MergedIntent){};

TEST(MergedIntent, LastFileThatSetsAKeyWins) {
  checkProperty("merged = last writer by file name", [] {
    const Files All = arbitraryFiles();
    std::map<std::string, std::map<std::string, std::string>> Expected;
    for (const auto &[Name, Values] : All) {
      for (const auto &[Heading, Entries] : Values) {
        Expected["[" + Heading + "]"];
        for (const auto &[Key, Given] : Entries)
          Expected["[" + Heading + "]"][Key] = Given;
      }
    }
    Problems Found;

    const MergedIntent Merged = mergeIntent(bundleOf(All), Found);

    std::map<std::string, std::map<std::string, std::string>> Actual;
    for (const auto &[Id, Section] : Merged) {
      Actual[Id.heading()];
      for (const auto &[Key, Given] : Section.Values)
        Actual[Id.heading()][Key] = Given.Text;
    }
    RC_ASSERT(Found.empty());
    RC_ASSERT(Actual == Expected);
  });
}

TEST(MergedIntent, RecordsTheSourceLineOfEachValue) {
  checkProperty("file:line holds key = value", [] {
    const IntentBundle Bundle = bundleOf(arbitraryFiles());
    Problems Found;

    for (const auto &[Id, Section] : mergeIntent(Bundle, Found)) {
      RC_ASSERT(lineOf(Bundle, Section.Heading) == Id.heading());
      for (const auto &[Key, Given] : Section.Values)
        RC_ASSERT(lineOf(Bundle, Given.Where) == Key + " = " + Given.Text);
      for (const auto &[Key, Given] : Section.Overridden)
        RC_ASSERT(lineOf(Bundle, Given.Where) == Key + " = " + Given.Text);
    }
  });
}

TEST(MergedIntent, IsIndependentOfTheOrderOfFiles) {
  checkProperty("shuffled = sorted", [] {
    const IntentBundle Bundle = bundleOf(arbitraryFiles());
    IntentBundle Shuffled = Bundle;
    for (std::size_t I = Shuffled.Files.size(); I > 1; --I)
      std::swap(Shuffled.Files[I - 1],
                Shuffled.Files[*rc::gen::inRange<std::size_t>(0, I)]);

    const CompiledIntent InOrder = compileIntent(Bundle);
    const CompiledIntent Reordered = compileIntent(Shuffled);

    RC_ASSERT(problemsText(InOrder.Found) == problemsText(Reordered.Found));
    RC_ASSERT(Bundle.version() == Shuffled.version());
  });
}

// An operator adds a faulty file and removes it again.
TEST(MergedIntent, RemovingALaterFileRestoresThePreviousValues) {
  checkProperty("add then remove = before, as a newer version", [] {
    const Files Before = arbitraryFiles();
    Files During = Before;
    During["90-change.ini"] = {{"service a", {{"slots", "9"}}}};
    Files After = During;
    After.erase("90-change.ini");

    const CompiledIntent Old = compileIntent(bundleOf(Before, 1));
    const CompiledIntent Changed = compileIntent(bundleOf(During, 2));
    const CompiledIntent Restored = compileIntent(bundleOf(After, 3));

    RC_ASSERT(problemsText(Old.Found) == problemsText(Restored.Found));
    if (!Old.Result)
      return;
    // A valid override does not cause a rejection.
    RC_ASSERT(Changed.Result != nullptr);
    RC_ASSERT(Restored.Result->Id > Changed.Result->Id);
    RC_ASSERT(Restored.Result->Id.Content == Old.Result->Id.Content);
  });
}
