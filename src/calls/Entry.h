/// \file
/// From a caller's raw request to a call, or to a refusal that says why.
///
/// The caller server hands each request to \ref Entry::take. The entry finds
/// the route in the configuration in force, learns the organisation from the
/// key or, for a call inside the mesh, from its token, charges the rate, strips
/// the key from everything that travels on, and submits the call. Thread-safe:
/// it holds only the present configuration.

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

/// Deepest nesting of calls that is carried, as in a chain of services.
inline constexpr std::uint8_t MaxCallDepth = 24;

/// Header in which a caller shows its key.
inline constexpr std::string_view KeyField = "X-Api-Key";

/// Header in which a caller may show its key as `Bearer KEY`, when it sends no
/// \ref KeyField. Another bearer token than a key is the target's own matter.
inline constexpr std::string_view AuthorizationField = "Authorization";

/// Query parameter in which a caller may show its key, when no header does.
inline constexpr std::string_view KeyParameter = "api_key";

/// What a valid call token says.
struct CallTokenClaims {
  std::string Organisation; ///< Empty on a chain that began on an open route.
  std::uint8_t Depth = 0;   ///< Of the call that the token was given to.
  DurationMs Remaining{0};  ///< Time left to that call.
};

/// What the entry asks of others. The hooks must be thread-safe and quick.
struct EntryHooks {
  /// The claims of a call token that this fleet issued, or nothing.
  std::function<std::optional<CallTokenClaims>(std::string_view Token)>
      CheckToken;
  /// Charges one request to an organisation; the request may have to wait for
  /// its decision. Empty where nothing is charged.
  DeferredRateHook Charge;
  /// Takes the call of the request with this number; on any thread.
  std::function<void(std::uint64_t Number, CallRequest, AnswerHook)> Submit;
  EventHook OnEvent;
  /// Whether decisions may rest on what this node knows; false from the end of
  /// a pause until it has caught up. Empty where that is always so.
  std::function<bool()> ViewCurrent = {};
  /// Whether the keys in force are known to be the newest; a withdrawn key
  /// could still pass otherwise. Empty where that need not be known.
  std::function<bool()> KeysProven = {};
};

/// Where an entry stands.
struct EntryOptions {
  HeaderScheme Scheme;
  std::string Service;    ///< Of the target beside this node.
  std::uint64_t Seed = 0; ///< Of the order in which split routes begin.
};

/// Turns requests into calls.
class Entry {
public:
  explicit Entry(EntryHooks Hooks, EntryOptions Place = {});

  /// Puts a configuration in force for the requests that follow.
  void setSnapshot(SnapshotPtr Snapshot);

  /// Answers the request through the hook, exactly once: by a refusal at once,
  /// or by the call's own answer.
  void take(CallerRequest Request, const AnswerHook &OnAnswer) const;

private:
  /// A configuration and what is derived from it, put in force together.
  struct InForce {
    SnapshotPtr Config;
    KeyTable Keys;
    SplitTable Splits;
  };
  using InForcePtr = std::shared_ptr<const InForce>;

  InForcePtr inForce() const;
  void chargeAndSubmit(std::uint64_t Number, CallRequest Call,
                       const AnswerHook &OnAnswer) const;
  void refuse(const AnswerHook &OnAnswer, ResultCode Reason,
              const CallRequest &Request) const;
  void report(ResultCode Reason, const CallRequest &Request) const;
  void follow(const InForce &Present, const Route &Matched,
              CallRequest &Call) const;
  ResultCode identify(const InForce &Present, const Route &Matched,
                      CallRequest &Request) const;
  ResultCode identifyByToken(const InForce &Present, const Route &Matched,
                             CallRequest &Request) const;
  static bool takeKeyAnywhere(const InForce &Now, CallRequest &Request,
                              std::optional<std::string> &Shown);
  ResultCode identifyByKey(const InForce &Present, const Route &Matched,
                           const std::optional<std::string> &Shown,
                           CallRequest &Request) const;
  void addOrigin(CallRequest &Request) const;

  EntryHooks Hooks;
  const EntryOptions Place;
  mutable std::mutex Mutex;
  InForcePtr Present;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_ENTRY_H
