/// \file
/// Settings of the control duty; the defaults are sized for 1,100 nodes.

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

/// Settings of the control duty.
struct ControlSettings {
  Instance Self;                  ///< This instance, with its initial state.
  std::vector<std::string> Seeds; ///< "IP:port" of the nodes to join by.
  std::uint64_t Seed = 0;         ///< Of the random choices; 0: random.

  DurationMs ExchangePeriod{1000};  ///< Mean time between started exchanges.
  DurationMs ExchangeTimeout{2000}; ///< The peer is then unreachable.
  DurationMs FetchTimeout{5000};
  DurationMs TickPeriod{50};
  DurationMs InstancesPeriod{200}; ///< Minimum time between OnInstances.
  std::size_t PushFanout = 3;      ///< Peers that an urgent change is sent to.
  std::size_t MaxPushesPerSecond = 12;
  std::size_t MaxRumours = 6; ///< Member records per exchange.
  /// Rate and burst of the non-urgent member records that this node gossips. A
  /// single change needs far less; when many members change at once, the tables
  /// are repaired in bulk.
  double RumoursPerSecond = 2;
  double RumourBurst = 16;
  std::size_t MaxRepairRecords = 48; ///< Member records per repair reply.
  /// Nodes of a failure domain that read the source; with EachNodeMayRead, a
  /// large domain has more.
  std::size_t ReadersPerDomain = 2;
  /// Whether each node may read the source itself, which requires a source
  /// that never returns stale answers. No start or pause then waits for peers,
  /// and the nodes that are no readers read through those that are.
  bool EachNodeMayRead = false;
  /// With EachNodeMayRead: time for which a fetch of a peer's newer version is
  /// delayed, since this node is expected to read it from the source.
  DurationMs OwnReadGrace{500};
  /// Time without an answer after which the source counts as unreachable.
  /// Exceeds the duration of a watch plus a call.
  DurationMs SourceSilenceLimit{1800};
  std::size_t HeldBundles = 3; ///< Versions kept as bases of deltas.

  VersionKeeperSettings Versions;
  MembershipSettings Members;
  PeerViewSettings Peers;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLSETTINGS_H
