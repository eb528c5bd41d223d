/// \file
/// The `[calls]` section of the settings; its defaults stand in
/// policy/CallSettings.h alone.

#ifndef FESCUEWOOD_SETTINGS_CALLROWS_H
#define FESCUEWOOD_SETTINGS_CALLROWS_H

#include "ini/Schema.h"
#include "settings/NodeSettings.h"

#include <vector>

namespace fescuewood {

/// One row per setting of calls, in the order of docs/SETTINGS.md.
std::vector<KeyRow<NodeSettings>> callRows();

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_CALLROWS_H
