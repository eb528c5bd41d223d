#include "soak/Soak.h"

#include "soak/TargetProcess.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

constexpr std::chrono::milliseconds PollPeriod{50};
/// Time for a mesh to start, on a machine that is busy with other work too.
constexpr DurationMs StartLimit{60'000};

std::int64_t nowMs() { return Clock::monotonic().now().Value; }

} // namespace

Soak::Soak(const Scenario &Plan, const SoakPaths &Paths, std::uint64_t Seed)
    : Plan(Plan), Seed(Seed), Processes(this->Plan, Paths),
      Traffic(Processes, Result.Seen, Seed),
      Faults(Context, this->Plan, Processes, Result.Seen) {}

SoakResult Soak::run() {
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([this](const std::error_code &Error, int Number) {
    if (!Error)
      fail(fmt::format("interrupted by signal {}", Number));
  });
  spawn(play());
  try {
    Context.run();
  } catch (const std::exception &Error) {
    fail(Error.what());
  }
  for (MeshNode &N : Processes.Nodes) {
    N.Node.end();
    N.Target.end();
  }
  Result.Faults = Faults.injected();
  Result.Seen.NodeCount = Plan.Nodes;
  try {
    for (const std::string &Record : Processes.records())
      readRecord(Record, Result.Seen);
  } catch (const std::exception &Error) {
    fail(Error.what());
  }
  if (Result.Failure.empty())
    Result.Violations = check(Result.Seen, Plan.Limits);
  return std::move(Result);
}

asio::awaitable<void> Soak::play() {
  co_await startMesh();
  for (std::size_t I = 0; I < Plan.Nodes * Plan.CallersPerNode; ++I)
    spawn(Traffic.call(I % Plan.Nodes));
  co_await Faults.inject(planFaults(Plan, Seed));
  const DurationMs Rest = Plan.Limits.Recovery + Plan.ServedTime;
  co_await standins::sleepFor(std::chrono::milliseconds(Rest.Value));
  Traffic.stop();
  while (Traffic.active() > 0) {
    co_await standins::sleepFor(PollPeriod);
  }
  // A run that a refusal denied may still come.
  constexpr std::chrono::milliseconds LateRuns{1500};
  co_await standins::sleepFor(LateRuns);
  Context.stop();
}

asio::awaitable<void> Soak::startMesh() {
  Processes.startStore();
  const std::int64_t Limit = nowMs() + StartLimit.Value;
  while (!Processes.isStoreUp()) {
    if (nowMs() > Limit)
      throw std::runtime_error("the store does not start");
    co_await standins::sleepFor(PollPeriod);
  }
  Processes.configure();
  for (std::size_t I = 0; I < Plan.Nodes; ++I) {
    Processes.startTarget(I);
    Processes.startNode(I);
  }
  spawn(renewEntries());
  spawn(watchProcesses());
  for (std::size_t I = 0; I < Plan.Nodes; ++I) {
    co_await awaitServing(I);
  }
}

asio::awaitable<void> Soak::awaitServing(std::size_t Node) {
  const std::int64_t Limit = nowMs() + StartLimit.Value;
  while (!co_await Traffic.probe(Node)) {
    if (nowMs() > Limit)
      throw std::runtime_error(fmt::format("node {} does not serve", Node));
    co_await standins::sleepFor(PollPeriod);
  }
}

asio::awaitable<void> Soak::renewEntries() {
  constexpr std::chrono::milliseconds Period{1500};
  for (;;) {
    co_await standins::sleepFor(Period);
    for (std::size_t I = 0; I < Plan.Nodes; ++I)
      if (Processes.Nodes[I].IsAnnounced)
        Processes.announce(I);
  }
}

asio::awaitable<void> Soak::watchProcesses() {
  for (;;) {
    for (std::size_t I = 0; I < Plan.Nodes; ++I) {
      MeshNode &N = Processes.Nodes[I];
      if (noteOwnEnd(N, I, Result.Seen))
        Processes.startNode(I);
      if (N.Target.poll())
        throw std::runtime_error(
            fmt::format("the target of node {} ended by itself", I));
    }
    const std::int64_t Due = nowMs() + PollPeriod.count();
    co_await standins::sleepFor(PollPeriod);
    Result.LongestDelay =
        std::max(Result.LongestDelay, DurationMs(nowMs() - Due));
  }
}

void Soak::spawn(asio::awaitable<void> Work) {
  asio::co_spawn(Context, std::move(Work), [](const std::exception_ptr &Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
}

void Soak::fail(const std::string &Reason) {
  if (Result.Failure.empty())
    Result.Failure = Reason;
  Context.stop();
}

} // namespace fescuewood::soak
