#include "calls/MeshFixture.h"

#include <algorithm>

#include <utility>

using namespace fescuewood;

Snapshot makeConfig() {
  Snapshot Config;
  Config.Id.Revision = 1;
  Config.Services["queue"] = {"queue", 6};
  for (const char *Name : {"east", "north", "west"})
    Config.Domains[Name] = {Name, "coast", DomainStatus::In, 4};
  for (const char *Name : {"large", "small"})
    Config.Organisations[Name] = {Name, "", 1};
  Route Read;
  Read.Name = "read";
  Read.Service = "queue";
  Config.Routes.push_back(Read);
  return Config;
}

std::unique_ptr<FakeCallMesh>
makeMesh(std::uint64_t Seed, CallSettings Settings, FakeNetworkOptions Network,
         std::size_t PerDomain, const FakeTargetOptions &Target) {
  auto Mesh = std::make_unique<FakeCallMesh>(Seed, Settings, Network);
  for (const char *Domain : {"east", "north", "west"})
    for (std::size_t I = 0; I < PerDomain; ++I)
      Mesh->addNode(std::string(Domain) + "/queue-" + std::to_string(I), Domain,
                    "queue", Target);
  Mesh->setSnapshot(std::make_shared<const Snapshot>(makeConfig()));
  Mesh->publishInstances();
  Mesh->runFor(10 * SecondUs);
  return Mesh;
}

CallRequest makeRequest(const std::string &Tag, bool Idempotent) {
  CallRequest Request;
  Request.Method = Idempotent ? "GET" : "POST";
  Request.Target = "/queue";
  Request.Body = Tag;
  Request.Route = "read";
  Request.Service = "queue";
  Request.Organisation = "large";
  Request.Priority = callPriority(0, 0);
  Request.Remaining = DurationMs(2000);
  Request.Idempotent = Idempotent;
  return Request;
}

void offerRequests(FakeCallMesh &Mesh, int PerSecond, std::int64_t SpanUs) {
  const std::int64_t Until = Mesh.Time.nowUs() + SpanUs;
  while (Mesh.Time.nowUs() < Until) {
    const std::size_t Number = Mesh.Calls.size();
    Mesh.submit(Number % Mesh.Nodes.size(),
                makeRequest("tag" + std::to_string(Number), true));
    Mesh.runFor(SecondUs / PerSecond);
  }
}

std::size_t runsSince(const FakeCallMesh &Mesh, std::size_t At,
                      std::int64_t FromUs) {
  const auto &Starts = Mesh.Nodes.at(At)->Target->RunStartsUs;
  return static_cast<std::size_t>(
      Starts.end() - std::lower_bound(Starts.begin(), Starts.end(), FromUs));
}

int crashCount(const FakeCallMesh &Mesh) {
  int Crashes = 0;
  for (const auto &Node : Mesh.Nodes)
    Crashes += Node->Target->Crashes;
  return Crashes;
}

std::string invariantViolation(const FakeCallMesh &Mesh, std::uint32_t Slots) {
  for (const FakeCall &Call : Mesh.Calls) {
    const std::string CallLabel = " (" + Call.Tag + ")";
    if (Call.Answers != 1)
      return "answered " + std::to_string(Call.Answers) + " times" + CallLabel;
    const int Runs = Mesh.runsOf(Call.Tag);
    if (Call.Answer.Reason == ResultCode::Ok && Call.Answer.Status == 200 &&
        Call.Answer.Body !=
            answerBody(Call.Tag,
                       Mesh.Nodes.front()->Target->paddingBytes(Call.Route)))
      return "got the answer to another call" + CallLabel;
    if (!Call.Idempotent && Runs > 1)
      return "ran twice" + CallLabel;
    if (Call.Answer.RequestOutcome == Outcome::NotRun && Runs > 0)
      return "was reported as not run, but ran" + CallLabel;
    if (Call.Answer.RequestOutcome == Outcome::Ran && Runs == 0)
      return "was reported as ran, but did not run" + CallLabel;
  }
  for (const auto &Node : Mesh.Nodes)
    if (Node->Target->MaxInFlight > Slots)
      return Node->Place.Name + " had calls in flight: " +
             std::to_string(Node->Target->MaxInFlight);
  return {};
}
