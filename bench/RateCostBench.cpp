/// \file
/// Benchmark of the rate limiter of one node: time per charge and memory per
/// organisation. Prints Markdown.

#include "policy/KeyTable.h"
#include "policy/TokenNode.h"

#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

DEFINE_uint32(charges, 300000, "charges per measurement");

using namespace fescuewood;

namespace {

constexpr std::uint32_t Domains = 5;
constexpr int NodeCount =
    20; ///< Nodes allocated together, to measure the memory of one.

Snapshot snapshotOf(std::uint32_t Nodes, std::uint32_t Organisations) {
  Snapshot S;
  S.Id.Revision = 1;
  for (std::uint32_t D = 0; D < Domains; ++D) {
    const std::string Name = fmt::format("domain-{}", D);
    S.Domains[Name] = {Name, "region", DomainStatus::In, Nodes / Domains};
  }
  S.Rates["rate"] = {"rate", 10.0 * Nodes, 20.0 * Nodes};
  for (std::uint32_t I = 0; I < Organisations; ++I) {
    const std::string Name = fmt::format("organisation-{}", I);
    S.Organisations[Name] = {Name, "rate", 1};
    S.Keys.push_back({Name, Name, Digest::sha256(Name)});
    S.Keys.push_back({Name + "-next", Name, Digest::sha256(Name + "-next")});
  }
  return S;
}

std::uint64_t allocatedBytes() { return mallinfo2().uordblks; }

double nanoseconds(const std::function<void(std::uint32_t)> &Work) {
  const auto StartTime = std::chrono::steady_clock::now();
  for (std::uint32_t I = 0; I < FLAGS_charges; ++I)
    Work(I);
  const std::chrono::duration<double, std::nano> Elapsed =
      std::chrono::steady_clock::now() - StartTime;
  return Elapsed.count() / FLAGS_charges;
}

void measure(std::uint32_t Nodes, std::uint32_t Organisations) {
  const TokenSettings Settings;
  const Snapshot Source = snapshotOf(Nodes, Organisations);
  const TokenPlan Plan(Source, Settings);
  const std::uint64_t Before = allocatedBytes();
  std::vector<std::unique_ptr<TokenNode>> TokenNodes;
  for (int I = 0; I < NodeCount; ++I) {
    TokenNodes.push_back(std::make_unique<TokenNode>(SlotId{"domain-0", 0},
                                                     Settings, TimeMs(0)));
    TokenNodes.back()->apply(Plan, TimeMs(0));
  }
  const double Memory =
      static_cast<double>(allocatedBytes() - Before) / NodeCount;

  TokenNode &Node = *TokenNodes.front();
  Node.onAgreement(TimeMs(0));
  for (std::int64_t T = 0; T < 10'000; T += 50)
    Node.tick(TimeMs(T));
  // Advances the clock as 1,000 requests per second would.
  std::int64_t Micros = 10'000'000;
  const auto Charge = [&](std::uint32_t) {
    Micros += 1000;
    Node.charge("organisation-0", TimeMs(Micros / 1000), std::nullopt);
    Node.takeRequests();
  };
  const double Refused = nanoseconds(Charge);
  const KeyTable Keys(Source);
  const double IdentifyNs = nanoseconds([&](std::uint32_t) {
    if (!Keys.identify("organisation-0"))
      std::abort();
  });
  fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n", Nodes,
             Organisations, Refused, IdentifyNs, Memory / 1024,
             Memory / Organisations);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  fmt::print(
      "| declared slots | organisations | ns per charge far over the "
      "rate | ns per key | KiB allocated per node | bytes per organisation |\n"
      "|---|---|---|---|---|---|\n");
  for (const std::uint32_t Nodes : {15U, 200U, 1100U})
    for (const std::uint32_t Organisations : {10U, 100U, 300U})
      measure(Nodes, Organisations);
  return 0;
}
