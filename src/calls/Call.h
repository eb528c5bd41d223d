/// \file
/// A request and its answer as they travel through the mesh.
///
/// Callers hand in a \ref CallRequest with an \ref AnswerHook; the hook is
/// called exactly once. The key that a caller showed is never part of either.

#ifndef FESCUEWOOD_CALLS_CALL_H
#define FESCUEWOOD_CALLS_CALL_H

#include "callers/HeaderScheme.h"
#include "core/Clock.h"
#include "core/Digest.h"
#include "core/ResultCode.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fescuewood {

/// Identifies one call between nodes for as long as its entry node lives.
struct CallId {
  std::uint64_t Incarnation = 0; ///< Of the entry node's process.
  std::uint64_t Sequence = 0;

  auto operator<=>(const CallId &) const = default;

  /// "incarnation-sequence" in hexadecimal, as in logs and the time line.
  std::string text() const;
};

/// An HTTP header field. Names keep the case in which they came.
struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};

/// What is known of whether a request reached its target and ran there.
enum class Outcome : std::uint8_t { NotRun = 0, Ran = 1, Unknown = 2 };

/// "not-run", "ran" or "unknown", as callers read it.
std::string_view outcomeName(Outcome Value);

/// A request after its route and organisation are known.
struct CallRequest {
  CallId Id;
  std::string Method;
  std::string Target; ///< Path and query, as the caller sent them.
  std::vector<Header> Headers;
  std::string Body;
  std::string Route;
  std::string Service;
  std::string Organisation; ///< Empty on routes open to all.
  /// The start of the digest of the key that was shown, see \ref
  /// keyDigestPrefix, so that a withdrawn key also stops calls that wait; 0 for
  /// other calls.
  std::uint64_t KeyDigestPrefix = 0;
  DurationMs Remaining{0};      ///< Time left when this copy was sent.
  std::uint16_t Priority = 0;   ///< 0 goes first, see \ref callPriority.
  std::uint8_t MaxAttempts = 0; ///< Targets tried; 0: as the settings say.
  std::uint8_t Depth = 0; ///< Calls above this one, 0 from a caller outside.
  bool Idempotent = false;
  bool CanWait = false;
  bool Large = false; ///< A long answer is expected; known at the entry only.
};

/// The id that the caller gave a request, for logs; empty when it gave none.
std::string requestIdOf(const CallRequest &Request, const HeaderScheme &Scheme);

/// Rank of a call that a target makes for a request that it already works on:
/// without it that work is lost.
inline constexpr std::uint16_t InnerCallPriority = 0;

/// Rank of a caller's request: the organisation's goes before the route's.
std::uint16_t callPriority(std::uint32_t Organisation, std::uint32_t Route);

/// The first 64 bits of a key's digest; tells keys apart, reveals none.
std::uint64_t keyDigestPrefix(const Digest &Sha256);

/// A whole answer, or a refusal by the mesh.
struct CallAnswer {
  int Status = 0; ///< HTTP status towards the caller.
  std::vector<Header> Headers;
  std::string Body;
  Outcome Ran = Outcome::NotRun;
  ResultCode Reason = ResultCode::Ok; ///< Ok when the target answered.
};

/// Receives the one answer to a call; may be called on any thread.
using AnswerHook = std::function<void(CallAnswer)>;

/// A refusal by the mesh as an answer: JSON body with reason and outcome.
CallAnswer refusal(int Status, ResultCode Reason, Outcome Ran);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALL_H
