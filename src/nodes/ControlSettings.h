/// \file
/// Behaviour of the control duty; the defaults are sized for 1,100 nodes.

#ifndef FESCUEWOOD_NODES_CONTROLSETTINGS_H
#define FESCUEWOOD_NODES_CONTROLSETTINGS_H

#include "core/Clock.h"
#include "policy/Instance.h"
#include "policy/MembershipSettings.h"
#include "policy/PeerView.h"
#include "policy/VersionKeeper.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuewood {

struct ControlSettings {
  Instance Self;                  ///< This instance; its state is the first.
  std::vector<std::string> Seeds; ///< "IP:port" of nodes to ask first.
  std::uint64_t Seed = 0;         ///< Of the random choices; 0 for any.

  DurationMs ExchangePeriod{1000};  ///< Mean time between own exchanges.
  DurationMs ExchangeTimeout{2000}; ///< Then the peer did not answer.
  DurationMs FetchTimeout{5000};
  DurationMs TickPeriod{50};
  DurationMs InstancesPeriod{200}; ///< Least time between OnInstances.
  std::size_t PushFanout = 3;      ///< Peers told of a new version at once.
  std::size_t MaxPushesPerSecond = 12;
  std::size_t MaxRumours = 6; ///< Member records in one message.
  /// Member records passed on unasked in a second, on average, and at most at
  /// once. A single change spreads well below both; a herd's is repaired in
  /// bulk.
  double RumoursPerSecond = 2;
  double RumourBurst = 16;
  std::size_t MaxRepairRecords = 48; ///< Member records in one repair.
  std::size_t ReadersPerDomain = 2;
  /// Every node follows the source itself, whose answers are never old. Peers
  /// then only help a node that cannot reach it.
  bool EveryNodeReads = false;
  /// Time for which a newer version of a peer is left to the own reading.
  DurationMs OwnReadGrace{1200};
  /// A source that has not answered for so long, more than a watch and a call,
  /// does not answer this node.
  DurationMs SourceSilenceLimit{1800};
  std::size_t HeldBundles = 3; ///< Versions kept to make deltas from.

  VersionKeeperSettings Versions;
  MembershipSettings Members;
  PeerViewSettings Peers;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLSETTINGS_H
