#include "app/CallerBridge.h"

#include "core/Clock.h"

#include <utility>

namespace fescuewood {

CallerBridge::CallerBridge(CallEngine &Engine, DeferredRateHook Charge,
                           CallTokenSigner Tokens, EventHook OnEvent,
                           std::function<bool()> ViewCurrent,
                           std::function<bool()> KeysProven, EntryOptions Place)
    : Engine(Engine), Tokens(std::move(Tokens)),
      Incoming({[this](std::string_view Text) { return checkToken(Text); },
                std::move(Charge),
                [this](std::uint64_t Number, CallRequest Request,
                       AnswerHook OnAnswer) {
                  submit(Number, std::move(Request), std::move(OnAnswer));
                },
                std::move(OnEvent), std::move(ViewCurrent),
                std::move(KeysProven)},
               std::move(Place)) {}

void CallerBridge::take(CallerRequest Request, const AnswerHook &OnAnswer) {
  Incoming.take(std::move(Request), OnAnswer);
}

void CallerBridge::gone(std::uint64_t Number) {
  std::optional<CallHandle> Handle;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (const auto It = Running.find(Number); It != Running.end())
      Handle = It->second;
  }
  if (Handle)
    Engine.cancel(*Handle);
}

void CallerBridge::setSnapshot(SnapshotPtr Snapshot) {
  Incoming.setSnapshot(std::move(Snapshot));
}

std::optional<CallTokenClaims> CallerBridge::checkToken(std::string_view Text) {
  const TimeMs Now = Clock::monotonic().now();
  const auto Token = Tokens.verify(Text, Now);
  if (!Token)
    return std::nullopt;
  CallTokenClaims Claims;
  Claims.Organisation = Token->Organisation;
  Claims.Depth = Token->Depth;
  Claims.Remaining = Token->Deadline - Now;
  return Claims;
}

void CallerBridge::submit(std::uint64_t Number, CallRequest Request,
                          AnswerHook OnAnswer) {
  {
    // There is an entry before the answer can come, which removes it.
    std::lock_guard<std::mutex> Lock(Mutex);
    Running.emplace(Number, CallHandle{});
  }
  const CallHandle Handle = Engine.submit(
      std::move(Request),
      [this, Number, OnAnswer = std::move(OnAnswer)](CallAnswer Answer) {
        forget(Number);
        OnAnswer(std::move(Answer));
      });
  std::lock_guard<std::mutex> Lock(Mutex);
  if (const auto It = Running.find(Number); It != Running.end())
    It->second = Handle;
}

void CallerBridge::forget(std::uint64_t Number) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Running.erase(Number);
}

} // namespace fescuewood
