#include "sources/ModelStore.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::vector<ScriptedEvent> anyScript() {
  const auto Kinds = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, static_cast<int>(Happening::Count)));
  std::vector<ScriptedEvent> Script;
  Script.reserve(Kinds.size());
  for (const int Kind : Kinds)
    Script.push_back(
        {static_cast<Happening>(Kind), *rc::gen::inRange(0U, 12U)});
  return Script;
}

void play(ModelStore &Store, ModelNode &Node) {
  while (!Store.done()) {
    Store.goOn();
    Node.step();
  }
  // A watch may return a single change.
  const auto Changes = static_cast<std::int64_t>(Store.Script.size());
  const TimeMs End = Store.Now + SettleTime + WatchPeriod * Changes;
  while (Store.Now < End)
    Node.step();
  Node.requireSettled();
}

/// Whether each read through the relay fails, repeated from the start.
using RelayScript = std::vector<bool>;

/// Calls of a node that reads through \p Reader.
RelayCalls relayThrough(ModelNode &Reader, const RelayScript &Failures) {
  RelayCalls Calls;
  Calls.IsReader = [] { return false; };
  Calls.Addresses = [] { return std::vector<std::string>{"reader"}; };
  Calls.Read = [&Reader, &Failures, Number = std::size_t{0}](
                   const std::string &, std::uint64_t After,
                   DurationMs Wait) mutable -> PlatformRead<RelayedChanges> {
    if (!Failures.empty() && Failures[Number++ % Failures.size()])
      return {std::nullopt, ResultCode::PeerSilent, ""};
    return Reader.relay(After, Wait);
  };
  return Calls;
}

} // namespace

TEST_GROUP(StoreLoopProperty){};

// For any order of writes, failed calls and lost histories, before, between and
// during the pages and calls of a node.
TEST(StoreLoopProperty, ProvesOnlyTheIntentOfThatTimeAndSettlesOnTheStore) {
  checkProperty("proofs and lists are true, the end equals the store", [] {
    ModelStore Store;
    Store.PageSize = *rc::gen::inRange<std::size_t>(1, 4);
    Store.Script = anyScript();
    ModelNode Node(Store);

    play(Store, Node);
  });
}

// A store may return a part of the changes and the revision from which to
// continue.
TEST(StoreLoopProperty, SettlesOnAStoreThatAnswersWithAPartOfTheChanges) {
  checkProperty("the end equals the store", [] {
    ModelStore Store;
    Store.PageSize = *rc::gen::inRange<std::size_t>(1, 4);
    Store.ChangesPerAnswer = *rc::gen::inRange<std::size_t>(1, 4);
    Store.Script = anyScript();
    ModelNode Node(Store);
    Node.ChecksProofs = false;

    play(Store, Node);
  });
}

// The same holds for a node that reads through another one, whose reading may
// be late, start anew or not answer.
TEST(StoreLoopProperty, RelayedProofsAreTrueAndTheEndEqualsTheStore) {
  checkProperty("relayed proofs are true, the end equals the store", [] {
    ModelStore Store;
    Store.PageSize = *rc::gen::inRange<std::size_t>(1, 4);
    Store.Script = anyScript();
    const auto Failures = *rc::gen::arbitrary<RelayScript>();
    const unsigned ReaderSteps = *rc::gen::inRange(1U, 4U);
    ModelNode Reader(Store);
    ModelNode Node(Store, relayThrough(Reader, Failures));
    while (!Store.done()) {
      Store.goOn();
      for (unsigned I = 0; I < ReaderSteps; ++I)
        Reader.step();
      Node.step();
    }
    const auto Changes = static_cast<std::int64_t>(Store.Script.size());
    const TimeMs End = Store.Now + (SettleTime + WatchPeriod * Changes) * 2;
    while (Store.Now < End) {
      Reader.step();
      Node.step();
    }
    Node.requireSettled();
  });
}
