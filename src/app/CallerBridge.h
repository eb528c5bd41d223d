/// \file
/// Adapter that passes requests of the caller server to the entry and submits
/// the accepted ones to the call engine.
///
/// It maps the server's request numbers to calls, so that a call is cancelled
/// when its caller disconnects.

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

/// Connects \ref CallerServer with \ref Entry and \ref CallEngine.
class CallerBridge {
public:
  /// \param Charge charges a request to its organisation; may be empty.
  /// \param GiveBack returns the token of a charged request; may be empty.
  /// \param Tokens verifies the call tokens that this node has issued.
  /// \param ViewCurrent as in \ref EntryHooks.
  /// \param KeysProven as in \ref EntryHooks.
  CallerBridge(CallEngine &Engine, DeferredRateHook Charge,
               TokenReturnHook GiveBack, CallTokenSigner Tokens,
               EventHook OnEvent, std::function<bool()> ViewCurrent,
               std::function<bool()> KeysProven, EntryOptions Options);

  /// Handles a request of \ref CallerServer. Runs on the server's thread.
  void onRequest(CallerRequest Request, const AnswerHook &OnAnswer);

  /// Cancels the call of a request whose caller has disconnected. Runs on the
  /// server's thread.
  void onDisconnect(std::uint64_t RequestNumber);

  void setSnapshot(SnapshotPtr Snapshot);

private:
  std::optional<CallTokenClaims> checkToken(std::string_view Text);
  void submit(std::uint64_t RequestNumber, CallRequest Request,
              AnswerHook OnAnswer);
  void removeCall(std::uint64_t RequestNumber);

  CallEngine &Engine;
  CallTokenSigner Tokens; ///< Used on the server's thread only.
  Entry CallerEntry;
  std::mutex Mutex;
  std::map<std::uint64_t, CallHandle> ActiveCalls; ///< By request number.
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_CALLERBRIDGE_H
