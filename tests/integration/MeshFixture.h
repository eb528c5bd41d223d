/// \file
/// Fixture of the mesh tests: a small intent, and helpers that send requests
/// and check the results against the runs that the targets recorded.

#ifndef FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H
#define FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H

#include "standins/Mesh.h"

#include <future>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace fescuewood {

/// Options of a mesh with two failure domains, the service `queue` in both and
/// the service `ledger` in one. A request for `queue` that enters at the node
/// of `ledger` passes two nodes.
standins::MeshOptions smallMesh();

/// Header lines with the API key of an organisation and the request mark.
std::string keyHeaders(const std::string &Key, const std::string &Mark);

/// Load stream of organisation `first` at \p PerSecond.
standins::LoadStream makeStream(const std::string &Method,
                                const std::string &Path, double PerSecond);

/// Connection of a caller that stays open over several requests.
class OpenConnection {
public:
  /// Connects to \p Address; throws on failure.
  explicit OpenConnection(const std::string &Address);

  /// Sends \p Requests at once and returns their responses in order; fewer when
  /// the connection ends first.
  std::vector<standins::Message> ask(std::span<const std::string> Requests);

private:
  asio::io_context Context;
  standins::Tcp::socket Socket{Context};
  std::string Received; ///< Bytes after the last response.
};

/// Load that runs on another thread while a test injects faults.
class BackgroundLoad {
public:
  BackgroundLoad(standins::LoadOptions Options);

  /// Waits for all results and summarises them, checked against the runs that
  /// the targets recorded.
  standins::LoadSummary finish(const standins::Mesh &Mesh);

  const std::vector<standins::LoadSample> &samples() const { return Samples; }

private:
  standins::LoadOptions Options;
  std::future<std::vector<standins::LoadSample>> Running;
  std::vector<standins::LoadSample> Samples;
};

/// Starts a mesh and calls \ref awaitAdmission; fails the current test when the
/// mesh does not start.
void start(standins::Mesh &Mesh);

/// Waits until each node admits a request of organisation `first`; fails the
/// current test on a timeout.
void awaitAdmission(const standins::Mesh &Mesh);

/// Waits until \p Condition holds; fails the current test with \p Description
/// after \p Timeout.
void eventually(const std::string &Description,
                const std::function<bool()> &Condition,
                std::chrono::seconds Timeout = std::chrono::seconds(30));

/// Formats all figures of a load run for the message of a failed check.
std::string describe(const standins::LoadSummary &Sum);

/// Whether the guarantees of the mesh hold, regardless of the share of requests
/// that succeeded: no response of another request, no repeated run of a
/// non-idempotent request, and no false outcome.
bool guaranteesHold(const standins::LoadSummary &Sum);

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H
