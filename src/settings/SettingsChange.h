/// \file
/// Comparison of two versions of the settings file.

#ifndef FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H
#define FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H

#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Settings that differ, as "[section] name".
struct SettingsChange {
  std::vector<std::string> Reloadable;      ///< Take effect without a restart.
  std::vector<std::string> RestartRequired; ///< Take effect after a restart.

  bool empty() const { return Reloadable.empty() && RestartRequired.empty(); }
};

/// Compares two settings texts, both of which must be valid.
SettingsChange compareSettings(std::string_view Old, std::string_view New);

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H
