/// \file
/// Discrete-event simulation of a fleet of \ref TokenNode, for property tests
/// and benches.
///
/// A user adds nodes, schedules requests and faults, runs the simulation and
/// reads the records. The hooks and the order of events determine a run, so it
/// is reproducible when the hooks draw from a fixed seed.

#ifndef FESCUEWOOD_TESTS_SUPPORT_TOKENFLEET_H
#define FESCUEWOOD_TESTS_SUPPORT_TOKENFLEET_H

#include "organisations/TokenCodec.h"
#include "policy/TokenNode.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

/// Central token bucket that sees every request; the reference for the
/// distributed one. Starts full.
class IdealBucket {
public:
  IdealBucket(double PerSecond, double Burst)
      : PerSecond(PerSecond), Burst(Burst), Level(Burst) {}

  /// Takes a token if one is available; returns whether it did.
  bool take(double Seconds) {
    advance(Seconds);
    if (Level < 1)
      return false;
    Level -= 1;
    return true;
  }

  /// Takes a token even when the bucket is empty; see \ref overshoot.
  void record(double Seconds) {
    advance(Seconds);
    Level -= 1;
    LowestLevel = std::min(LowestLevel, Level);
  }

  /// Largest excess of recorded tokens over burst + rate * t, over all time
  /// windows of any length t.
  double overshoot() const { return std::max(0.0, -LowestLevel); }

private:
  void advance(double Seconds) {
    Level = std::min(Burst,
                     Level + PerSecond * std::max(0.0, Seconds - LastSeconds));
    LastSeconds = std::max(LastSeconds, Seconds);
  }

  double PerSecond;
  double Burst;
  double Level;
  double LastSeconds = 0;
  double LowestLevel = 0;
};

/// Counters for the requests of one organisation.
struct FleetRecord {
  FleetRecord(double PerSecond, double Burst)
      : Reference(PerSecond, Burst), Admissions(PerSecond, Burst) {}

  IdealBucket Reference;  ///< Receives every request.
  IdealBucket Admissions; ///< Records the requests that the fleet admitted.
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t IdealAdmitted = 0;
  std::uint64_t WrongRefusals = 0; ///< Refused although the reference admitted.
  std::uint64_t Waited = 0;        ///< Decided later than they arrived.
  std::uint64_t WaitedMicros = 0;  ///< Total delay of the decisions.
};

/// The simulated fleet. Times are microseconds of simulated real time; each
/// node's local clock has its own offset and drift.
class TokenFleet {
public:
  using Micros = std::int64_t;

  static constexpr Micros MicrosPerMs = 1000;

  /// Returns the delay of each delivered copy of a message; an empty vector
  /// loses the message.
  using DelayHook =
      std::function<std::vector<Micros>(std::size_t From, std::size_t To)>;

  struct NodeModel {
    SlotId Slot;
    double Drift = 0;
    std::int64_t ClockOffsetMs = 0;
    bool Alive = true;
    bool Paused = false;
    Micros PausedAt = 0;
    std::uint64_t Incarnation = 1;
    std::unique_ptr<TokenNode> Core;
    TokenPlan const *Plan = nullptr;
    std::uint64_t MessagesSent = 0;
    std::uint64_t BytesSent = 0;
    std::vector<std::function<void()>>
        PausedWork; ///< Events deferred by a pause.
  };

  TokenFleet(const TokenSettings &Settings, DelayHook Delays,
             Micros TickPeriod = 50'000)
      : Settings(Settings), Delays(std::move(Delays)), TickPeriod(TickPeriod) {}

  std::size_t addNode(const SlotId &Slot, double Drift = 0,
                      std::int64_t ClockOffsetMs = 0) {
    const std::size_t Index = Nodes.size();
    Nodes.emplace_back();
    Nodes.back().Slot = Slot;
    Nodes.back().Drift = Drift;
    Nodes.back().ClockOffsetMs = ClockOffsetMs;
    BySlot[Slot] = Index;
    at(Now + static_cast<Micros>(Index * 37 % 1000) * TickPeriod / 1000,
       [this, Index] { tick(Index); });
    return Index;
  }

  /// Starts or restarts a node without any state.
  void start(std::size_t Index, const TokenPlan &Plan) {
    NodeModel &N = Nodes[Index];
    ++N.Incarnation;
    N.Alive = true;
    N.Paused = false;
    N.PausedWork.clear();
    N.Core = std::make_unique<TokenNode>(N.Slot, Settings, localTime(N));
    apply(Index, Plan);
  }

  void apply(std::size_t Index, const TokenPlan &Plan) {
    NodeModel &N = Nodes[Index];
    N.Plan = &Plan;
    if (N.Core)
      N.Core->apply(Plan, localTime(N));
  }

  void kill(std::size_t Index) {
    NodeModel &N = Nodes[Index];
    N.Alive = false;
    N.Core.reset();
    std::erase_if(PendingRequests,
                  [&](const auto &Item) { return Item.second.Node == Index; });
  }

  void pause(std::size_t Index) {
    NodeModel &N = Nodes[Index];
    if (!std::exchange(N.Paused, true))
      N.PausedAt = Now;
  }

  void resume(std::size_t Index) {
    NodeModel &N = Nodes[Index];
    N.Paused = false;
    for (auto &Work : std::exchange(N.PausedWork, {}))
      Work();
  }

  /// Schedules \p Work to run at the time \p When, or now if that has passed.
  void at(Micros When, std::function<void()> Work) {
    Events.push({std::max(When, Now), NextOrder++, std::move(Work)});
  }

  void watch(const std::string &Organisation, double PerSecond, double Burst) {
    Records.emplace(Organisation, FleetRecord(PerSecond, Burst));
  }

  /// Simulates a request that arrives now at a node.
  ///
  /// \param MayWait whether the node may defer the decision.
  /// \param Counted whether the request enters the counters.
  void arrive(std::size_t Index, const std::string &Organisation,
              bool MayWait = true, bool Counted = true) {
    FleetRecord &R = Records.at(Organisation);
    const bool Ideal = R.Reference.take(seconds());
    if (Counted) {
      ++R.Arrived;
      R.IdealAdmitted += Ideal ? 1 : 0;
    }
    NodeModel &N = Nodes[Index];
    const std::uint64_t Ticket = ++LastTicket;
    const Request Arrived{Organisation, Index, Now, Ideal, Counted};
    if (!N.Alive || N.Paused) {
      finish(Arrived, false);
      return;
    }
    std::optional<std::uint64_t> Wait;
    if (MayWait)
      Wait = Ticket;
    const auto Decision = N.Core->charge(Organisation, localTime(N), Wait);
    if (Decision)
      finish(Arrived, Decision->Admitted);
    else
      PendingRequests.emplace(Ticket, Arrived);
    flush(Index);
  }

  void run(Micros Until) {
    while (!Events.empty() && Events.top().When <= Until) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.When;
      Next.Work();
    }
    Now = Until;
  }

  /// Whether the node can still use its share. A node that has been paused for
  /// longer than the agreement pause discards its share when it resumes, so
  /// that share no longer counts.
  bool mayAdmit(const NodeModel &N) const {
    const bool Discards =
        N.Paused &&
        Now - N.PausedAt > Settings.AgreementPause.Value * MicrosPerMs;
    return N.Core && !Discards;
  }

  /// Sums the shares of an organisation's bucket that all nodes hold now.
  TokenStatistics held(const std::string &Organisation) {
    TokenStatistics Sum;
    for (NodeModel &N : Nodes) {
      if (!mayAdmit(N))
        continue;
      const auto Figures = N.Core->statistics(localTime(N));
      const auto It = Figures.find(Organisation);
      if (It == Figures.end())
        continue;
      Sum.Level += It->second.Level;
      Sum.RateHeld += It->second.RateHeld;
      Sum.CapHeld += It->second.CapHeld;
    }
    return Sum;
  }

  Micros now() const { return Now; }
  double seconds() const { return static_cast<double>(Now) / 1e6; }
  std::vector<NodeModel> &nodes() { return Nodes; }
  std::map<std::string, FleetRecord> &records() { return Records; }

  /// Returns, at each tick, whether membership knows that the marks of all
  /// nodes agree.
  std::function<bool(std::size_t Index)> Agreement = [](std::size_t) {
    return true;
  };

  /// Transport overhead per message: envelope, seal, TCP and IP headers.
  static constexpr std::uint64_t EnvelopeBytes = 150;

private:
  struct Event {
    Micros When = 0;
    std::uint64_t Order = 0;
    std::function<void()> Work;

    bool operator<(const Event &Other) const {
      return std::tie(When, Order) > std::tie(Other.When, Other.Order);
    }
  };
  struct Request {
    std::string Organisation;
    std::size_t Node = 0;
    Micros Arrived = 0;
    bool Ideal = false;
    bool Counted = true;
  };

  TimeMs localTime(const NodeModel &N) const {
    const double Local = static_cast<double>(Now) * (1 + N.Drift) / 1000;
    return TimeMs(N.ClockOffsetMs + static_cast<std::int64_t>(Local));
  }

  void finish(const Request &R, bool Admitted) {
    FleetRecord &Record = Records.at(R.Organisation);
    if (Admitted)
      Record.Admissions.record(seconds());
    if (!R.Counted)
      return;
    Record.Admitted += Admitted ? 1 : 0;
    Record.WrongRefusals += !Admitted && R.Ideal ? 1 : 0;
    if (Now > R.Arrived) {
      ++Record.Waited;
      Record.WaitedMicros += static_cast<std::uint64_t>(Now - R.Arrived);
    }
  }

  void tick(std::size_t Index) {
    NodeModel &N = Nodes[Index];
    if (N.Core && N.Alive && !N.Paused) {
      if (Agreement(Index))
        N.Core->onAgreement(localTime(N));
      N.Core->tick(localTime(N));
      flush(Index);
    }
    at(Now + TickPeriod, [this, Index] { tick(Index); });
  }

  void flush(std::size_t Index) {
    NodeModel &N = Nodes[Index];
    for (const ChargeDecision &D : N.Core->takeDecided()) {
      const auto Found = PendingRequests.extract(D.Ticket);
      if (Found)
        finish(Found.mapped(), D.Decision.Admitted);
    }
    for (TokenRequestMessage &A : N.Core->takeRequests())
      sendRequest(Index, std::move(A));
  }

  void countMessage(NodeModel &N, std::size_t BodyBytes) {
    ++N.MessagesSent;
    N.BytesSent += BodyBytes + EnvelopeBytes;
  }

  void sendRequest(std::size_t From, TokenRequestMessage A) {
    NodeModel &N = Nodes[From];
    countMessage(N, encodeTokenRequests(A.TokenRequests).size());
    const auto It = BySlot.find(A.Meter);
    if (It == BySlot.end())
      return;
    const std::size_t To = It->second;
    for (Micros Delay : Delays(From, To)) {
      at(Now + Delay, [this, From, To, TokenRequests = A.TokenRequests,
                       Sender = N.Incarnation] {
        deliver(To, [this, From, To, TokenRequests, Sender] {
          answer(From, To, TokenRequests, Sender);
        });
      });
    }
  }

  void answer(std::size_t From, std::size_t To,
              const std::vector<TokenRequest> &TokenRequests,
              std::uint64_t Sender) {
    NodeModel &Meter = Nodes[To];
    const HolderId Holder{Nodes[From].Slot.Domain + "/" +
                              std::to_string(Nodes[From].Slot.Slot),
                          Sender};
    const auto Grants =
        Meter.Core->answer(Holder, TokenRequests, localTime(Meter));
    flush(To);
    if (Grants.empty())
      return;
    const std::string Body = encodeGrants(Grants);
    countMessage(Meter, Body.size());
    const std::vector<TokenGrant> Received = *decodeGrants(Body);
    for (Micros Delay : Delays(To, From)) {
      at(Now + Delay, [this, From, To, Received, Sender] {
        deliver(From, [this, From, To, Received, Sender] {
          // The connection of a reply ends with the process that asked.
          if (Nodes[From].Incarnation != Sender)
            return;
          for (const TokenGrant &Grant : Received)
            Nodes[From].Core->onGrant(Nodes[To].Slot, Grant,
                                      localTime(Nodes[From]));
          flush(From);
        });
      });
    }
  }

  void deliver(std::size_t Index, std::function<void()> Work) {
    NodeModel &N = Nodes[Index];
    if (!N.Alive || !N.Core)
      return;
    if (N.Paused)
      N.PausedWork.push_back(std::move(Work));
    else
      Work();
  }

  TokenSettings Settings;
  DelayHook Delays;
  Micros TickPeriod;
  Micros Now = 0;
  std::uint64_t NextOrder = 0;
  std::uint64_t LastTicket = 0;
  std::vector<NodeModel> Nodes;
  std::map<SlotId, std::size_t> BySlot;
  std::priority_queue<Event> Events;
  std::map<std::uint64_t, Request> PendingRequests;
  std::map<std::string, FleetRecord> Records;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SUPPORT_TOKENFLEET_H
