/// \file
/// Schema rows of the `[calls]` section of the settings. The defaults are
/// defined in policy/CallSettings.h only.

#ifndef FESCUEWOOD_SETTINGS_CALLROWS_H
#define FESCUEWOOD_SETTINGS_CALLROWS_H

#include "ini/Schema.h"
#include "settings/NodeSettings.h"

#include <vector>

namespace fescuewood {

/// One row per `[calls]` setting, in the order of docs/SETTINGS.md.
std::vector<KeyRow<NodeSettings>> callRows();

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_CALLROWS_H
