/// \file
/// Simulated fleet: many control cores on an in-memory network with a virtual
/// clock. It can delay, lose and duplicate messages, isolate domains, stop,
/// pause and restart nodes, and make the source stale or unreachable.

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

/// Text of a file that the simulated compiler rejects.
inline const std::string BadText = "bad";

/// One node of the fleet and the observations of its hooks.
struct FakeNode {
  fescuewood::ControlSettings Settings;
  std::unique_ptr<fescuewood::ControlCore> Core; ///< Null while stopped.
  std::uint64_t ProcessNumber = 0; ///< Number of the current process.
  /// Of the current process; as large as a real one.
  std::uint64_t Incarnation = 0;
  bool Paused = false;
  /// Deliveries that arrived during a pause.
  std::vector<std::function<void()>> DeferredActions;
  /// Versions that came into force in the current process, oldest first.
  std::vector<fescuewood::Version> InForce;
  fescuewood::Version SeenAtSource; ///< Last one read by the current process.
  std::vector<fescuewood::Instance> Instances;
  fescuewood::MemberListing OwnListing; ///< The newest that it knows.
  std::vector<bool> ViewCurrent;
};

/// Faults of the network.
struct FakeFaults {
  double Loss = 0;        ///< Probability that a message is lost.
  double Duplication = 0; ///< Probability that a request is sent twice.
  int MaxDelayMs = 20;
};

/// Fleet of simulated nodes. Not thread-safe.
class FakeFleet {
public:
  using SettingsHook = std::function<void(fescuewood::ControlSettings &)>;

  FakeFleet(std::size_t Domains, std::size_t NodesPerDomain, std::uint64_t Seed,
            const SettingsHook &Change = {});

  FakeFaults Faults;
  std::vector<std::unique_ptr<FakeNode>> Nodes;

  /// Whether the source does not answer.
  bool SourceDown = false;
  std::uint64_t SourceReads = 0;

  /// Called with each answered request and its reply.
  std::function<void(const fescuewood::PeerRequest &, std::string_view Reply)>
      OnServed;

  /// Description of the last violated guarantee; empty if there was none.
  std::string Violation;

  void start(std::size_t Index);
  void stop(std::size_t Index) { Nodes[Index]->Core.reset(); }
  void restart(std::size_t Index);
  void pause(std::size_t Index) { Nodes[Index]->Paused = true; }
  void resume(std::size_t Index);

  /// Isolates a domain from all others, or reconnects it.
  void cut(std::size_t Domain, bool Isolated);

  /// Publishes a version under the next revision and returns it.
  fescuewood::Version publish(const std::string &Text = "text");

  /// Publishes different content under the current revision.
  fescuewood::Version publishConflict();

  /// Makes the source answer with the version \p Lag versions before the
  /// newest.
  void setSourceLag(std::size_t Lag) { SourceLag = Lag; }

  /// Advances the virtual clock.
  void run(int Milliseconds);

  /// Runs until every started node has \p Wanted in force, for at most
  /// \p Milliseconds. Returns the elapsed time in ms, or -1.
  int runUntilInForce(const fescuewood::Version &Wanted, int Milliseconds);

  /// Whether every started node has \p Wanted in force.
  bool allHave(const fescuewood::Version &Wanted) const;
  fescuewood::TimeMs now() const { return Now; }

  /// Total bytes of the bodies sent by all nodes.
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

/// The state of a node's target in the view of another; Down if it has none.
fescuewood::TargetState stateSeenBy(const FakeFleet &Fleet,
                                    std::size_t Observer, std::size_t Of);

/// A fleet in which each node may read the source and has a version in force.
std::unique_ptr<FakeFleet> makeReadingFleet(std::size_t Domains,
                                            std::size_t NodesPerDomain);

#endif // FESCUEWOOD_TESTS_NODES_FAKEFLEET_H
