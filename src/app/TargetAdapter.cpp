#include "app/TargetAdapter.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Longest slow start accepted from a target's answer, in milliseconds.
constexpr std::uint64_t MaxSlowStartMs = 600 * 1000;

RunFailure runFailure(const TargetResult &Result) {
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
    return Result.RunOutcome == Outcome::NotRun ? RunFailure::NotSent
                                                : RunFailure::Broken;
  }
}

/// Whether the target has sent bytes, even if they are not a valid answer.
bool hasResponded(const TargetResult &Result) {
  return Result.Answer || Result.Reason == ResultCode::TargetRefused ||
         runFailure(Result) == RunFailure::Unusable;
}

} // namespace

RunResult toRunResult(TargetResult Result) {
  RunResult Run;
  Run.Duration = Result.Duration;
  Run.Reason = Result.Reason;
  Run.Notice = Result.Notice;
  Run.Use = Result.Use;
  if (Result.Answer) {
    Run.Answer = std::move(Result.Answer);
    return Run;
  }
  Run.Failure = runFailure(Result);
  Run.RunOutcome = Result.RunOutcome;
  return Run;
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
  TargetRequest ClientRequest{Request.Method,     Request.Target,
                              Request.Headers,    Request.Body,
                              Request.Idempotent, Timeout};
  // Held during the start, so that the hook of an immediate result waits for
  // the entry that it removes.
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto RequestNumber = Client.start(
      std::move(ClientRequest), [this, Id, OnResult](TargetResult Result) {
        removeRun(Id);
        OnResult(toRunResult(std::move(Result)));
      });
  if (RequestNumber) {
    ActiveRuns.emplace(Id, *RequestNumber);
    return;
  }
  Lock.unlock();
  RunResult Rejection;
  Rejection.Failure = RunFailure::NotReached;
  Rejection.Reason = ResultCode::TargetUnreachable;
  OnResult(std::move(Rejection));
}

void TargetAdapter::removeRun(const CallId &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ActiveRuns.erase(Id);
}

void TargetAdapter::cancel(const CallId &Id) {
  std::optional<std::uint64_t> RequestNumber;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (const auto It = ActiveRuns.find(Id); It != ActiveRuns.end())
      RequestNumber = It->second;
  }
  if (RequestNumber)
    Client.cancel(*RequestNumber);
}

void TargetAdapter::probe(
    const std::function<void(const ProbeResult &)> &OnResult) {
  TargetRequest ClientRequest;
  ClientRequest.Method = "GET";
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ClientRequest.Target = ProbePath.empty() ? Settings.ProbePath : ProbePath;
  }
  ClientRequest.Timeout = Settings.ProbeTimeout;
  // Health endpoints are unreliable, so any answer shows only that the target
  // accepts connections; its capacity is measured from the calls.
  const auto RequestNumber = Client.start(
      std::move(ClientRequest), [this, OnResult](const TargetResult &Result) {
        OnResult(probeResult(Result));
      });
  if (!RequestNumber)
    OnResult({});
}

ProbeResult TargetAdapter::probeResult(const TargetResult &Result) const {
  ProbeResult Probe;
  Probe.Reachable = hasResponded(Result);
  Probe.Notice = Result.Notice;
  if (!Result.Answer || Scheme.ColdFor.empty())
    return Probe;
  if (const auto ColdFor =
          parseNumberField(Result.Answer->Headers, Scheme.ColdFor))
    Probe.ColdFor = DurationMs(static_cast<std::int64_t>(
        std::min<std::uint64_t>(*ColdFor, MaxSlowStartMs)));
  if (const std::string *Id =
          findField(Result.Answer->Headers, Scheme.Instance))
    Probe.TargetId = *Id;
  return Probe;
}

} // namespace fescuewood
