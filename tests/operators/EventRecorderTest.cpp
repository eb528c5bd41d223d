#include "operators/EventRecorder.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(EventRecorder) {
  HybridTime Now{1000, 0};
  std::vector<StampedEvent> Lines;
  EventRecorder Recorder{"recife/till-1", "recife", 8, [this] { return Now; },
                         [this](const StampedEvent &E) { Lines.push_back(E); }};

  void report(int Times) {
    for (int I = 0; I < Times; ++I)
      Recorder.record({EventId::CallRefused, {{"reason", "RingFull"}}});
  }
};

TEST(EventRecorder, KeepsOnlyTheNewest) {
  for (int I = 0; I < 12; ++I)
    Recorder.record({EventId::PauseNoticed, {{"reason", std::to_string(I)}}});

  const auto Kept = Recorder.after(0);

  LONGS_EQUAL(8, Kept.size());
  STRCMP_EQUAL("11",
               std::string(fieldValue(Kept.back().What, "reason")).c_str());
}

TEST(EventRecorder, GivesOnlyEventsAfterTheCursor) {
  report(3);

  LONGS_EQUAL(1, Recorder.after(2).size());
  LONGS_EQUAL(3, Recorder.after(2).front().Sequence);
}

TEST(EventRecorder, HoldsRepetitionsBackAndSaysHowMany) {
  constexpr int Extra = 5;
  report(EventsPerPeriod + Extra);
  LONGS_EQUAL(EventsPerPeriod, Lines.size());

  Now.WallMs += EventPeriod.Value;
  report(1);

  LONGS_EQUAL(EventsPerPeriod + 1, Lines.size());
  STRCMP_EQUAL("5",
               std::string(fieldValue(Lines.back().What, "repeated")).c_str());
  LONGS_EQUAL(EventsPerPeriod + Extra + 1,
              Recorder.count(EventId::CallRefused));
}
