#include "operators/Timeline.h"

#include "support/Property.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

StampedEvent eventAt(std::int64_t WallMs, const std::string &Domain,
                     std::uint64_t Sequence) {
  StampedEvent Value;
  Value.Time = {WallMs, 0};
  Value.Domain = Domain;
  Value.Node = Domain + "/till-0";
  Value.Sequence = Sequence;
  Value.Occurrence = {EventId::PauseNoticed, {{"organisation", "olinda"}}};
  return Value;
}

} // namespace

TEST_GROUP(Timeline){};

TEST(Timeline, MergeIsIndependentOfTheOrderOfEvents) {
  checkProperty("merge(shuffle(events)) = merge(events)", [] {
    std::vector<StampedEvent> Events;
    const auto Times =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (std::size_t I = 0; I < Times.size(); ++I)
      Events.push_back(eventAt(Times[I], I % 2 ? "recife" : "caruaru", I));
    const auto InOrder = mergeTimeline(Events, {});

    std::reverse(Events.begin(), Events.end());
    // A node that is queried twice returns its events twice.
    Events.insert(Events.end(), InOrder.begin(), InOrder.end());
    const auto Shuffled = mergeTimeline(Events, {});

    RC_ASSERT(Shuffled.size() == InOrder.size());
    for (std::size_t I = 0; I < InOrder.size(); ++I)
      RC_ASSERT(toJsonLine(Shuffled[I]) == toJsonLine(InOrder[I]));
  });
}

TEST(Timeline, FiltersByDomainOrganisationAndTime) {
  const std::vector<StampedEvent> Events = {eventAt(10, "recife", 1),
                                            eventAt(20, "caruaru", 1),
                                            eventAt(30, "recife", 2)};
  TimelineFilter Filter;
  Filter.Domain = "recife";
  Filter.Organisation = "olinda";
  Filter.FromWallMs = 20;

  const auto Shown = mergeTimeline(Events, Filter);

  LONGS_EQUAL(1, Shown.size());
  LONGS_EQUAL(30, Shown.front().Time.WallMs);
}

TEST(Timeline, RequestFilterIncludesDependentCalls) {
  std::vector<StampedEvent> Events = {eventAt(10, "recife", 1),
                                      eventAt(20, "caruaru", 1),
                                      eventAt(30, "recife", 2)};
  Events[0].Occurrence = {EventId::CallAnswered, {{"request", "9c41"}}};
  Events[1].Occurrence = {EventId::RunEnded, {{"request", "9c41.d956"}}};
  Events[2].Occurrence = {EventId::CallAnswered, {{"request", "9c412"}}};
  TimelineFilter Filter;
  Filter.Request = "9c41";

  const auto Shown = mergeTimeline(Events, Filter);

  LONGS_EQUAL(2, Shown.size());
  LONGS_EQUAL(20, Shown.back().Time.WallMs);
}

TEST(Timeline, DrawsAMarkPerEventAndEscapesDomains) {
  const auto Svg = drawTimeline(
      std::vector{eventAt(10, "recife", 1), eventAt(20, "caru<aru", 1)});

  std::size_t Marks = 0;
  for (std::size_t At = Svg.find("<title>"); At != std::string::npos;
       At = Svg.find("<title>", At + 1))
    ++Marks;
  LONGS_EQUAL(2, Marks);
  CHECK(Svg.find("caru&lt;aru") != std::string::npos);
  CHECK(Svg.find("caru<aru") == std::string::npos);
}
