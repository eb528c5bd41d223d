#include "check/UnmatchedEntries.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

/// A configuration without findings, which each test changes in one place.
TEST_GROUP(UnmatchedEntries) {
  void setup() override {
    Config.Services["queue"] = {.Name = "queue"};
    Config.Rates["slow"] = {"slow", 10, 5};
    Config.Organisations["clerks"] = {"clerks", "slow"};
    Config.Organisations["guests"] = {"guests", "slow"};
    Config.Keys = {{"k1", "clerks", Digest::sha256("1")},
                   {"k2", "guests", Digest::sha256("2")}};
    addRoute("read", "/queue/*");
  }

  Route &addRoute(const std::string &Name, const std::string &Path) {
    Route R;
    R.Name = Name;
    R.Method = "*";
    R.Host = "shop.example";
    R.Path = Path;
    R.Service = "queue";
    return Config.Routes.emplace_back(R);
  }

  void expectOnly(FindingKind Kind, const char *Entry) {
    const Findings Found = findUnmatchedEntries(Config);
    LONGS_EQUAL(1, Found.size());
    CHECK_TRUE(Kind == Found.front().Kind);
    STRCMP_EQUAL(Entry, Found.front().Entry.c_str());
  }

  Snapshot Config;
};

// Guards against warnings about configurations that have no fault.
TEST(UnmatchedEntries, FindsNothingWhereEveryEntryIsUsed) {
  addRoute("shorter", "/*");
  addRoute("exact", "/queue/");

  CHECK_TRUE(findUnmatchedEntries(Config).empty());
}

// Guards against a new route that is published but never used, since an older
// one with the same host and path takes its requests.
TEST(UnmatchedEntries, FindsARouteHiddenByAnEarlierOne) {
  addRoute("again", "/queue/*");

  expectOnly(FindingKind::RouteHidden, "route again");
  STRCMP_EQUAL(
      "read",
      Config.findRoute("GET", "shop.example", "/queue/a")->Name.c_str());
}

// Guards against a host copied from a URL with its port, which answers 404.
TEST(UnmatchedEntries, FindsAHostWithAPort) {
  addRoute("port", "/port/").Host = "shop.example:8080";

  expectOnly(FindingKind::RouteNeverMatches, "route port");
}

// Guards against a path copied from a URL with its query, which answers 404.
TEST(UnmatchedEntries, FindsAPathWithAQuery) {
  addRoute("query", "/find?all=1/*");

  expectOnly(FindingKind::RouteNeverMatches, "route query");
}

// Guards against a trial of a new service that gets no requests.
TEST(UnmatchedEntries, FindsAShareWithoutWeight) {
  Config.Services["till"] = {.Name = "till"};
  addRoute("pay", "/pay/*").Service = "till";
  addRoute("split", "/split/*").Split = {{"queue", 1}, {"till", 0}};

  expectOnly(FindingKind::ShareWithoutWeight, "route split");
}

// Guards against a service whose targets run without requests.
TEST(UnmatchedEntries, FindsAServiceWithoutRoute) {
  Config.Services["till"] = {.Name = "till"};

  expectOnly(FindingKind::ServiceWithoutRoute, "service till");
}

// Guards against keys that protect nothing, since every route is open.
TEST(UnmatchedEntries, FindsKeysThatNoRouteAsksFor) {
  Config.Keys.pop_back();
  Config.Routes.front().Access = RouteAccess::Open;

  expectOnly(FindingKind::KeysWithoutRoute, "organisation clerks");
}

// Guards against a key that every node refuses, since it names two
// organisations.
TEST(UnmatchedEntries, FindsAKeyOfTwoOrganisations) {
  Config.Keys.push_back({"k3", "guests", Digest::sha256("1")});

  expectOnly(FindingKind::KeyAmbiguous, "key k3");
}

// Guards against a rate that was declared but does not limit anyone.
TEST(UnmatchedEntries, FindsARateWithoutOrganisation) {
  Config.Rates["fast"] = {"fast", 100, 5};

  expectOnly(FindingKind::RateUnused, "rate fast");
}
