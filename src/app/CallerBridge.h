/// \file
/// Joins the caller server to the entry and the calls duty.
///
/// Keeps which request of the server became which call, so that a call whose
/// caller has gone can be cancelled.

#ifndef FESCUEWOOD_APP_CALLERBRIDGE_H
#define FESCUEWOOD_APP_CALLERBRIDGE_H

#include "callers/CallerServer.h"
#include "calls/CallEngine.h"
#include "calls/CallToken.h"
#include "calls/Entry.h"
#include "policy/RateDecision.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace fescuewood {

class CallerBridge {
public:
  /// \param Charge charges a request to its organisation; may be empty.
  /// \param Tokens opens the tokens that this node has sealed.
  /// \param ViewCurrent as in \ref EntryHooks.
  /// \param KeysProven as in \ref EntryHooks.
  CallerBridge(CallEngine &Engine, DeferredRateHook Charge,
               CallTokenSigner Tokens, EventHook OnEvent,
               std::function<bool()> ViewCurrent,
               std::function<bool()> KeysProven, EntryOptions Place);

  /// For \ref CallerServer; on the server's thread.
  void take(CallerRequest Request, const AnswerHook &OnAnswer);

  /// For \ref CallerServer; on the server's thread.
  void gone(std::uint64_t Number);

  void setSnapshot(SnapshotPtr Snapshot);

private:
  std::optional<CallTokenClaims> checkToken(std::string_view Text);
  void submit(std::uint64_t Number, CallRequest Request, AnswerHook OnAnswer);
  void forget(std::uint64_t Number);

  CallEngine &Engine;
  CallTokenSigner Tokens; ///< Used on the server's thread only.
  Entry Incoming;
  std::mutex Mutex;
  std::map<std::uint64_t, CallHandle> Running; ///< By number of the request.
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_CALLERBRIDGE_H
