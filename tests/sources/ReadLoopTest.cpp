#include "sources/ReadLoop.h"

#include "support/Property.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// A platform and a node in memory, with time that the test moves.
struct FakePlatform {
  TimeMs Now{1000};
  std::uint64_t Revision = 1;
  std::string Text; ///< Of the one file under Revision.
  Version Held;
  bool Out = false;
  bool IgnoresAfter = false; ///< Answers with Revision, whatever was asked.
  bool IsReader = true;
  std::vector<TimeMs> Reads;
  std::vector<Version> Given;
  std::vector<bool> States;
  std::vector<EventId> Events;

  template <typename T> std::optional<PlatformRead<T>> failure() {
    Reads.push_back(Now);
    if (!Out)
      return std::nullopt;
    return PlatformRead<T>{std::nullopt, ResultCode::PlatformUnreachable, ""};
  }

  ReadLoop loop(const PlatformSettings &Settings, std::uint64_t Seed = 1) {
    PlatformSource Source;
    Source.ReadIntent = [this](const Version &Known, DurationMs Wait) {
      if (auto Failure = failure<IntentBundle>())
        return *Failure;
      const IntentBundle Shown{Revision, {{"10-a.ini", Text}}};
      if (Revision > Known.Revision ||
          (Revision == Known.Revision && Shown.version() != Known) ||
          IgnoresAfter)
        return PlatformRead<IntentBundle>{Shown, ResultCode::Ok, ""};
      Now = Now + Wait;
      return PlatformRead<IntentBundle>{};
    };
    Source.ReadInstances = [this](std::uint64_t After) {
      if (auto Failure = failure<InstanceList>())
        return *Failure;
      if (After >= 1)
        return PlatformRead<InstanceList>{};
      return PlatformRead<InstanceList>{InstanceList{1, {}, 0}, ResultCode::Ok,
                                        ""};
    };
    PlatformReaderHooks Hooks;
    Hooks.IsReader = [this] { return IsReader; };
    Hooks.NewestSeenVersion = [this] { return Held; };
    Hooks.OnBundle = [this](const IntentBundle &B) {
      Given.push_back(B.version());
    };
    Hooks.OnSourceState = [this](bool Reachable) {
      States.push_back(Reachable);
    };
    Hooks.OnEvent = [this](const Event &E) { Events.push_back(E.Id); };
    return {std::move(Source), Settings, std::move(Hooks),
            Clock([this] { return Now; }), Seed};
  }

  void run(ReadLoop &Loop, DurationMs Span) {
    const TimeMs Until = Now + Span;
    while (Now < Until)
      Now = Now + std::max(Loop.step(), DurationMs(1));
  }
};

PlatformSettings settings(std::uint32_t Reads, std::uint32_t Nodes) {
  PlatformSettings S;
  S.FleetReadsPerSecond = Reads;
  S.FleetNodes = Nodes;
  S.WatchWait = DurationMs(3000);
  return S;
}

} // namespace

TEST_GROUP(ReadLoop) { FakePlatform Fake; };

TEST(ReadLoop, GivesEachNewVersionOnceAndInOrder) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));

  Fake.run(Loop, DurationMs(10000));
  Fake.Revision = 4;
  Fake.run(Loop, DurationMs(10000));

  LONGS_EQUAL(2, Fake.Given.size());
  LONGS_EQUAL(1, Fake.Given[0].Revision);
  LONGS_EQUAL(4, Fake.Given[1].Revision);
}

TEST(ReadLoop, GivesNothingOlderThanTheNodeHolds) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.Held.Revision = 9;
  Fake.IgnoresAfter = true;

  Fake.run(Loop, DurationMs(10000));

  LONGS_EQUAL(0, Fake.Given.size());
  CHECK(Loop.counts().Stale > 0);
}

TEST(ReadLoop, NeverGivesALowerRevisionOrTheSameContentTwiceInARow) {
  checkProperty("given revisions rise", [] {
    FakePlatform F;
    F.IgnoresAfter = *rc::gen::arbitrary<bool>();
    ReadLoop Loop = F.loop(settings(2000, 1200));
    for (const auto Revision : *rc::gen::container<std::vector<std::uint64_t>>(
             rc::gen::inRange<std::uint64_t>(1, 20))) {
      F.Revision = Revision;
      F.Text = *rc::gen::element<std::string>("a", "b");
      F.Out = *rc::gen::arbitrary<bool>();
      F.run(Loop, DurationMs(4000));
    }

    for (std::size_t I = 1; I < F.Given.size(); ++I) {
      RC_ASSERT(F.Given[I].Revision >= F.Given[I - 1].Revision);
      RC_ASSERT(F.Given[I] != F.Given[I - 1]);
    }
  });
}

// Whichever of the two the node keeps, a platform that shows one of them all
// the time is watched again and not read again.
TEST(ReadLoop, GivesEachContentUnderOneRevisionOnce) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.run(Loop, DurationMs(10000));
  Fake.Held = Fake.Given.back();

  Fake.Text = "other";
  Fake.run(Loop, DurationMs(30000));

  LONGS_EQUAL(2, Fake.Given.size());
  LONGS_EQUAL(Fake.Given[0].Revision, Fake.Given[1].Revision);
  LONGS_EQUAL(0, Loop.counts().Stale);
}

TEST(ReadLoop, AsksAPlatformThatNeverWaitsAtAnEvenPace) {
  PlatformSettings Alone = settings(2000, 1);
  Alone.WatchWait = DurationMs(0);
  ReadLoop Loop = Fake.loop(Alone);

  Fake.run(Loop, DurationMs(10000));

  CHECK(Fake.Reads.size() <= 100);
}

TEST(ReadLoop, ReadsNothingWhileItIsNoReader) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.IsReader = false;

  Fake.run(Loop, DurationMs(10000));
  LONGS_EQUAL(0, Fake.Reads.size());

  Fake.IsReader = true;
  Fake.run(Loop, DurationMs(3000));
  CHECK(!Fake.Reads.empty());
}

TEST(ReadLoop, TellsOnceThatTheSourceIsOutAndThatItIsBack) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.Out = true;
  Fake.run(Loop, DurationMs(3600000));
  Fake.Out = false;
  Fake.run(Loop, DurationMs(10000));

  CHECK((std::vector<bool>{false, true}) == Fake.States);
  LONGS_EQUAL(1, std::count(Fake.Events.begin(), Fake.Events.end(),
                            EventId::PlatformReadFailed));
}

// The fleet starts at once, loses its source and finds it again.
TEST(ReadLoop, KeepsTheFleetInsideTheAllowance) {
  checkProperty("reads of a fleet in any second <= allowance", [] {
    const auto Nodes = *rc::gen::inRange<std::uint32_t>(1, 30);
    const auto Allowed = Nodes * *rc::gen::inRange<std::uint32_t>(1, 3);
    std::vector<TimeMs> Reads;
    for (std::uint32_t Node = 0; Node < Nodes; ++Node) {
      FakePlatform F;
      ReadLoop Loop = F.loop(settings(Allowed, Nodes), Node);
      F.run(Loop, DurationMs(5000));
      F.Out = true;
      F.run(Loop, DurationMs(20000));
      F.Out = false;
      F.run(Loop, DurationMs(10000));
      Reads.insert(Reads.end(), F.Reads.begin(), F.Reads.end());
    }
    std::sort(Reads.begin(), Reads.end());

    for (std::size_t First = 0; First + Allowed < Reads.size(); ++First)
      RC_ASSERT(Reads[First + Allowed] - Reads[First] >= DurationMs(1000));
  });
}

// Jitter that ends within the wait for the allowance would leave a fleet that
// starts or fails at once in step for good.
TEST(ReadLoop, SpreadsReadsOfAFleetThatStartsAndFailsAtOnce) {
  constexpr std::uint32_t Nodes = 200;
  for (const bool Out : {false, true}) {
    std::vector<TimeMs> Reads;
    for (std::uint32_t Node = 0; Node < Nodes; ++Node) {
      FakePlatform F;
      F.Out = Out;
      ReadLoop Loop = F.loop(settings(Nodes, Nodes), Node);
      F.run(Loop, DurationMs(20000));
      Reads.insert(Reads.end(), F.Reads.begin(), F.Reads.end());
    }
    std::sort(Reads.begin(), Reads.end());

    for (std::size_t First = 0; First + Nodes / 4 < Reads.size(); ++First)
      CHECK(Reads[First + Nodes / 4] - Reads[First] >= DurationMs(100));
  }
}

TEST(ReadLoop, FindsASourceThatIsBackWithinItsGreatestBackoff) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.Out = true;
  Fake.run(Loop, DurationMs(3600000));
  Fake.Out = false;
  const TimeMs Back = Fake.Now;

  while (Fake.Given.empty() && Fake.Now < Back + DurationMs(60000))
    Fake.run(Loop, DurationMs(1));

  CHECK(Fake.Now - Back <= DurationMs(8000));
}
