/// \file
/// The status that a node reports to operators about itself and the mesh.
///
/// The node fills a \ref NodeStatus on request. \ref statusJson and
/// \ref metricsText convert it to pages of the operator port; \ref statusTable
/// formats the JSON page of a node as text.

#ifndef FESCUEWOOD_OPERATORS_NODESTATUS_H
#define FESCUEWOOD_OPERATORS_NODESTATUS_H

#include "callers/CallerServer.h"
#include "calls/CallStatus.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTraffic.h"
#include "organisations/OrganisationLimiter.h"
#include "policy/Instance.h"
#include "sources/PlatformReader.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

enum class NodePhase : std::uint8_t {
  Starting, ///< No configuration has been applied yet.
  Serving,
  Draining,
};

/// Returns "starting", "serving" or "draining".
std::string_view phaseName(NodePhase Phase);

/// The state of one instance of the fleet, as known to the node. The node
/// itself has a row too.
struct FleetRow {
  Instance InstanceInfo;
  std::string Health; ///< "alive", "suspected", "leaving" or "dead".
  Version InForce;
  std::optional<DurationMs> LastHeard; ///< Absent for the node itself.
};

/// A failure domain as declared in the configuration in force.
struct DomainRow {
  std::string Name;
  std::string Region;
  DomainStatus Status = DomainStatus::In;
  std::uint32_t DeclaredNodes = 0;
};

/// A snapshot of a node's state.
struct NodeStatus {
  std::string Name;
  std::string Domain;
  std::string Service;
  std::uint32_t Slot = 0;
  std::uint64_t Incarnation = 0;
  NodePhase Phase = NodePhase::Starting;
  DurationMs Uptime;
  std::size_t ResidentBytes = 0;  ///< 0 if unknown.
  std::size_t MachineBytes = 0;   ///< 0 if unknown.
  std::size_t ReceivingBytes = 0; ///< Of the answers from the target.

  std::optional<Version> InForce;
  std::vector<DomainRow> Domains;
  std::vector<FleetRow> Fleet;

  bool SourceReachable = true;
  PlatformReaderCounts Source;

  CallerServerStatus Callers;
  CallStatus Calls;
  LimiterStatus Organisations;
  std::vector<PeerKindTraffic> Traffic;
  std::vector<PeerRefusals> RefusedMessages;
  std::uint64_t PeerConnections = 0;
  std::size_t PeerQueuedBytes = 0;
  std::size_t PeerQueuedFrames = 0;
  std::vector<std::pair<EventId, std::uint64_t>> EventCounts;
};

/// Returns the `/status` page.
std::string statusJson(const NodeStatus &Status);

/// Returns the `/metrics` page, in the Prometheus text format.
std::string metricsText(const NodeStatus &Status);

/// Formats the `/status` page of a node as tables. Returns std::nullopt if
/// \p Json is no such page. Sets \p Healthy to true if the node has a
/// configuration in force, all instances are alive, up and on the same version,
/// and every failure domain with status "in" has a live instance.
std::optional<std::string> statusTable(std::string_view Json, bool &Healthy);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_NODESTATUS_H
