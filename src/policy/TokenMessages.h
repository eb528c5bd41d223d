/// \file
/// What nodes say to each other about rate tokens.

#ifndef FESCUEWOOD_POLICY_TOKENMESSAGES_H
#define FESCUEWOOD_POLICY_TOKENMESSAGES_H

#include "core/Clock.h"

#include <cstdint>
#include <string>

namespace fescuewood {

/// A node asks a meter for a lease, or for new terms of the one it has.
struct TokenRequest {
  std::string Organisation;
  std::uint64_t Sequence = 0; ///< Counts up per organisation and meter.
  std::uint64_t Adopted = 0;  ///< The grant in use; earlier ones are given up.
  double Demand = 0;          ///< Requests a second wanted from this meter.
  double Held = 0;            ///< Tokens left of the lease.
  std::uint32_t Need = 0;     ///< Tokens wanted at once.
};

/// The meter's reply: the terms of the lease from now on. A cap of 0 is a
/// refusal and leaves the lease as it was.
struct TokenGrant {
  std::string Organisation;
  std::uint64_t Sequence = 0; ///< Of the ask.
  double Tokens = 0;          ///< Moved to the asker.
  double Rate = 0;            ///< Tokens a second that accrue at the asker.
  double Cap = 0;             ///< Most that the asker may hold of the lease.
  DurationMs Term;            ///< Counted from the sending of the ask.
  DurationMs Quiet;           ///< Asking again for tokens earlier is no use.
  DurationMs Ready; ///< When a token can be had, if nobody else takes it.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENMESSAGES_H
