/// \file
/// Hook that supplies random numbers to policy decisions.

#ifndef FESCUEWOOD_POLICY_RANDOMHOOK_H
#define FESCUEWOOD_POLICY_RANDOMHOOK_H

#include <cstdint>
#include <functional>

namespace fescuewood {

/// Returns a uniformly distributed 64-bit number.
using RandomHook = std::function<std::uint64_t()>;

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RANDOMHOOK_H
