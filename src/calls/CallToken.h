/// \file
/// Call tokens, which identify the organisation of a call inside the mesh.
///
/// A node adds a token to each request that it sends to its target. The target
/// copies the token into its own calls, which go through the same node. The
/// node verifies it there: the call runs for the organisation that was charged
/// when the chain entered the mesh and is not charged again. A token is signed
/// with HMAC-SHA-256 under the fleet secret, so only nodes can issue one. It is
/// valid only at the node that issued it and until the request's deadline, so a
/// leaked token is useless elsewhere or later.

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

/// Maximum length of a token text, in bytes; longer ones are malformed.
inline constexpr std::size_t MaxCallTokenBytes = 512;

/// Claims of a call token.
struct CallToken {
  std::string Organisation; ///< Empty on open routes.
  std::uint8_t Depth = 0;   ///< Of the request sent to the target.
  TimeMs Deadline;          ///< On the issuing node's monotonic clock.
  CallId Call;              ///< Id of the request sent to the target.

  bool operator==(const CallToken &) const = default;
};

/// Issues and verifies call tokens. Cheap to copy and not thread-safe: each
/// thread that verifies tokens uses its own copy.
class CallTokenSigner {
public:
  /// \param Issuer instance name of this node; other issuers' tokens are
  /// refused.
  CallTokenSigner(std::string FleetSecret, std::string Issuer);

  /// Returns the signed token, the value of the HeaderScheme::CallToken header.
  std::string issue(const CallToken &Token) const;

  /// Verifies a token and returns its claims.
  ///
  /// On failure returns std::nullopt and sets \ref lastReason to
  /// ResultCode::CallTokenMalformed, ResultCode::CallTokenForged (altered, or
  /// issued with another secret or by another node) or
  /// ResultCode::CallTokenExpired.
  std::optional<CallToken> verify(std::string_view Text, TimeMs Now);

  /// Reason for the most recent failure of \ref verify.
  ResultCode lastReason() const { return LastReason; }

private:
  Digest signature(std::string_view Payload) const;
  std::nullopt_t fail(ResultCode Reason);

  std::string Secret;
  std::string Issuer;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLTOKEN_H
