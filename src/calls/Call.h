/// \file
/// Request and answer of a call within the mesh.
///
/// A \ref CallRequest is submitted with an \ref AnswerHook, which is called
/// exactly once. Neither request nor answer contains the caller's key.

#ifndef FESCUEWOOD_CALLS_CALL_H
#define FESCUEWOOD_CALLS_CALL_H

#include "callers/HeaderScheme.h"
#include "core/Clock.h"
#include "core/Digest.h"
#include "core/ResultCode.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fescuewood {

/// Identifies a call between nodes for the lifetime of its entry node.
struct CallId {
  std::uint64_t Process = 0; ///< The entry node's, see \ref processId.
  std::uint64_t Sequence = 0;

  auto operator<=>(const CallId &) const = default;

  /// "process-sequence" in hexadecimal, as in logs and the timeline.
  std::string text() const;
};

/// Identifies a process in the fleet. Its incarnation alone does not, since two
/// nodes that start at the same time may draw the same one.
std::uint64_t processId(std::string_view NodeName, std::uint64_t Incarnation);

/// An HTTP header field. The name keeps its original case.
struct Header {
  std::string Name;
  std::string Value;

  bool operator==(const Header &) const = default;
};

/// Maximum number of header fields of a caller's request: a head of 16,384
/// bytes holds no more, since a field takes at least \ref MinFieldBytes.
inline constexpr std::size_t MaxCallerFields = 4096;

/// Bytes of the shortest field: a name of one byte, its colon and a line end.
inline constexpr std::size_t MinFieldBytes = 4;

/// Memory of a header field beside its bytes: two strings and their blocks.
inline constexpr std::size_t FieldOverheadBytes = 96;

/// Memory that fields take.
std::size_t fieldBytes(const std::vector<Header> &Fields);

/// Whether a request ran on a target, as far as it is known.
enum class Outcome : std::uint8_t { NotRun = 0, Ran = 1, Unknown = 2 };

/// "not-run", "ran" or "unknown", as sent to callers.
std::string_view outcomeName(Outcome Value);

/// A request whose route and organisation are known.
struct CallRequest {
  CallId Id;
  std::string Method;
  std::string Target; ///< Path and query.
  std::vector<Header> Headers;
  std::string Body;
  std::string Route;
  std::string Service;
  std::string Organisation; ///< Empty on open routes.
  /// Prefix of the digest of the caller's key, see \ref keyDigestPrefix; 0
  /// without a key. It lets a key withdrawal also end queued calls.
  std::uint64_t KeyDigestPrefix = 0;
  DurationMs Remaining{0};      ///< Time left when the request was sent.
  DurationMs Age{0};            ///< Time since its arrival, when it was sent.
  std::uint16_t Priority = 0;   ///< 0 is highest, see \ref callPriority.
  std::uint8_t MaxAttempts = 0; ///< Targets tried; 0 for the settings' limit.
  std::uint8_t Depth = 0;       ///< Nesting depth; 0 from outside the mesh.
  bool Idempotent = false;
  bool CanWait = false;
  /// The body or the expected answer is large. Set on the entry node only, not
  /// sent.
  bool HasLargePayload = false;
};

/// A copy of \p Request without its body, which may be too large to be copied;
/// \p Request has the same value afterwards.
CallRequest copyWithoutBody(CallRequest &Request);

/// The request id from the caller, for logs; empty if it sent none.
std::string requestId(const CallRequest &Request, const HeaderScheme &Scheme);

/// Priority of a call that a target makes while it runs another request. It is
/// the highest one, because the work on that request is lost if the call fails.
inline constexpr std::uint16_t InnerCallPriority = 0;

/// Priority of a caller's request, ordered by organisation, then by route.
std::uint16_t callPriority(std::uint32_t Organisation, std::uint32_t Route);

/// The first 64 bits of a key's digest, which identify a key without revealing
/// it.
std::uint64_t keyDigestPrefix(const Digest &Sha256);

/// A complete answer from a target, or a refusal by the mesh.
struct CallAnswer {
  int Status = 0; ///< HTTP status sent to the caller.
  std::vector<Header> Headers;
  std::string Body;
  Outcome RequestOutcome = Outcome::NotRun;
  ResultCode Reason = ResultCode::Ok; ///< Ok if the target answered.
};

/// Receives the answer to a call; may be called on any thread.
using AnswerHook = std::function<void(CallAnswer)>;

/// Builds a refusal by the mesh, with code, reason and outcome as a JSON body.
CallAnswer refusal(int Status, ResultCode Reason, Outcome RunOutcome);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALL_H
