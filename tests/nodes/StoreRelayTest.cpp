#include "nodes/StoreRelay.h"
#include "nodes/RelayClient.h"
#include "nodes/RelayMessages.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

StoreChange configuration(const std::string &Text, std::uint64_t Revision) {
  return {StoreSubject::Configuration, "config", "", Text, Revision};
}

} // namespace

TEST_GROUP(StoreRelay) {
  TimeMs Now{50'000};
  StoreRelay Relay{Clock([this] { return Now; })};
  std::vector<RelayReply> Replies;

  void read(ReplicaUpdate::Extent Kind, std::uint64_t Revision) {
    Relay.update({Kind,
                  {{configuration("text", Revision)}, Revision},
                  Now - DurationMs(30)});
  }

  void ask(std::uint64_t After, DurationMs Wait) {
    Relay.serve(packRelayRequest({After, Wait}), [this](const std::string &B) {
      Replies.push_back(unpackRelayReply(B).value_or(RelayReply()));
    });
  }
};

TEST(StoreRelay, AnswersAtOnceWithoutAProof) {
  ask(0, DurationMs(300));

  LONGS_EQUAL(1, Replies.size());
  CHECK(!Replies[0].ProofAge.has_value());
}

TEST(StoreRelay, SendsEverythingToANodeThatKnowsNothing) {
  read(ReplicaUpdate::Extent::AllItems, 10);

  ask(0, DurationMs(300));

  LONGS_EQUAL(1, Replies.size());
  CHECK(Replies[0].Whole);
  LONGS_EQUAL(10, Replies[0].Revision);
  LONGS_EQUAL(30, Replies[0].ProofAge->Value);
  STRCMP_EQUAL("text", unpackItems(Replies[0].Items)->at(0).Value.c_str());
}

TEST(StoreRelay, AnswersWhatWaitsWhenItHasReadAgain) {
  read(ReplicaUpdate::Extent::AllItems, 10);
  ask(10, DurationMs(300));
  LONGS_EQUAL(0, Replies.size());

  Now = Now + DurationMs(100);
  read(ReplicaUpdate::Extent::Changes, 11);

  LONGS_EQUAL(1, Replies.size());
  CHECK(!Replies[0].Whole);
  LONGS_EQUAL(100, Replies[0].Held.Value);
  LONGS_EQUAL(1, unpackItems(Replies[0].Items)->size());
}

TEST(StoreRelay, AnswersWithTheAgeOfItsProofWhenTheWaitEnds) {
  read(ReplicaUpdate::Extent::AllItems, 10);
  ask(10, DurationMs(300));

  Now = Now + DurationMs(299);
  Relay.tick();
  LONGS_EQUAL(0, Replies.size());
  Now = Now + DurationMs(1);
  Relay.tick();

  LONGS_EQUAL(330, Replies.at(0).ProofAge->Value);
}

TEST(StoreRelay, SaysAtOnceThatTheStoreIsLost) {
  read(ReplicaUpdate::Extent::AllItems, 10);
  ask(10, DurationMs(300));

  Relay.onSourceLost();
  ask(10, DurationMs(300));

  LONGS_EQUAL(2, Replies.size());
  CHECK(!Replies[0].ProofAge.has_value());
  CHECK(!Replies[1].ProofAge.has_value());
}

TEST(StoreRelay, RefusesAMalformedRequest) {
  std::string Body = "unset";
  Relay.serve("\xC1", [&Body](const std::string &B) { Body = B; });

  STRCMP_EQUAL("", Body.c_str());
}

TEST_GROUP(RelayClient) {
  TimeMs Now{50'000};
  std::string Body;    ///< Of the next reply.
  DurationMs Takes{0}; ///< Time until the reply.

  PlatformRead<RelayedChanges> read() {
    RelayClient Client(
        [this](const PeerRequest &, const PeerReplyHook &OnReply) {
          Now = Now + Takes;
          OnReply({Body, {}, ResultCode::Ok});
        },
        Clock([this] { return Now; }));
    return Client.read("10.0.0.1:7000", 10, DurationMs(300));
  }
};

// The reply may have been on its way for all the time that it was not held.
TEST(RelayClient, DatesTheProofByTheEarliestTimeOfTheReply) {
  RelayReply Reply;
  Reply.Revision = 12;
  Reply.ProofAge = DurationMs(400);
  Reply.Held = DurationMs(200);
  Reply.Items = packItems({});
  Body = packRelayReply(Reply);
  Takes = DurationMs(250);
  const TimeMs SentAt = Now;

  const auto Read = read();

  CHECK(SentAt + DurationMs(200 - 400) == Read.Value->ProvenAt);
  LONGS_EQUAL(12, Read.Value->Read.Revision);
}

TEST(RelayClient, BelievesNoLongerHoldThanItWaited) {
  RelayReply Reply;
  Reply.ProofAge = DurationMs(400);
  Reply.Held = DurationMs(9000);
  Reply.Items = packItems({});
  Body = packRelayReply(Reply);
  Takes = DurationMs(50);

  const TimeMs SentAt = Now;
  CHECK(SentAt + DurationMs(50 - 400) == read().Value->ProvenAt);
}

TEST(RelayClient, TakesNothingFromACutOrUnprovenReply) {
  RelayReply Reply;
  Reply.ProofAge = DurationMs(0);
  Reply.Items = packItems({configuration("text", 11)});
  const std::string Whole = packRelayReply(Reply);
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    Body = Whole.substr(0, Size);
    CHECK(!read().Value.has_value());
  }
  Reply.ProofAge.reset();
  Body = packRelayReply(Reply);

  CHECK(!read().Value.has_value());
}

TEST(RelayClient, CancelledReadReturns) {
  RelayClient Client([](const PeerRequest &, const PeerReplyHook &) {});
  Client.cancel();

  const auto Read = Client.read("10.0.0.1:7000", 10, DurationMs(300));

  CHECK(ResultCode::Stopped == Read.Reason);
}
