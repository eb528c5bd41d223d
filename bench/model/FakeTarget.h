/// \file
/// A simulated target in virtual time, with slots, a cold start, crashes and a
/// record of its runs.

#ifndef FESCUEWOOD_BENCH_MODEL_FAKETARGET_H
#define FESCUEWOOD_BENCH_MODEL_FAKETARGET_H

#include "calls/TargetPort.h"
#include "core/Digest.h"
#include "model/VirtualTime.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Behaviour of a \ref FakeTarget.
struct FakeTargetOptions {
  std::uint32_t Slots = 6;
  double MeanMs = 10;      ///< Mean service time when warm and not overloaded.
  double ColdShare = 0.34; ///< Usable fraction of the slots at a cold start.
  double ColdSlowdown = 1.5;       ///< Factor on the service time while cold.
  std::int64_t ColdUs = 6'000'000; ///< Warm-up time.
  std::int64_t RestartUs = 2'000'000;
  /// A cold target crashes when its requests exceed its capacity by this
  /// factor.
  double CrashFactor = 1.5;
  /// A warm target answers 503 when its requests exceed its slots by this
  /// factor.
  double ShedFactor = 4.0;
  /// Bytes appended to the body of each answer.
  std::size_t PaddingBytes = 0;
  std::map<std::string, std::size_t> PaddingOfRoute; ///< Instead, by route.
};

/// Largest request body that an answer repeats, in bytes.
inline constexpr std::size_t MaxRepeatedBytes = 4096;

/// The body of a target's answer to the request with this body. The answer to a
/// large body has its digest instead.
inline std::string answerBody(const std::string &RequestBody,
                              std::size_t PaddingBytes) {
  const std::string Padding(PaddingBytes, '.');
  if (RequestBody.size() <= MaxRepeatedBytes)
    return RequestBody + Padding;
  return fescuewood::Digest::sha256(RequestBody).hex() + Padding;
}

/// Body of a request that crashes every target that runs it.
inline constexpr const char *CrashBody = "crash";

/// A simulated target. Identifies requests by their body, the caller's tag.
class FakeTarget {
public:
  FakeTarget(VirtualTime &Time, FakeTargetOptions Options, std::uint64_t Seed)
      : Time(Time), Options(std::move(Options)), Random(Seed),
        Started(Time.nowUs()) {}

  void run(const fescuewood::CallRequest &Request,
           fescuewood::DurationMs Timeout, fescuewood::RunHook OnResult) {
    if (!Up) {
      fail(std::move(OnResult), fescuewood::RunFailure::NotReached,
           fescuewood::ResultCode::TargetUnreachable);
      return;
    }
    const std::uint64_t Id = NextRun++;
    Runs[Id] = {Request.Id, std::move(OnResult)};
    MaxInFlight = std::max(MaxInFlight, inFlight());
    ++RunsOf[Request.Body];
    RunStartsUs.push_back(Time.nowUs());
    ++RunsByOrganisation[Request.Organisation];
    const double Capacity = capacity();
    if (Request.Body == CrashBody ||
        (isCold() && inFlight() > Capacity * Options.CrashFactor)) {
      Time.after(VirtualTime::UsPerMs, [this, Id] {
        if (Runs.contains(Id))
          crash();
      });
      return;
    }
    if (inFlight() > Options.Slots * Options.ShedFactor) {
      answer(Id, 503, "", VirtualTime::UsPerMs);
      return;
    }
    std::exponential_distribution<double> Spread(1.0);
    // Half of the service time is fixed, so that no run is unusually short.
    double Ms = Options.MeanMs * (0.5 + 0.5 * Spread(Random));
    Ms *= std::max(1.0, inFlight() / Capacity);
    if (isCold())
      Ms *= Options.ColdSlowdown;
    const std::string Body =
        answerBody(Request.Body, paddingBytes(Request.Route));
    const auto DelayUs = static_cast<std::int64_t>(Ms * 1000);
    if (MakeInnerCalls)
      callAndAnswer(Id, Request, Body, DelayUs);
    else
      answer(Id, 200, Body, DelayUs);
    Time.after(Timeout.Value * VirtualTime::UsPerMs,
               [this, Id] { endRun(Id, fescuewood::RunFailure::TimedOut); });
  }

  void cancel(const fescuewood::CallId &Call) {
    for (const auto &[Id, Entry] : Runs) {
      if (Entry.Call == Call) {
        endRun(Id, fescuewood::RunFailure::Cancelled);
        return;
      }
    }
  }

  void
  probe(const std::function<void(const fescuewood::ProbeResult &)> &OnResult) {
    if (LostProbes > 0) {
      --LostProbes;
      Time.after(ProbeTimeoutUs,
                 [OnResult] { OnResult(fescuewood::ProbeResult()); });
      return;
    }
    Time.after(VirtualTime::UsPerMs, [this, OnResult] {
      fescuewood::ProbeResult Result;
      Result.Reachable = Up;
      if (Up)
        Result.Notice = Notice;
      OnResult(Result);
    });
  }

  /// Breaks the connection of the oldest run; the target itself keeps running.
  void loseConnection() {
    if (!Runs.empty())
      endRun(Runs.begin()->first, fescuewood::RunFailure::Broken);
  }

  /// Aborts every run and restarts cold after the restart time.
  void crash() {
    if (!Up)
      return;
    Up = false;
    ++Crashes;
    auto Broken = std::move(Runs);
    Runs.clear();
    for (auto &[Id, Entry] : Broken)
      fail(std::move(Entry.OnResult), fescuewood::RunFailure::Broken,
           fescuewood::ResultCode::TargetConnectionLost);
    Time.after(Options.RestartUs, [this] {
      Up = true;
      Started = Time.nowUs();
    });
  }

  /// Discards every run without a result, like connections that close because
  /// their node was killed.
  void discardRuns() { Runs.clear(); }

  /// Makes the target cold again without interrupting its runs.
  void makeCold() { Started = Time.nowUs(); }

  std::uint32_t inFlight() const {
    return static_cast<std::uint32_t>(Runs.size());
  }

  std::size_t paddingBytes(const std::string &Route) const {
    const auto Found = Options.PaddingOfRoute.find(Route);
    return Found == Options.PaddingOfRoute.end() ? Options.PaddingBytes
                                                 : Found->second;
  }

  /// Sets the size of the answers on a route from now on.
  void setPadding(const std::string &Route, std::size_t Bytes) {
    Options.PaddingOfRoute[Route] = Bytes;
  }

  /// Makes the inner calls of a run and reports once whether all succeeded. The
  /// run answers 200 after that, or 500. Runs make no calls if it is empty.
  std::function<void(const fescuewood::CallRequest &,
                     std::function<void(bool)>)>
      MakeInnerCalls;
  /// What it says about itself in its answers.
  fescuewood::TargetNotice Notice;
  std::map<std::string, int> RunsOf; ///< By body.
  std::vector<std::int64_t> RunStartsUs;
  std::map<std::string, int> RunsByOrganisation;
  std::uint32_t MaxInFlight = 0;
  int Crashes = 0;
  int LostProbes = 0; ///< Number of next probes that it leaves unanswered.
  bool Up = true;

private:
  static constexpr std::int64_t ProbeTimeoutUs = 500'000;

  struct Run {
    fescuewood::CallId Call;
    fescuewood::RunHook OnResult;
  };

  bool isCold() const { return Time.nowUs() - Started < Options.ColdUs; }

  double capacity() const {
    if (!isCold())
      return Options.Slots;
    const double Age = static_cast<double>(Time.nowUs() - Started);
    const double Warm = Age / static_cast<double>(Options.ColdUs);
    const double Share = Options.ColdShare + (1 - Options.ColdShare) * Warm;
    return std::max(1.0, Share * Options.Slots);
  }

  /// Makes the inner calls after the run's own work, then answers.
  void callAndAnswer(std::uint64_t Id, const fescuewood::CallRequest &Request,
                     const std::string &Body, std::int64_t DelayUs) {
    Time.after(DelayUs, [this, Id, Request, Body] {
      if (!Runs.contains(Id))
        return;
      MakeInnerCalls(Request, [this, Id, Body](bool Succeeded) {
        answer(Id, Succeeded ? 200 : 500, Body, 0);
      });
    });
  }

  void answer(std::uint64_t Id, int Status, const std::string &Body,
              std::int64_t DelayUs) {
    Time.after(DelayUs, [this, Id, Status, Body] {
      const auto Found = Runs.find(Id);
      if (Found == Runs.end())
        return;
      const auto OnResult = std::move(Found->second.OnResult);
      Runs.erase(Found);
      fescuewood::RunResult Result;
      Result.Answer.emplace();
      Result.Answer->Status = Status;
      Result.Answer->Body = Body;
      Result.Answer->RequestOutcome = fescuewood::Outcome::Ran;
      Result.Notice = Notice;
      OnResult(std::move(Result));
    });
  }

  void endRun(std::uint64_t Id, fescuewood::RunFailure Failure) {
    const auto Found = Runs.find(Id);
    if (Found == Runs.end())
      return;
    auto OnResult = std::move(Found->second.OnResult);
    Runs.erase(Found);
    fail(std::move(OnResult), Failure,
         Failure == fescuewood::RunFailure::Broken
             ? fescuewood::ResultCode::TargetConnectionLost
             : fescuewood::ResultCode::TargetTimeout);
  }

  void fail(fescuewood::RunHook OnResult, fescuewood::RunFailure Failure,
            fescuewood::ResultCode Reason) {
    Time.after(0, [OnResult = std::move(OnResult), Failure, Reason] {
      fescuewood::RunResult Result;
      Result.Failure = Failure;
      Result.Reason = Reason;
      OnResult(std::move(Result));
    });
  }

  VirtualTime &Time;
  FakeTargetOptions Options;
  std::mt19937_64 Random;
  std::int64_t Started;
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t NextRun = 0;
};

#endif // FESCUEWOOD_BENCH_MODEL_FAKETARGET_H
