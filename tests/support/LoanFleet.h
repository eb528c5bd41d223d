/// \file
/// Discrete-event simulation of a fleet of \ref TokenLoans with faults, for
/// property tests. Reproducible: the seed determines a run.

#ifndef FESCUEWOOD_TESTS_SUPPORT_LOANFLEET_H
#define FESCUEWOOD_TESTS_SUPPORT_LOANFLEET_H

#include "policy/TokenLoans.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

/// Nodes in failure domains, with messages that take 1 to 3 ms.
class LoanFleet {
public:
  struct Organisation {
    std::string Name;
    double Demand = 0; ///< Mean requests per second, over the whole fleet.
    Rate Limit;
    std::vector<TimeMs> Admitted;
    std::uint64_t Asked = 0;
    std::uint64_t Refused = 0;
  };

  LoanFleet(std::size_t Count, std::size_t Domains, RateBound Bound,
            std::uint32_t Seed)
      : Bound(Bound), Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      addInstance(I % Domains);
    at(Now, [this] { tick(); });
  }

  /// Adds an organisation whose requests enter at random nodes.
  void addOrganisation(double Demand, double PerSecond, double Burst) {
    const std::string Name = "org-" + std::to_string(Organisations.size());
    Config.Organisations[Name] = {Name, Name, 1};
    Config.Rates[Name] = {Name, PerSecond, Burst};
    Organisations.push_back({Name, Demand, Config.Rates[Name], {}, 0, 0});
  }

  /// Starts all nodes with the same list of instances.
  void startAll() {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      start(I);
  }

  /// Starts or restarts a node without any state.
  void start(std::size_t Index) {
    Node &N = Nodes[Index];
    const Instance &Own = Listed[Index];
    ++N.Incarnation;
    N.PausedUntil = Now;
    N.Core = std::make_unique<TokenLoans>(Own.Name, Own.Domain, Bound);
    N.Core->setInstances(Listed, Now);
    N.Core->setRates(Config, Now);
  }

  void stop(std::size_t Index) { Nodes[Index].Core.reset(); }

  /// The node neither runs nor answers until \p Until.
  void pause(std::size_t Index, TimeMs Until) {
    Nodes[Index].PausedUntil = Until;
  }

  /// Adds a node; the others list it after up to \p MaxLag.
  std::size_t join(DurationMs MaxLag) {
    const std::size_t Index = addInstance(pick(domains()));
    start(Index);
    announce(MaxLag);
    return Index;
  }

  /// Takes a node that keeps running off the lists of the others, each after up
  /// to \p MaxLag.
  void unlist(std::size_t Index, DurationMs MaxLag) {
    Unlisted.push_back(Listed[Index].Name);
    announce(MaxLag);
  }

  /// Cuts a failure domain off from all others, or ends the cut.
  void setCut(std::size_t Domain, bool On) { Cut[Domain] = On; }

  /// From now on this share of the admitted requests does not run; each gives
  /// its token back up to \p MaxDelay later.
  void setNotRun(double Share, DurationMs MaxDelay) {
    NotRun = Share;
    MaxReturnDelay = MaxDelay;
  }

  /// From now on all requests enter at nodes of one failure domain.
  void enterOnlyAt(std::size_t Domain) { EntryDomain = Domain; }

  /// Requests arrive at all nodes from now until \p Until.
  void ask(DurationMs For, double Factor = 1) {
    for (std::size_t I = 0; I < Organisations.size(); ++I)
      arriveAgain(I, Now + For, Factor);
  }

  void run(DurationMs For) {
    const TimeMs Until = Now + For;
    while (!Events.empty() && Events.top().When <= Until) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.When;
      Next.Work();
    }
    Now = Until;
  }

  void at(TimeMs When, std::function<void()> Work) {
    Events.push({When, NextOrder++, std::move(Work)});
  }

  /// Fraction of all requests that were refused.
  double refusedShare() const {
    double Asked = 0;
    double Refused = 0;
    for (const Organisation &Each : Organisations) {
      Asked += static_cast<double>(Each.Asked);
      Refused += static_cast<double>(Each.Refused);
    }
    return Asked > 0 ? Refused / Asked : 0;
  }

  /// Largest fraction of its bound that an organisation used in any window.
  double largestUse() const {
    double Largest = 0;
    for (const Organisation &Each : Organisations) {
      const double Seconds = static_cast<double>(Bound.Window.Value) / 1000;
      const double Allowed =
          (Each.Limit.PerSecond * Seconds + Each.Limit.Burst) *
              (1 + Bound.Overage) +
          Bound.Slack;
      Largest = std::max(Largest, busiestWindow(Each) / Allowed);
    }
    return Largest;
  }

  std::size_t size() const { return Nodes.size(); }
  std::size_t domains() const { return Cut.size(); }
  std::size_t pick(std::size_t Count) { return Random() % Count; }
  TimeMs now() const { return Now; }
  const std::vector<Organisation> &organisations() const {
    return Organisations;
  }

  /// Messages sent for each request that arrived.
  double messagesPerRequest() const {
    double Asked = 0;
    for (const Organisation &Each : Organisations)
      Asked += static_cast<double>(Each.Asked);
    return Asked > 0 ? static_cast<double>(Messages) / Asked : 0;
  }

  /// Largest time that a request waited for its decision.
  DurationMs longestWait() const { return LongestWait; }

private:
  struct Event {
    TimeMs When;
    std::uint64_t Order = 0;
    std::function<void()> Work;

    bool operator<(const Event &Other) const {
      return std::pair(When, Order) > std::pair(Other.When, Other.Order);
    }
  };
  struct Node {
    std::unique_ptr<TokenLoans> Core;
    std::uint64_t Incarnation = 0;
    TimeMs PausedUntil;
  };
  struct Waiting {
    std::size_t Organisation = 0;
    TimeMs Since;
  };

  static constexpr DurationMs TickPeriod{50};

  std::size_t addInstance(std::size_t Domain) {
    const std::size_t Index = Nodes.size();
    Instance Added;
    Added.Name = "node-" + std::to_string(Index);
    Added.Domain = std::to_string(Domain);
    Added.PeerAddress = std::to_string(Index);
    Added.State = TargetState::Ready;
    Listed.push_back(std::move(Added));
    Nodes.emplace_back();
    if (Cut.size() <= Domain)
      Cut.resize(Domain + 1);
    return Index;
  }

  void announce(DurationMs MaxLag) {
    std::vector<Instance> Current;
    for (const Instance &Each : Listed)
      if (std::find(Unlisted.begin(), Unlisted.end(), Each.Name) ==
          Unlisted.end())
        Current.push_back(Each);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      const auto Lag = static_cast<std::size_t>(MaxLag.Value) + 1;
      at(Now + DurationMs(static_cast<std::int64_t>(pick(Lag))),
         [this, I, Current] {
           if (Nodes[I].Core)
             Nodes[I].Core->setInstances(Current, Now);
         });
    }
  }

  bool runs(std::size_t Index) const {
    return Nodes[Index].Core && Nodes[Index].PausedUntil <= Now;
  }

  bool connected(std::size_t From, std::size_t To) const {
    const std::size_t A = std::stoul(Listed[From].Domain);
    const std::size_t B = std::stoul(Listed[To].Domain);
    return A == B || (!Cut[A] && !Cut[B]);
  }

  DurationMs delay() {
    return DurationMs(static_cast<std::int64_t>(1 + pick(3)) / 2 + 1);
  }

  void arriveAgain(std::size_t Index, TimeMs Until, double Factor) {
    const double PerMs = Organisations[Index].Demand * Factor / 1000;
    std::exponential_distribution<double> Gap(PerMs);
    NextArrival[Index] += Gap(Random);
    if (NextArrival[Index] < static_cast<double>(Now.Value))
      NextArrival[Index] = static_cast<double>(Now.Value) + Gap(Random);
    const TimeMs When(static_cast<std::int64_t>(NextArrival[Index]));
    if (When >= Until)
      return;
    at(When, [this, Index, Until, Factor] {
      arrive(Index);
      arriveAgain(Index, Until, Factor);
    });
  }

  std::size_t pickEntry() {
    while (true) {
      const std::size_t At = pick(Nodes.size());
      if (!EntryDomain || Listed[At].Domain == std::to_string(*EntryDomain))
        return At;
    }
  }

  void arrive(std::size_t Index) {
    const std::size_t At = pickEntry();
    if (!runs(At))
      return;
    Organisation &Each = Organisations[Index];
    ++Each.Asked;
    const std::uint64_t Ticket = ++LastTicket;
    const auto Decided = Nodes[At].Core->charge(Each.Name, Now, Ticket);
    if (Decided)
      count(At, Each, *Decided);
    else
      Queued[Ticket] = {Index, Now};
    flush(At);
  }

  void count(std::size_t At, Organisation &Each, const RateDecision &Decision) {
    if (!Decision.Admitted)
      ++Each.Refused;
    else if (NotRun > 0 && std::bernoulli_distribution(NotRun)(Random))
      giveBackLater(At, Each.Name, Decision);
    else
      Each.Admitted.push_back(Now);
  }

  void giveBackLater(std::size_t At, const std::string &Name,
                     const RateDecision &Decision) {
    const auto Range = static_cast<std::size_t>(MaxReturnDelay.Value) + 1;
    const DurationMs Later(static_cast<std::int64_t>(pick(Range)));
    const std::uint64_t Holder = Nodes[At].Incarnation;
    at(Now + Later, [this, At, Name, Decision, Holder] {
      deliver(At, Holder, [this, At, Name, Decision] {
        Nodes[At].Core->giveBack(Name, Decision, Now);
        flush(At);
      });
    });
  }

  void flush(std::size_t Index) {
    for (const LoanDecision &Each : Nodes[Index].Core->takeDecided()) {
      const auto Found = Queued.extract(Each.Ticket);
      if (!Found)
        continue;
      LongestWait = std::max(LongestWait, Now - Found.mapped().Since);
      count(Index, Organisations[Found.mapped().Organisation], Each.Decision);
    }
    for (const LoanRequest &Loan : Nodes[Index].Core->takeRequests())
      send(Index, Loan);
  }

  void send(std::size_t From, const LoanRequest &Loan) {
    ++Messages;
    const std::uint64_t Sender = Nodes[From].Incarnation;
    const auto Replied = std::make_shared<bool>(false);
    at(Now + LoanRequestTimeout, [this, From, Loan, Sender, Replied] {
      if (std::exchange(*Replied, true))
        return;
      deliver(From, Sender, [this, From, Loan] { fail(From, Loan); });
    });
    const std::size_t To = std::stoul(Loan.Address);
    at(Now + delay(), [this, From, To, Loan, Sender, Replied] {
      if (!connected(From, To))
        return;
      deliver(To, Nodes[To].Incarnation,
              [this, From, To, Loan, Sender, Replied] {
                answer(From, To, Loan, Sender, Replied);
              });
    });
  }

  void answer(std::size_t From, std::size_t To, const LoanRequest &Loan,
              std::uint64_t Sender, const std::shared_ptr<bool> &Replied) {
    ++Messages;
    const auto Grants = Nodes[To].Core->answer({&Loan.Request, 1}, Now);
    if (!connected(From, To))
      return;
    at(Now + delay(), [this, From, Loan, Sender, Replied, Grants] {
      if (std::exchange(*Replied, true))
        return;
      deliver(From, Sender, [this, From, Loan, Grants] {
        Nodes[From].Core->onGrant(Loan, Grants.front(), Now);
        flush(From);
      });
    });
  }

  void fail(std::size_t From, const LoanRequest &Loan) {
    Nodes[From].Core->onRequestFailed(Loan, Now);
    flush(From);
  }

  /// Runs \p Work at a node, after its pause if it is paused, unless its
  /// process has ended.
  void deliver(std::size_t Index, std::uint64_t Incarnation,
               std::function<void()> Work) {
    const Node &N = Nodes[Index];
    if (!N.Core || N.Incarnation != Incarnation)
      return;
    if (runs(Index))
      Work();
    else
      at(N.PausedUntil, [this, Index, Incarnation, Work = std::move(Work)] {
        deliver(Index, Incarnation, Work);
      });
  }

  void tick() {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (!runs(I))
        continue;
      Nodes[I].Core->tick(Now);
      flush(I);
    }
    at(Now + TickPeriod, [this] { tick(); });
  }

  double busiestWindow(const Organisation &Each) const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Each.Admitted.size(); ++Last) {
      while (Each.Admitted[Last] - Each.Admitted[First] > Bound.Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return static_cast<double>(Most);
  }

  RateBound Bound;
  std::mt19937 Random;
  TimeMs Now{1'000'000};
  Snapshot Config;
  std::vector<Instance> Listed;
  std::vector<std::string> Unlisted;
  std::vector<Node> Nodes;
  std::vector<bool> Cut; ///< By failure domain.
  std::optional<std::size_t> EntryDomain;
  double NotRun = 0; ///< Share of the admitted requests.
  DurationMs MaxReturnDelay{0};
  std::vector<Organisation> Organisations;
  std::map<std::size_t, double> NextArrival; ///< By organisation, in ms.
  std::map<std::uint64_t, Waiting> Queued;   ///< By ticket.
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::uint64_t LastTicket = 0;
  std::uint64_t Messages = 0;
  DurationMs LongestWait{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SUPPORT_LOANFLEET_H
