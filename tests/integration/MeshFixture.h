/// \file
/// What the tests of the whole mesh share: a small intent, and shorthands that
/// send requests and judge them by the targets' own records.

#ifndef FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H
#define FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H

#include "standins/Mesh.h"

#include <future>
#include <memory>
#include <string>
#include <vector>

namespace fescuewood {

/// Two domains, a service `queue` in both and a service `ledger` whose nodes
/// are used as entries, so that a request for `queue` crosses two nodes.
standins::MeshOptions smallMesh();

/// Header lines that show the key of an organisation and mark the request.
std::string keyHeaders(const std::string &Key, const std::string &Mark);

/// A stream of requests at \p PerSecond for organisation `first`.
standins::LoadStream makeStream(const std::string &Method,
                                const std::string &Path, double PerSecond);

/// Runs load from the side while a test disturbs the mesh.
class BackgroundLoad {
public:
  BackgroundLoad(standins::LoadOptions Options);

  /// Waits for the last answer and sums up against the targets' records.
  standins::LoadSummary finish(const standins::Mesh &Mesh);

  const std::vector<standins::LoadSample> &samples() const { return Samples; }

private:
  standins::LoadOptions Options;
  std::future<std::vector<standins::LoadSample>> Running;
  std::vector<standins::LoadSample> Samples;
};

/// Starts a mesh and waits for \ref awaitAdmission, or fails the present test.
void start(standins::Mesh &Mesh);

/// Waits until each node answers a request of organisation `first`.
void awaitAdmission(const standins::Mesh &Mesh);

/// Waits for a condition, or fails the present test.
void eventually(const std::string &What, const std::function<bool()> &Condition,
                std::chrono::seconds Timeout = std::chrono::seconds(30));

/// Everything about a run in one line, for the report of a failed check.
std::string describe(const standins::LoadSummary &Sum);

/// True when no promise of the mesh was broken, whatever the share of requests
/// that were answered: nothing foreign, doubled or falsely refused.
bool guaranteesHold(const standins::LoadSummary &Sum);

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_INTEGRATION_MESHFIXTURE_H
