/// \file
/// Test fixture that runs a mesh of real processes on a fake platform: the
/// store, targets that sign their answers, and nodes configured by
/// deploy/settings.ini.

#ifndef FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H
#define FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H

#include "standins/Http.h"
#include "standins/Process.h"
#include "support/TemporaryFolder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuewood {

/// A target and the node beside it.
struct StoreMeshInstance {
  std::string Domain;
  std::string Service;
  std::string Id; ///< Key of the target in the store, without its prefix.
  std::string Ip;
  standins::Process Target;
  standins::Process Node;
};

/// A request of a caller.
struct StoreMeshRequest {
  std::string Id;
  std::string Path = "/open/";
  std::string Key = {};
  std::string Method = "GET";
  std::string ExtraFields = {}; ///< Additional header lines, each with CRLF.
  std::string Body = {};
  int TimeLeftMs = 5000; ///< Value of the deadline field.
};

/// A mesh of two failure domains, `east` and `west`, with one target of `queue`
/// in each and one target of `ledger` in `east`.
class StoreMesh {
public:
  StoreMesh();
  StoreMesh(const StoreMesh &) = delete;
  StoreMesh &operator=(const StoreMesh &) = delete;

  /// Adds an instance; call before \ref start.
  void addInstance(const std::string &Domain, const std::string &Service,
                   const std::string &Id);

  /// Starts all processes and waits until each node is ready and serves a
  /// request.
  void start();

  /// Sends a control command to the fake store and returns its answer.
  nlohmann::json commandStore(const std::string &Command,
                              const std::string &Body = "") const;
  /// Revision of the store.
  std::uint64_t storeRevision() const;
  /// Sets the store back to a copy that was taken at \p Revision.
  void restoreStore(std::uint64_t Revision) const;
  /// Writes an item to the store.
  void putItem(const std::string &Key, const std::string &Value) const;

  /// Writes a new configuration that routes `/open/` to \p OpenService.
  /// \param Keys the API keys of `clerks` as JSON strings.
  void configure(const std::string &OpenService,
                 const std::string &Keys = R"("key-one")") const;

  /// Writes a target's entry to the store.
  void registerTarget(const StoreMeshInstance &Instance,
                      const std::string &State = "ready") const;

  /// Sends a request to a node. Returns an empty message when the connection
  /// fails.
  standins::Message send(const StoreMeshInstance &Receiver,
                         const StoreMeshRequest &Request) const;

  /// Whether the node's readiness check succeeds.
  bool isReady(const StoreMeshInstance &Instance) const;

  /// Sends a control command to a fake target and returns its answer.
  nlohmann::json commandTarget(const StoreMeshInstance &Instance,
                               const std::string &Command) const;

  /// Number of times that the targets ran a request, over all targets.
  int runCount(const std::string &RequestId) const;

  /// Output of `fescuewood timeline --request` for the nodes' logs.
  std::string timeline(const std::string &RequestId) const;

  std::vector<StoreMeshInstance> Instances;
  int Slots = 6; ///< Of each target.
  /// Whether the deployment has organisations, with keys and quotas; set before
  /// \ref start.
  bool HasOrganisations = true;
  std::size_t MaxBodyBytes = 100'000; ///< Declared in the configuration.
  /// Lines that are added to sections of the settings, by section; set before
  /// \ref start. They replace lines of the same key.
  std::vector<std::pair<std::string, std::string>> AddedSettings;
  double LinkMbps = 0; ///< Setting of all nodes; set before \ref start.

  /// Starts the node of an instance; its previous process must have ended.
  void startNode(StoreMeshInstance &Instance) const;

  /// Address at which other nodes reach the node.
  static std::string peerAddress(const StoreMeshInstance &Instance);

  /// Address at which callers reach the node.
  static std::string callersAddress(const StoreMeshInstance &Instance);

  /// Address of the node's readiness check.
  static std::string readyAddress(const StoreMeshInstance &Instance);

  /// Address of the node's status and metrics.
  static std::string operatorsAddress(const StoreMeshInstance &Instance);

  /// The status page of a node; null when it does not answer.
  nlohmann::json status(const StoreMeshInstance &Instance) const;

  /// Value of a metric of a node without labels; 0 when the node does not
  /// answer.
  double metric(const StoreMeshInstance &Instance,
                const std::string &Name) const;

private:
  void startTarget(StoreMeshInstance &Instance) const;
  bool isTargetUp(const StoreMeshInstance &Instance) const;
  std::string settings(const StoreMeshInstance &Instance) const;
  std::string logFile(const StoreMeshInstance &Instance) const;
  static std::string storeAddress(const StoreMeshInstance &Instance);

  TemporaryFolder Folder;
  std::string AddressPrefix;
  standins::Process Store;
};

/// Waits until a condition is true; fails the current test on a timeout.
void awaitCondition(const std::string &Description,
                    const std::function<bool()> &Condition);

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H
