/// \file
/// Messages with which nodes request and grant leases of rate tokens.

#ifndef FESCUEWOOD_POLICY_TOKENMESSAGES_H
#define FESCUEWOOD_POLICY_TOKENMESSAGES_H

#include "core/Clock.h"

#include <cstdint>
#include <string>

namespace fescuewood {

/// Requests a lease from a meter, or new terms for an existing lease. A loan
/// request (\ref TokenLoans) uses only the organisation, sequence and need.
struct TokenRequest {
  std::string Organisation;
  std::uint64_t Sequence = 0; ///< Increases per organisation and meter.
  /// Sequence of the active grant; older ones are released.
  std::uint64_t ActiveSequence = 0;
  double Demand = 0;      ///< Tokens per second wanted from this meter.
  double Held = 0;        ///< Tokens left in the lease.
  std::uint32_t Need = 0; ///< Tokens wanted immediately.
};

/// A meter's reply with the new terms of the lease. A cap of 0 refuses the
/// request and leaves an existing lease unchanged. A reply to a loan request
/// uses only the organisation, sequence, tokens and token delay.
struct TokenGrant {
  std::string Organisation;
  std::uint64_t Sequence = 0; ///< Sequence of the request that this answers.
  double Tokens = 0;          ///< Tokens transferred to the holder.
  double Rate = 0;            ///< Tokens per second that accrue at the holder.
  double Cap = 0;             ///< Maximum tokens in the lease at any time.
  DurationMs Term;            ///< Starts when the request is sent.
  /// Minimum delay before the next request for tokens.
  DurationMs RequestDelay;
  /// Delay until a token is available, if nobody else takes it.
  DurationMs TokenDelay;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENMESSAGES_H
