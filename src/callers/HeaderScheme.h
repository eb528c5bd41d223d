/// \file
/// The names of the header fields that callers, targets and nodes exchange.
///
/// The defaults define the project's own interface. A platform with different
/// names provides its own scheme (platform/); no other code contains these
/// names. An empty name means that the scheme has no such field.

#ifndef FESCUEWOOD_CALLERS_HEADERSCHEME_H
#define FESCUEWOOD_CALLERS_HEADERSCHEME_H

#include "core/Clock.h"

#include <string>

namespace fescuewood {

/// Header field names and options for their use.
struct HeaderScheme {
  /// Identifies one attempt of a caller; the target echoes it in its answer.
  std::string RequestId = "X-Request-Id";
  /// Time that the sender waits for the answer, in whole milliseconds.
  std::string RemainingTime = "X-Request-Timeout-Ms";
  /// Number of enclosing calls; 0 or absent for a caller outside the mesh.
  std::string Depth = "X-Request-Depth";
  /// Token that identifies the originator of a call inside the mesh.
  std::string CallToken = "X-Call-Token";
  /// Organisation on whose behalf the request runs; sent to the target.
  std::string Organisation;
  /// Service at whose instance the request entered the mesh; sent to the
  /// target.
  std::string OriginService;
  /// Intended target instance; any other target does not run the request.
  std::string TargetInstance;
  /// In an answer: present if the target has not run the request.
  std::string NotRun;
  /// In an answer: signature that proves that the target created it.
  std::string Signature;
  /// In a health answer: time until the target is warm, in milliseconds.
  std::string ColdFor;
  /// In a health answer: identity of the target.
  std::string Instance;
  /// In an answer: the requests per second that the target takes from all nodes
  /// together, a decimal number.
  std::string RateLimit;
  /// In an answer: a whole number, above 0 if the target leaves.
  std::string Leaving;
  /// Field for the caller's API key. With \ref KeyPrefix set, it is used for
  /// nothing else.
  std::string Key = "Authorization";
  /// Prefix of the key in \ref Key: a lower-case word and a space.
  std::string KeyPrefix = "bearer ";
  /// Whether a key is also accepted in a dedicated field or in the query.
  bool KeyInFieldOrQuery = true;
  /// Whether calls inside the mesh are identified by \ref CallToken.
  bool UseCallTokens = true;
  /// Separator between the id of a request and what the target that runs it
  /// appends to that id for a call of its own; '\0' if ids are not nested.
  char ChildIdSeparator = '\0';
  /// Whether `Retry-After` may contain fractions of a second.
  bool FractionalRetryAfter = false;
};

/// Formats the value of `Retry-After`. Unless \ref
/// HeaderScheme::FractionalRetryAfter is set, it is rounded up to whole
/// seconds, at least 1, so that callers do not retry early.
std::string retryAfterText(const HeaderScheme &Scheme, DurationMs Wait);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_HEADERSCHEME_H
