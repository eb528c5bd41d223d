#include "app/TargetAdapter.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Longest coldness that a target's word is taken for, in milliseconds.
constexpr std::uint64_t LongestColdMs = 600 * 1000;

RunFailure failureOf(const TargetResult &Result) {
  switch (Result.Reason) {
  case ResultCode::TargetTimeout:
    return RunFailure::TimedOut;
  case ResultCode::TargetCancelled:
    return RunFailure::Cancelled;
  case ResultCode::TargetUnreachable:
    return RunFailure::NotReached;
  case ResultCode::TargetAnswerTooLarge:
  case ResultCode::TargetAnswerMalformed:
  case ResultCode::TargetAnswerForeign:
  case ResultCode::TargetAnswerUnproven:
    return RunFailure::Unusable;
  case ResultCode::TargetRefused:
  case ResultCode::TargetMistaken:
    return RunFailure::NotSent;
  default:
    return Result.Ran == Outcome::NotRun ? RunFailure::NotSent
                                         : RunFailure::Broken;
  }
}

} // namespace

RunResult toRunResult(TargetResult Result) {
  RunResult Converted;
  Converted.Took = Result.Took;
  Converted.Reason = Result.Reason;
  if (Result.Answer) {
    Converted.Answer = std::move(Result.Answer);
    return Converted;
  }
  Converted.Failure = failureOf(Result);
  return Converted;
}

TargetAdapter::TargetAdapter(TargetClient &Client, TargetSettings Settings,
                             HeaderScheme Scheme)
    : Client(Client), Settings(std::move(Settings)), Scheme(std::move(Scheme)) {
}

TargetPort TargetAdapter::port() {
  TargetPort Port;
  Port.Run = [this](const CallRequest &Request, DurationMs Timeout,
                    const RunHook &OnResult) {
    run(Request, Timeout, OnResult);
  };
  Port.Cancel = [this](const CallId &Id) { cancel(Id); };
  Port.Probe =
      [this](const std::function<void(const ProbeResult &)> &OnResult) {
        probe(OnResult);
      };
  return Port;
}

void TargetAdapter::setProbePath(std::string Path) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ProbePath = std::move(Path);
}

void TargetAdapter::run(const CallRequest &Request, DurationMs Timeout,
                        const RunHook &OnResult) {
  const CallId Id = Request.Id;
  TargetRequest Sent{Request.Method, Request.Target,     Request.Headers,
                     Request.Body,   Request.Idempotent, Timeout};
  // The lock spans the start, so that a result that comes at once finds the
  // entry that it has to remove.
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto Number =
      Client.start(std::move(Sent), [this, Id, OnResult](TargetResult Result) {
        forget(Id);
        OnResult(toRunResult(std::move(Result)));
      });
  if (Number) {
    Running.emplace(Id, *Number);
    return;
  }
  Lock.unlock();
  RunResult Refused;
  Refused.Failure = RunFailure::NotReached;
  Refused.Reason = ResultCode::TargetUnreachable;
  OnResult(std::move(Refused));
}

void TargetAdapter::forget(const CallId &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Running.erase(Id);
}

void TargetAdapter::cancel(const CallId &Id) {
  std::optional<std::uint64_t> Number;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (const auto It = Running.find(Id); It != Running.end())
      Number = It->second;
  }
  if (Number)
    Client.cancel(*Number);
}

void TargetAdapter::probe(
    const std::function<void(const ProbeResult &)> &OnResult) {
  TargetRequest Sent;
  Sent.Method = "GET";
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Sent.Target = ProbePath.empty() ? Settings.ProbePath : ProbePath;
  }
  Sent.Timeout = Settings.ProbeTimeout;
  // Health endpoints mislead, so any answer counts as taking connections; how
  // much the target bears is learnt from the calls themselves.
  const auto Number = Client.start(
      std::move(Sent), [this, OnResult](const TargetResult &Result) {
        OnResult(probeResult(Result));
      });
  if (!Number)
    OnResult({});
}

ProbeResult TargetAdapter::probeResult(const TargetResult &Result) const {
  ProbeResult Probed;
  Probed.Reachable =
      Result.Answer || Result.Reason == ResultCode::TargetRefused;
  if (!Result.Answer || Scheme.ColdFor.empty())
    return Probed;
  if (const auto ColdFor = numberField(Result.Answer->Headers, Scheme.ColdFor))
    Probed.ColdFor = DurationMs(static_cast<std::int64_t>(
        std::min<std::uint64_t>(*ColdFor, LongestColdMs)));
  return Probed;
}

} // namespace fescuewood
