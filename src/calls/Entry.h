/// \file
/// Authentication, routing and rate limiting of callers' requests.
///
/// The caller server passes each request to \ref Entry::handle. The entry
/// matches the route in the active configuration, determines the organisation
/// from the key or, for a call inside the mesh, from its call token, charges
/// the organisation's rate, removes the key from the request and submits the
/// call. Thread-safe: its only mutable state is the active configuration.

#ifndef FESCUEWOOD_CALLS_ENTRY_H
#define FESCUEWOOD_CALLS_ENTRY_H

#include "callers/CallerServer.h"
#include "calls/Call.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "core/ResultCode.h"
#include "intent/Snapshot.h"
#include "policy/KeyTable.h"
#include "policy/RateDecision.h"
#include "policy/SplitTable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Maximum nesting depth of calls in a chain of services.
inline constexpr std::uint8_t MaxCallDepth = 24;

/// Header that carries a caller's key.
inline constexpr std::string_view KeyField = "X-Api-Key";

/// Header that may carry the key as `Bearer KEY` if there is no \ref KeyField.
/// A bearer token that is not a key is forwarded to the target.
inline constexpr std::string_view AuthorizationField = "Authorization";

/// Query parameter that may carry the key if no header does.
inline constexpr std::string_view KeyParameter = "api_key";

/// Claims of a valid call token.
struct CallTokenClaims {
  std::string Organisation; ///< Empty if the chain began on an open route.
  std::uint8_t Depth = 0;   ///< Of the request that the token was issued for.
  DurationMs Remaining{0};  ///< Time left for that request.
};

/// Dependencies of the entry. Hooks must be thread-safe and must not block.
struct EntryHooks {
  /// Returns the claims of a call token, or std::nullopt if it is not valid.
  std::function<std::optional<CallTokenClaims>(std::string_view Token)>
      CheckToken;
  /// Charges one request to an organisation; the decision may be deferred.
  /// Empty if rates are not limited.
  DeferredRateHook Charge;
  /// Submits the call of request \p Number; called on any thread.
  std::function<void(std::uint64_t Number, CallRequest, AnswerHook)> Submit;
  EventHook OnEvent;
  /// Whether this node's configuration is current; false after a pause of the
  /// process until the node has caught up. Empty if it is always current.
  std::function<bool()> ViewCurrent = {};
  /// Whether the active keys are proven to be the newest; otherwise a withdrawn
  /// key could be accepted. Empty if no proof is required.
  std::function<bool()> KeysProven = {};
  /// Returns the token of a charged request that has not run. Empty if tokens
  /// are not returned.
  TokenReturnHook GiveBack = {};
};

/// The entry's node-specific options.
struct EntryOptions {
  HeaderScheme Scheme;
  std::string Service;    ///< Service of the node's target.
  std::uint64_t Seed = 0; ///< Sets the initial order of split routes.
  Clock Time = Clock::monotonic();
};

/// Converts requests of callers into calls, or refuses them. Thread-safe.
class Entry {
public:
  explicit Entry(EntryHooks Hooks, EntryOptions Options = {});

  /// Sets the active configuration for subsequent requests.
  void setSnapshot(SnapshotPtr Snapshot);

  /// Handles a request. \p OnAnswer is called exactly once, with a refusal or
  /// with the answer to the call.
  void handle(CallerRequest Request, const AnswerHook &OnAnswer) const;

private:
  /// A configuration and the tables derived from it, replaced as a unit.
  struct ActiveConfig {
    SnapshotPtr Config;
    KeyTable Keys;
    SplitTable Splits;
  };
  using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

  ActiveConfigPtr activeConfig() const;
  void chargeAndSubmit(std::uint64_t Number, CallRequest Call,
                       const AnswerHook &OnAnswer) const;
  AnswerHook returningToken(const CallRequest &Call,
                            const RateDecision &Decision,
                            const AnswerHook &OnAnswer) const;
  void refuse(const AnswerHook &OnAnswer, ResultCode Reason,
              const CallRequest &Request) const;
  void report(ResultCode Reason, const CallRequest &Request) const;
  void applyRoute(const ActiveConfig &Current, const Route &MatchedRoute,
                  CallRequest &Call) const;
  ResultCode identify(const ActiveConfig &Current, const Route &MatchedRoute,
                      bool KeysProven, CallRequest &Request) const;
  ResultCode identifyByToken(const ActiveConfig &Current,
                             const Route &MatchedRoute,
                             CallRequest &Request) const;
  static bool extractKey(const ActiveConfig &Current, CallRequest &Request,
                         std::optional<std::string> &PresentedKey);
  static ResultCode
  identifyByKey(const ActiveConfig &Current, const Route &MatchedRoute,
                bool KeysProven, const std::optional<std::string> &PresentedKey,
                CallRequest &Request);
  void setOriginHeaders(CallRequest &Request) const;

  EntryHooks Hooks;
  const EntryOptions Options;
  mutable std::mutex Mutex;
  ActiveConfigPtr Active;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_ENTRY_H
