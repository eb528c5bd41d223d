#include "policy/ObservedNodes.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Instance node(std::string Name, TargetState State = TargetState::Ready) {
  Instance Result;
  Result.Name = std::move(Name);
  Result.State = State;
  return Result;
}

const std::vector<Instance> Both{node("a"), node("b")};

} // namespace

TEST_GROUP(ObservedNodes){};

TEST(ObservedNodes, DepartedNodeIsKeptForTwentySeconds) {
  ObservedNodes Nodes;
  Nodes.set(Both, TimeMs(0));

  CHECK_FALSE(Nodes.set({Both.data(), 1}, TimeMs(1000)));

  CHECK_FALSE(Nodes.forgetDeparted(TimeMs(20'999)));
  LONGS_EQUAL(2, Nodes.names().size());
  CHECK_TRUE(Nodes.forgetDeparted(TimeMs(21'000)));
  LONGS_EQUAL(1, Nodes.names().size());
}

TEST(ObservedNodes, NodeThatReturnsIsNotForgotten) {
  ObservedNodes Nodes;
  Nodes.set(Both, TimeMs(0));
  Nodes.set({Both.data(), 1}, TimeMs(1000));
  Nodes.set(Both, TimeMs(2000));

  CHECK_FALSE(Nodes.forgetDeparted(TimeMs(60'000)));
  LONGS_EQUAL(2, Nodes.names().size());
}

TEST(ObservedNodes, DrainingNodeIsForgottenAtOnce) {
  ObservedNodes Nodes;
  Nodes.set(Both, TimeMs(0));

  const std::vector<Instance> Draining{node("a"),
                                       node("b", TargetState::Draining)};

  CHECK_TRUE(Nodes.set(Draining, TimeMs(1000)));
  LONGS_EQUAL(1, Nodes.names().size());
}

TEST(ObservedNodes, CountIsTheLargestOfTheLastTwentySeconds) {
  ObservedNodes Nodes;
  LONGS_EQUAL(1, Nodes.count(TimeMs(0)));
  Nodes.set(Both, TimeMs(0));
  Nodes.set({Both.data(), 1}, TimeMs(1000));

  LONGS_EQUAL(2, Nodes.count(TimeMs(20'999)));
  LONGS_EQUAL(1, Nodes.count(TimeMs(21'000)));
}
