#include "soak/Injector.h"

#include "soak/TargetProcess.h"

#include <csignal>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

constexpr DurationMs PollPeriod{20};

std::int64_t nowMs() { return Clock::monotonic().now().Value; }

asio::awaitable<void> pause(DurationMs Duration) {
  co_await standins::sleepFor(std::chrono::milliseconds(Duration.Value));
}

} // namespace

bool noteOwnEnd(MeshNode &N, std::size_t Index, History &Seen) {
  if (N.StoppedByDriver)
    return false;
  const auto Code = N.Node.poll();
  if (Code)
    Seen.Ends.push_back({fmt::format("node {}", Index), nowMs(),
                         fmt::format("ended by itself with code {}", *Code)});
  return Code.has_value();
}

asio::awaitable<void>
Injector::inject(const std::vector<PlannedFault> &Faults) {
  const std::int64_t Start = nowMs();
  for (const PlannedFault &Fault : Faults) {
    const std::int64_t Left = Start + Fault.Start.Value - nowMs();
    if (Left > 0) {
      co_await pause(DurationMs(Left));
    }
    ++Active;
    asio::co_spawn(Context, apply(Fault), [](const std::exception_ptr &Error) {
      if (Error)
        std::rethrow_exception(Error);
    });
  }
  while (Active > 0) {
    co_await pause(PollPeriod);
  }
  Seen.LastFaultEndMs = nowMs();
}

asio::awaitable<void> Injector::apply(PlannedFault Fault) {
  // A fault that lasts longer than planned puts off the next one of its part.
  while (!Occupied.insert(partOf(Fault)).second) {
    co_await pause(PollPeriod);
  }
  const std::int64_t From = nowMs();
  const bool IsNode =
      Fault.Kind <= FaultKind::NodeStop; // SIGHUP disturbs nothing.
  const bool IsStore = Fault.Kind >= FaultKind::StoreRefuse;
  const std::size_t Index = Seen.Disturbances.size();
  if (IsNode || IsStore)
    Seen.Disturbances.push_back(
        {IsStore ? std::nullopt : std::optional(Fault.Node), From,
         Never.Value});
  const std::size_t Number = Seen.FaultTimes.size();
  Seen.FaultTimes.push_back({From, Never.Value - Plan.Limits.Contact.Value,
                             Fault.Kind == FaultKind::NodeStop,
                             Fault.Kind == FaultKind::TargetSilent});
  co_await run(Fault, Number);
  Seen.FaultTimes[Number].ToMs = nowMs();
  if (IsNode || IsStore)
    Seen.Disturbances[Index].ToMs = nowMs();
  Injected.push_back({Fault, From, nowMs()});
  Occupied.erase(partOf(Fault));
  --Active;
}

asio::awaitable<void> Injector::run(const PlannedFault &Fault,
                                    std::size_t Number) {
  const standins::Process &Node = Processes.Nodes[Fault.Node].Node;
  switch (Fault.Kind) {
  case FaultKind::NodeTerm:
  case FaultKind::NodeKill:
    co_return co_await restartNode(Fault, Number);
  case FaultKind::NodeStop:
    Node.signal(SIGSTOP);
    co_await pause(Fault.Duration);
    Node.signal(SIGCONT);
    co_return;
  case FaultKind::NodeHup:
    Node.signal(SIGHUP);
    co_return;
  case FaultKind::TargetCrash:
    co_return co_await crashTarget(Fault);
  case FaultKind::TargetLeave:
    co_return co_await leaveTarget(Fault);
  case FaultKind::TargetRepeat:
    co_return co_await misbehave(Fault, ModeRepeat);
  case FaultKind::TargetFail:
    co_return co_await misbehave(Fault, ModeFail);
  case FaultKind::TargetSilent:
    co_return co_await misbehave(Fault, ModeSilent);
  case FaultKind::TargetCut:
    co_return co_await misbehave(Fault, ModeCut);
  case FaultKind::TargetSpoilt:
    co_return co_await misbehave(Fault, ModeSpoilt);
  case FaultKind::TargetRefuse:
    co_return co_await misbehave(Fault, ModeRefuse);
  case FaultKind::Configuration:
    changeConfiguration();
    co_return;
  case FaultKind::StoreRefuse:
    co_return co_await disturbStore(Fault, "status=503");
  case FaultKind::StoreSilent:
    co_return co_await disturbStore(Fault, "silent=1");
  case FaultKind::StoreReset:
    co_return co_await disturbStore(Fault, "reset=1");
  }
}

asio::awaitable<void> Injector::restartNode(const PlannedFault &Fault,
                                            std::size_t Number) {
  MeshNode &N = Processes.Nodes[Fault.Node];
  noteOwnEnd(N, Fault.Node, Seen);
  N.StoppedByDriver = true;
  if (Fault.Kind == FaultKind::NodeTerm) {
    co_await terminateNode(Fault.Node, Number);
  }
  N.Node.end();
  co_await pause(Fault.Duration);
  Processes.startNode(Fault.Node);
}

/// Sends SIGTERM and waits until the process has ended or its time is over.
asio::awaitable<void> Injector::terminateNode(std::size_t Index,
                                              std::size_t Number) {
  MeshNode &N = Processes.Nodes[Index];
  N.Node.signal(SIGTERM);
  const std::int64_t From = nowMs();
  while (nowMs() < From + Plan.Limits.Grace.Value) {
    if (const auto Code = N.Node.poll()) {
      Seen.Drains.push_back({Index, From, nowMs(), *Code, Number});
      co_return;
    }
    co_await pause(PollPeriod);
  }
}

asio::awaitable<void> Injector::crashTarget(const PlannedFault &Fault) {
  const std::string Id = Processes.Nodes[Fault.Node].TargetId;
  Processes.crashTarget(Fault.Node);
  asio::co_spawn(Context, removeLater(Id), asio::detached);
  co_await pause(Fault.Duration);
  Processes.startTarget(Fault.Node);
}

/// The store removes an entry after three silent check-ins.
asio::awaitable<void> Injector::removeLater(std::string TargetId) {
  constexpr DurationMs Silence{4500};
  co_await pause(Silence);
  Processes.removeEntry(TargetId);
}

asio::awaitable<void> Injector::leaveTarget(const PlannedFault &Fault) {
  MeshNode &N = Processes.Nodes[Fault.Node];
  const std::string Id = N.TargetId;
  N.IsLeaving = true;
  Processes.announce(Fault.Node);
  Seen.Departures.push_back({Id, nowMs()});
  // Serves a little longer than anything may reach it, to see what does.
  co_await pause(Plan.Limits.Departure * 2);
  Processes.removeEntry(Id);
  Processes.crashTarget(Fault.Node);
  co_await pause(Fault.Duration);
  Processes.startTarget(Fault.Node);
}

asio::awaitable<void> Injector::misbehave(const PlannedFault &Fault,
                                          std::string_view Mode) {
  Processes.setMode(Fault.Node, Mode);
  co_await pause(Fault.Duration);
  Processes.setMode(Fault.Node, ModeSound);
}

asio::awaitable<void> Injector::disturbStore(const PlannedFault &Fault,
                                             const std::string &Treatment) {
  Processes.disturbStore(Fault.Node, Treatment);
  co_await pause(Fault.Duration);
  Processes.calmStore();
}

void Injector::changeConfiguration() {
  const std::string Withdrawn = Processes.configure();
  Seen.Withdrawals.push_back({Withdrawn, nowMs()});
}

} // namespace fescuewood::soak
