/// \file
/// Settings of one process, read from an INI file.
///
/// \ref parseSettings returns either consistent settings or a list of all
/// problems. To add a setting, add a member here and a row to the table in
/// NodeSettings.cpp and to docs/SETTINGS.md.

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

/// [node]: identity and location of this process.
struct NodeIdentity {
  std::string Name;       ///< Unique in the fleet, such as "recife/archive-2".
  std::string Domain;     ///< Failure domain.
  std::string Service;    ///< Service of the local target.
  std::uint32_t Slot = 0; ///< Declared node slot in the domain, from 0.
  std::string Address;    ///< Source IP address of outgoing connections.
  /// Memory of the machine in millions of bytes; 0 if the system reports it.
  std::uint32_t MemoryMb = 0;
  /// Open descriptors that the process may have; 0 for the system's limit.
  std::uint32_t MaxDescriptors = 0;
};

/// [callers]: listener and limits for callers.
struct CallerSettings {
  Endpoint Listen;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  std::uint32_t MaxConnections = 0;
  double MemoryShare = 0;    ///< Of the machine, for all that callers hold.
  DurationMs ReadTimeout;    ///< For receiving one request.
  DurationMs IdleTimeout;    ///< Until an idle connection is closed.
  std::uint32_t MinRate = 0; ///< In bytes per second; 0 for no minimum.
  DurationMs RateWindow;     ///< Over which the rate is averaged.
  DurationMs MinBodyTime;    ///< Allowed for any request body.
  DurationMs MaxBodyTime;    ///< Allowed for the largest request body.
  DurationMs LeaveNotice;  ///< Time that connections are accepted at shutdown.
  DurationMs DrainTimeout; ///< Time that new calls are taken at shutdown.
};

/// [peers]: communication with other nodes.
struct PeerSettings {
  Endpoint Listen;
  /// Endpoint announced to other nodes, if it differs from \ref Listen.
  std::optional<Endpoint> Advertise;
  std::vector<Endpoint> Seeds; ///< Contacted first after a start; may be empty.
  std::string Secret;          ///< Shared by the fleet; authenticates messages.
};

/// [target]: the local target of this process.
struct TargetSettings {
  Endpoint Address;
  DurationMs ConnectTimeout;
  DurationMs ProbePeriod;
  DurationMs ProbeTimeout;
  std::string ProbePath;
  std::uint32_t MaxConnections = 0;
};

/// Location of the platform.
struct PlatformLocation {
  enum class Kind : std::uint8_t { Http, Folder, Store };

  Kind Form = Kind::Folder;
  Endpoint Server;    ///< For Http and Store.
  std::string Folder; ///< For Folder.
};

/// [platform]: source of intent and instances, and limits on reading it.
struct PlatformSettings {
  PlatformLocation Source;
  std::uint32_t FleetReadsPerSecond = 0; ///< Sum over all processes.
  std::uint32_t FleetNodes = 0;          ///< Maximum number of processes.
  DurationMs WatchWait;                  ///< Maximum wait of one watch request.
  DurationMs Timeout;                    ///< In addition to the wait.
  /// Region of each failure domain, if the platform does not publish them.
  std::map<std::string, std::string, std::less<>> Regions;
};

/// Whether the platform is a store that every node watches.
inline bool isStorePlatform(const PlatformSettings &Settings) {
  return Settings.Source.Form == PlatformLocation::Kind::Store;
}

/// [bounds]: guarantees that the fleet must meet.
struct BoundSettings {
  /// Seconds within which a change at the platform must be in force; 0 for no
  /// bound.
  double ChangeApply = 0;
  /// Seconds after which a withdrawn key must be rejected; 0 for no bound.
  double KeyWithdrawal = 0;
  double RateWindow = 0;  ///< Window for organisation rates, in seconds.
  double RateOverage = 0; ///< Fraction admitted above rate and burst.
  double RateSlack = 0;   ///< Requests admitted above that.
  /// Seconds from SIGTERM until the process is killed; 0 if it is not.
  double TerminationGrace = 0;
};

/// [operators]: listeners for status, metrics and readiness.
struct OperatorSettings {
  Endpoint Listen;
  /// Listener for the readiness check; std::nullopt disables it.
  std::optional<Endpoint> Ready;
};

/// [log]: minimum level and destination of the log.
struct LogSettings {
  EventLevel Level = EventLevel::Info;
  std::string File; ///< Empty for standard output.
};

/// All settings of a process.
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

/// Parses settings. Returns std::nullopt when there is a problem; \p
/// ProblemList then contains all problems, each with file, line, name and
/// expected value.
std::optional<NodeSettings> parseSettings(std::string_view Text,
                                          std::string_view FileName,
                                          Problems &ProblemList);

/// Reads the text of a settings file; std::nullopt when it cannot be read.
std::optional<std::string> readSettings(const std::string &Path);

/// Reads and parses a settings file.
std::optional<NodeSettings> loadSettings(const std::string &Path,
                                         Problems &ProblemList);

/// Documentation of all settings, in the order of docs/SETTINGS.md.
std::vector<KeyInfo> settingsKeys();

} // namespace fescuewood

#endif // FESCUEWOOD_SETTINGS_NODESETTINGS_H
