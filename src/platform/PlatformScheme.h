/// \file
/// Header fields and HTTP paths of the platform, as data for other packages.

#ifndef FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H
#define FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H

#include "callers/HeaderScheme.h"

#include <string>

namespace fescuewood::platform {

/// Returns the header fields that the platform's callers and targets use.
HeaderScheme headerScheme();

/// Path of the readiness check that the platform requests from each node.
std::string readyPath();

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H
