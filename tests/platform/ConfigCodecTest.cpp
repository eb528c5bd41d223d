#include "platform/ConfigCodec.h"

#include "policy/WarmupLimit.h"
#include "sources/StoreBundle.h"
#include "support/PeakMemory.h"
#include "support/Property.h"

#include <cmath>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr const char *ValidDocument = R"({"version":7,"routes":[
  {"name":"read","host":"Shop.Example","prefix":"/queue/","kind":"idempotent",
   "timeout_s":1.5,"target_latency_s":0.5,"priority":2,"max_attempts":2,
   "public":false,"traffic_split":[{"service":"queue","weight":90},
                                   {"service":"till","weight":10}]},
  {"name":"file","host":"shop.example","prefix":"/file/","kind":"download",
   "timeout_s":0,"target_latency_s":0.4,"priority":2,"service":"queue",
   "max_attempts":1,"public":true},
  {"name":"pay","host":"shop.example","prefix":"/pay/","kind":"non_idempotent",
   "timeout_s":1,"target_latency_s":0.6,"priority":1,"service":"till",
   "max_attempts":2,"public":false}],
 "services":[{"name":"queue","health_path":"/health","max_connections":120,
              "slow_start_s":3.0,"warmup_per_s":6.1},
             {"name":"till","health_path":"/up","max_connections":120,
              "slow_start_s":3.0,"warmup_per_s":6.1}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000,
           "header_timeout_s":3,"idle_timeout_s":15},
 "tenants":[{"name":"clerks","api_keys":["k1","k2"],"priority":1,
             "rate_per_s":41,"burst":40},
            {"name":"guests","api_keys":["k3"],"priority":2,"rate_per_s":0}]})";

/// Memory that reading an odd document may take at its peak, in KiB. The
/// smallest machine of a node has 88 MB.
constexpr long MaxReadingKiB = 12 * 1024;

std::string replaced(std::string Text, std::string_view Old,
                     std::string_view New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

/// Whether a rate can be used in calculations with whole milliseconds and whole
/// tokens.
bool isUsableRate(double PerSecond) {
  return PerSecond == 0 || (PerSecond >= 1e-6 && PerSecond <= 1e12);
}

SnapshotPtr compile(const std::string &Configuration, std::string &Error) {
  return compileConfiguration(encodeStoreBundle({Configuration, {"east"}}, 12),
                              {{"east", "south"}, {"north", "south"}}, Error);
}

} // namespace

TEST_GROUP(ConfigCodec) { std::string Error; };

TEST(ConfigCodec, DecodesRoutesWithKindsAndTimeouts) {
  const SnapshotPtr Config = compile(ValidDocument, Error);

  CHECK_TRUE(Config != nullptr);
  const Route *ReadRoute =
      Config->findRoute("GET", "shop.EXAMPLE:80", "/queue/2");
  CHECK_TRUE(ReadRoute->Idempotent);
  LONGS_EQUAL(1500, ReadRoute->Timeout.Value);
  LONGS_EQUAL(500, ReadRoute->Objective.Value);
  LONGS_EQUAL(2, ReadRoute->MaxAttempts);
  LONGS_EQUAL(2, ReadRoute->Split.size());
  const Route *FileRoute = Config->findRoute("GET", "shop.example", "/file/a");
  CHECK_TRUE(FileRoute->Large);
  CHECK(RouteAccess::Open == FileRoute->Access);
  LONGS_EQUAL(MaxRouteTimeout.Value, FileRoute->Timeout.Value);
  CHECK_FALSE(Config->findRoute("POST", "shop.example", "/pay/")->Idempotent);
  CHECK_TRUE(Config->findRoute("GET", "else.example", "/pay/") == nullptr);
}

// Guards against an upload that runs twice, or that crosses failure domains as
// if its body were small.
TEST(ConfigCodec, DecodesUploadsAsLargeBodiesThatAreNotIdempotent) {
  const std::string Uploads = replaced(
      ValidDocument, "\"kind\":\"non_idempotent\"", "\"kind\":\"upload\"");

  const SnapshotPtr Config = compile(Uploads, Error);

  const Route *Upload = Config->findRoute("POST", "shop.example", "/pay/");
  CHECK_TRUE(Upload->LargeBody);
  CHECK_FALSE(Upload->Large);
  CHECK_FALSE(Upload->Idempotent);
  CHECK_FALSE(Config->findRoute("GET", "shop.example", "/file/a")->LargeBody);
}

TEST(ConfigCodec, DecodesOrganisationsKeysAndDomains) {
  const SnapshotPtr Config = compile(ValidDocument, Error);

  LONGS_EQUAL(3, Config->Keys.size());
  CHECK(Digest::sha256("k2") == Config->Keys[1].Sha256);
  LONGS_EQUAL(1, Config->Organisations.at("clerks").Priority);
  DOUBLES_EQUAL(41, Config->Rates.at("clerks").PerSecond, 0);
  STRCMP_EQUAL("", Config->Organisations.at("guests").Rate.c_str());
  CHECK(DomainStatus::Out == Config->Domains.at("east").Status);
  CHECK(DomainStatus::In == Config->Domains.at("north").Status);
  DOUBLES_EQUAL(6.1, Config->Services.at("queue").WarmupPerSecond, 1e-9);
  STRCMP_EQUAL("/up", Config->Services.at("till").HealthPath.c_str());
  LONGS_EQUAL(15000, Config->Limits->IdleTimeout.Value);
  LONGS_EQUAL(12, Config->Id.Revision);
}

TEST(ConfigCodec, OpensEveryRouteWithoutOrganisations) {
  std::string Keyless = ValidDocument;
  const std::size_t TenantsStart = Keyless.find(",\n \"tenants\"");
  Keyless = Keyless.substr(0, TenantsStart) + "}";

  const SnapshotPtr Config = compile(Keyless, Error);

  CHECK_TRUE(Config != nullptr);
  for (const Route &OpenRoute : Config->Routes)
    CHECK(RouteAccess::Open == OpenRoute.Access);
}

TEST(ConfigCodec, RejectsAnInvalidConfigurationWithAReason) {
  const std::pair<std::string, std::string> Replacements[] = {
      {"\"service\":\"till\",", "\"service\":\"nowhere\","},
      {"\"kind\":\"download\"", "\"kind\":3"},
      {"\"prefix\":\"/file/\"", "\"prefix\":\"/file\""},
      {"\"prefix\":\"/file/\"", "\"prefix\":\"file/\""},
      {"\"host\":\"Shop.Example\"", "\"host\":\"\""},
      {"\"weight\":90", "\"weight\":-1"},
      {"[\"k1\",\"k2\"]", "[1]"},
      {"{\"version\"", "[\"version\""}};
  for (const auto &[ValidText, InvalidText] : Replacements) {
    std::string Document = ValidDocument;
    Document.replace(Document.find(ValidText), ValidText.size(), InvalidText);
    Error.clear();

    CHECK_TEXT(compile(Document, Error) == nullptr, InvalidText.c_str());
    CHECK_TEXT(!Error.empty(), InvalidText.c_str());
  }
}

TEST(ConfigCodec, RejectsABundleOfAnotherSource) {
  IntentBundle Files;
  Files.Files = {{"10-a.ini", "[service queue]\n"}};

  CHECK_TRUE(compileConfiguration(Files, {}, Error) == nullptr);
}

TEST(ConfigCodec, RejectsANestedConfigurationWithinBoundedMemory) {
  constexpr std::size_t MaxValueBytes = 1024 * 1024;
  const std::string Nested =
      std::string(MaxValueBytes / 2, '[') + std::string(MaxValueBytes / 2, ']');
  for (const std::string &Document :
       {Nested, std::string(MaxValueBytes, '['),
        replaced(ValidDocument, "\"version\":7", "\"version\":" + Nested),
        replaced(ValidDocument, "\"weight\":90", "\"weight\":" + Nested)}) {
    const auto Growth = peakGrowthKiB([&Document] {
      std::string Reason;
      compile(Document, Reason);
    });
    CHECK_TRUE(Growth.has_value());
    CHECK_TRUE_TEXT(*Growth <= MaxReadingKiB, std::to_string(*Growth).c_str());

    Error.clear();
    CHECK_TRUE(compile(Document, Error) == nullptr);
    CHECK_FALSE(Error.empty());
  }
}

TEST(ConfigCodec, RejectsANumberThatNoDoubleHolds) {
  for (const char *Member :
       {"\"timeout_s\":1.5", "\"weight\":90", "\"warmup_per_s\":6.1",
        "\"rate_per_s\":41", "\"max_header_bytes\":16384"}) {
    const std::string Text = Member;
    const std::string Document = replaced(
        ValidDocument, Text, Text.substr(0, Text.find(':')) + ":1e999");
    CHECK_TEXT(compile(Document, Error) == nullptr, Member);
  }
}

TEST(ConfigCodec, BoundsANumberThatIsTooLargeOrTooSmall) {
  for (const std::string Number :
       {"1e308", "99999999999999999999", "1e-300", "5e-324", "1e18"}) {
    std::string Document = ValidDocument;
    for (const char *Member :
         {"\"timeout_s\":1.5", "\"target_latency_s\":0.5", "\"priority\":2",
          "\"max_attempts\":2", "\"weight\":90", "\"max_connections\":120",
          "\"slow_start_s\":3.0", "\"warmup_per_s\":6.1",
          "\"max_header_bytes\":16384", "\"max_body_bytes\":1000",
          "\"header_timeout_s\":3", "\"idle_timeout_s\":15",
          "\"rate_per_s\":41", "\"burst\":40"}) {
      const std::string Text = Member;
      const std::string Odd = Text.substr(0, Text.find(':') + 1).append(Number);
      Document = replaced(std::move(Document), Text, Odd);
    }
    const SnapshotPtr Config = compile(Document, Error);

    CHECK_TEXT(Config != nullptr, Error.c_str());
    CHECK_TRUE(Config->Routes[0].Timeout <= DurationMs(86'400'000));
    CHECK_TRUE(Config->Limits->IdleTimeout <= DurationMs(86'400'000));
    CHECK_TEXT(isUsableRate(Config->Rates.at("clerks").PerSecond),
               Number.c_str());
    CHECK_TEXT(isUsableRate(Config->Rates.at("clerks").Burst), Number.c_str());
    const double Warmup = Config->Services.at("queue").WarmupPerSecond;
    CHECK_TEXT(isUsableRate(Warmup), Number.c_str());
    WarmupLimit Limit;
    Limit.setRate(Warmup);
    CHECK_TEXT(Limit.interval() >= DurationMs(0), Number.c_str());
  }
}

TEST(ConfigCodec, RejectsAnUnreadableConfiguration) {
  for (const std::string &Document :
       {std::string(), std::string("\xff\xfe"), std::string("null"),
        std::string("7"), std::string("{\"routes\":7}"),
        std::string("{\"routes\":[7]}"), std::string("{\"services\":[null]}"),
        std::string("{\"tenants\":[[]]}"),
        std::string("{\"limits\":{\"max_header_bytes\":\"\"}}"),
        replaced(ValidDocument, "\"name\":\"read\"", "\"name\":\"\xff\""),
        replaced(ValidDocument, "\"weight\":90", "\"weight\":{}"),
        replaced(ValidDocument, "{\"service\":\"queue\",\"weight\":90}", "[]"),
        std::string(ValidDocument).substr(0, 400)}) {
    Error.clear();
    CHECK_TEXT(compile(Document, Error) == nullptr, Document.c_str());
    CHECK_TEXT(!Error.empty(), Document.c_str());
  }
}

TEST(ConfigCodec, NoUnreadableConfigurationThrows) {
  checkProperty("a changed document is refused with a reason or compiled", [] {
    std::string Document = ValidDocument;
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Document.size());
    Document.replace(Offset, 1, *rc::gen::arbitrary<std::string>());
    std::string Reason;
    const SnapshotPtr Config = compile(Document, Reason);
    const bool IsReported = Config != nullptr || !Reason.empty();
    RC_ASSERT(IsReported);
  });
}
