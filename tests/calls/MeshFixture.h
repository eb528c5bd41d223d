/// \file
/// Simulated mesh of three failure domains, and the invariants of calls that
/// every test run must satisfy.

#ifndef FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H
#define FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H

#include "model/FakeCallMesh.h"

#include <cstddef>
#include <cstdint>
#include <string>

inline constexpr std::int64_t SecondUs = 1'000'000;

/// Configuration with three failure domains in one region, a service "queue"
/// with 6 slots per target, and two organisations of equal weight.
fescuewood::Snapshot makeConfig();

/// A warm mesh with that configuration and \p PerDomain targets of the service
/// "queue" in each failure domain.
std::unique_ptr<FakeCallMesh> makeMesh(std::uint64_t Seed,
                                       fescuewood::CallSettings Settings,
                                       FakeNetworkOptions Network,
                                       std::size_t PerDomain = 1,
                                       const FakeTargetOptions &Target = {});

/// A request of organisation "large" for service "queue"; its body is \p Tag.
fescuewood::CallRequest makeRequest(const std::string &Tag, bool Idempotent);

/// Submits requests at a steady rate, at all nodes in turn. Their tags continue
/// from the number of calls so far.
void offerRequests(FakeCallMesh &Mesh, int PerSecond, std::int64_t SpanUs);

/// Number of runs that the target of a node began at \p FromUs or later.
std::size_t runsSince(const FakeCallMesh &Mesh, std::size_t At,
                      std::int64_t FromUs);

/// Total number of crashes of all targets.
int crashCount(const FakeCallMesh &Mesh);

/// Describes the first violated invariant of a finished run; empty if there is
/// none. Violations are a missing, duplicate or wrong answer, a non-idempotent
/// request that ran twice, a reported outcome that contradicts the runs, and a
/// target with more runs in flight than slots.
std::string invariantViolation(const FakeCallMesh &Mesh, std::uint32_t Slots);

#endif // FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H
