/// \file
/// A small mesh for tests of whole runs, and the invariants that each run must
/// keep.

#ifndef FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H
#define FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H

#include "model/FakeCallMesh.h"

#include <cstdint>
#include <string>

inline constexpr std::int64_t SecondUs = 1'000'000;

/// Three failure domains of one region, a service "queue" with \p PerDomain
/// targets of 6 slots in each, and two organisations of equal weight.
fescuewood::Snapshot smallConfig();

/// A mesh of that configuration, told of its instances and warm.
std::unique_ptr<FakeCallMesh> smallMesh(std::uint64_t Seed,
                                        fescuewood::CallSettings Settings,
                                        FakeNetworkOptions Network,
                                        std::size_t PerDomain = 1,
                                        FakeTargetOptions Target = {});

/// A request of the organisation "large" for the service "queue".
fescuewood::CallRequest requestOf(const std::string &Tag, bool Idempotent);

/// Crashes of all targets together.
int crashesOf(const FakeCallMesh &Mesh);

/// What is wrong with a finished run, or an empty text: an answer that is
/// missing, doubled or another's; a non-idempotent request that ran twice; a
/// "not run" for a request that ran; a target given more than its slots.
std::string brokenInvariant(const FakeCallMesh &Mesh, std::uint32_t Slots);

#endif // FESCUEWOOD_TESTS_CALLS_MESHFIXTURE_H
