/// \file
/// A hand-written network in memory that joins many control cores under one
/// virtual clock: it delays, loses, doubles and cuts messages, stops, pauses
/// and restarts nodes, and has a source that can be stale or out.

#ifndef FESCUEWOOD_TESTS_NODES_FAKEFLEET_H
#define FESCUEWOOD_TESTS_NODES_FAKEFLEET_H

#include "nodes/ControlCore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Text of a file that does not compile.
inline const std::string BadText = "bad";

struct FakeNode {
  fescuewood::ControlSettings Settings;
  std::unique_ptr<fescuewood::ControlCore> Core; ///< Null while stopped.
  std::uint64_t ProcessNumber = 0;               ///< Counts its processes.
  std::uint64_t Incarnation = 0; ///< Of the present one, as long as real ones.
  bool Paused = false;
  std::vector<std::function<void()>> Waiting; ///< Arrived while paused.
  std::vector<fescuewood::Version> InForce;   ///< Of the present process.
  fescuewood::Version SeenAtSource;           ///< By the present process.
  std::vector<fescuewood::Instance> Instances;
  std::vector<bool> ViewCurrent;
};

struct FakeFaults {
  double Loss = 0;
  double Duplication = 0;
  int MaxDelayMs = 20;
};

class FakeFleet {
public:
  using SettingsHook = std::function<void(fescuewood::ControlSettings &)>;

  FakeFleet(std::size_t Domains, std::size_t NodesPerDomain, std::uint64_t Seed,
            const SettingsHook &Change = {});

  FakeFaults Faults;
  std::vector<std::unique_ptr<FakeNode>> Nodes;

  /// What the source answers; nothing while it is out.
  bool SourceDown = false;
  std::uint64_t SourceReads = 0;

  /// Sees each request that was answered, with its reply.
  std::function<void(const fescuewood::PeerRequest &, std::string_view Reply)>
      OnServed;

  /// Set when a rule was broken: a version that went back or was bad.
  std::string Violation;

  void start(std::size_t Index);
  void stop(std::size_t Index) { Nodes[Index]->Core.reset(); }
  void restart(std::size_t Index);
  void pause(std::size_t Index) { Nodes[Index]->Paused = true; }
  void resume(std::size_t Index);

  /// Cuts a domain off from all others, or joins it again.
  void cut(std::size_t Domain, bool Off);

  /// Publishes a version under the next revision and returns it.
  fescuewood::Version publish(const std::string &Text = "text");

  /// Publishes another content under the present revision.
  fescuewood::Version publishConflict();

  /// Makes the source answer with its version of \p Back versions ago.
  void setSourceLag(std::size_t Back) { SourceLag = Back; }

  void run(int Milliseconds);

  /// Runs until every running node has \p Wanted in force, for at most
  /// \p Milliseconds; returns the time it took, or -1.
  int runUntilInForce(const fescuewood::Version &Wanted, int Milliseconds);

  bool allHave(const fescuewood::Version &Wanted) const;
  fescuewood::TimeMs now() const { return Now; }

  /// Bytes of bodies sent so far by all nodes.
  std::uint64_t bodyBytes() const { return BodyBytes; }
  std::uint64_t messages() const { return Messages; }

private:
  struct Delivery {
    std::int64_t At;
    std::uint64_t Number;
    std::function<void()> Action;
    bool operator<(const Delivery &Other) const {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };

  fescuewood::ControlHooks makeHooks(std::size_t Index);
  void send(std::size_t From, const fescuewood::PeerRequest &Request,
            const fescuewood::PeerReplyHook &OnReply);
  void deliver(std::size_t From, std::size_t To, std::uint64_t ProcessNumber,
               const fescuewood::PeerRequest &Request,
               const std::function<void(fescuewood::PeerReply)> &Answer);
  void onSnapshot(std::size_t Index, const fescuewood::Version &Id);
  void readSource(std::size_t Index);
  void schedule(int Delay, std::function<void()> Action);
  void runOnNode(std::size_t Index, std::uint64_t ProcessNumber,
                 std::function<void()> Action);
  bool reachable(std::size_t From, std::size_t To) const;
  bool chance(double Probability);
  int delay();

  std::size_t NodesPerDomain;
  std::mt19937_64 Random;
  fescuewood::TimeMs Now{1000};
  std::priority_queue<Delivery> Queue;
  std::uint64_t DeliveryNumber = 0;
  std::map<std::string, std::size_t> ByAddress;
  std::set<std::size_t> CutDomains;
  std::vector<fescuewood::IntentBundle> Published;
  std::size_t SourceLag = 0;
  std::uint64_t Revision = 0;
  std::uint64_t BodyBytes = 0;
  std::uint64_t Messages = 0;
};

#endif // FESCUEWOOD_TESTS_NODES_FAKEFLEET_H
