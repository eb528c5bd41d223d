/// \file
/// Everything that one node tells operators about itself and the mesh.
///
/// The node fills a \ref NodeStatus when asked; \ref statusJson and
/// \ref metricsText turn it into the pages of the operator port, and
/// \ref statusTable turns the JSON of one or more nodes into text.

#ifndef FESCUEWOOD_OPERATORS_NODESTATUS_H
#define FESCUEWOOD_OPERATORS_NODESTATUS_H

#include "calls/CallStatus.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTraffic.h"
#include "organisations/OrganisationLimiter.h"
#include "policy/Instance.h"
#include "sources/PlatformReader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

enum class NodePhase : std::uint8_t {
  Starting, ///< No configuration is in force yet.
  Serving,
  Draining,
};

/// "starting", "serving" or "draining".
std::string_view phaseName(NodePhase Phase);

/// What this node knows of one instance of the fleet, itself included.
struct FleetRow {
  Instance What;
  std::string Health; ///< "alive", "suspected", "leaving" or "dead".
  Version InForce;
  std::optional<DurationMs> LastHeard; ///< Nothing for itself.
};

/// A failure domain as the configuration in force declares it.
struct DomainRow {
  std::string Name;
  std::string Region;
  DomainStatus Status = DomainStatus::In;
  std::uint32_t DeclaredNodes = 0;
};

struct NodeStatus {
  std::string Name;
  std::string Domain;
  std::string Service;
  std::uint32_t Slot = 0;
  std::uint64_t Incarnation = 0;
  NodePhase Phase = NodePhase::Starting;
  DurationMs Uptime;

  std::optional<Version> InForce;
  std::vector<DomainRow> Domains;
  std::vector<FleetRow> Fleet;

  bool SourceReachable = true;
  PlatformReaderCounts Source;

  CallStatus Calls;
  LimiterStatus Organisations;
  std::vector<PeerKindTraffic> Traffic;
  std::vector<PeerRefusals> RefusedMessages;
  std::uint64_t PeerConnections = 0;
  std::vector<std::pair<EventId, std::uint64_t>> EventCounts;
};

/// The `/status` page.
std::string statusJson(const NodeStatus &Status);

/// The `/metrics` page, in the text format of Prometheus.
std::string metricsText(const NodeStatus &Status);

/// A table for people, made from the `/status` page of one node.
/// Returns nothing when \p Json is no such page. \p Well is set to whether no
/// instance lags, is suspected or down and no declared domain is empty.
std::optional<std::string> statusTable(std::string_view Json, bool &Well);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_NODESTATUS_H
