#include "soak/Checker.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

/// Organisation that holds all keys of a soak.
constexpr std::string_view OnlyOrganisation = "clerks";

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// Whether the status says that the request has not run and never will.
bool promisesNoRun(int Status) {
  constexpr std::array<int, 4> Promises{408, 421, 429, 503};
  return std::find(Promises.begin(), Promises.end(), Status) != Promises.end();
}

class Check {
public:
  Check(const History &Seen, const Bounds &Limits)
      : Seen(Seen), Limits(Limits) {
    for (const Send &S : Seen.Sends)
      SendsById[S.Id].push_back(&S);
    for (const Run &R : Seen.Runs) {
      RunsById[R.Id].push_back(&R);
      RunsBySignature.emplace(R.Signature, &R);
    }
  }

  std::vector<Violation> run() {
    for (const Send &S : Seen.Sends)
      checkAnswer(S);
    for (const Run &R : Seen.Runs)
      checkRequest(R);
    for (const auto &[Id, Sends] : SendsById) {
      checkRunOnce(Id, Sends);
      checkRefusal(Id, Sends);
    }
    for (const Withdrawal &W : Seen.Withdrawals)
      checkWithdrawal(W);
    for (const Departure &D : Seen.Departures)
      checkDeparture(D);
    for (const UnexpectedEnd &E : Seen.Ends)
      add("process", E.Process, E.Detail);
    for (const Drain &D : Seen.Drains)
      checkDrain(D);
    for (std::size_t Node = 0; Node < Seen.NodeCount; ++Node)
      checkRecovery(Node);
    return std::move(Found);
  }

private:
  using SendList = std::vector<const Send *>;
  using RunList = std::vector<const Run *>;

  void add(std::string Promise, std::string Subject, std::string Detail) {
    Found.push_back(
        {std::move(Promise), std::move(Subject), std::move(Detail)});
  }

  void checkAnswer(const Send &S) {
    if (!S.Stray.empty())
      add("answer", S.Id, "bytes came before the request: " + S.Stray);
    if (S.Status == 0)
      return;
    if (!S.AnsweredId.empty() && S.AnsweredId != S.Id)
      add("answer", S.Id, "the answer names request " + S.AnsweredId);
    if (!S.Signature.empty())
      checkSignedAnswer(S);
    else if (isSuccess(S.Status))
      add("answer", S.Id, "a success names no run");
  }

  void checkSignedAnswer(const Send &S) {
    const auto Found = RunsBySignature.find(S.Signature);
    if (Found == RunsBySignature.end()) {
      add("answer", S.Id, "no run has the signature " + S.Signature);
      return;
    }
    const Run &R = *Found->second;
    if (R.Id != S.Id)
      add("answer", S.Id, "the run is of request " + R.Id);
    if (R.Status != S.Status)
      add("answer", S.Id,
          fmt::format("status {}, but the run gave {}", S.Status, R.Status));
    if (R.Body != S.Body)
      add("answer", S.Id,
          fmt::format("{} bytes of body differ from the {} of the run",
                      S.Body.size(), R.Body.size()));
    if (isSuccess(S.Status) && R.BeganMs < S.SentMs)
      add("answer", S.Id,
          fmt::format("the run began {} ms before the request was sent",
                      S.SentMs - R.BeganMs));
    const auto [First, IsNew] = AnswersBySignature.emplace(S.Signature, &S);
    if (!IsNew)
      add("answer", S.Id,
          "the run " + S.Signature + " has answered request " +
              First->second->Id + " already");
  }

  void checkRequest(const Run &R) {
    const auto Found = SendsById.find(R.Id);
    if (Found == SendsById.end()) {
      add("request", R.Id, "a target ran it, but nobody sent it");
      return;
    }
    const Send &S = *Found->second.front();
    if (R.Method != S.Method || R.Path != S.Path ||
        R.RequestBody != S.RequestBody)
      add("request", R.Id, "method, path or body is not what was sent");
    if (R.SawKey)
      add("request", R.Id, "the target was shown the key");
    const std::string_view Expected = S.Key.empty() ? "" : OnlyOrganisation;
    if (R.Organisation != Expected)
      add("request", R.Id, "wrong organisation: " + R.Organisation);
  }

  const RunList &runsOf(const std::string &Id) const {
    static const RunList None;
    const auto Found = RunsById.find(Id);
    return Found == RunsById.end() ? None : Found->second;
  }

  void checkRunOnce(const std::string &Id, const SendList &Sends) {
    const RunList &Runs = runsOf(Id);
    if (Sends.front()->Repeatable || Runs.size() <= 1)
      return;
    std::string Signatures;
    for (const Run *R : Runs)
      Signatures += " " + R->Signature;
    add("run-once", Id, "runs:" + Signatures);
  }

  void checkRefusal(const std::string &Id, const SendList &Sends) {
    // A run of an ID that was sent twice may belong to the other request.
    if (!std::all_of(Sends.begin(), Sends.end(),
                     [](const Send *S) { return promisesNoRun(S->Status); }))
      return;
    for (const Run *R : runsOf(Id))
      add("refusal", Id,
          fmt::format("status {}, but ran as {} at {}", Sends.front()->Status,
                      R->Signature, R->BeganMs));
  }

  void checkWithdrawal(const Withdrawal &W) {
    const std::int64_t DeadFrom = W.AckMs + Limits.KeyWithdrawal.Value;
    for (const auto &[Id, Sends] : SendsById) {
      const bool SentDead =
          std::all_of(Sends.begin(), Sends.end(), [&](const Send *S) {
            return S->Key == W.Key && S->SentMs > DeadFrom;
          });
      if (SentDead && !runsOf(Id).empty())
        add("withdrawn", Id,
            fmt::format("sent {} ms after the withdrawal of {}, and ran",
                        Sends.front()->SentMs - W.AckMs, W.Key));
    }
  }

  void checkDeparture(const Departure &D) {
    const std::int64_t Latest = D.AckMs + Limits.Departure.Value;
    for (const Run &R : Seen.Runs) {
      if (R.Target != D.Target || R.BeganMs <= Latest || !sentInTouch(R))
        continue;
      add("departed", R.Id,
          fmt::format("reached {} {} ms after the report that it leaves",
                      R.Target, R.BeganMs - D.AckMs));
    }
  }

  /// Whether all nodes that may have sent the request to the target were in
  /// touch when it arrived.
  bool sentInTouch(const Run &R) const {
    if (!isInTouch(R.Node, R.BeganMs))
      return false;
    const auto Sends = SendsById.find(R.Id);
    return Sends == SendsById.end() ||
           std::all_of(
               Sends->second.begin(), Sends->second.end(),
               [&](const Send *S) { return isInTouch(S->Node, R.BeganMs); });
  }

  bool isInTouch(std::size_t Node, std::int64_t AtMs) const {
    return std::none_of(Seen.Disturbances.begin(), Seen.Disturbances.end(),
                        [&](const Disturbance &D) {
                          return (!D.Node || *D.Node == Node) &&
                                 D.FromMs <= AtMs &&
                                 D.ToMs + Limits.Contact.Value >= AtMs;
                        });
  }

  void checkDrain(const Drain &D) {
    const std::int64_t LastedMs = D.ToMs - D.FromMs;
    const bool TimedOut = D.Code == DrainTimedOutCode &&
                          LastedMs >= Limits.DrainTime.Value && isHeldUp(D);
    if (D.Code != DrainedCode && !TimedOut)
      add("process", fmt::format("node {}", D.Node),
          fmt::format("code {} {} ms after SIGTERM", D.Code, LastedMs));
  }

  /// Whether a stopped node or a silent target may have kept a call of this
  /// node from ending.
  bool isHeldUp(const Drain &D) const {
    for (std::size_t I = 0; I < Seen.FaultTimes.size(); ++I) {
      const FaultTime &F = Seen.FaultTimes[I];
      if (I == D.OwnFault || F.FromMs > D.ToMs)
        continue;
      const bool IsStopNear =
          F.StopsANode && F.ToMs + Limits.Contact.Value >= D.FromMs;
      // A call that was sent before the drain ends before it is over.
      if (IsStopNear || (F.SilencesATarget && F.ToMs >= D.FromMs))
        return true;
    }
    return false;
  }

  void checkRecovery(std::size_t Node) {
    const std::int64_t From = Seen.LastFaultEndMs + Limits.Recovery.Value;
    std::size_t Sent = 0;
    std::size_t Served = 0;
    std::string FirstFailed;
    for (const Send &S : Seen.Sends) {
      if (S.Node != Node || S.SentMs <= From || isWithdrawn(S.Key))
        continue;
      ++Sent;
      if (isSuccess(S.Status))
        ++Served;
      else if (FirstFailed.empty())
        FirstFailed = fmt::format("; first {} with {}", S.Id, S.Status);
    }
    if (Sent == 0 ||
        static_cast<double>(Served) < Limits.ServedShare * double(Sent))
      add("recovery", fmt::format("node {}", Node),
          fmt::format("served {} of {}{}", Served, Sent, FirstFailed));
  }

  bool isWithdrawn(const std::string &Key) const {
    return std::any_of(Seen.Withdrawals.begin(), Seen.Withdrawals.end(),
                       [&](const Withdrawal &W) { return W.Key == Key; });
  }

  const History &Seen;
  const Bounds &Limits;
  std::map<std::string, SendList> SendsById;
  std::map<std::string, RunList> RunsById;
  std::map<std::string, const Run *> RunsBySignature;
  std::map<std::string, const Send *> AnswersBySignature;
  std::vector<Violation> Found;
};

} // namespace

std::vector<Violation> check(const History &Seen, const Bounds &Limits) {
  return Check(Seen, Limits).run();
}

} // namespace fescuewood::soak
