#include "app/CallerBridge.h"

#include "core/Clock.h"

#include <utility>

namespace fescuewood {

CallerBridge::CallerBridge(CallEngine &Engine, DeferredRateHook Charge,
                           TokenReturnHook GiveBack, CallTokenSigner Tokens,
                           EventHook OnEvent, std::function<bool()> ViewCurrent,
                           std::function<bool()> KeysProven,
                           EntryOptions Options)
    : Engine(Engine), Tokens(std::move(Tokens)),
      CallerEntry({[this](std::string_view Text) { return checkToken(Text); },
                   std::move(Charge),
                   [this](std::uint64_t RequestNumber, CallRequest Request,
                          AnswerHook OnAnswer) {
                     submit(RequestNumber, std::move(Request),
                            std::move(OnAnswer));
                   },
                   std::move(OnEvent), std::move(ViewCurrent),
                   std::move(KeysProven), std::move(GiveBack)},
                  std::move(Options)) {}

void CallerBridge::onRequest(CallerRequest Request,
                             const AnswerHook &OnAnswer) {
  CallerEntry.handle(std::move(Request), OnAnswer);
}

void CallerBridge::onDisconnect(std::uint64_t RequestNumber) {
  std::optional<CallHandle> Handle;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (const auto It = ActiveCalls.find(RequestNumber);
        It != ActiveCalls.end())
      Handle = It->second;
  }
  if (Handle)
    Engine.cancel(*Handle);
}

void CallerBridge::setSnapshot(SnapshotPtr Snapshot) {
  CallerEntry.setSnapshot(std::move(Snapshot));
}

std::optional<CallTokenClaims> CallerBridge::checkToken(std::string_view Text) {
  const TimeMs CurrentTime = Clock::monotonic().now();
  const auto Token = Tokens.verify(Text, CurrentTime);
  if (!Token)
    return std::nullopt;
  CallTokenClaims Claims;
  Claims.Organisation = Token->Organisation;
  Claims.Depth = Token->Depth;
  Claims.Remaining = Token->Deadline - CurrentTime;
  return Claims;
}

void CallerBridge::submit(std::uint64_t RequestNumber, CallRequest Request,
                          AnswerHook OnAnswer) {
  {
    // Added before the submission, since the answer removes it and may arrive
    // before submit returns.
    std::lock_guard<std::mutex> Lock(Mutex);
    ActiveCalls.emplace(RequestNumber, CallHandle{});
  }
  const CallHandle Handle = Engine.submit(
      std::move(Request),
      [this, RequestNumber, OnAnswer = std::move(OnAnswer)](CallAnswer Answer) {
        removeCall(RequestNumber);
        OnAnswer(std::move(Answer));
      });
  std::lock_guard<std::mutex> Lock(Mutex);
  if (const auto It = ActiveCalls.find(RequestNumber); It != ActiveCalls.end())
    It->second = Handle;
}

void CallerBridge::removeCall(std::uint64_t RequestNumber) {
  std::lock_guard<std::mutex> Lock(Mutex);
  ActiveCalls.erase(RequestNumber);
}

} // namespace fescuewood
