#include "sources/ModelStore.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

// A domain of many nodes, two of which read the store.
TEST_GROUP(StoreRelayed) {
  static constexpr std::size_t NodeCount = 20;
  static constexpr std::size_t ReaderCount = 2;

  ModelStore Store;
  std::vector<std::unique_ptr<ModelNode>> Nodes;
  bool ReadersAnswer = true;

  void setup() override {
    for (std::size_t I = 0; I < NodeCount; ++I) {
      RelayCalls Calls;
      Calls.IsReader = [I] { return I < ReaderCount; };
      Calls.Addresses = [] { return std::vector<std::string>{"0", "1"}; };
      Calls.Read = [this](const std::string &Address, std::uint64_t After,
                          DurationMs) -> PlatformRead<RelayedChanges> {
        if (!ReadersAnswer)
          return {std::nullopt, ResultCode::PeerSilent, ""};
        return Nodes[std::stoul(Address)]->relay(After, DurationMs(0));
      };
      Nodes.push_back(std::make_unique<ModelNode>(Store, std::move(Calls)));
    }
  }

  /// Steps all nodes for a time; a node's waits are not shared.
  void runFor(DurationMs Span) {
    const TimeMs End = Store.Now + Span;
    while (Store.Now < End)
      for (auto &Node : Nodes)
        Node->step();
  }

  std::uint64_t storeCalls(std::size_t From) const {
    std::uint64_t Sum = 0;
    for (std::size_t I = From; I < NodeCount; ++I)
      Sum += Nodes[I]->counts().Reads;
    return Sum;
  }
};

TEST(StoreRelayed, NodesThatAreNoReadersMakeNoCallsToTheStore) {
  runFor(DurationMs(30'000));

  LONGS_EQUAL(0, storeCalls(ReaderCount));
  for (auto &Node : Nodes)
    Node->requireSettled();
}

TEST(StoreRelayed, NodesReadThemselvesWhenNoReaderAnswers) {
  runFor(DurationMs(10'000));
  ReadersAnswer = false;

  Store.Script = {{Happening::WriteConfiguration, 0}};
  runFor(DurationMs(10'000));

  CHECK(storeCalls(ReaderCount) > 0);
  for (auto &Node : Nodes)
    Node->requireSettled();
}
