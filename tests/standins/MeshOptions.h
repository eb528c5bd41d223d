/// \file
/// Options and instances of a mesh of real processes.

#ifndef FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H
#define FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H

#include "standins/Process.h"

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace standins {

/// Instances of one service in one failure domain.
struct MeshGroup {
  std::string Service;
  std::string Domain;
  int Count = 1;
  int Slots = 6;
};

struct MeshOptions {
  std::string Binaries; ///< Build directory.
  std::vector<MeshGroup> Groups;
  std::string Region = "coast";
  int ColdMs = 0;
  int ColdSlots = 2;
  int LatencyMs = 2;
  bool PeerProxies = false;     ///< Fault proxies between nodes.
  bool TargetProxies = false;   ///< Fault proxies between nodes and targets.
  bool PlatformProxies = false; ///< A platform proxy per failure domain.
  bool Seeds = false;           ///< Every node lists all nodes as seeds.
  std::string CallerSettings;   ///< Lines for the section [callers].
  std::string Settings;         ///< Lines appended to each node's settings.
  std::vector<std::string> TargetFlags; ///< Additional flags of each target.
  std::map<std::string, std::string> Intent; ///< File texts by name.
  /// Called with the reason when a stand-in refuses a command or does not
  /// answer.
  std::function<void(const std::string &Reason)> OnCommandFailure =
      [](const std::string &Reason) { throw std::runtime_error(Reason); };
};

/// One target, its node and their proxies.
struct MeshInstance {
  std::string Name;
  std::string Domain;
  std::string Service;
  int Slot = 0;
  int Slots = 6;
  std::string Ip;
  std::string Settings; ///< Path of the node's settings file.
  Process Node;
  Process Target;
  Process PeerProxy;
  Process TargetProxy;
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H
