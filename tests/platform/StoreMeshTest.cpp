// The whole product on the users' platform: real processes against a stand-in
// of its store, in quiet and under the store's faults.

#include "platform/StoreMeshFixture.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Message;

namespace {

constexpr int KeysUnproven = 520;

int codeOf(const Message &Answer) {
  const auto Body = nlohmann::json::parse(Answer.Body, nullptr, false);
  return Body.is_object() ? Body.value("code", 0) : 0;
}

/// Whether a text holds every one of these, one after the other.
bool holdsInOrder(const std::string &Text,
                  const std::vector<std::string> &Parts) {
  std::size_t At = 0;
  for (const std::string &Part : Parts) {
    At = Text.find(Part, At);
    if (At == std::string::npos)
      return false;
    At += Part.size();
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

  int statusOf(const std::string &Path, const std::string &Key = "") const {
    return Mesh->send(east(), {.Id = "asked", .Path = Path, .Key = Key})
        .status();
  }

  /// What a target of `queue` was sent.
  nlohmann::json seenByTarget(StoreMeshRequest Request) const {
    Request.Fields += "X-Test-Echo: 1\r\n";
    return nlohmann::json::parse(Mesh->send(ledger(), Request).Body);
  }

  /// Whether `/open/` leads to `ledger`, which has one target.
  bool openLeadsToLedger() const {
    static int Asked = 0;
    const std::string Id = "to-ledger-" + std::to_string(++Asked);
    Mesh->send(east(), {.Id = Id});
    return Mesh->target(ledger(), "runs").contains(Id);
  }
};

TEST(StoreMesh, ServesByTheStoresConfiguration) {
  LONGS_EQUAL(200, statusOf("/open/a"));
  LONGS_EQUAL(200, statusOf("/read/a", "key-one"));
  LONGS_EQUAL(401, statusOf("/read/a", "key-other"));
  LONGS_EQUAL(401, statusOf("/read/a"));
  LONGS_EQUAL(404, statusOf("/else/a"));
}

TEST(StoreMesh, TellsTheTargetWhoCallsAndHidesTheKey) {
  const auto Seen = seenByTarget({.Id = "told",
                                  .Path = "/read/a",
                                  .Key = "key-one",
                                  .Fields = "Tenant-Id: forged\r\n"
                                            "Caller-Service: forged\r\n"});

  STRCMP_EQUAL("clerks", Seen["tenant-id"].get<std::string>().c_str());
  STRCMP_EQUAL("ledger", Seen["caller-service"].get<std::string>().c_str());
  STRCMP_EQUAL("told", Seen["request-id"].get<std::string>().c_str());
  CHECK(std::stoi(Seen["deadline-ms"].get<std::string>()) <= 5000);
  CHECK(Seen.dump().find("key-one") == std::string::npos);
}

// Requests without a key need no fresh proof, so no fault of the store may cost
// one; and what was written meanwhile is in force after it.
TEST(StoreMesh, ServesOpenRequestsUnderEachFaultOfTheStore) {
  bool ToLedger = false;
  for (const std::string Fault : {"status=503", "status=429", "reset=1",
                                  "silent=1", "lost=1", "slow_ms=300"}) {
    ToLedger = !ToLedger;
    Mesh->store("set?" + Fault);
    Mesh->configure(ToLedger ? "ledger" : "queue");
    for (int I = 0; I < 20; ++I)
      LONGS_EQUAL_TEXT(200, statusOf("/open/a"), Fault.c_str());

    Mesh->store("set?");

    awaitThat("the newest version is in force after " + Fault,
              [&] { return openLeadsToLedger() == ToLedger; });
  }
}

// A watch that asks for forgotten history gets 410: everything is read anew.
TEST(StoreMesh, FollowsAStoreThatForgotItsHistory) {
  Mesh->store("set?reset=1");
  Mesh->configure("ledger");
  Mesh->registerTarget(west(), "draining");
  Mesh->store("compact");

  Mesh->store("set?");

  awaitThat("the newest version is in force",
            [this] { return openLeadsToLedger(); });
  awaitThat("a read of the whole was needed", [this] {
    const auto Calls = Mesh->store("stats")["calls"];
    return Calls.value("/fescuewood/kv-watch 410", 0) > 0;
  });
}

TEST(StoreMesh, UsesNoEntryThatItCannotRead) {
  Mesh->put("servers/i-bytes", "\xff\xfe not json");
  Mesh->put("servers/i-list", "[1, 2]");
  Mesh->put("servers/i-empty", "{}");
  Mesh->put("servers/i-types",
            R"({"service":7,"address":"127.31.0.1:1","zone":"east",)"
            R"("slots":"six","state":"ready","warmup_left_s":0})");
  Mesh->put("servers/i-state",
            R"({"service":"queue","address":"127.31.0.1:1","zone":"east",)"
            R"("slots":6,"state":"resting","warmup_left_s":0})");
  Mesh->configure("ledger");
  awaitThat("the entries were passed", [this] { return openLeadsToLedger(); });

  for (int I = 0; I < 20; ++I)
    LONGS_EQUAL(200, statusOf("/read/a", "key-one"));
}

// A target that took another one's address answers 421 and runs nothing.
TEST(StoreMesh, RunsNothingAtAReusedAddress) {
  StoreMeshInstance Former;
  Former.Domain = west().Domain;
  Former.Service = west().Service;
  Former.Id = "i-former";
  Former.Ip = west().Ip;
  Mesh->store("remove?key=servers/" + west().Id);
  Mesh->registerTarget(Former);
  awaitThat("a request was sent to the former target", [this] {
    Mesh->send(west(), {.Id = "before"});
    return Mesh->target(west(), "stats")["misdirected"] > 0;
  });

  for (int I = 0; I < 20; ++I) {
    const Message Answer = Mesh->send(west(), {.Id = "reused"});
    LONGS_EQUAL_TEXT(200, Answer.status(), Answer.Body.c_str());
  }

  LONGS_EQUAL(0, Mesh->target(west(), "runs").value("reused", 0));
}

// The store turns one node away; the others hand on what they know.
TEST(StoreMesh, ServesKeyedRequestsWhereTheStoreTurnsOneNodeAway) {
  Mesh->store("set?status=503&only=" + east().Ip);
  Mesh->configure("ledger");

  awaitThat("the newest version is in force there",
            [this] { return openLeadsToLedger(); });
  for (int I = 0; I < 60; ++I) {
    LONGS_EQUAL(200, statusOf("/read/a", "key-one"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

// The platform kills what has not ended by itself some seconds after it asked.
TEST(StoreMesh, EndsByItselfWhenItsTargetHasGone) {
  StoreMeshInstance &Leaving = Mesh->Instances[0];
  Mesh->store("remove?key=servers/" + Leaving.Id);
  Leaving.Target.end();

  Leaving.Node.signal(SIGTERM);

  CHECK(std::optional(0) == Leaving.Node.wait(std::chrono::seconds(30)));
}

// docs/OPERATIONS.md, "because the node had no proof of a fresh configuration".
TEST(StoreMesh, ShowsInTheLogThatARequestWasRefusedForWantOfProof) {
  Mesh->store("set?silent=1");
  Message Answer;
  awaitThat("keyed requests are refused", [&] {
    Answer = Mesh->send(
        east(), {.Id = "unproven", .Path = "/read/a", .Key = "key-one"});
    return Answer.status() == 503;
  });
  LONGS_EQUAL(KeysUnproven, codeOf(Answer));

  const std::string Lines = Mesh->timeline("unproven");

  CHECK_TRUE_TEXT(
      holdsInOrder(Lines, {"CallRefused", "KeysUnproven", "not-run"}),
      Lines.c_str());
  Mesh->store("set?");
  awaitThat("keyed requests are served again",
            [this] { return statusOf("/read/a", "key-one") == 200; });
}

// docs/OPERATIONS.md, "because the answer was lost".
TEST(StoreMesh, ShowsInTheLogThatTheAnswerWasLost) {
  Mesh->target(ledger(), "set?close_next=1");

  const Message Answer = Mesh->send(east(), {.Id = "lost-answer",
                                             .Path = "/book/a",
                                             .Key = "key-one",
                                             .Method = "POST"});

  LONGS_EQUAL(502, Answer.status());
  LONGS_EQUAL(1, Mesh->runs("lost-answer"));
  awaitThat("the logs tell why", [this] {
    return holdsInOrder(Mesh->timeline("lost-answer"),
                        {"RunEnded", "TargetConnectionLost", "CallAnswered",
                         "status=502", "TargetConnectionLost",
                         "outcome=unknown"});
  });
}

// docs/OPERATIONS.md, "Refused under load".
TEST(StoreMesh, ShowsInTheLogThatATargetHadNoRoomInTime) {
  Mesh->target(ledger(), "set?latency_ms=400");
  // What the node has measured of its target must be recent.
  const StoreMeshRequest Before{
      .Id = "before", .Path = "/book/a", .Key = "key-one", .Method = "POST"};
  for (int I = 0; I < 5; ++I)
    LONGS_EQUAL(200, Mesh->send(east(), Before).status());
  std::vector<std::thread> Callers;
  std::vector<Message> Answers(24);
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    StoreMeshRequest Request = Before;
    Request.Id = "load-" + std::to_string(I);
    Request.TimeLeftMs = 700;
    Callers.emplace_back([this, &Answer = Answers[I], Request] {
      Answer = Mesh->send(east(), Request);
    });
  }
  for (std::thread &Each : Callers)
    Each.join();

  std::size_t Refused = Answers.size();
  for (std::size_t I = 0; I < Answers.size(); ++I)
    if (Answers[I].status() == 503)
      Refused = I;
  CHECK_TRUE_TEXT(Refused < Answers.size(), "nothing was refused");
  CHECK(!Answers[Refused].field("retry-after").empty());
  const std::string Id = "load-" + std::to_string(Refused);
  LONGS_EQUAL(0, Mesh->runs(Id));
  awaitThat("the logs tell why", [&] {
    const std::string Lines = Mesh->timeline(Id);
    return holdsInOrder(Lines,
                        {"CallRefused", "remaining_ms", "reason=", "not-run"});
  });
}
