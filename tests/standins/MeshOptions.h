/// \file
/// What a mesh of real processes is made of.

#ifndef FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H
#define FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H

#include "standins/Process.h"

#include <map>
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
  std::string Binaries; ///< The build folder.
  std::vector<MeshGroup> Groups;
  std::string Region = "coast";
  int ColdMs = 0;
  int ColdSlots = 2;
  int LatencyMs = 2;
  bool PeerProxies = false;     ///< Nodes reach each other through proxies.
  bool TargetProxies = false;   ///< Nodes reach their targets through proxies.
  bool PlatformProxies = false; ///< A proxy to the platform for each domain.
  bool Seeds = false;           ///< Every node is everybody's seed.
  std::string CallerSettings;   ///< Lines added to their section.
  std::string Settings;         ///< Further lines of each node's settings.
  std::vector<std::string> TargetFlags;      ///< Further flags of each target.
  std::map<std::string, std::string> Intent; ///< Files by name.
};

/// One target, the node beside it, and their proxies.
struct MeshInstance {
  std::string Name;
  std::string Domain;
  std::string Service;
  int Slot = 0;
  int Slots = 6;
  std::string Ip;
  std::string Settings; ///< Path of the node's settings.
  Process Node;
  Process Target;
  Process PeerProxy;
  Process TargetProxy;
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_MESHOPTIONS_H
