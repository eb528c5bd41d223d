#include "organisations/OrganisationLimiter.h"

#include "organisations/TokenCodec.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Snapshot twoDomains(double PerSecond, double Burst) {
  Snapshot S;
  S.Id.Revision = 1;
  for (const char *Name : {"caruaru", "recife"})
    S.Domains[Name] = {Name, "agreste", DomainStatus::In, 2};
  S.Rates["rate"] = {"rate", PerSecond, Burst};
  S.Organisations["registry"] = {"registry", "rate", 1};
  return S;
}

/// Four limiters connected by direct calls, with one simulated clock.
struct FakeFleet {
  FakeFleet() {
    for (const char *Domain : {"caruaru", "recife"}) {
      for (std::uint32_t Slot = 0; Slot < 2; ++Slot)
        add(Domain, Slot);
    }
    for (auto &L : Limiters) {
      L->setInstances(Instances);
      L->setSnapshot(std::make_shared<Snapshot>(twoDomains(10, 20)));
      L->start();
    }
  }

  void add(const std::string &Domain, std::uint32_t Slot) {
    const std::string Name = Domain + "/" + std::to_string(Slot);
    const std::size_t Index = Limiters.size();
    Instances.push_back({Name, Domain, "queue", Slot, std::to_string(Index),
                         TargetState::Ready});
    LimiterHooks Hooks;
    Hooks.Now = Clock([this] { return TimeMs(NowMs.load()); });
    Hooks.Send = [this, Name](const PeerRequest &Request,
                              const PeerReplyHook &OnReply) {
      PeerReply Reply;
      if (!Disconnected)
        Limiters[std::stoul(Request.Address)]->handlePeer(
            {Name, 1}, Request.Body,
            [&Reply](std::string Body) { Reply.Body = std::move(Body); });
      OnReply(Reply);
    };
    Hooks.OnEvent = [this](const Event &E) {
      std::lock_guard<std::mutex> Lock(Mutex);
      Events.push_back(E.Id);
    };
    Limiters.push_back(std::make_unique<OrganisationLimiter>(
        LimiterIdentity{Name, Domain, Slot, 1}, TokenSettings(), Hooks));
  }

  ~FakeFleet() {
    for (auto &L : Limiters)
      L->stop();
  }

  /// Advances the clock until all meters are full, in steps too short to be
  /// detected as a pause. The duties tick in real time meanwhile.
  void fillMeters() {
    constexpr int MaxSteps = 6000;
    for (int I = 0; I < MaxSteps && tokensHeld() < FullBurst; ++I) {
      NowMs += 100;
      for (auto &L : Limiters)
        L->charge("nobody");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(tokensHeld() >= FullBurst);
  }

  double tokensHeld() {
    double Sum = 0;
    for (auto &L : Limiters)
      for (const OrganisationStatus &S : L->status().Organisations)
        Sum += S.TokensHeld;
    return Sum;
  }

  bool hasEvent(EventId Id) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::find(Events.begin(), Events.end(), Id) != Events.end();
  }

  /// Usable burst: the configured one without the tokens of one clock step.
  static constexpr double FullBurst = 19.98;

  std::atomic<std::int64_t> NowMs{1000};
  std::atomic<bool> Disconnected{false};
  std::vector<Instance> Instances;
  std::vector<std::unique_ptr<OrganisationLimiter>> Limiters;
  std::mutex Mutex;
  std::vector<EventId> Events;
};

} // namespace

TEST_GROUP(OrganisationLimiter) {
  // Written by hooks that may be called as late as the destruction of Fleet, so
  // declared before it.
  std::atomic<std::size_t> Admitted = 0;
  std::atomic<bool> Retried = false;
  FakeFleet Fleet;
};

TEST(OrganisationLimiter,
     AdmitsNothingBeforeTheFenceEndsAndTheBurstAfterwards) {
  const RateDecision Early = Fleet.Limiters[0]->charge("registry");
  Fleet.fillMeters();

  for (int I = 0; I < 60; ++I)
    Fleet.Limiters[0]->charge(
        "registry", [this](RateDecision D) { Admitted += D.Admitted ? 1 : 0; });

  CHECK_FALSE(Early.Admitted);
  // One node gets the burst of all meters, and no more.
  CHECK(Admitted >= 19);
  CHECK(Admitted <= 20);
}

TEST(OrganisationLimiter, RetryIsAdmittedAfterTheReturnedDelay) {
  Fleet.fillMeters();
  // Use the synchronous form, so that no request is queued before the retry.
  RateDecision Last{true, DurationMs(0)};
  while (Last.Admitted)
    Last = Fleet.Limiters[1]->charge("registry");

  Fleet.NowMs += Last.RetryAfter.Value;
  Fleet.Limiters[1]->charge("registry",
                            [this](RateDecision D) { Retried = D.Admitted; });

  CHECK(Last.RetryAfter > DurationMs(0));
  CHECK(Retried.load());
}

TEST(OrganisationLimiter, DiscardsTokensAfterAPause) {
  Fleet.fillMeters();
  Fleet.Disconnected = true;

  Fleet.NowMs += 60'000;

  for (auto &L : Fleet.Limiters)
    Admitted += L->charge("registry").Admitted ? 1 : 0;
  LONGS_EQUAL(0, Admitted.load());
  CHECK(Fleet.hasEvent(EventId::TokensDiscarded));
}

TEST(OrganisationLimiter, DisablesSharesWhileAnotherInstanceClaimsItsSlot) {
  Fleet.fillMeters();
  Fleet.Disconnected = true;
  std::vector<Instance> WithConflict = Fleet.Instances;
  WithConflict.push_back(
      {"intruder", "caruaru", "queue", 0, "127.50.0.9:1", TargetState::Ready});

  Fleet.Limiters[0]->setInstances(WithConflict);

  CHECK_FALSE(Fleet.Limiters[0]->status().Metering);
  CHECK_FALSE(Fleet.Limiters[0]->charge("registry").Admitted);
  CHECK(Fleet.hasEvent(EventId::SlotConflict));
}

TEST(OrganisationLimiter, MalformedMessageGetsNoGrantsAndIsReported) {
  std::string Reply;

  Fleet.Limiters[0]->handlePeer(
      {"stranger", 1}, "\xff\x00garbage",
      [&](std::string Body) { Reply = std::move(Body); });

  CHECK(decodeGrants(Reply).has_value());
  CHECK(decodeGrants(Reply)->empty());
  CHECK(Fleet.hasEvent(EventId::TokenMessageRefused));
}
