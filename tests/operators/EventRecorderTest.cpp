#include "operators/EventRecorder.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(EventRecorder) {
  HybridTime Now{1000, 0};
  std::vector<StampedEvent> Recorded;
  EventRecorder Recorder{
      "recife/till-1", "recife", 8, [this] { return Now; },
      [this](const StampedEvent &E) { Recorded.push_back(E); }};

  void recordRefusals(int Count) {
    for (int I = 0; I < Count; ++I)
      Recorder.record({EventId::CallRefused, {{"reason", "RingFull"}}});
  }
};

TEST(EventRecorder, KeepsOnlyTheNewestEvents) {
  for (int I = 0; I < 12; ++I)
    Recorder.record({EventId::PauseNoticed, {{"reason", std::to_string(I)}}});

  const auto Recent = Recorder.eventsAfter(0);

  LONGS_EQUAL(8, Recent.size());
  STRCMP_EQUAL(
      "11",
      std::string(fieldValue(Recent.back().Occurrence, "reason")).c_str());
}

TEST(EventRecorder, ReturnsEventsAfterASequenceNumber) {
  recordRefusals(3);

  LONGS_EQUAL(1, Recorder.eventsAfter(2).size());
  LONGS_EQUAL(3, Recorder.eventsAfter(2).front().Sequence);
}

TEST(EventRecorder, SuppressesAndCountsRepetitions) {
  constexpr int Extra = 5;
  recordRefusals(MaxEventsPerPeriod + Extra);
  LONGS_EQUAL(MaxEventsPerPeriod, Recorded.size());

  Now.WallMs += RepetitionPeriod.Value;
  recordRefusals(1);

  LONGS_EQUAL(MaxEventsPerPeriod + 1, Recorded.size());
  STRCMP_EQUAL(
      "5",
      std::string(fieldValue(Recorded.back().Occurrence, "repeated")).c_str());
  LONGS_EQUAL(MaxEventsPerPeriod + Extra + 1,
              Recorder.count(EventId::CallRefused));
}
