#include "intent/CompileIntent.h"

#include "intent/IntentFolder.h"
#include "intent/IntentReport.h"

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const std::string Services = "[service queue]\nslots = 6\n";
const std::string Domains = "[domain harbour]\nregion = coast\nnodes = 4\n";
const std::string Routes =
    "[route read]\nmethod = GET\npath = /queue*\nservice = queue\n"
    "idempotent = yes\n";
const std::string Organisations =
    "[rate small]\nper_second = 2.5\nburst = 10\n"
    "[organisation stalls]\nrate = small\nweight = 3\n";

std::string keyText(const std::string &Name, const std::string &Secret) {
  return "[key " + Name +
         "]\norganisation = stalls\nsha256 = " + Digest::sha256(Secret).hex() +
         "\n";
}

} // namespace

TEST_GROUP(CompileIntent) {
  IntentBundle Bundle{7,
                      {{"10-domains.ini", Domains},
                       {"20-services.ini", Services},
                       {"30-routes.ini", Routes},
                       {"40-organisations.ini", Organisations},
                       {"50-keys.ini", keyText("stalls-1", "secret")}}};
  CompiledIntent Compiled;

  void compile() {
    Compiled = compileIntent(Bundle);
    STRCMP_EQUAL("", problemsText(Compiled.Found).c_str());
    CHECK(Compiled.Result != nullptr);
  }

  /// Compiles with an additional last file and checks that it causes exactly
  /// this one problem.
  void checkRejected(const std::string &Text, ResultCode Code,
                     std::size_t Line) {
    Bundle.Files.push_back({"90-last.ini", Text});
    Compiled = compileIntent(Bundle);
    Bundle.Files.pop_back();
    CHECK(Compiled.Result == nullptr);
    LONGS_EQUAL(1, Compiled.Found.size());
    CHECK_TRUE_TEXT(Code == Compiled.Found[0].Code,
                    Compiled.Found[0].text().c_str());
    LONGS_EQUAL(Line, Compiled.Found[0].Where.Line);
    STRCMP_EQUAL("90-last.ini", Compiled.Found[0].Where.File.c_str());
  }
};

TEST(CompileIntent, SnapshotContainsEverySection) {
  compile();

  const Snapshot &S = *Compiled.Result;
  CHECK(Bundle.version() == S.Id);
  LONGS_EQUAL(6, S.Services.at("queue").Slots);
  LONGS_EQUAL(4, S.Domains.at("harbour").Nodes);
  CHECK(DomainStatus::In == S.Domains.at("harbour").Status);
  DOUBLES_EQUAL(2.5, S.Rates.at("small").PerSecond, 0);
  LONGS_EQUAL(3, S.Organisations.at("stalls").Weight);
  CHECK(Digest::sha256("secret") == S.Keys.at(0).Sha256);
  CHECK(S.Routes.at(0).Idempotent);
  LONGS_EQUAL(2000, S.Routes.at(0).Timeout.Value);
}

TEST(CompileIntent, LaterFileOverridesSingleKeys) {
  Bundle.Files.push_back({"90-out.ini", "[domain harbour]\nstatus = out\n"});

  compile();

  CHECK(DomainStatus::Out == Compiled.Result->Domains.at("harbour").Status);
  LONGS_EQUAL(4, Compiled.Result->Domains.at("harbour").Nodes);
}

TEST(CompileIntent, OmitsAWithdrawnKey) {
  Bundle.Files.push_back(
      {"90-withdraw.ini", "[key stalls-1]\nstatus = withdrawn\n"});

  compile();

  LONGS_EQUAL(0, Compiled.Result->Keys.size());
}

TEST(CompileIntent, RejectsUndeclaredReferences) {
  checkRejected("[route x]\npath = /x\nservice = till\n",
                ResultCode::ReferenceUnknown, 3);
  checkRejected("[organisation x]\nrate = large\n",
                ResultCode::ReferenceUnknown, 2);
  checkRejected("[key x]\nsha256 = " + Digest::sha256("x").hex() +
                    "\norganisation = nobody\n",
                ResultCode::ReferenceUnknown, 3);
}

TEST(CompileIntent, RejectsAmbiguousRoutesAndSharedDigests) {
  checkRejected("[route x]\nservice = queue\nmethod = GET\npath = /queue*\n",
                ResultCode::RouteAmbiguous, 4);
  checkRejected(keyText("x", "secret"), ResultCode::KeyDigestShared, 3);
}

TEST(CompileIntent, RejectsUnknownKindsUnknownKeysAndUnnamedSections) {
  checkRejected("[zone x]\n", ResultCode::SectionUnknown, 1);
  checkRejected("[service]\n", ResultCode::IniBadHeading, 1);
  checkRejected("[service queue]\nSlots = 3\n", ResultCode::IniBadLine, 2);
  checkRejected("[service queue]\nslot = 3\n", ResultCode::KeyUnknown, 2);
  checkRejected("[domain x]\nregion = coast\n", ResultCode::KeyMissing, 1);
}

TEST(CompileIntent, RejectsMalformedAndOutOfRangeValues) {
  for (const char *Bad : {"0", "-1", "+1", "1.5", "65536", "1e3", "0x10", "",
                          "99999999999999999999999"})
    checkRejected("[service queue]\nslots = " + std::string(Bad) + "\n",
                  ResultCode::ValueMalformed, 2);
  for (const char *Bad : {"0", "-1", "nan", "inf", "1e9", "2,5", "", "1 2"})
    checkRejected("[rate small]\nper_second = " + std::string(Bad) + "\n",
                  ResultCode::ValueMalformed, 2);
  for (const char *Bad : {"queue", "", "/a b", "/a?b", "/*/a", "*", "/a**"})
    checkRejected("[route read]\npath = " + std::string(Bad) + "\n",
                  ResultCode::ValueMalformed, 2);
}

TEST(CompileIntent, RejectsAnOverriddenMalformedValue) {
  Bundle.Files.push_back({"20-z.ini", "[service queue]\nslots = many\n"});
  Bundle.Files.push_back({"21-z.ini", "[service queue]\nslots = 3\n"});

  Compiled = compileIntent(Bundle);

  LONGS_EQUAL(1, Compiled.Found.size());
  STRCMP_EQUAL("20-z.ini:2", Compiled.Found[0].Where.text().c_str());
}

TEST(CompileIntent, ReportsTheProblemsOfAllFiles) {
  Bundle.Files[1].Text = "[service queue]\nslots = many\n";
  Bundle.Files[2].Text += "wait = perhaps\n";
  Bundle.Files.push_back({"Upper.ini", ""});
  Bundle.Files.push_back({"10-domains.ini", ""});

  Compiled = compileIntent(Bundle);

  LONGS_EQUAL(4, Compiled.Found.size());
}

TEST(CompileIntent, RejectsAnEmptyIntent) {
  CHECK(compileIntent({1, {}}).Found.at(0).Code == ResultCode::IntentEmpty);
  CHECK(
      compileIntent({1, {{"a.ini", "; only a comment\n"}}}).Found.at(0).Code ==
      ResultCode::IntentEmpty);
}

TEST(CompileIntent, RejectsABundleAboveTheSizeLimit) {
  Bundle.Files.push_back({"90-last.ini", std::string(MaxBundleBytes, '\n')});

  Compiled = compileIntent(Bundle);

  CHECK(Compiled.Found.at(0).Code == ResultCode::IntentTooLarge);
}

TEST(CompileIntent, AcceptsTheExamples) {
  for (const char *Name : {"intent-teiknibas", "intent-secretaria"}) {
    const IntentReport Report =
        reportIntentFolder(SOURCE_DIR "/examples/" + std::string(Name));

    STRCMP_EQUAL("", Report.Errors.c_str());
    CHECK(Report.Accepted);
  }
}
