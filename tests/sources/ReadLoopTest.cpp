#include "sources/ReadLoop.h"

#include "support/Property.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// In-memory platform and node with a simulated clock.
struct FakePlatform {
  TimeMs Now{1000};
  std::uint64_t Revision = 1;
  std::string Text; ///< Text of the only file under Revision.
  Version NewestSeenVersion;
  bool Unreachable = false;
  bool IgnoresKnownVersion = false; ///< Always answers with Revision.
  bool IsReader = true;
  std::vector<TimeMs> Reads;
  std::vector<Version> Reported;
  std::vector<bool> States;
  std::vector<EventId> Events;

  template <typename T> std::optional<PlatformRead<T>> failure() {
    Reads.push_back(Now);
    if (!Unreachable)
      return std::nullopt;
    return PlatformRead<T>{std::nullopt, ResultCode::PlatformUnreachable, ""};
  }

  ReadLoop loop(const PlatformSettings &Settings, std::uint64_t Seed = 1) {
    PlatformSource Source;
    Source.ReadIntent = [this](const Version &KnownVersion, DurationMs Wait) {
      if (auto Failure = failure<IntentBundle>())
        return *Failure;
      const IntentBundle Shown{Revision, {{"10-a.ini", Text}}};
      if (Revision > KnownVersion.Revision ||
          (Revision == KnownVersion.Revision &&
           Shown.version() != KnownVersion) ||
          IgnoresKnownVersion)
        return PlatformRead<IntentBundle>{Shown, ResultCode::Ok, ""};
      Now = Now + Wait;
      return PlatformRead<IntentBundle>{};
    };
    Source.ReadInstances = [this](std::uint64_t AfterRevision) {
      if (auto Failure = failure<InstanceList>())
        return *Failure;
      if (AfterRevision >= 1)
        return PlatformRead<InstanceList>{};
      return PlatformRead<InstanceList>{InstanceList{1, {}, 0}, ResultCode::Ok,
                                        ""};
    };
    PlatformReaderHooks Hooks;
    Hooks.IsReader = [this] { return IsReader; };
    Hooks.NewestSeenVersion = [this] { return NewestSeenVersion; };
    Hooks.OnBundle = [this](const IntentBundle &B) {
      Reported.push_back(B.version());
    };
    Hooks.OnSourceState = [this](bool Reachable) {
      States.push_back(Reachable);
    };
    Hooks.OnEvent = [this](const Event &E) { Events.push_back(E.Id); };
    return {std::move(Source), Settings, std::move(Hooks),
            Clock([this] { return Now; }), Seed};
  }

  void run(ReadLoop &Loop, DurationMs Duration) {
    const TimeMs Deadline = Now + Duration;
    while (Now < Deadline)
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

TEST(ReadLoop, ReportsEachNewVersionOnceAndInOrder) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));

  Fake.run(Loop, DurationMs(10000));
  Fake.Revision = 4;
  Fake.run(Loop, DurationMs(10000));

  LONGS_EQUAL(2, Fake.Reported.size());
  LONGS_EQUAL(1, Fake.Reported[0].Revision);
  LONGS_EQUAL(4, Fake.Reported[1].Revision);
}

TEST(ReadLoop, ReportsNothingOlderThanTheHeldVersion) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.NewestSeenVersion.Revision = 9;
  Fake.IgnoresKnownVersion = true;

  Fake.run(Loop, DurationMs(10000));

  LONGS_EQUAL(0, Fake.Reported.size());
  CHECK(Loop.counts().Stale > 0);
}

TEST(ReadLoop, NeverReportsALowerRevisionOrRepeatsAVersion) {
  checkProperty("reported revisions never decrease", [] {
    FakePlatform F;
    F.IgnoresKnownVersion = *rc::gen::arbitrary<bool>();
    ReadLoop Loop = F.loop(settings(2000, 1200));
    for (const auto Revision : *rc::gen::container<std::vector<std::uint64_t>>(
             rc::gen::inRange<std::uint64_t>(1, 20))) {
      F.Revision = Revision;
      F.Text = *rc::gen::element<std::string>("a", "b");
      F.Unreachable = *rc::gen::arbitrary<bool>();
      F.run(Loop, DurationMs(4000));
    }

    for (std::size_t I = 1; I < F.Reported.size(); ++I) {
      RC_ASSERT(F.Reported[I].Revision >= F.Reported[I - 1].Revision);
      RC_ASSERT(F.Reported[I] != F.Reported[I - 1]);
    }
  });
}

// Two contents under one revision: whichever the node keeps, the loop must not
// read the content that the platform keeps returning again and again.
TEST(ReadLoop, ReportsEachContentUnderOneRevisionOnce) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.run(Loop, DurationMs(10000));
  Fake.NewestSeenVersion = Fake.Reported.back();

  Fake.Text = "other";
  Fake.run(Loop, DurationMs(30000));

  LONGS_EQUAL(2, Fake.Reported.size());
  LONGS_EQUAL(Fake.Reported[0].Revision, Fake.Reported[1].Revision);
  LONGS_EQUAL(0, Loop.counts().Stale);
}

TEST(ReadLoop, LimitsTheRateOfReadsFromAPlatformThatNeverWaits) {
  PlatformSettings Alone = settings(2000, 1);
  Alone.WatchWait = DurationMs(0);
  ReadLoop Loop = Fake.loop(Alone);

  Fake.run(Loop, DurationMs(10000));

  CHECK(Fake.Reads.size() <= 100);
}

TEST(ReadLoop, ReadsNothingWhileTheNodeIsNotAReader) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.IsReader = false;

  Fake.run(Loop, DurationMs(10000));
  LONGS_EQUAL(0, Fake.Reads.size());

  Fake.IsReader = true;
  Fake.run(Loop, DurationMs(3000));
  CHECK(!Fake.Reads.empty());
}

TEST(ReadLoop, ReportsAnOutageAndItsEndOnce) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.Unreachable = true;
  Fake.run(Loop, DurationMs(3600000));
  Fake.Unreachable = false;
  Fake.run(Loop, DurationMs(10000));

  CHECK((std::vector<bool>{false, true}) == Fake.States);
  LONGS_EQUAL(1, std::count(Fake.Events.begin(), Fake.Events.end(),
                            EventId::PlatformReadFailed));
}

// All nodes start together, lose the source and find it again.
TEST(ReadLoop, KeepsTheFleetWithinTheAllowance) {
  checkProperty("reads of a fleet in any second <= allowance", [] {
    const auto Nodes = *rc::gen::inRange<std::uint32_t>(1, 30);
    const auto Allowed = Nodes * *rc::gen::inRange<std::uint32_t>(1, 3);
    std::vector<TimeMs> Reads;
    for (std::uint32_t Node = 0; Node < Nodes; ++Node) {
      FakePlatform F;
      ReadLoop Loop = F.loop(settings(Allowed, Nodes), Node);
      F.run(Loop, DurationMs(5000));
      F.Unreachable = true;
      F.run(Loop, DurationMs(20000));
      F.Unreachable = false;
      F.run(Loop, DurationMs(10000));
      Reads.insert(Reads.end(), F.Reads.begin(), F.Reads.end());
    }
    std::sort(Reads.begin(), Reads.end());

    for (std::size_t First = 0; First + Allowed < Reads.size(); ++First)
      RC_ASSERT(Reads[First + Allowed] - Reads[First] >= DurationMs(1000));
  });
}

// Jitter that ends before the allowance permits the next read has no effect:
// nodes that start or fail together would then stay synchronized for good.
TEST(ReadLoop, SpreadsTheReadsOfNodesThatStartOrFailTogether) {
  constexpr std::uint32_t Nodes = 200;
  for (const bool Unreachable : {false, true}) {
    std::vector<TimeMs> Reads;
    for (std::uint32_t Node = 0; Node < Nodes; ++Node) {
      FakePlatform F;
      F.Unreachable = Unreachable;
      ReadLoop Loop = F.loop(settings(Nodes, Nodes), Node);
      F.run(Loop, DurationMs(20000));
      Reads.insert(Reads.end(), F.Reads.begin(), F.Reads.end());
    }
    std::sort(Reads.begin(), Reads.end());

    for (std::size_t First = 0; First + Nodes / 4 < Reads.size(); ++First)
      CHECK(Reads[First + Nodes / 4] - Reads[First] >= DurationMs(100));
  }
}

TEST(ReadLoop, FindsARecoveredSourceWithinTheMaximumBackoff) {
  ReadLoop Loop = Fake.loop(settings(2000, 1200));
  Fake.Unreachable = true;
  Fake.run(Loop, DurationMs(3600000));
  Fake.Unreachable = false;
  const TimeMs Back = Fake.Now;

  while (Fake.Reported.empty() && Fake.Now < Back + DurationMs(60000))
    Fake.run(Loop, DurationMs(1));

  CHECK(Fake.Now - Back <= DurationMs(8000));
}
