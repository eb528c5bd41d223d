#include "platform/ConfigCodec.h"

#include "sources/StoreBundle.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr const char *Text = R"({"version":7,"routes":[
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

SnapshotPtr compiled(const std::string &Configuration, std::string &Why) {
  return compileConfiguration(encodeStoreBundle({Configuration, {"east"}}, 12),
                              {{"east", "south"}, {"north", "south"}}, Why);
}

} // namespace

TEST_GROUP(ConfigCodec) { std::string Why; };

TEST(ConfigCodec, ReadsRoutesWithTheirKindsAndBounds) {
  const SnapshotPtr Config = compiled(Text, Why);

  CHECK_TRUE(Config != nullptr);
  const Route *Read = Config->findRoute("GET", "shop.EXAMPLE:80", "/queue/2");
  CHECK_TRUE(Read->Idempotent);
  LONGS_EQUAL(1500, Read->Timeout.Value);
  LONGS_EQUAL(500, Read->Objective.Value);
  LONGS_EQUAL(2, Read->MaxAttempts);
  LONGS_EQUAL(2, Read->Split.size());
  const Route *File = Config->findRoute("GET", "shop.example", "/file/a");
  CHECK_TRUE(File->Large);
  CHECK(RouteAccess::Open == File->Access);
  LONGS_EQUAL(LongestTimeout.Value, File->Timeout.Value);
  CHECK_FALSE(Config->findRoute("POST", "shop.example", "/pay/")->Idempotent);
  CHECK_TRUE(Config->findRoute("GET", "else.example", "/pay/") == nullptr);
}

TEST(ConfigCodec, ReadsOrganisationsKeysAndDomains) {
  const SnapshotPtr Config = compiled(Text, Why);

  LONGS_EQUAL(3, Config->Keys.size());
  CHECK(Digest::of("k2") == Config->Keys[1].Sha256);
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

TEST(ConfigCodec, OpensEveryRouteWhereNobodyHasAKey) {
  std::string Keyless = Text;
  const std::size_t At = Keyless.find(",\n \"tenants\"");
  Keyless = Keyless.substr(0, At) + "}";

  const SnapshotPtr Config = compiled(Keyless, Why);

  CHECK_TRUE(Config != nullptr);
  for (const Route &Each : Config->Routes)
    CHECK(RouteAccess::Open == Each.Access);
}

TEST(ConfigCodec, RefusesABadConfigurationWholeAndSaysWhy) {
  const std::pair<std::string, std::string> Changes[] = {
      {"\"service\":\"till\",", "\"service\":\"nowhere\","},
      {"\"kind\":\"download\"", "\"kind\":3"},
      {"\"weight\":90", "\"weight\":-1"},
      {"[\"k1\",\"k2\"]", "[1]"},
      {"{\"version\"", "[\"version\""}};
  for (const auto &[Old, New] : Changes) {
    std::string Changed = Text;
    Changed.replace(Changed.find(Old), Old.size(), New);
    Why.clear();

    CHECK_TEXT(compiled(Changed, Why) == nullptr, New.c_str());
    CHECK_TEXT(!Why.empty(), New.c_str());
  }
}

TEST(ConfigCodec, RefusesABundleOfAnotherSource) {
  IntentBundle Files;
  Files.Files = {{"10-a.ini", "[service queue]\n"}};

  CHECK_TRUE(compileConfiguration(Files, {}, Why) == nullptr);
}
