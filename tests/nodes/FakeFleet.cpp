#include "nodes/FakeFleet.h"

#include <algorithm>
#include <utility>

using namespace fescuewood;

namespace {

constexpr int StepMs = 10;
constexpr std::uint64_t FirstWallMs = 1'790'000'000'000;
constexpr int TickPeriodMs = 50;
constexpr int ReadPeriodMs = 500;

std::string domainName(std::size_t Domain) {
  return "domain-" + std::to_string(Domain);
}

bool isBad(const IntentBundle &Bundle) {
  return std::any_of(Bundle.Files.begin(), Bundle.Files.end(),
                     [](const IntentFile &F) { return F.Text == BadText; });
}

} // namespace

FakeFleet::FakeFleet(std::size_t Domains, std::size_t NodesPerDomain,
                     std::uint64_t Seed, const SettingsHook &Change)
    : NodesPerDomain(NodesPerDomain), Random(Seed) {
  for (std::size_t I = 0; I < Domains * NodesPerDomain; ++I) {
    auto Node = std::make_unique<FakeNode>();
    const std::string Domain = domainName(I / NodesPerDomain);
    const auto Slot = static_cast<std::uint32_t>(I % NodesPerDomain);
    Instance &Self = Node->Settings.Self;
    Self = {Domain + "/node-" + std::to_string(Slot),
            Domain,
            "service",
            Slot,
            "10.0." + std::to_string(I / 250) + "." +
                std::to_string(I % 250 + 1) + ":7000",
            TargetState::Cold};
    // The first node of each domain is a seed of all nodes.
    for (std::size_t D = 0; D < Domains; ++D)
      Node->Settings.Seeds.push_back(
          "10.0." + std::to_string(D * NodesPerDomain / 250) + "." +
          std::to_string(D * NodesPerDomain % 250 + 1) + ":7000");
    if (Change)
      Change(Node->Settings);
    ByAddress[Self.PeerAddress] = I;
    Nodes.push_back(std::move(Node));
  }
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    start(I);
}

void FakeFleet::start(std::size_t Index) {
  FakeNode &Node = *Nodes[Index];
  ++Node.ProcessNumber;
  Node.Paused = false;
  Node.DeferredActions.clear();
  Node.InForce.clear();
  Node.SeenAtSource = Version();
  Node.Incarnation =
      ((FirstWallMs + static_cast<std::uint64_t>(Now.Value)) << 20U) +
      (Node.ProcessNumber << 10U) + Random() % 1024;
  // The new core is constructed before the old one is destroyed. Replies meant
  // for the old process must not reach the new one.
  Node.Core = std::make_unique<ControlCore>(
      Node.Settings, Node.Incarnation, makeHooks(Index),
      Clock([this] { return Now; }),
      [Engine = std::mt19937_64(Random())]() mutable { return Engine(); });
}

void FakeFleet::restart(std::size_t Index) {
  stop(Index);
  start(Index);
}

void FakeFleet::resume(std::size_t Index) {
  FakeNode &Node = *Nodes[Index];
  Node.Paused = false;
  std::vector<std::function<void()>> Deferred;
  Deferred.swap(Node.DeferredActions);
  for (const auto &Action : Deferred)
    Action();
}

void FakeFleet::cut(std::size_t Domain, bool Isolated) {
  if (Isolated)
    CutDomains.insert(Domain);
  else
    CutDomains.erase(Domain);
}

Version FakeFleet::publish(const std::string &Text) {
  ++Revision;
  Published.push_back(
      {Revision, {{"10-a.ini", Text}, {"20-b.ini", std::to_string(Revision)}}});
  return Published.back().version();
}

Version FakeFleet::publishConflict() {
  IntentBundle Other = Published.back();
  Other.Files.push_back({"30-c.ini", std::to_string(Random())});
  Published.push_back(Other);
  return Other.version();
}

void FakeFleet::run(int Milliseconds) {
  for (int T = 0; T < Milliseconds; T += StepMs) {
    Now = Now + DurationMs(StepMs);
    while (!Queue.empty() && Queue.top().At <= Now.Value) {
      const auto Action = Queue.top().Action;
      Queue.pop();
      Action();
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      FakeNode &Node = *Nodes[I];
      if (!Node.Core || Node.Paused)
        continue;
      const auto Phase = static_cast<std::int64_t>(I) * StepMs;
      if ((Now.Value + Phase) % TickPeriodMs == 0)
        Node.Core->tick();
      if ((Now.Value + Phase) % ReadPeriodMs == 0)
        readSource(I);
    }
  }
}

int FakeFleet::runUntilInForce(const Version &Wanted, int Milliseconds) {
  for (int T = 0; T < Milliseconds; T += StepMs) {
    if (allHave(Wanted))
      return T;
    run(StepMs);
  }
  return allHave(Wanted) ? Milliseconds : -1;
}

bool FakeFleet::allHave(const Version &Wanted) const {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
    return !Node->Core || Node->Core->inForce() == Wanted;
  });
}

void FakeFleet::readSource(std::size_t Index) {
  ControlCore &Core = *Nodes[Index]->Core;
  if (SourceDown || Published.empty() || !Core.isReader())
    return;
  ++SourceReads;
  const std::size_t Back = std::min(SourceLag, Published.size() - 1);
  const IntentBundle &Answer = Published[Published.size() - 1 - Back];
  // Same rule as in ReadLoop.
  Version &Seen = Nodes[Index]->SeenAtSource;
  if (Core.newestSeenVersion().Revision > Seen.Revision)
    Seen = Core.newestSeenVersion();
  if (Answer.Revision < Seen.Revision || Answer.version() == Seen)
    return;
  Seen = Answer.version();
  Core.offerBundle(Answer);
}

ControlHooks FakeFleet::makeHooks(std::size_t Index) {
  ControlHooks Hooks;
  Hooks.Send = [this, Index](const PeerRequest &Request,
                             const PeerReplyHook &OnReply) {
    send(Index, Request, OnReply);
  };
  Hooks.Compile = [this](const IntentBundle &Bundle,
                         std::string &Why) -> SnapshotPtr {
    if (isBad(Bundle)) {
      Why = "10-a.ini:1: bad";
      return nullptr;
    }
    auto Result = std::make_shared<Snapshot>();
    Result->Id = Bundle.version();
    for (std::size_t D = 0; D * NodesPerDomain < Nodes.size(); ++D)
      Result->Domains[domainName(D)] = {
          domainName(D), D < 3 ? "north" : "south", DomainStatus::In,
          static_cast<std::uint32_t>(NodesPerDomain)};
    return Result;
  };
  Hooks.OnSnapshot = [this, Index](const SnapshotPtr &Applied) {
    onSnapshot(Index, Applied->Id);
  };
  Hooks.OnInstances = [this, Index](std::span<const Instance> Seen) {
    Nodes[Index]->Instances.assign(Seen.begin(), Seen.end());
  };
  Hooks.OnOwnListing = [this, Index](const MemberListing &Newest) {
    Nodes[Index]->OwnListing = Newest;
  };
  Hooks.OnViewCurrent = [this, Index](bool Current) {
    Nodes[Index]->ViewCurrent.push_back(Current);
  };
  return Hooks;
}

void FakeFleet::onSnapshot(std::size_t Index, const Version &Id) {
  std::vector<Version> &History = Nodes[Index]->InForce;
  if (!History.empty() && Id <= History.back())
    Violation = "a node went back to an older version";
  const bool Known =
      std::any_of(Published.begin(), Published.end(), [&](const auto &P) {
        return P.version() == Id && !isBad(P);
      });
  if (!Known)
    Violation = "an unpublished, partial or invalid version came into force";
  History.push_back(Id);
}

bool FakeFleet::chance(double Probability) {
  return std::uniform_real_distribution<>(0, 1)(Random) < Probability;
}

int FakeFleet::delay() {
  return 1 + static_cast<int>(Random() %
                              static_cast<std::uint64_t>(Faults.MaxDelayMs));
}

bool FakeFleet::reachable(std::size_t From, std::size_t To) const {
  const std::size_t Left = From / NodesPerDomain;
  const std::size_t Right = To / NodesPerDomain;
  return Left == Right ||
         (CutDomains.count(Left) == 0 && CutDomains.count(Right) == 0);
}

void FakeFleet::schedule(int Delay, std::function<void()> Action) {
  Queue.push({Now.Value + Delay, ++DeliveryNumber, std::move(Action)});
}

/// Runs an action on a node if its process is still the same; defers it while
/// the node is paused.
void FakeFleet::runOnNode(std::size_t Index, std::uint64_t ProcessNumber,
                          std::function<void()> Action) {
  FakeNode &Node = *Nodes[Index];
  if (!Node.Core || Node.ProcessNumber != ProcessNumber)
    return;
  if (Node.Paused)
    Node.DeferredActions.push_back(std::move(Action));
  else
    Action();
}

void FakeFleet::send(std::size_t From, const PeerRequest &Request,
                     const PeerReplyHook &OnReply) {
  const std::uint64_t ProcessNumber = Nodes[From]->ProcessNumber;
  // Delivers the reply or the timeout, whichever comes first, exactly once.
  auto Done = std::make_shared<bool>(false);
  const auto Answer = [this, From, ProcessNumber, Done,
                       OnReply](const PeerReply &Reply) {
    if (std::exchange(*Done, true))
      return;
    runOnNode(From, ProcessNumber, [OnReply, Reply] { OnReply(Reply); });
  };
  schedule(static_cast<int>(Request.Timeout.Value), [Answer] {
    Answer({std::nullopt, {}, ResultCode::PeerTimeout});
  });
  ++Messages;
  BodyBytes += Request.Body.size();
  const auto Found = ByAddress.find(Request.Address);
  if (Found == ByAddress.end())
    return;
  const std::size_t To = Found->second;
  const int Copies = chance(Faults.Duplication) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (chance(Faults.Loss))
      continue;
    schedule(delay(), [this, From, To, ProcessNumber, Request, Answer] {
      deliver(From, To, ProcessNumber, Request, Answer);
    });
  }
}

void FakeFleet::deliver(std::size_t From, std::size_t To,
                        std::uint64_t ProcessNumber, const PeerRequest &Request,
                        const std::function<void(PeerReply)> &Answer) {
  if (!reachable(From, To))
    return;
  const std::uint64_t Receiver = Nodes[To]->ProcessNumber;
  // 0 if the sending process has been replaced since.
  const std::uint64_t Incarnation = Nodes[From]->ProcessNumber == ProcessNumber
                                        ? Nodes[From]->Incarnation
                                        : 0;
  runOnNode(To, Receiver, [this, From, To, Incarnation, Request, Answer] {
    const PeerIdentity Sender{Nodes[From]->Settings.Self.Name, Incarnation};
    const std::string Body =
        Nodes[To]->Core->serve(Request.Kind, Sender, Request.Body);
    ++Messages;
    BodyBytes += Body.size();
    if (OnServed)
      OnServed(Request, Body);
    if (chance(Faults.Loss) || !reachable(From, To))
      return;
    const PeerIdentity Replier{Nodes[To]->Settings.Self.Name,
                               Nodes[To]->Incarnation};
    schedule(delay(), [Answer, Body, Replier] {
      Answer({Body, Replier, ResultCode::Ok});
    });
  });
}

TargetState stateSeenBy(const FakeFleet &Fleet, std::size_t Observer,
                        std::size_t Of) {
  const std::string &Name = Fleet.Nodes[Of]->Settings.Self.Name;
  for (const Instance &I : Fleet.Nodes[Observer]->Instances)
    if (I.Name == Name)
      return I.State;
  return TargetState::Down;
}

std::unique_ptr<FakeFleet> makeReadingFleet(std::size_t Domains,
                                            std::size_t NodesPerDomain) {
  auto Fleet = std::make_unique<FakeFleet>(
      Domains, NodesPerDomain, 5,
      [](ControlSettings &Settings) { Settings.EachNodeMayRead = true; });
  for (std::size_t I = 0; I < Fleet->Nodes.size(); ++I)
    Fleet->start(I);
  Fleet->runUntilInForce(Fleet->publish("first"), 20'000);
  return Fleet;
}
