/// \file
/// A simulated mesh: the call cores of many nodes with fake targets, in one
/// thread and in virtual time.
///
/// The simulated network loses, delays, duplicates and reorders messages. As in
/// the transport, a request ends when its connection is lost or silent.

#ifndef FESCUEWOOD_BENCH_MODEL_FAKECALLMESH_H
#define FESCUEWOOD_BENCH_MODEL_FAKECALLMESH_H

#include "calls/CallCore.h"
#include "model/FakeTarget.h"
#include "model/VirtualTime.h"
#include "nodes/PeerClient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Faults of the network between nodes.
struct FakeNetworkOptions {
  std::int64_t DelayUs = 500; ///< One-way delay between failure domains.
  std::int64_t JitterUs = 100;
  double Loss = 0; ///< Fraction of lost messages, both requests and replies.
  double Duplicate = 0; ///< Fraction of requests that arrive twice.
  double Late = 0;      ///< Fraction of messages delayed by up to \ref LateUs.
  std::int64_t LateUs = 2'000'000;
  /// Bytes per millisecond that a node can send; 0 if unlimited.
  std::uint64_t LinkBytesPerMs = 0;
  /// Bytes per millisecond that a node can receive; 0 if unlimited.
  std::uint64_t ReceiveBytesPerMs = 0;
};

/// A call as seen by its caller.
struct FakeCall {
  std::string Tag;
  std::string Organisation;
  std::string Route;
  bool Idempotent = false;
  int Answers = 0;
  fescuewood::CallAnswer Answer;
  std::int64_t SentUs = 0;
  std::int64_t AnsweredUs = 0;
};

/// A node and its target.
struct FakeNode {
  fescuewood::Instance Place;
  std::unique_ptr<fescuewood::CallCore> Core;
  std::unique_ptr<FakeTarget> Target;
  std::uint64_t Incarnation = 0;
  std::uint64_t ProcessGeneration =
      0; ///< Incremented at each start and kill of the process.
  std::int64_t PausedUntilUs = 0;
  std::int64_t LinkFreeUs = 0;    ///< When its link has sent all messages.
  std::int64_t ReceiveFreeUs = 0; ///< When it has received all messages.
  fescuewood::TargetState PublishedState = fescuewood::TargetState::Cold;
};

/// Simulated mesh. Add nodes with \ref addNode, set a configuration with
/// \ref setSnapshot, then call \ref submit and \ref runFor.
class FakeCallMesh {
public:
  FakeCallMesh(std::uint64_t Seed, fescuewood::CallSettings Settings,
               FakeNetworkOptions Network)
      : Network(Network), Settings(Settings), Random(Seed) {}

  std::size_t addNode(const std::string &Name, const std::string &Domain,
                      const std::string &Service, FakeTargetOptions Options) {
    auto Node = std::make_unique<FakeNode>();
    Node->Place.Name = Name;
    Node->Place.Domain = Domain;
    Node->Place.Service = Service;
    Node->Place.PeerAddress = Name;
    Node->Target =
        std::make_unique<FakeTarget>(Time, std::move(Options), Random());
    Nodes.push_back(std::move(Node));
    startNode(Nodes.size() - 1);
    return Nodes.size() - 1;
  }

  void setSnapshot(fescuewood::SnapshotPtr Next) {
    Config = std::move(Next);
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I]->Core)
        runOnNode(I,
                  [this](FakeNode &Node) { Node.Core->setSnapshot(Config); });
  }

  /// Passes all instances and their states to every node, like membership.
  void publishInstances() {
    std::vector<fescuewood::Instance> All;
    for (const auto &Node : Nodes) {
      All.push_back(Node->Place);
      All.back().State = Node->PublishedState;
    }
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      runOnNode(I, [All](FakeNode &Node) { Node.Core->setInstances(All); });
  }

  /// Lists the target of a node under an id, like the platform.
  void listTarget(std::size_t At, const std::string &Id) {
    listTarget(At, listing(At, Id));
  }

  void listTarget(std::size_t At, const fescuewood::ListedInstance &Listed) {
    runOnNode(At,
              [Listed](FakeNode &Node) { Node.Core->setOwnTarget(Listed); });
  }

  /// The platform's entry for the target of a node.
  fescuewood::ListedInstance listing(std::size_t At, const std::string &Id) {
    fescuewood::ListedInstance Listed;
    Listed.Name = Nodes.at(At)->Place.Name;
    Listed.Service = Nodes[At]->Place.Service;
    Listed.TargetId = Id;
    Listed.Slots = 6;
    return Listed;
  }

  /// Passes a node what others have read about its target, like membership.
  void reportListing(std::size_t At, const fescuewood::MemberListing &Report) {
    runOnNode(At,
              [Report](FakeNode &Node) { Node.Core->setOwnReport(Report); });
  }

  /// Starts the process of a node, or restarts it without its state.
  void startNode(std::size_t At) {
    FakeNode &Node = *Nodes.at(At);
    ++Node.ProcessGeneration;
    fescuewood::CallIdentity Self;
    Self.Name = Node.Place.Name;
    Self.Domain = Node.Place.Domain;
    Self.Service = Node.Place.Service;
    Self.Incarnation = SharedIncarnation.value_or(Random() | 1U);
    Self.Scheme = Scheme;
    Self.TargetListed = TargetsListed;
    Node.Incarnation = Self.Incarnation;
    Node.Core = std::make_unique<fescuewood::CallCore>(Self, Settings,
                                                       hooks(At), Time.clock());
    if (Config)
      Node.Core->setSnapshot(Config);
    scheduleTick(At, Node.ProcessGeneration);
  }

  /// Kills the process of a node. Calls that entered there get no answer.
  void killNode(std::size_t At) {
    ++Nodes.at(At)->ProcessGeneration;
    Nodes[At]->Core.reset();
    Nodes[At]->Target->discardRuns();
  }

  void pauseNode(std::size_t At, std::int64_t ForUs) {
    Nodes.at(At)->PausedUntilUs = Time.nowUs() + ForUs;
  }

  /// Keeps the link of a node busy, so that what it sends leaves it later.
  void occupyLink(std::size_t At, std::int64_t ForUs) {
    Nodes.at(At)->LinkFreeUs = Time.nowUs() + ForUs;
  }

  /// Drops all messages on the open connection between two nodes. Messages on
  /// new connections are delivered.
  void silenceConnection(std::size_t From, std::size_t To) {
    SilentConnections.insert({From, To});
  }

  /// Sends a call from an outside caller to a node and returns its index in
  /// \ref Calls. \p OnEnd is called with its answer, once it is recorded.
  std::size_t submit(std::size_t At, fescuewood::CallRequest Request,
                     std::function<void(const FakeCall &)> OnEnd = {}) {
    const std::size_t Number = Calls.size();
    FakeCall &Call = Calls.emplace_back();
    Call.Tag = Request.Body;
    Call.Organisation = Request.Organisation;
    Call.Route = Request.Route;
    Call.Idempotent = Request.Idempotent;
    Call.SentUs = Time.nowUs();
    runOnNode(At, [this, Number, Request = std::move(Request),
                   OnEnd = std::move(OnEnd)](FakeNode &Node) {
      Node.Core->submit(Number + 1, Request,
                        [this, Number, OnEnd](fescuewood::CallAnswer Answer) {
                          FakeCall &CallRecord = Calls.at(Number);
                          ++CallRecord.Answers;
                          CallRecord.Answer = std::move(Answer);
                          CallRecord.AnsweredUs = Time.nowUs();
                          if (OnEnd)
                            OnEnd(CallRecord);
                        });
    });
    return Number;
  }

  /// Number of runs of requests with this tag, over all targets.
  int runsOf(const std::string &Tag) const {
    int Total = 0;
    for (const auto &Node : Nodes) {
      const auto Found = Node->Target->RunsOf.find(Tag);
      if (Found != Node->Target->RunsOf.end())
        Total += Found->second;
    }
    return Total;
  }

  void runFor(std::int64_t SpanUs) { Time.runUntil(Time.nowUs() + SpanUs); }

  VirtualTime Time;
  FakeNetworkOptions Network;
  fescuewood::HeaderScheme Scheme; ///< Of nodes that start from now on.
  /// Incarnation of all nodes that start from now on; random ones if not set.
  std::optional<std::uint64_t> SharedIncarnation;
  /// Whether the platform lists targets; for nodes that start from now on.
  bool TargetsListed = false;
  /// Receives the events of all nodes; may be empty.
  std::function<void(std::size_t At, const fescuewood::Event &)> OnEvent;
  std::uint64_t BytesSent = 0; ///< Bodies of all messages between nodes.
  std::vector<std::unique_ptr<FakeNode>> Nodes;
  std::deque<FakeCall> Calls;
  fescuewood::SnapshotPtr Config;

private:
  static constexpr std::int64_t TickUs = 5'000;
  static constexpr std::int64_t InspectionUs = 100'000; ///< Of connections.

  /// A request between nodes that is completed at most once.
  struct Exchange {
    fescuewood::PeerReplyHook OnReply;
    bool Completed = false;
    std::uint64_t PeerGeneration = 0; ///< Of the process that it was sent to.
    std::int64_t HeardUs = 0;         ///< When its connection last showed life.
  };

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  std::int64_t delay() {
    std::int64_t Us = Network.DelayUs;
    if (Network.JitterUs > 0)
      Us += static_cast<std::int64_t>(uniform() *
                                      static_cast<double>(Network.JitterUs));
    if (Network.Late > 0 && uniform() < Network.Late)
      Us += static_cast<std::int64_t>(uniform() *
                                      static_cast<double>(Network.LateUs));
    return Us;
  }

  /// Time until a message arrives, including its transfer over the sender's
  /// link, which sends one message after the other.
  std::int64_t transferDelay(std::size_t From, std::size_t Bytes) {
    BytesSent += Bytes;
    if (Network.LinkBytesPerMs == 0)
      return delay();
    std::int64_t &FreeUs = Nodes.at(From)->LinkFreeUs;
    FreeUs = std::max(FreeUs, Time.nowUs());
    FreeUs += static_cast<std::int64_t>(Bytes * VirtualTime::UsPerMs /
                                        Network.LinkBytesPerMs);
    return FreeUs - Time.nowUs() + delay();
  }

  /// Calls \p OnArrival once a message has passed the receiving link of a node,
  /// which takes one message after the other.
  void receive(std::size_t To, std::size_t Bytes,
               std::function<void()> OnArrival) {
    if (Network.ReceiveBytesPerMs == 0) {
      OnArrival();
      return;
    }
    std::int64_t &FreeUs = Nodes.at(To)->ReceiveFreeUs;
    FreeUs = std::max(FreeUs, Time.nowUs());
    FreeUs += static_cast<std::int64_t>(Bytes * VirtualTime::UsPerMs /
                                        Network.ReceiveBytesPerMs);
    Time.after(FreeUs - Time.nowUs(), std::move(OnArrival));
  }

  /// Runs work on a node once it is not paused, unless its process was killed
  /// or restarted meanwhile.
  void runOnNode(std::size_t At, std::function<void(FakeNode &)> Work) {
    runInProcess(At, Nodes.at(At)->ProcessGeneration, std::move(Work));
  }

  void runInProcess(std::size_t At, std::uint64_t ProcessGeneration,
                    std::function<void(FakeNode &)> Work) {
    FakeNode &Node = *Nodes.at(At);
    if (Node.ProcessGeneration != ProcessGeneration || !Node.Core)
      return;
    if (Node.PausedUntilUs > Time.nowUs()) {
      Time.after(Node.PausedUntilUs - Time.nowUs(),
                 [this, At, ProcessGeneration, Work = std::move(Work)] {
                   runInProcess(At, ProcessGeneration, Work);
                 });
      return;
    }
    Work(Node);
  }

  void scheduleTick(std::size_t At, std::uint64_t ProcessGeneration) {
    Time.after(TickUs, [this, At, ProcessGeneration] {
      runInProcess(At, ProcessGeneration,
                   [this, At, ProcessGeneration](FakeNode &Node) {
                     Node.Core->tick();
                     scheduleTick(At, ProcessGeneration);
                   });
    });
  }

  fescuewood::CallHooks hooks(std::size_t At) {
    const std::uint64_t ProcessGeneration = Nodes.at(At)->ProcessGeneration;
    fescuewood::CallHooks Hooks;
    Hooks.Random = [this] { return Random(); };
    Hooks.Send = [this, At,
                  ProcessGeneration](const fescuewood::PeerRequest &Request,
                                     fescuewood::PeerReplyHook OnReply) {
      send(At, ProcessGeneration, Request, std::move(OnReply));
    };
    Hooks.OnEvent = [this, At](const fescuewood::Event &Reported) {
      if (OnEvent)
        OnEvent(At, Reported);
    };
    Hooks.OnTargetState = [this, At](fescuewood::TargetState State) {
      Nodes[At]->PublishedState = State;
    };
    Hooks.Target.Run = [this, At, ProcessGeneration](
                           const fescuewood::CallRequest &Request,
                           fescuewood::DurationMs Timeout,
                           const fescuewood::RunHook &OnResult) {
      Nodes[At]->Target->run(
          Request, Timeout,
          [this, At, ProcessGeneration,
           OnResult](const fescuewood::RunResult &Result) {
            runInProcess(At, ProcessGeneration,
                         [OnResult, Result](FakeNode &) { OnResult(Result); });
          });
    };
    Hooks.Target.Cancel = [this, At](const fescuewood::CallId &Id) {
      Nodes[At]->Target->cancel(Id);
    };
    Hooks.Target.Probe =
        [this, At, ProcessGeneration](
            const std::function<void(const fescuewood::ProbeResult &)>
                &OnResult) {
          Nodes[At]->Target->probe([this, At, ProcessGeneration, OnResult](
                                       const fescuewood::ProbeResult &Result) {
            runInProcess(At, ProcessGeneration,
                         [OnResult, Result](FakeNode &) { OnResult(Result); });
          });
        };
    return Hooks;
  }

  void send(std::size_t From, std::uint64_t ProcessGeneration,
            const fescuewood::PeerRequest &Request,
            fescuewood::PeerReplyHook OnReply) {
    auto Open = std::make_shared<Exchange>();
    Open->OnReply = std::move(OnReply);
    Time.after(Request.Timeout.Value * VirtualTime::UsPerMs,
               [this, From, ProcessGeneration, Open] {
                 completeExchange(From, ProcessGeneration, Open, {});
               });
    const auto To = find(Request.Address);
    if (!To)
      return;
    Open->PeerGeneration = Nodes[*To]->ProcessGeneration;
    Open->HeardUs = Time.nowUs();
    inspectLater(From, ProcessGeneration, *To, Request.Route, Open);
    if (isLost(From, *To, Request.Route))
      return;
    const int Copies = uniform() < Network.Duplicate ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      Time.after(transferDelay(From, Request.Body.size()),
                 [this, From, ProcessGeneration, To, Request, Open] {
                   receive(*To, Request.Body.size(),
                           [this, From, ProcessGeneration, To, Request, Open] {
                             runOnNode(*To, [this, From, ProcessGeneration, To,
                                             Request, Open](FakeNode &Node) {
                               deliver(From, ProcessGeneration, *To, Node,
                                       Request, Open);
                             });
                           });
                 });
    }
  }

  /// Ends an exchange when its connection is lost or silent for too long.
  void inspectLater(std::size_t From, std::uint64_t ProcessGeneration,
                    std::size_t To, fescuewood::PeerRoute Route,
                    const std::shared_ptr<Exchange> &Open) {
    Time.after(InspectionUs, [this, From, ProcessGeneration, To, Route, Open] {
      if (Open->Completed)
        return;
      if (answersHeartbeats(From, To, Route))
        Open->HeardUs = Time.nowUs();
      const fescuewood::ResultCode Reason = connectionState(To, *Open);
      if (Reason == fescuewood::ResultCode::Ok)
        inspectLater(From, ProcessGeneration, To, Route, Open);
      else
        completeExchange(From, ProcessGeneration, Open,
                         {std::nullopt, {}, Reason});
    });
  }

  /// Ok while the connection of an exchange is in use.
  fescuewood::ResultCode connectionState(std::size_t To,
                                         const Exchange &Open) const {
    const std::int64_t SilenceLimitUs =
        fescuewood::PeerClientOptions().SilenceLimit.Value *
        VirtualTime::UsPerMs;
    const FakeNode &Peer = *Nodes[To];
    if (Peer.Core && Peer.ProcessGeneration != Open.PeerGeneration)
      return fescuewood::ResultCode::PeerConnectionLost;
    return Time.nowUs() - Open.HeardUs > SilenceLimitUs
               ? fescuewood::ResultCode::PeerSilent
               : fescuewood::ResultCode::Ok;
  }

  /// Whether a heartbeat on a connection is answered now. A node that is paused
  /// itself does not count the silence.
  bool answersHeartbeats(std::size_t From, std::size_t To,
                         fescuewood::PeerRoute Route) const {
    if (Nodes[From]->PausedUntilUs > Time.nowUs())
      return true;
    const bool Silent = Route == fescuewood::PeerRoute::Reuse &&
                        SilentConnections.contains({From, To});
    return Nodes[To]->Core && Nodes[To]->PausedUntilUs <= Time.nowUs() &&
           !Silent;
  }

  void deliver(std::size_t From, std::uint64_t ProcessGeneration,
               std::size_t To, FakeNode &Node,
               const fescuewood::PeerRequest &Request,
               const std::shared_ptr<Exchange> &Open) {
    const fescuewood::PeerIdentity Sender{Node.Place.Name, Node.Incarnation};
    const fescuewood::PeerRoute Route = Request.Route;
    Node.Core->handlePeer(
        Request.Kind, Request.Body,
        [this, From, ProcessGeneration, To, Open, Sender,
         Route](std::string Body) {
          if (isLost(From, To, Route))
            return;
          const std::int64_t DelayUs = transferDelay(To, Body.size());
          fescuewood::PeerReply Reply;
          Reply.Body = std::move(Body);
          Reply.Sender = Sender;
          Time.after(DelayUs, [this, From, ProcessGeneration, Open, Reply] {
            receive(From, Reply.Body->size(),
                    [this, From, ProcessGeneration, Open, Reply] {
                      completeExchange(From, ProcessGeneration, Open, Reply);
                    });
          });
        });
  }

  void completeExchange(std::size_t From, std::uint64_t ProcessGeneration,
                        const std::shared_ptr<Exchange> &Open,
                        const fescuewood::PeerReply &Reply) {
    if (Open->Completed)
      return;
    Open->Completed = true;
    runInProcess(From, ProcessGeneration,
                 [Open, Reply](FakeNode &) { Open->OnReply(Reply); });
  }

  bool isLost(std::size_t From, std::size_t To, fescuewood::PeerRoute Route) {
    if (Route == fescuewood::PeerRoute::Reuse &&
        SilentConnections.contains({From, To}))
      return true;
    return Network.Loss > 0 && uniform() < Network.Loss;
  }

  std::optional<std::size_t> find(const std::string &Address) const {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I]->Place.PeerAddress == Address)
        return I;
    return std::nullopt;
  }

  fescuewood::CallSettings Settings;
  std::mt19937_64 Random;
  std::set<std::pair<std::size_t, std::size_t>> SilentConnections;
};

#endif // FESCUEWOOD_BENCH_MODEL_FAKECALLMESH_H
