// The orders of the target's queue side by side, in a mesh without
// organisations whose classes of requests compete for three targets.

#include "calls/MeshFixture.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::int64_t SpanUs = 12 * SecondUs;
constexpr double RunMs = 160;

/// Requests per second that the targets can serve: 18 slots.
constexpr double Servable = 18 * 1000 / RunMs;

/// A class of requests; each has a priority of its own, in this order.
struct RequestClass {
  const char *Route;
  int Tenths; ///< Of all requests.
  DurationMs Objective;
  DurationMs Timeout;
};

constexpr std::array<RequestClass, 3> Classes = {
    {{"read", 6, DurationMs(500), DurationMs(2500)},
     {"publish", 3, DurationMs(800), DurationMs(3000)},
     {"download", 1, DurationMs(1500), DurationMs(3000)}}};

Snapshot makeClassConfig() {
  Snapshot Config = makeConfig();
  Config.Organisations.clear();
  Config.Routes.clear();
  for (const RequestClass &Each : Classes) {
    Route Added;
    Added.Name = Each.Route;
    Added.Service = "queue";
    Added.Access = RouteAccess::Open;
    Added.Objective = Each.Objective;
    Added.Timeout = Each.Timeout;
    Config.Routes.push_back(Added);
  }
  return Config;
}

CallRequest requestOf(std::size_t Class, const std::string &Tag) {
  CallRequest Request = makeRequest(Tag, Class != 1);
  Request.Organisation.clear();
  Request.Route = Classes.at(Class).Route;
  Request.Remaining = Classes.at(Class).Timeout;
  Request.Priority = callPriority(0, static_cast<std::uint32_t>(Class));
  return Request;
}

/// What callers got of one class.
struct ClassResult {
  int Sent = 0;
  int InTime = 0; ///< Answered within the objective.
  int Answered = 0;

  double share() const { return static_cast<double>(InTime) / Sent; }
};

/// Results by class; the last is of all classes.
using MeshResult = std::array<ClassResult, Classes.size() + 1>;

std::unique_ptr<FakeCallMesh> makeClassMesh(QueueOrder Order) {
  CallSettings Settings;
  Settings.Order = Order;
  FakeTargetOptions Target;
  Target.MeanMs = RunMs;
  auto Mesh = makeMesh(41, Settings, {}, 1, Target);
  Mesh->setSnapshot(std::make_shared<const Snapshot>(makeClassConfig()));
  Mesh->runFor(SecondUs);
  return Mesh;
}

/// Offers requests at \p Load times the rate that the targets can serve.
void offerClasses(FakeCallMesh &Mesh, double Load, std::int64_t ForUs) {
  std::mt19937_64 Random(7);
  std::exponential_distribution<double> Gap(Load * Servable);
  const std::int64_t UntilUs = Mesh.Time.nowUs() + ForUs;
  while (Mesh.Time.nowUs() < UntilUs) {
    const auto Tenth = static_cast<int>(Random() % 10);
    const std::size_t Class = Tenth < 6 ? 0 : Tenth < 9 ? 1 : 2;
    const std::size_t Number = Mesh.Calls.size();
    Mesh.submit(Number % Mesh.Nodes.size(),
                requestOf(Class, "tag" + std::to_string(Number)));
    Mesh.runFor(static_cast<std::int64_t>(Gap(Random) * SecondUs));
  }
}

MeshResult runClasses(QueueOrder Order, double Load) {
  const auto Mesh = makeClassMesh(Order);
  // The limits of the targets grow.
  offerClasses(*Mesh, 0.5, 10 * SecondUs);
  const std::size_t FirstMeasured = Mesh->Calls.size();
  offerClasses(*Mesh, Load, SpanUs);
  Mesh->runFor(5 * SecondUs);
  STRCMP_EQUAL("", invariantViolation(*Mesh, 6).c_str());
  MeshResult Results;
  for (std::size_t I = FirstMeasured; I < Mesh->Calls.size(); ++I) {
    const FakeCall &Call = Mesh->Calls[I];
    for (std::size_t C = 0; C <= Classes.size(); ++C) {
      if (C < Classes.size() && Call.Route != Classes.at(C).Route)
        continue;
      ClassResult &Result = Results.at(C);
      ++Result.Sent;
      if (Call.Answer.Status != 200)
        continue;
      ++Result.Answered;
      for (const RequestClass &Each : Classes)
        if (Call.Route == Each.Route &&
            Call.AnsweredUs - Call.SentUs <= Each.Objective.Value * 1000)
          ++Result.InTime;
    }
  }
  return Results;
}

} // namespace

/// The mesh with each order, in virtual time.
TEST_GROUP(QueueOrder) {
  MeshResult Arrival;
  MeshResult Objective;

  void runBoth(double Load) {
    Arrival = runClasses(QueueOrder::Arrival, Load);
    Objective = runClasses(QueueOrder::Objective, Load);
  }

  /// By how much more of a class is answered within its objective.
  double gain(std::size_t Class) const {
    return Objective.at(Class).share() - Arrival.at(Class).share();
  }
};

// Guards against an order that costs callers answers while there is room.
TEST(QueueOrder, AnswersAsManyWithinTheirObjectivesWhileThereIsRoom) {
  runBoth(0.9);

  CHECK_COMPARE(gain(Classes.size()), >, -0.01);
  CHECK_COMPARE(Objective.at(Classes.size()).share(), >, 0.98);
}

// Guards against a queue that serves requests past their objectives while
// others become late. 0.83 of the requests can be served.
TEST(QueueOrder, AnswersMoreWithinTheirObjectivesUnderOverload) {
  runBoth(1.2);

  CHECK_COMPARE(gain(0), >, -0.03);
  CHECK_COMPARE(gain(1), >, 0.3);
  CHECK_COMPARE(gain(2), >, 0.3);
  CHECK_COMPARE(Objective.at(Classes.size()).share(), >, 0.78);
}

// Guards against ranks that starve: reads alone are 1.2 times what can be
// served.
TEST(QueueOrder, ServesEveryRankWhileTheHighestSaturatesTheTargets) {
  runBoth(2);

  CHECK_COMPARE(gain(0), >, -0.06);
  CHECK_COMPARE(Objective.at(1).share(), >, 0.08);
  CHECK_COMPARE(Objective.at(2).share(), >, 0.08);
  CHECK_COMPARE(gain(Classes.size()), >, 0.02);
}
