#include "support/Property.h"

#include "policy/Router.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Now(1'000'000);

Snapshot config(const std::string &Out = {}) {
  Snapshot Config;
  for (const char *Name : {"east", "north", "far"})
    Config.Domains[Name] = {Name, std::string(Name) == "far" ? "two" : "one",
                            Name == Out ? DomainStatus::Out : DomainStatus::In,
                            8};
  return Config;
}

std::vector<Instance> instances() {
  std::vector<Instance> All;
  for (const char *Domain : {"east", "north", "far"}) {
    for (int I = 0; I < 3; ++I) {
      Instance Added;
      Added.Name = std::string(Domain) + "/" + std::to_string(I);
      Added.Domain = Domain;
      Added.Service = "queue";
      Added.State = TargetState::Ready;
      All.push_back(Added);
    }
  }
  return All;
}

/// Stays in "east" unless another domain is faster by 100 ms.
Router nearFirst() {
  RouterSettings Settings;
  Settings.NearFirst = true;
  Settings.RegionCost = DurationMs(100);
  Settings.RemoteCost = DurationMs(1000);
  Router Near(Settings, "east");
  Near.setSnapshot(config(), Now);
  Near.setInstances(instances());
  return Near;
}

} // namespace

TEST_GROUP(Router) {
  std::mt19937_64 Engine{1};
  RandomHook Random = [this] { return Engine(); };
  Router Targets{{}, "east"};

  void setup() override {
    Targets.setSnapshot(config(), Now);
    Targets.setInstances(instances());
  }

  /// Shares of 2000 picks by failure domain; each call ends immediately.
  std::map<std::string, double> shares(TimeMs At) {
    std::map<std::string, double> Counts;
    for (int I = 0; I < 2000; ++I) {
      const Instance *Picked = Targets.pick("queue", {}, At, Random);
      if (Picked)
        Counts[Picked->Domain] += 1.0 / 2000;
    }
    return Counts;
  }
};

TEST(Router, PrefersNearTargetsAndAvoidsTheOtherRegion) {
  auto Shares = shares(Now);

  CHECK(Shares["east"] > 0.6);
  CHECK(Shares["far"] < 0.02);
}

TEST(Router, LeavesTheOwnDomainWhenItsTargetsAreFull) {
  const TargetLoad Full{6, 20, 6, DurationMs(20), TargetState::Ready};
  const TargetLoad Free{0, 0, 6, DurationMs(20), TargetState::Ready};
  for (const Instance &Each : instances())
    Targets.onLoad(Each.Name, Each.Domain == "east" ? Full : Free, Now);

  auto Shares = shares(Now);

  CHECK(Shares["north"] > 0.6);
}

TEST(Router, RampsUpADomainAfterItsReturn) {
  Targets.setSnapshot(config("north"), Now);
  const double Out = shares(Now)["north"];
  Targets.setSnapshot(config(), Now);

  const double AtOnce = shares(Now)["north"];
  const double Halfway = shares(Now + DurationMs(10000))["north"];
  const double Back = shares(Now + DurationMs(20000))["north"];

  DOUBLES_EQUAL(0, Out, 0);
  CHECK(AtOnce > 0);
  CHECK(AtOnce < 0.06);
  CHECK(Halfway > AtOnce);
  CHECK(Back > Halfway);
}

TEST(Router, AvoidsSilentNodeUntilItReportsOrTheSuspicionExpires) {
  Targets.onSilent("east/0", Now);

  const auto Picks = [this](TimeMs At) {
    int Count = 0;
    for (int I = 0; I < 200; ++I)
      Count += Targets.pick("queue", {}, At, Random)->Name == "east/0" ? 1 : 0;
    return Count;
  };

  LONGS_EQUAL(0, Picks(Now));
  CHECK_TRUE(Targets.isSuspected("east/0"));
  CHECK(Picks(Now + RouterSettings().SuspectTime) > 0);
  Targets.onLoad("east/0", {0, 0, 6, DurationMs(5), TargetState::Ready}, Now);
  CHECK(Picks(Now) > 0);
}

TEST(Router, StaysInTheOwnDomainWhileOthersAreNotFasterByTheirCost) {
  Router Near = nearFirst();
  // The expected wait is about 60 ms in the own domain and 0 elsewhere.
  const TargetLoad Busy{6, 2, 6, DurationMs(60), TargetState::Ready};
  const TargetLoad Free{0, 0, 6, DurationMs(60), TargetState::Ready};
  for (const Instance &Each : instances())
    Near.onLoad(Each.Name, Each.Domain == "east" ? Busy : Free, Now);

  for (int I = 0; I < 50; ++I)
    STRCMP_EQUAL("east", Near.pick("queue", {}, Now, Random)->Domain.c_str());
}

// An expected wait of about 200 ms in the own domain justifies the distance for
// a normal answer, but not for a large one.
TEST(Router, LeavesTheOwnDomainSoonerForNormalAnswersThanForLargeOnes) {
  Router Near = nearFirst();
  const TargetLoad Busy{6, 9, 6, DurationMs(100), TargetState::Ready};
  const TargetLoad Free{0, 0, 6, DurationMs(100), TargetState::Ready};
  for (const Instance &Each : instances())
    Near.onLoad(Each.Name, Each.Domain == "east" ? Busy : Free, Now);

  STRCMP_EQUAL("north", Near.pick("queue", {}, Now, Random)->Domain.c_str());
  STRCMP_EQUAL(
      "east",
      Near.pick("queue", {}, Now, Random, PayloadSize::Large)->Domain.c_str());
}

// Never selects an instance that is draining, down, excluded, or in a domain
// that is out or undeclared; selects one of the others if there are any.
TEST(Router, PicksOnlyEligibleInstances) {
  checkProperty("picks an eligible instance if there is one", [] {
    auto All = instances();
    for (Instance &Each : All) {
      Each.State = static_cast<TargetState>(*rc::gen::inRange(0, 4));
      if (*rc::gen::inRange(0, 10) == 0)
        Each.Domain = "undeclared";
    }
    const auto Out = *rc::gen::element<std::string>("", "east", "north", "far");
    std::vector<std::string> Excluded;
    for (const Instance &Each : All)
      if (*rc::gen::inRange(0, 3) == 0)
        Excluded.push_back(Each.Name);
    Router Tested({}, "east");
    Tested.setSnapshot(config(Out), Now);
    Tested.setInstances(All);
    std::mt19937_64 Generator(*rc::gen::arbitrary<std::uint32_t>());
    std::set<std::string> Allowed;
    for (const Instance &Each : All) {
      if (Each.State != TargetState::Draining &&
          Each.State != TargetState::Down && Each.Domain != Out &&
          Each.Domain != "undeclared" &&
          std::find(Excluded.begin(), Excluded.end(), Each.Name) ==
              Excluded.end())
        Allowed.insert(Each.Name);
    }

    const Instance *Picked = Tested.pick("queue", Excluded, Now,
                                         [&Generator] { return Generator(); });

    RC_ASSERT((Picked == nullptr) == Allowed.empty());
    if (Picked)
      RC_ASSERT(Allowed.contains(Picked->Name));
  });
}

// Guards against slow targets that get as many requests as fast ones while all
// have free slots, and so answer most of theirs late.
TEST(Router, ByFinishLeavesSlowTargetsToTheLoadThatFastOnesCannotTake) {
  RouterSettings Settings;
  Settings.NearFirst = true;
  Settings.ByFinish = true;
  Settings.RegionCost = DurationMs(1000);
  Router Uneven(Settings, "east");
  Uneven.setSnapshot(config(), Now);
  Uneven.setInstances(instances());
  const auto Report = [&](const char *Name, std::uint32_t Busy, int LatencyMs) {
    Uneven.onLoad(Name, {Busy, 0, 6, DurationMs(LatencyMs), TargetState::Ready},
                  Now);
  };
  const auto SharesOfSlow = [&] {
    double Slow = 0;
    for (int I = 0; I < 1000; ++I) {
      const Instance *Picked = Uneven.pick("queue", {}, Now, Random);
      Slow += Picked->Name == "east/0" ? 0.001 : 0;
    }
    return Slow;
  };
  Report("east/0", 1, 100);
  Report("east/1", 3, 40);
  Report("east/2", 3, 40);
  CHECK_COMPARE(SharesOfSlow(), <, 0.01);

  Report("east/1", 18, 40);
  Report("east/2", 18, 40);
  CHECK_COMPARE(SharesOfSlow(), >, 0.5);
}

// Guards against another choice where no link is scheduled: the picks are those
// of the router that knew nothing of links.
TEST(Router, PicksAsBeforeWithoutLinkDelays) {
  Router Near = nearFirst();
  std::string Picks;
  for (std::uint32_t I = 0; I < 60; ++I) {
    Router &Tested = I % 4 < 2 ? Targets : Near;
    const auto Size = I % 2 == 0 ? PayloadSize::Usual : PayloadSize::Large;
    const std::string Name = Tested.pick("queue", {}, Now, Random, Size)->Name;
    Picks += Name.front();
    Picks += Name.back();
    Tested.onSent(Name);
    Tested.onLoad(
        Name, {I % 7, I * 5 % 11, 6, DurationMs(20 + I), TargetState::Ready},
        Now);
  }

  STRCMP_EQUAL("e0e2e1e2e0e1e0e2e1e1e2e1n1e2e2e1e0e1e2e1e0e0e2e2e1n2e2e1n0n0"
               "e0e0n2n2e1e0e2n0e0e0f1n1e2e2e2e2e2e1e2e1e0e1e1e0e1e0n2e0n1e0",
               Picks.c_str());
}

// Guards against a target that is avoided after its link has sent what it
// reported, and against small requests that count its delay in full.
TEST(Router, CountsTheLinkDelayThatIsLeftForLargePayloadsOnly) {
  Targets.onLoad("east/0",
                 {0, 0, 6, DurationMs(5), TargetState::Ready, DurationMs(100)},
                 Now);
  Targets.onLoad("east/1", {42, 0, 6, DurationMs(10), TargetState::Ready}, Now);
  const std::vector<std::string> Others{
      "east/2", "north/0", "north/1", "north/2", "far/0", "far/1", "far/2"};
  const auto Picked = [&](PayloadSize Size, DurationMs Later) {
    return Targets.pick("queue", Others, Now + Later, Random, Size)->Name;
  };

  // The wait for a slot of "east/1" is about 67 ms.
  STRCMP_EQUAL("east/1", Picked(PayloadSize::Large, DurationMs(0)).c_str());
  STRCMP_EQUAL("east/0", Picked(PayloadSize::Usual, DurationMs(0)).c_str());
  STRCMP_EQUAL("east/0", Picked(PayloadSize::Large, DurationMs(50)).c_str());
}
