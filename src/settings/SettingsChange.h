/// \file
/// What differs between two versions of the settings file.

#ifndef FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H
#define FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H

#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// The settings that differ, as "[section] name", by what they ask for.
struct SettingsChange {
  std::vector<std::string> TakenAtOnce;
  std::vector<std::string> NeedRestart;

  bool empty() const { return TakenAtOnce.empty() && NeedRestart.empty(); }
};

/// Compares two texts of settings, both of which have been accepted.
SettingsChange compareSettings(std::string_view Old, std::string_view New);

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_SETTINGSCHANGE_H
