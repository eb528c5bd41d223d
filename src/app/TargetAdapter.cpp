#include "app/TargetAdapter.h"

#include <utility>

namespace fescuewood {

namespace {

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
    return RunFailure::Unusable;
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

TargetAdapter::TargetAdapter(TargetClient &Client, TargetSettings Settings)
    : Client(Client), Settings(std::move(Settings)) {}

TargetPort TargetAdapter::port() {
  TargetPort Port;
  Port.Run = [this](const CallRequest &Request, DurationMs Timeout,
                    const RunHook &OnResult) {
    run(Request, Timeout, OnResult);
  };
  Port.Cancel = [this](const CallId &Id) { cancel(Id); };
  Port.Probe = [this](const std::function<void(bool)> &OnResult) {
    probe(OnResult);
  };
  return Port;
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

void TargetAdapter::probe(const std::function<void(bool)> &OnResult) {
  TargetRequest Sent;
  Sent.Method = "GET";
  Sent.Target = Settings.ProbePath;
  Sent.Timeout = Settings.ProbeTimeout;
  // Health endpoints mislead, so any answer counts as taking connections; how
  // much the target bears is learnt from the calls themselves.
  const auto Number =
      Client.start(std::move(Sent), [OnResult](const TargetResult &Result) {
        OnResult(Result.Answer.has_value());
      });
  if (!Number)
    OnResult(false);
}

} // namespace fescuewood
