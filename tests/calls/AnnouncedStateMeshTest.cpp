#include "calls/MeshFixture.h"

#include "support/WindowCount.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::int64_t MsUs = 1000;
constexpr std::size_t Limited = 0;

/// Time after a target first named a limit from which the limit binds.
constexpr std::int64_t ContactUs = 3 * SecondUs;

/// Requests that the platform allows a target in any 4 s.
double allowed(double PerSecond) { return 4 * 1.5 * PerSecond + 5; }

} // namespace

TEST_GROUP(AnnouncedStateMesh) {
  std::unique_ptr<FakeCallMesh> Mesh;

  void setup() override { Mesh = meshOf(3); }

  /// A warm mesh whose targets are listed and announce their state.
  static std::unique_ptr<FakeCallMesh> meshOf(std::size_t Nodes) {
    FakeTargetOptions Target;
    Target.MeanMs = 50;
    CallSettings Settings;
    Settings.Admission = AdmissionMode::Slots;
    auto Result =
        std::make_unique<FakeCallMesh>(1, Settings, FakeNetworkOptions());
    Result->Scheme.RateLimit = "Limit";
    for (std::size_t I = 0; I < Nodes; ++I) {
      Result->addNode("east/queue-" + std::to_string(I), "east", "queue",
                      Target);
      Result->listTarget(I, "first");
    }
    Result->setSnapshot(std::make_shared<const Snapshot>(makeConfig()));
    Result->publishInstances();
    Result->runFor(10 * SecondUs);
    return Result;
  }

  FakeTarget &target(std::size_t At = Limited) {
    return *Mesh->Nodes[At]->Target;
  }

  void offer(int PerSecond, std::int64_t SpanUs) {
    offerRequests(*Mesh, PerSecond, SpanUs);
  }

  void restartNode(std::size_t At, const std::string &TargetId) {
    Mesh->killNode(At);
    Mesh->startNode(At);
    Mesh->listTarget(At, TargetId);
    Mesh->publishInstances();
  }

  /// Largest number of runs that the target began in any 4 s from \p FromUs.
  std::size_t mostRunsInWindow(std::int64_t FromUs) {
    const auto &Starts = target().RunStartsUs;
    return mostInWindow(std::lower_bound(Starts.begin(), Starts.end(), FromUs),
                        Starts.end(), 4 * SecondUs);
  }

  std::size_t runsSince(std::int64_t FromUs) const {
    return ::runsSince(*Mesh, Limited, FromUs);
  }

  double shareServedSince(std::size_t First) const {
    const auto Begin = Mesh->Calls.begin() + static_cast<std::ptrdiff_t>(First);
    const auto Served =
        std::count_if(Begin, Mesh->Calls.end(), [](const FakeCall &Call) {
          return Call.Answer.Status == 200;
        });
    return static_cast<double>(Served) /
           static_cast<double>(Mesh->Calls.end() - Begin);
  }
};

TEST(AnnouncedStateMesh, TargetGetsNoMoreThanTheLimitThatItNames) {
  offer(100, 2 * SecondUs);
  target().Notice.RequestsPerSecond = 5;
  const std::int64_t NamedAt = Mesh->Time.nowUs();

  offer(100, 15 * SecondUs);

  const double Most =
      static_cast<double>(mostRunsInWindow(NamedAt + ContactUs - 2 * SecondUs));
  CHECK(Most <= allowed(5));
  CHECK(Most >= 4 * 5 - 3);
  CHECK(shareServedSince(0) > 0.97);
}

TEST(AnnouncedStateMesh, LimitHoldsWhenTheNodeOfTheTargetRestarts) {
  target().Notice.RequestsPerSecond = 2;
  offer(100, 5 * SecondUs);
  const std::int64_t From = Mesh->Time.nowUs();

  for (int Restart = 0; Restart < 3; ++Restart) {
    restartNode(Limited, "first");
    offer(100, 3 * SecondUs);
  }

  CHECK(static_cast<double>(mostRunsInWindow(From)) <= allowed(2));
}

TEST(AnnouncedStateMesh, FallingLimitHoldsAtOnce) {
  target().Notice.RequestsPerSecond = 20;
  offer(100, 6 * SecondUs);
  target().Notice.RequestsPerSecond = 1;
  const std::int64_t Lowered = Mesh->Time.nowUs();

  offer(100, 10 * SecondUs);

  CHECK(static_cast<double>(mostRunsInWindow(Lowered + SecondUs)) <=
        allowed(1));
}

TEST(AnnouncedStateMesh, TargetThatNamesNoLimitAnyMoreIsUsedAgain) {
  target().Notice.RequestsPerSecond = 1;
  offer(100, 5 * SecondUs);
  target().Notice.RequestsPerSecond.reset();
  offer(100, 3 * SecondUs);
  const std::int64_t From = Mesh->Time.nowUs();

  offer(100, 4 * SecondUs);

  CHECK(runsSince(From) > 80);
}

TEST(AnnouncedStateMesh, CallersAreRefusedAtOnceWhenAllLimitsAreUsed) {
  for (std::size_t At = 0; At < Mesh->Nodes.size(); ++At)
    target(At).Notice.RequestsPerSecond = 3;
  offer(100, 3 * SecondUs);
  const std::size_t First = Mesh->Calls.size();

  offer(100, 4 * SecondUs);
  Mesh->runFor(3 * SecondUs);

  std::size_t Refused = 0;
  for (std::size_t I = First; I < Mesh->Calls.size(); ++I) {
    const FakeCall &Call = Mesh->Calls[I];
    if (Call.Answer.Status == 200)
      continue;
    ++Refused;
    CHECK(ResultCode::TargetRateUsed == Call.Answer.Reason);
    CHECK(Outcome::NotRun == Call.Answer.RequestOutcome);
    CHECK(Call.AnsweredUs - Call.SentUs <= 200 * MsUs);
  }
  CHECK(Refused > 300);
}

TEST(AnnouncedStateMesh, LeavingTargetGetsNoMoreRequests) {
  offer(100, 2 * SecondUs);
  target().Notice.Leaving = true;
  offer(100, SecondUs);
  const std::int64_t Announced = Mesh->Time.nowUs();

  offer(100, 3 * SecondUs);
  restartNode(Limited, "first");
  offer(100, 3 * SecondUs);

  LONGS_EQUAL(0, runsSince(Announced));
  CHECK(shareServedSince(0) > 0.97);
}

// Guards against a lost probe that lets a restarted node use a leaving target.
TEST(AnnouncedStateMesh, LeavingTargetWhoseFirstProbeIsLostGetsNoRequests) {
  target().Notice.Leaving = true;
  offer(100, 2 * SecondUs);
  const std::int64_t Announced = Mesh->Time.nowUs();

  target().LostProbes = 1;
  restartNode(Limited, "first");
  offer(100, 3 * SecondUs);

  LONGS_EQUAL(0, runsSince(Announced));
}

TEST(AnnouncedStateMesh, TargetThatAnswersNoProbeIsUsed) {
  constexpr int AllProbes = 1000;
  target().LostProbes = AllProbes;
  restartNode(Limited, "first");
  offer(100, 3 * SecondUs);
  const std::int64_t From = Mesh->Time.nowUs();

  offer(100, 3 * SecondUs);

  CHECK(runsSince(From) > 50);
}

TEST(AnnouncedStateMesh, TargetAfterALeavingOneIsUsed) {
  target().Notice.Leaving = true;
  offer(100, 2 * SecondUs);
  target().Notice.Leaving = false;
  Mesh->listTarget(Limited, "second");
  Mesh->publishInstances();
  offer(100, SecondUs);
  const std::int64_t From = Mesh->Time.nowUs();

  offer(100, 3 * SecondUs);

  CHECK(runsSince(From) > 50);
}
