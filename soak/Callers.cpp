#include "soak/Callers.h"

#include "soak/Connection.h"
#include "soak/TargetProcess.h"

#include <algorithm>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

constexpr DurationMs TimeLeft{4000};
constexpr int StatusOk = 200;

} // namespace

asio::awaitable<void> Callers::call(std::size_t Node) {
  constexpr unsigned MinPauseMs = 20;
  constexpr unsigned ExtraPauseMs = 80;
  ++Active;
  Connection Kept(Processes.callersAddress(Node));
  while (!Stopping) {
    // Entered before it is sent, so that its run is never an unknown one.
    Seen.Sends.push_back(next(Node));
    Send &S = Seen.Sends.back();
    co_await Kept.exchange(S, TimeLeft);
    co_await standins::sleepFor(
        std::chrono::milliseconds(MinPauseMs + Random() % ExtraPauseMs));
  }
  --Active;
}

asio::awaitable<bool> Callers::probe(std::size_t Node) {
  Seen.Sends.push_back(fresh());
  Send &S = Seen.Sends.back();
  S.Path = "/open/" + S.Id;
  S.Node = Node;
  Connection Short(Processes.callersAddress(Node));
  co_await Short.exchange(S, TimeLeft);
  co_return S.Status == StatusOk;
}

Send Callers::fresh() {
  Send S;
  S.Id = fmt::format("{:08x}{:08x}", ++Count, Random() & 0xffffffffU);
  return S;
}

Send Callers::next(std::size_t Node) {
  constexpr unsigned Percent = 100;
  constexpr unsigned AgainPercent = 10;
  constexpr unsigned CallingPercent = 20;
  constexpr unsigned OpenPercent = 45;
  constexpr unsigned ReadPercent = 70;
  constexpr unsigned OldKeyPercent = 12;
  constexpr std::size_t RecentSends = 40;
  if (Random() % Percent < AgainPercent && !Seen.Sends.empty()) {
    const std::size_t Back =
        1 + Random() % std::min(RecentSends, Seen.Sends.size());
    const Send &Before = Seen.Sends[Seen.Sends.size() - Back];
    if (Before.Repeatable) {
      Send Again;
      Again.Id = Before.Id;
      Again.Path = Before.Path;
      Again.Key = Before.Key;
      Again.Node = Node;
      return Again;
    }
  }
  Send S = fresh();
  S.Node = Node;
  const auto Choice = Random() % Percent;
  if (Choice < CallingPercent) {
    S.Path = std::string(CallingPath) + S.Id;
    return S;
  }
  if (Choice < OpenPercent) {
    S.Path = "/open/" + S.Id;
    return S;
  }
  S.Key = Random() % Percent < OldKeyPercent ? Processes.oldKey(Random())
                                             : Processes.key();
  if (Choice < ReadPercent) {
    S.Path = "/read/" + S.Id + "?n=1";
    return S;
  }
  S.Path = "/book/" + S.Id;
  S.Method = "POST";
  S.RequestBody = "book " + S.Id;
  S.Repeatable = false;
  return S;
}

} // namespace fescuewood::soak
