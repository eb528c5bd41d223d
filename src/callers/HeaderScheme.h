/// \file
/// The header fields by which callers, targets and nodes speak of a request.
///
/// The defaults are the project's own interface. A platform that has names of
/// its own fills in another scheme (platform/); no other code names a field.
/// An empty name means that the scheme has no such field.

#ifndef FESCUEWOOD_CALLERS_HEADERSCHEME_H
#define FESCUEWOOD_CALLERS_HEADERSCHEME_H

#include "core/Clock.h"

#include <string>

namespace fescuewood {

/// Field names and the few differences in their use.
struct HeaderScheme {
  /// Identifies one attempt of a caller; the target sends it back.
  std::string RequestId = "X-Request-Id";
  /// Whole milliseconds that the sender waits for the answer.
  std::string TimeLeft = "X-Request-Timeout-Ms";
  /// Calls above this one; 0 or absent from a caller outside.
  std::string Depth = "X-Request-Depth";
  /// States on whose behalf a call inside the mesh runs.
  std::string CallToken = "X-Call-Token";
  /// Tells the target for which organisation a request runs.
  std::string Organisation;
  /// Tells the target at which service's instance the request entered.
  std::string OriginService;
  /// Tells the target which one is meant; another one does not run it.
  std::string TargetInstance;
  /// In an answer: the target has not run the request.
  std::string NotRun;
  /// In an answer: proves that the target made it.
  std::string Signature;
  /// In a health answer: milliseconds for which the target stays cold.
  std::string ColdFor;
  /// In a health answer: which target it is.
  std::string Instance;
  /// Holds the caller's key where \ref KeyPrefix is set; nothing else does.
  std::string Key = "Authorization";
  /// Lower-case word and blank before the key in \ref Key.
  std::string KeyPrefix = "bearer ";
  /// Whether a key may also stand in a field of its own or in the query.
  bool KeyAnywhere = true;
  /// Whether a call inside the mesh is known by \ref CallToken.
  bool CallTokens = true;
  /// Whether `Retry-After` may hold fractions of a second.
  bool FractionalRetry = false;
};

/// The value of `Retry-After`; in whole seconds rounded up, so that a retry
/// then is not early.
std::string retryAfterText(const HeaderScheme &Scheme, DurationMs Wait);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_HEADERSCHEME_H
