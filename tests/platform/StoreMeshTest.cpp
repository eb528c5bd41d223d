// Tests the whole mesh on a fake platform with real processes, with and without
// faults of the store.

#include "platform/StoreMeshFixture.h"

#include "check/ConfigEntries.h"
#include "core/Digest.h"

#include <fstream>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Message;

namespace {

constexpr int KeysUnproven = 520;

int resultCode(const Message &Answer) {
  const auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  return Body.is_object() ? Body.value("code", 0) : 0;
}

/// Memory of the smallest machine on which a node runs.
constexpr long SmallestMachineKiB = 88 * 1024;

/// Largest resident memory that a process has had; 0 when it is not known.
long peakMemoryKiB(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  constexpr std::string_view Name = "VmHWM:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Name))
      return std::stol(Line.substr(Name.size()));
  return 0;
}

/// Whether a text contains all parts in the given order.
bool containsInOrder(const std::string &Text,
                     const std::vector<std::string> &Parts) {
  std::size_t Position = 0;
  for (const std::string &Part : Parts) {
    Position = Text.find(Part, Position);
    if (Position == std::string::npos)
      return false;
    Position += Part.size();
  }
  return true;
}

} // namespace

TEST_GROUP(StoreMesh) {
  std::unique_ptr<StoreMesh> Mesh;

  void setup() override {
    Mesh = std::make_unique<StoreMesh>();
    try {
      Mesh->start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
  }
  void teardown() override { Mesh.reset(); }

  const StoreMeshInstance &east() const { return Mesh->Instances[0]; }
  const StoreMeshInstance &west() const { return Mesh->Instances[1]; }
  const StoreMeshInstance &ledger() const { return Mesh->Instances[2]; }

  int requestStatus(const std::string &Path, const std::string &Key = "")
      const {
    return Mesh->send(east(), {.Id = "asked", .Path = Path, .Key = Key})
        .status();
  }

  /// The header fields with which a request arrives at a target of `queue`.
  nlohmann::json fieldsAtTarget(StoreMeshRequest Request) const {
    Request.ExtraFields += "X-Test-Echo: 1\r\n";
    return nlohmann::json::parse(Mesh->send(ledger(), Request).Body);
  }

  /// Whether a request to `/open/` that enters at \p Entry runs at the target
  /// of \p At.
  bool runsAt(const StoreMeshInstance &Entry, const StoreMeshInstance &At)
      const {
    static int RequestCount = 0;
    const std::string Id = "runs-at-" + std::to_string(++RequestCount);
    Mesh->send(Entry, {.Id = Id});
    return Mesh->commandTarget(At, "runs").contains(Id);
  }

  /// Whether the nodes route `/open/` to `ledger`, which has one target.
  bool isOpenRoutedToLedger() const { return runsAt(east(), ledger()); }
};

TEST(StoreMesh, AppliesTheConfigurationOfTheStore) {
  LONGS_EQUAL(200, requestStatus("/open/a"));
  LONGS_EQUAL(200, requestStatus("/read/a", "key-one"));
  LONGS_EQUAL(401, requestStatus("/read/a", "key-other"));
  LONGS_EQUAL(401, requestStatus("/read/a"));
  LONGS_EQUAL(404, requestStatus("/else/a"));
}

// Guards against a page that shows operators another configuration than the one
// in force, or the keys of callers.
TEST(StoreMesh, ShowsTheConfigurationInForceWithoutItsKeys) {
  const std::string Page =
      standins::ask(StoreMesh::operatorsAddress(east()),
                    standins::requestText("GET", "/configuration", "", ""))
          .Body;

  const auto Entries = parseConfigEntries(Page);
  CHECK_TRUE(Entries.has_value());
  CHECK_TRUE(Entries->contains("organisation clerks"));
  CHECK_TRUE(
      Entries->contains("key clerks " + Digest::sha256("key-one").shortHex()));
  CHECK_TRUE(Page.find("key-one") == std::string::npos);
}

TEST(StoreMesh, ForwardsTheCallersIdentityWithoutItsKey) {
  const auto TargetFields =
      fieldsAtTarget({.Id = "told",
                      .Path = "/read/a",
                      .Key = "key-one",
                      .ExtraFields = "Tenant-Id: forged\r\n"
                                     "Caller-Service: forged\r\n"});

  STRCMP_EQUAL("clerks", TargetFields["tenant-id"].get<std::string>().c_str());
  STRCMP_EQUAL("ledger",
               TargetFields["caller-service"].get<std::string>().c_str());
  STRCMP_EQUAL("told", TargetFields["request-id"].get<std::string>().c_str());
  CHECK(std::stoi(TargetFields["deadline-ms"].get<std::string>()) <= 5000);
  CHECK(TargetFields.dump().find("key-one") == std::string::npos);
}

// Requests without a key need no recent proof of the configuration, so none may
// fail during a fault of the store. A version that is written during the fault
// must come into force afterwards.
TEST(StoreMesh, ServesOpenRequestsDuringEachStoreFault) {
  bool ToLedger = false;
  for (const std::string Fault : {"status=503", "status=429", "reset=1",
                                  "silent=1", "lost=1", "slow_ms=300"}) {
    ToLedger = !ToLedger;
    Mesh->commandStore("set?" + Fault);
    Mesh->configure(ToLedger ? "ledger" : "queue");
    for (int I = 0; I < 20; ++I)
      LONGS_EQUAL_TEXT(200, requestStatus("/open/a"), Fault.c_str());

    Mesh->commandStore("set?");

    awaitCondition("the newest version is in force after " + Fault,
                   [&] { return isOpenRoutedToLedger() == ToLedger; });
  }
}

// A watch from a compacted revision is answered 410; the node must then read
// the whole store again.
TEST(StoreMesh, ReadsTheWholeStoreAfterACompaction) {
  // Longer than a watch that waits already and would still return the changes.
  constexpr std::chrono::milliseconds WatchEnd{1500};
  Mesh->commandStore("set?reset=1");
  std::this_thread::sleep_for(WatchEnd);
  Mesh->configure("ledger");
  Mesh->registerTarget(west(), "draining");
  Mesh->commandStore("compact");

  Mesh->commandStore("set?");

  awaitCondition("the newest version is in force",
                 [this] { return isOpenRoutedToLedger(); });
  awaitCondition("a watch was answered 410", [this] {
    const auto Calls = Mesh->commandStore("stats")["calls"];
    return Calls.value("/fescuewood/kv-watch 410", 0) > 0;
  });
}

TEST(StoreMesh, IgnoresMalformedTargetEntries) {
  Mesh->putItem("servers/i-bytes", "\xff\xfe not json");
  Mesh->putItem("servers/i-list", "[1, 2]");
  Mesh->putItem("servers/i-empty", "{}");
  Mesh->putItem("servers/i-types",
                R"({"service":7,"address":"127.31.0.1:1","zone":"east",)"
                R"("slots":"six","state":"ready","warmup_left_s":0})");
  Mesh->putItem("servers/i-state",
                R"({"service":"queue","address":"127.31.0.1:1","zone":"east",)"
                R"("slots":6,"state":"resting","warmup_left_s":0})");
  Mesh->configure("ledger");
  awaitCondition("the version written after the entries is in force",
                 [this] { return isOpenRoutedToLedger(); });

  for (int I = 0; I < 20; ++I)
    LONGS_EQUAL(200, requestStatus("/read/a", "key-one"));
}

// Entries and configurations of another writer end no node and hide nothing
// else in the store.
TEST(StoreMesh, FollowsTheStoreBesideNestedAndUnreadableEntries) {
  constexpr std::size_t MaxValueBytes = 1024 * 1024;
  const std::string Nested(MaxValueBytes, '[');
  StoreMeshInstance &Joining = Mesh->Instances[0];
  Mesh->commandStore("remove?key=servers/" + Joining.Id);
  awaitCondition("a target is gone", [&] { return !runsAt(Joining, Joining); });
  const auto Entry = [&](const std::string &Name, const std::string &Value) {
    nlohmann::json Json = nlohmann::json::parse(
        R"({"service":"queue","address":"127.31.0.1:80","zone":"east",)"
        R"("version":"1","slots":6,"state":"ready","warmup_left_s":0,)"
        R"("sequence":1,"born":1700000000000})");
    Json.erase(Name);
    const std::string Rest = Json.dump();
    return "{\"" + Name + "\":" + Value + "," + Rest.substr(1);
  };

  Mesh->putItem("servers/i-nested", Nested);
  Mesh->putItem("servers/i-member", Entry("version", Nested));
  Mesh->putItem("servers/i-slots", Entry("slots", "1e999"));
  Mesh->putItem("servers/i-cold", Entry("warmup_left_s", "1e308"));
  Mesh->putItem("servers/i-port", Entry("address", "\"127.31.0.1:99999\""));
  Mesh->putItem("servers/i-zero", Entry("address", "\"127.31.0.1:0\""));
  Mesh->putItem("servers/i-zone", Entry("zone", "\"\""));
  Mesh->putItem("servers/i-long",
                Entry("zone", "\"" + std::string(200, 'z') + "\""));
  Mesh->putItem("servers/" + std::string(192, 'i'), Entry("zone", "7"));
  Mesh->putItem("servers/i-bytes-2", "\xff\xfe");
  Mesh->putItem("servers/i-%0d%0aX:%20y", Entry("service", "\"queue\""));
  Mesh->putItem("op/config", Nested);
  Mesh->putItem("op/config", "{\"version\":1e999}");
  for (int I = 0; I < 20; ++I)
    LONGS_EQUAL(200, requestStatus("/open/a"));

  Mesh->configure("ledger");
  awaitCondition("the next configuration is in force",
                 [this] { return isOpenRoutedToLedger(); });
  Mesh->configure("queue");
  Mesh->registerTarget(Joining);
  awaitCondition("a target that is registered afterwards is used",
                 [&] { return runsAt(Joining, Joining); });
  for (StoreMeshInstance &Each : Mesh->Instances) {
    CHECK_TRUE(Mesh->isReady(Each));
    CHECK_FALSE(Each.Node.wait(std::chrono::seconds(0)).has_value());
    const long PeakKiB = peakMemoryKiB(Each.Node.id());
    CHECK_TRUE_TEXT(PeakKiB > 0 && PeakKiB <= SmallestMachineKiB,
                    std::to_string(PeakKiB).c_str());
  }
}

// A target that has taken over another one's address answers 421 to requests
// for the former target and must not run them.
TEST(StoreMesh, RunsNoRequestAtAReusedAddress) {
  StoreMeshInstance Former;
  Former.Domain = west().Domain;
  Former.Service = west().Service;
  Former.Id = "i-former";
  Former.Ip = west().Ip;
  Mesh->commandStore("remove?key=servers/" + west().Id);
  Mesh->registerTarget(Former);
  awaitCondition("a request was sent to the former target", [this] {
    Mesh->send(west(), {.Id = "before"});
    return Mesh->commandTarget(west(), "stats")["misdirected"] > 0;
  });

  for (int I = 0; I < 20; ++I) {
    const Message Answer = Mesh->send(west(), {.Id = "reused"});
    LONGS_EQUAL_TEXT(200, Answer.status(), Answer.Body.c_str());
  }

  LONGS_EQUAL(0, Mesh->commandTarget(west(), "runs").value("reused", 0));
}

// One node is rejected by the store and must learn new versions and proofs from
// the other nodes.
TEST(StoreMesh, ServesKeyedRequestsWhileTheStoreRejectsOneNode) {
  Mesh->commandStore("set?status=503&only=" + east().Ip);
  Mesh->configure("ledger");

  awaitCondition("the newest version is in force on the rejected node",
                 [this] { return isOpenRoutedToLedger(); });
  for (int I = 0; I < 60; ++I) {
    LONGS_EQUAL(200, requestStatus("/read/a", "key-one"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

// The other nodes have read that the target is gone.
TEST(StoreMesh, TargetThatLeftWhileTheStoreRejectedItsNodeGetsNoMoreRequests) {
  Mesh->commandStore("set?status=503&only=" + east().Ip);
  awaitCondition("the store has rejected the node several times", [this] {
    const auto Calls = Mesh->commandStore("stats")["calls"];
    int Rejected = 0;
    for (const auto &[Call, Count] : Calls.items())
      if (Call.ends_with(" 503"))
        Rejected += Count.get<int>();
    return Rejected >= 4;
  });

  Mesh->commandStore("remove?key=servers/" + east().Id);

  awaitCondition("ten requests in a row run elsewhere", [this] {
    for (int I = 0; I < 10; ++I)
      if (runsAt(east(), east()))
        return false;
    return true;
  });
  Mesh->registerTarget(ledger());
  Mesh->commandStore("set?");
  for (int I = 0; I < 120; ++I) {
    CHECK_FALSE(runsAt(east(), east()));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
}

// The platform kills a process that is still running some seconds after
// SIGTERM, so a node must not wait for a target that no longer exists.
TEST(StoreMesh, ExitsOnSigtermAfterItsTargetHasEnded) {
  StoreMeshInstance &Leaving = Mesh->Instances[0];
  Mesh->commandStore("remove?key=servers/" + Leaving.Id);
  Leaving.Target.end();

  Leaving.Node.signal(SIGTERM);

  CHECK(std::optional(0) == Leaving.Node.wait(std::chrono::seconds(30)));
}

// docs/OPERATIONS.md, "because the node had no proof of a fresh configuration".
TEST(StoreMesh, LogsARefusalWithoutProofOfKeys) {
  Mesh->commandStore("set?silent=1");
  awaitCondition("keyed requests are refused",
                 [this] { return requestStatus("/read/a", "key-one") == 503; });
  const Message Answer = Mesh->send(
      east(), {.Id = "unproven", .Path = "/read/a", .Key = "key-one"});
  LONGS_EQUAL(503, Answer.status());
  LONGS_EQUAL(KeysUnproven, resultCode(Answer));

  const std::string Lines = Mesh->timeline("unproven");

  CHECK_TRUE_TEXT(
      containsInOrder(Lines, {"CallRefused", "KeysUnproven", "not-run"}),
      Lines.c_str());
  Mesh->commandStore("set?");
  awaitCondition("keyed requests are served again",
                 [this] { return requestStatus("/read/a", "key-one") == 200; });
}

// docs/OPERATIONS.md, "because the answer was lost".
TEST(StoreMesh, LogsALostAnswer) {
  Mesh->commandTarget(ledger(), "set?close_next=1");

  const Message Answer = Mesh->send(east(), {.Id = "lost-answer",
                                             .Path = "/book/a",
                                             .Key = "key-one",
                                             .Method = "POST"});

  LONGS_EQUAL(502, Answer.status());
  LONGS_EQUAL(1, Mesh->runCount("lost-answer"));
  awaitCondition("the logs show the lost answer", [this] {
    return containsInOrder(Mesh->timeline("lost-answer"),
                           {"RunEnded", "TargetConnectionLost", "CallAnswered",
                            "status=502", "TargetConnectionLost",
                            "outcome=unknown"});
  });
}

// docs/OPERATIONS.md, "Refused under load".
TEST(StoreMesh, LogsARefusalUnderLoad) {
  Mesh->commandTarget(ledger(), "set?latency_ms=400");
  // The node estimates the waiting time from recent runs.
  const StoreMeshRequest Before{
      .Id = "before", .Path = "/book/a", .Key = "key-one", .Method = "POST"};
  for (int I = 0; I < 5; ++I)
    LONGS_EQUAL(200, Mesh->send(east(), Before).status());
  std::vector<std::thread> CallerThreads;
  std::vector<Message> Answers(24);
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    StoreMeshRequest Request = Before;
    Request.Id = "load-" + std::to_string(I);
    Request.TimeLeftMs = 700;
    CallerThreads.emplace_back([this, &Answer = Answers[I], Request] {
      Answer = Mesh->send(east(), Request);
    });
  }
  for (std::thread &Caller : CallerThreads)
    Caller.join();

  std::size_t Refused = Answers.size();
  for (std::size_t I = 0; I < Answers.size(); ++I)
    if (Answers[I].status() == 503)
      Refused = I;
  CHECK_TRUE_TEXT(Refused < Answers.size(), "no request was refused");
  CHECK(!Answers[Refused].field("retry-after").empty());
  const std::string Id = "load-" + std::to_string(Refused);
  LONGS_EQUAL(0, Mesh->runCount(Id));
  awaitCondition("the logs show the refusal", [&] {
    const std::string Lines = Mesh->timeline(Id);
    return containsInOrder(
        Lines, {"CallRefused", "remaining_ms", "reason=", "not-run"});
  });
}
