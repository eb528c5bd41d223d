#include "intent/Snapshot.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Snapshot) {
  Snapshot S;

  void add(const char *Name, const char *Method, const char *Path) {
    Route R;
    R.Name = Name;
    R.Method = Method;
    R.Path = Path;
    S.Routes.push_back(R);
  }

  const char *find(const char *Method, const char *Path) {
    const Route *R = S.findRoute(Method, "", Path);
    return R ? R->Name.c_str() : "none";
  }
};

TEST(Snapshot, PrefersLongestPathThenExactPathThenSingleMethod) {
  add("all", "*", "/*");
  add("prefix", "*", "/queue*");
  add("exact", "*", "/queue");
  add("get", "GET", "/queue");

  STRCMP_EQUAL("get", find("GET", "/queue"));
  STRCMP_EQUAL("exact", find("POST", "/queue"));
  STRCMP_EQUAL("prefix", find("GET", "/queue/today"));
  STRCMP_EQUAL("all", find("GET", "/que"));
}

TEST(Snapshot, FindsNoRouteForADifferentMethodOrPath) {
  add("get", "GET", "/queue");

  STRCMP_EQUAL("none", find("POST", "/queue"));
  STRCMP_EQUAL("none", find("GET", "/queue/"));
  STRCMP_EQUAL("none", find("GET", "/Queue"));
  STRCMP_EQUAL("none", find("GET", ""));
}

// Reordering the files keeps the version; any other change alters it.
TEST(Snapshot, VersionDependsOnNamesAndTextsButNotOnFileOrder) {
  checkProperty("digest", [](std::uint64_t Revision) {
    const auto Text =
        rc::gen::container<std::string>(rc::gen::element('a', 'b', '\0'));
    const auto Files =
        *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(Text, Text));
    const auto Others =
        *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(Text, Text));
    const auto Bundle = [&](const auto &Pairs) {
      IntentBundle B{Revision, {}};
      for (const auto &[Name, Content] : Pairs)
        B.Files.push_back({Name, Content});
      return B;
    };
    auto Shuffled = Files;
    std::reverse(Shuffled.begin(), Shuffled.end());
    auto Sorted = Files;
    auto OtherSorted = Others;
    std::sort(Sorted.begin(), Sorted.end());
    std::sort(OtherSorted.begin(), OtherSorted.end());

    RC_ASSERT(Bundle(Files).version() == Bundle(Shuffled).version());
    RC_ASSERT((Bundle(Files).version() == Bundle(Others).version()) ==
              (Sorted == OtherSorted));
  });
}
