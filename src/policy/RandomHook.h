/// \file
/// The hook through which decisions draw random numbers.

#ifndef FESCUEWOOD_POLICY_RANDOMHOOK_H
#define FESCUEWOOD_POLICY_RANDOMHOOK_H

#include <cstdint>
#include <functional>

namespace fescuewood {

/// Draws one uniform 64-bit number.
using RandomHook = std::function<std::uint64_t()>;

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RANDOMHOOK_H
