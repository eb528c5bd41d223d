/// \file
/// The settings of one process, read once at start from an INI file.
///
/// A user gives the file's text to \ref parseSettings and gets either settings
/// that hold together or every problem at once. To add a setting, add a member
/// here and a row to the table in NodeSettings.cpp and docs/SETTINGS.md.

#ifndef FESCUEWOOD_SETTINGS_NODESETTINGS_H
#define FESCUEWOOD_SETTINGS_NODESETTINGS_H

#include "core/Clock.h"
#include "core/Endpoint.h"
#include "core/Event.h"
#include "ini/Problem.h"
#include "ini/Schema.h"
#include "policy/CallSettings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// [node]: who and where this process is.
struct NodeIdentity {
  std::string Name;       ///< Unique in the fleet, such as "recife/archive-2".
  std::string Domain;     ///< Failure domain.
  std::string Service;    ///< Of the target beside this process.
  std::uint32_t Slot = 0; ///< Declared node slot in the domain, from 0.
  std::string Address;    ///< IP number that outgoing connections come from.
};

/// [callers]: where callers connect and what they may send.
struct CallerSettings {
  Endpoint Listen;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  std::uint32_t MaxConnections = 0;
  DurationMs ReadTimeout; ///< For one whole request.
  DurationMs IdleTimeout; ///< Until an unused connection is closed.
  DurationMs LeaveNotice; ///< New connections are taken for so long at the end.
  DurationMs DrainTimeout; ///< Longest wait for running requests at the end.
};

/// [peers]: how this process meets the others.
struct PeerSettings {
  Endpoint Listen;
  /// What other nodes are told to connect to, where that is not \ref Listen.
  std::optional<Endpoint> Advertise;
  std::vector<Endpoint> Seeds; ///< Asked first; may be empty.
  std::string Secret;          ///< Shared by the fleet; seals each message.
};

/// [target]: the one target beside this process.
struct TargetSettings {
  Endpoint Address;
  DurationMs ConnectTimeout;
  DurationMs ProbePeriod;
  DurationMs ProbeTimeout;
  std::string ProbePath;
  std::uint32_t MaxConnections = 0;
};

/// How the platform is reached.
struct PlatformLocation {
  enum class Kind : std::uint8_t { Http, Folder, Store };

  Kind Form = Kind::Folder;
  Endpoint Server;    ///< For Http and Store.
  std::string Folder; ///< For Folder.
};

/// [platform]: where intent and instances are read from, and how often.
struct PlatformSettings {
  PlatformLocation Source;
  std::uint32_t FleetReadsPerSecond = 0; ///< All processes together.
  std::uint32_t FleetNodes = 0;          ///< Most processes that may read.
  DurationMs WatchWait;                  ///< Longest wait of one watch.
  DurationMs Timeout;                    ///< Added to the wait.
  /// Regions by failure domain, where the platform does not publish them.
  std::map<std::string, std::string, std::less<>> Regions;
};

/// Whether the platform is a store that every node follows.
inline bool followsStore(const PlatformSettings &Settings) {
  return Settings.Source.Form == PlatformLocation::Kind::Store;
}

/// [bounds]: what the users hold the fleet to.
struct BoundSettings {
  /// Seconds after which a withdrawn key must not be used; 0: not bounded.
  double KeyWithdrawal = 0;
  double RateWindow = 0;  ///< Seconds over which an organisation's rate holds.
  double RateOverage = 0; ///< Share above rate and burst that may pass.
  double RateSlack = 0;   ///< Requests above that.
};

/// [operators]: where status and metrics are served.
struct OperatorSettings {
  Endpoint Listen;
  /// Where a platform asks whether this node takes callers; nothing: nowhere.
  std::optional<Endpoint> Ready;
};

/// [log]: what is logged, and where.
struct LogSettings {
  EventLevel Level = EventLevel::Info;
  std::string File; ///< Empty for the standard output.
};

/// Everything that a process is told at its start.
struct NodeSettings {
  NodeIdentity Node;
  CallerSettings Callers;
  PeerSettings Peers;
  TargetSettings Target;
  CallSettings Calls;
  PlatformSettings Platform;
  BoundSettings Bounds;
  OperatorSettings Operators;
  LogSettings Log;
};

/// Parses settings. Returns nothing when there is any problem; \p Found then
/// holds all of them, each with file, line, name and what was expected.
std::optional<NodeSettings> parseSettings(std::string_view Text,
                                          std::string_view FileName,
                                          Problems &Found);

/// The text of a file of settings; nothing when it cannot be read.
std::optional<std::string> readSettings(const std::string &Path);

/// Reads and parses a file of settings.
std::optional<NodeSettings> loadSettings(const std::string &Path,
                                         Problems &Found);

/// Every setting, in the order of docs/SETTINGS.md.
std::vector<KeyInfo> settingsKeys();

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_NODESETTINGS_H
