/// \file
/// Compares orders of the queue of one target in virtual time, and the time
/// that a decision takes.
///
/// The target has six slots and runs two kinds of requests of one priority, in
/// the proportions of a read and a publish of the design page for hard load.
/// Prints Markdown tables. The first depends only on the flags; the second, of
/// decisions, also on the machine.

#include "policy/FairQueue.h"
#include "policy/ObjectiveQueue.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "random seed of arrivals and service times");
DEFINE_uint32(seconds, 120, "duration of arrivals, in virtual seconds");
DEFINE_double(known, 1, "service time that the queue expects, as a factor");
DEFINE_uint32(queued, 1000, "requests in the queue whose decisions are timed");

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 6;

struct Kind {
  DurationMs Cost;
  DurationMs Objective;
  DurationMs Timeout;
};

const std::vector<Kind> Kinds = {
    {DurationMs(160), DurationMs(500), DurationMs(2500)},
    {DurationMs(210), DurationMs(800), DurationMs(3000)}};

/// A queue without admission, as a baseline: the request that \p IsBefore puts
/// first starts first; one past its deadline is dropped.
class PlainQueue : public CallQueue {
public:
  using Order = std::function<bool(const QueuedCall &, const QueuedCall &)>;

  explicit PlainQueue(Order IsBefore) : IsBefore(std::move(IsBefore)) {}

  bool push(QueuedCall Call, const ServiceRate &, TimeMs) override {
    const auto At =
        std::upper_bound(Calls.begin(), Calls.end(), Call, IsBefore);
    Calls.insert(At, std::move(Call));
    return true;
  }
  std::optional<CallId> pop(const ServiceRate &Rate, TimeMs Now) override {
    while (!Calls.empty()) {
      const QueuedCall Next = std::move(Calls.front());
      Calls.pop_front();
      if (Next.Deadline > Now + minRemainingTime(Next, Rate))
        return Next.Id;
    }
    return std::nullopt;
  }
  bool remove(const CallId &, TimeMs) override { return false; }
  void expire(const ServiceRate &, TimeMs) override {}
  void onSpareCapacity() override {}
  std::size_t size() const override { return Calls.size(); }
  std::size_t bytes() const override { return 0; }
  ResultCode lastReason() const override { return ResultCode::Ok; }

private:
  Order IsBefore;
  std::deque<QueuedCall> Calls;
};

std::unique_ptr<CallQueue> makeQueue(const std::string &Name,
                                     const CallQueueSettings &Settings = {}) {
  using Call = QueuedCall;
  if (Name == "arrival")
    return std::make_unique<FairQueue>(Settings, [](const CallId &) {});
  if (Name == "objective")
    return std::make_unique<ObjectiveQueue>(Settings,
                                            [](const QueueRefusal &) {});
  if (Name == "LIFO")
    return std::make_unique<PlainQueue>(
        [](const Call &L, const Call &R) { return L.Id > R.Id; });
  if (Name == "EDF")
    return std::make_unique<PlainQueue>([](const Call &L, const Call &R) {
      return L.SoftDeadline < R.SoftDeadline;
    });
  return std::make_unique<PlainQueue>(
      [](const Call &L, const Call &R) { return L.Id < R.Id; });
}

/// A target with its queue; arrivals are Poisson, half of each service time is
/// fixed and half exponential.
class TargetRun {
public:
  TargetRun(const std::string &Order, double Load)
      : Queue(makeQueue(Order)), Random(FLAGS_seed), Load(Load) {}

  std::string execute() {
    const std::int64_t EndMs = FLAGS_seconds * 1000LL;
    double NextArrival = 0;
    for (Now = TimeMs(0); Now.Value < EndMs; Now = Now + DurationMs(1)) {
      std::erase_if(Ends, [this](TimeMs End) { return End <= Now; });
      startQueued();
      Queue->expire(rate(), Now);
      while (NextArrival <= static_cast<double>(Now.Value)) {
        arrive();
        NextArrival += std::exponential_distribution<double>(perMs())(Random);
      }
      startQueued();
    }
    return fmt::format("{:.1f} / {:.1f}", percent(InTime), percent(Late));
  }

private:
  static ServiceRate rateOf(std::size_t Running) {
    return {Slots, DurationMs(Running == 0 ? 0 : 173)};
  }
  ServiceRate rate() const { return rateOf(Ends.size()); }
  double perMs() const { return Load * Slots / 173.3; }
  double percent(int Count) const { return 100.0 * Count / Arrived; }

  void arrive() {
    const Kind &Drawn = Kinds[Random() % 15 < 11 ? 0 : 1];
    QueuedCall Call;
    Call.Id = {1, static_cast<std::uint64_t>(++Arrived)};
    Call.Deadline = Now + Drawn.Timeout;
    Call.SoftDeadline = Now + Drawn.Objective;
    Call.Cost = DurationMs(static_cast<std::int64_t>(
        FLAGS_known * static_cast<double>(Drawn.Cost.Value)));
    Known[Call.Id] = {&Drawn, Call.SoftDeadline};
    Queue->push(std::move(Call), rate(), Now);
  }

  void startQueued() {
    while (Ends.size() < Slots) {
      const auto Id = Queue->pop(rate(), Now);
      if (!Id) {
        Queue->onSpareCapacity();
        return;
      }
      const auto &[Drawn, SoftDeadline] = Known.at(*Id);
      const double Factor =
          0.5 + 0.5 * std::exponential_distribution<double>(1)(Random);
      const TimeMs End =
          Now + DurationMs(static_cast<std::int64_t>(
                    Factor * static_cast<double>(Drawn->Cost.Value)));
      Ends.push_back(End);
      ++(End <= SoftDeadline ? InTime : Late);
    }
  }

  std::unique_ptr<CallQueue> Queue;
  std::mt19937_64 Random;
  double Load;
  TimeMs Now;
  std::vector<TimeMs> Ends; ///< Of the runs.
  std::map<CallId, std::pair<const Kind *, TimeMs>> Known;
  int Arrived = 0;
  int InTime = 0;
  int Late = 0;
};

/// What is timed on a queue of constant size.
enum class Timed : std::uint8_t {
  PushAndPop,
  PushWithoutRoom, ///< Refuses the arrival or displaces another request.
};

/// Microseconds per decision: the median and the 99th percentile.
std::string timeDecisions(const std::string &Order, Timed What) {
  CallQueueSettings Settings;
  const bool HasRoom = What == Timed::PushAndPop;
  if (!HasRoom)
    Settings.MaxRequests = FLAGS_queued;
  const auto Queue = makeQueue(Order, Settings);
  const ServiceRate Rate{Slots, DurationMs(1)};
  std::mt19937_64 Random(FLAGS_seed);
  std::vector<double> Times;
  std::uint64_t Next = 0;
  for (int I = 0; I < 60'000; ++I) {
    const TimeMs Now(I / 20);
    QueuedCall Call;
    Call.Id = {1, ++Next};
    Call.Cost = DurationMs(1 + static_cast<std::int64_t>(Random() % 8));
    Call.Priority = static_cast<std::uint16_t>(1 + Random() % 3);
    Call.SoftDeadline =
        Now + DurationMs(static_cast<std::int64_t>(Random() % 1500));
    Call.Deadline = Now + DurationMs(60'000);
    const auto Begin = std::chrono::steady_clock::now();
    const bool WasFull = Queue->size() >= FLAGS_queued;
    Queue->push(std::move(Call), Rate, Now);
    if (HasRoom && Queue->size() > FLAGS_queued)
      Queue->pop(Rate, Now);
    const std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Begin;
    if (WasFull)
      Times.push_back(Took.count() / (HasRoom ? 2 : 1));
  }
  if (Times.empty())
    return "never so long";
  std::sort(Times.begin(), Times.end());
  return fmt::format("{:.2f} | {:.2f}", Times[Times.size() / 2],
                     Times[Times.size() * 99 / 100]);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("compares orders of a target's queue");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const std::vector<std::string> Orders = {"FIFO", "LIFO", "EDF", "arrival",
                                           "objective"};
  std::puts("Answered within / after their objective, % of arrivals:\n\n"
            "| Order | 0.9 | 1.2 | 2 |\n|---|---|---|---|");
  for (const std::string &Order : Orders) {
    std::string Row = "| " + Order;
    for (const double Load : {0.9, 1.2, 2.0})
      Row += " | " + TargetRun(Order, Load).execute();
    std::puts((Row + " |").c_str());
  }
  std::puts("\nTime of a decision, microseconds:\n\n"
            "| Order | Decision | median | 99th percentile |\n"
            "|---|---|---|---|");
  for (const std::string Order : {"arrival", "objective"}) {
    std::puts(("| " + Order + " | push or pop | " +
               timeDecisions(Order, Timed::PushAndPop) + " |")
                  .c_str());
    std::puts(("| " + Order + " | push without room | " +
               timeDecisions(Order, Timed::PushWithoutRoom) + " |")
                  .c_str());
  }
  return 0;
}
