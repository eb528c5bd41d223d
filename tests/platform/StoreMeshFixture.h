/// \file
/// A mesh of real processes on a stand-in of the users' platform: the store,
/// targets that sign their answers, and nodes with the settings that
/// deploy/settings.ini gives them.

#ifndef FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H
#define FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H

#include "standins/Http.h"
#include "standins/Process.h"
#include "support/TemporaryFolder.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuewood {

/// A target and the node beside it.
struct StoreMeshInstance {
  std::string Domain;
  std::string Service;
  std::string Id; ///< Of the target.
  std::string Ip;
  standins::Process Target;
  standins::Process Node;
};

/// What a caller sends.
struct StoreMeshRequest {
  std::string Id;
  std::string Path = "/open/";
  std::string Key = {};
  std::string Method = "GET";
  std::string Fields = {}; ///< Further lines.
  int TimeLeftMs = 5000;
};

/// Two domains, `east` and `west`; two targets of `queue`, one of `ledger`.
class StoreMesh {
public:
  StoreMesh();
  StoreMesh(const StoreMesh &) = delete;
  StoreMesh &operator=(const StoreMesh &) = delete;

  /// Starts everything and waits until each node says that it is ready.
  void start();

  /// Commands the store's stand-in.
  nlohmann::json store(const std::string &Command,
                       const std::string &Body = "") const;
  void put(const std::string &Key, const std::string &Value) const;

  /// Puts the configuration in force, with `/open/` leading to a service.
  void configure(const std::string &OpenService,
                 const std::string &Keys = R"("key-one")") const;

  /// Puts a target's entry.
  void registerTarget(const StoreMeshInstance &Each,
                      const std::string &State = "ready") const;

  /// Sends a request to a node; an empty message when there is no answer.
  standins::Message send(const StoreMeshInstance &To,
                         const StoreMeshRequest &Request) const;

  bool ready(const StoreMeshInstance &Each) const;

  /// Commands a target's stand-in.
  nlohmann::json target(const StoreMeshInstance &Each,
                        const std::string &Command) const;

  /// How often the targets ran a request.
  int runs(const std::string &RequestId) const;

  /// What `fescuewood timeline --request` finds in the nodes' logs.
  std::string timeline(const std::string &RequestId) const;

  std::vector<StoreMeshInstance> Instances;

private:
  void add(const std::string &Domain, const std::string &Service,
           const std::string &Id);
  void startTarget(StoreMeshInstance &Each) const;
  void startNode(StoreMeshInstance &Each) const;
  bool answers(const StoreMeshInstance &Each) const;
  std::string settings(const StoreMeshInstance &Each) const;
  std::string logOf(const StoreMeshInstance &Each) const;
  std::string storeAddress() const;

  TemporaryFolder Folder;
  std::string Net;
  standins::Process Store;
};

/// Waits for a condition, or fails the present test.
void awaitThat(const std::string &What, const std::function<bool()> &Condition);

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_PLATFORM_STOREMESHFIXTURE_H
