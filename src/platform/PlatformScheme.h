/// \file
/// The platform's header fields and pages, as data for the other packages.

#ifndef FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H
#define FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H

#include "callers/HeaderScheme.h"

#include <string>

namespace fescuewood::platform {

/// The header fields of the platform's callers and targets.
HeaderScheme headerScheme();

/// The page that the platform asks whether this node takes callers.
std::string readyPath();

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_PLATFORMSCHEME_H
