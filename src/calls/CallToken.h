/// \file
/// How a call inside the mesh says on whose behalf it runs.
///
/// The node beside a target puts a token into each request that it gives to
/// the target. The target copies it into its own calls, which go to the same
/// node, and that node opens it there: the call runs for the organisation that
/// was charged at the entry and is not charged again. A token is an
/// HMAC-SHA-256 under the fleet secret, so only a node can make one. It is
/// bound to the node that made it and lapses with the request's deadline; one
/// that leaks is of no use elsewhere or later.

#ifndef FESCUEWOOD_CALLS_CALLTOKEN_H
#define FESCUEWOOD_CALLS_CALLTOKEN_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/Digest.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Longest token text that is looked at, in bytes.
inline constexpr std::size_t MaxCallTokenBytes = 512;

/// What a token states.
struct CallToken {
  std::string Organisation; ///< Empty on routes open to all.
  std::uint8_t Depth = 0;   ///< Of the request that the target was given.
  TimeMs Deadline;          ///< On the issuing node's monotonic clock.
  CallId Call;              ///< The request that the target was given.

  bool operator==(const CallToken &) const = default;
};

/// Makes and opens tokens. Cheap to copy and not thread-safe: each thread that
/// opens tokens uses its own copy.
class CallTokenSigner {
public:
  /// \param Issuer name of this node's instance; tokens of others are refused.
  CallTokenSigner(std::string FleetSecret, std::string Issuer);

  /// The token as the value of \ref CallTokenField (calls/Entry.h).
  std::string issue(const CallToken &Token) const;

  /// What a token states, or nothing with \ref lastReason:
  /// ResultCode::CallTokenMalformed, CallTokenForged (altered, or made under
  /// another secret or by another node) or CallTokenExpired.
  std::optional<CallToken> verify(std::string_view Text, TimeMs Now);

  /// Why the last \ref verify that returned nothing did so.
  ResultCode lastReason() const { return LastReason; }

private:
  Digest signature(std::string_view Statement) const;
  std::nullopt_t refuse(ResultCode Reason);

  std::string Secret;
  std::string Issuer;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLTOKEN_H
