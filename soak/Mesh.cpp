#include "soak/Mesh.h"

#include "core/ReadFile.h"
#include "soak/PlatformWords.h"
#include "soak/TargetProcess.h"
#include "standins/Http.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

// Ports of each node; nodes differ in their addresses.
constexpr int PeersPort = 8543;
constexpr int StorePort = 8545;
constexpr int ReadyPort = 8546;
constexpr int TargetPort = 8547;
constexpr int CallersPort = 8548;

std::string endpoint(const std::string &Ip, int Port) {
  return fmt::format("{}:{}", Ip, Port);
}

/// Writes a file so that a reader sees the old text or the new one.
void replaceFile(const std::string &Path, std::string_view Text) {
  const std::string Next = Path + ".next";
  if (!(std::ofstream(Next) << Text << std::flush))
    throw std::runtime_error("cannot write " + Next);
  std::filesystem::rename(Next, Path);
}

} // namespace

Mesh::Mesh(const Scenario &Plan, SoakPaths Paths)
    : Plan(Plan), Paths(std::move(Paths)), Domains{"east", "south", "west"} {
  // Soaks that run in parallel differ in the second and third octet.
  constexpr int Octets = 250;
  const std::string Prefix = fmt::format(
      "127.{}.{}.", 1 + getpid() / Octets % Octets, 1 + getpid() % Octets);
  for (std::size_t I = 0; I < Plan.Nodes; ++I) {
    MeshNode Next;
    Next.Ip = Prefix + std::to_string(1 + I);
    // Each service has targets in all domains.
    Next.Domain = Domains[I / 2 % Domains.size()];
    Next.Service = I % 2 == 0 ? "queue" : "ledger";
    Nodes.push_back(std::move(Next));
  }
}

void Mesh::startStore() {
  std::string Addresses;
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    Addresses += (I == 0 ? "" : ",") + storeAddress(I);
  Store = standins::Process({Paths.StoreProgram, "--listen", Addresses},
                            Paths.Folder + "/store.log");
}

bool Mesh::isStoreUp() const {
  try {
    commandStore("stats");
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

void Mesh::startNode(std::size_t Index) {
  MeshNode &N = Nodes[Index];
  constexpr std::size_t MaxTemplateBytes = 64 * 1024;
  const auto Template = readFile(Paths.SettingsTemplate, MaxTemplateBytes);
  if (!Template)
    throw std::runtime_error("cannot read " + Paths.SettingsTemplate);
  const std::string File = fmt::format("{}/node-{}.ini", Paths.Folder, Index);
  replaceFile(File,
              platform::settingsText(
                  *Template,
                  {N.Ip, N.Domain, N.Service, endpoint(N.Ip, CallersPort),
                   endpoint(N.Ip, PeersPort), endpoint(N.Ip, ReadyPort),
                   endpoint(N.Ip, TargetPort), storeAddress(Index), Domains},
                  {Plan.Limits.KeyWithdrawal, Plan.Limits.Grace}));
  N.StoppedByDriver = false;
  N.Node = standins::Process({Paths.NodeProgram, "run", "--settings", File},
                             nodeLog(Index));
}

void Mesh::startTarget(std::size_t Index) {
  MeshNode &N = Nodes[Index];
  N.TargetId = fmt::format("i-{}-{}", Index, ++TargetStarts);
  const std::string Record =
      fmt::format("{}/runs-{}.jsonl", Paths.Folder, N.TargetId);
  replaceFile(Record, "");
  RecordFiles.push_back(Record);
  setMode(Index, ModeSound);
  N.Target = standins::Process(
      {Paths.OwnProgram, "target", "--listen", endpoint(N.Ip, TargetPort),
       "--id", N.TargetId, "--node", std::to_string(Index), "--node_address",
       callersAddress(Index), "--record", Record, "--mode_file",
       modeFile(Index)},
      Paths.Folder + "/targets.log");
  N.IsLeaving = false;
  N.Sequence = 0;
  N.StartedAtMs = Clock::wall().now().Value;
  N.IsAnnounced = true;
  announce(Index);
}

void Mesh::crashTarget(std::size_t Index) {
  Nodes[Index].IsAnnounced = false;
  Nodes[Index].Target.end();
  Nodes[Index].TargetId.clear();
}

void Mesh::setMode(std::size_t Index, std::string_view Mode) const {
  replaceFile(modeFile(Index), Mode);
}

void Mesh::announce(std::size_t Index) {
  MeshNode &N = Nodes[Index];
  commandStore(
      "put?key=" + platform::targetKey(N.TargetId),
      platform::entryText({N.Service, endpoint(N.Ip, TargetPort), N.Domain,
                           N.IsLeaving, ++N.Sequence, N.StartedAtMs}));
}

void Mesh::removeEntry(const std::string &TargetId) const {
  commandStore("remove?key=" + platform::targetKey(TargetId));
}

std::string Mesh::configure() {
  ++Version;
  const std::string OpenService = Version % 2 == 1 ? "queue" : "ledger";
  commandStore(
      std::string("put?key=") + platform::ConfigurationKey,
      platform::configurationText(Version, OpenService,
                                  {fmt::format("key-{}", Version),
                                   fmt::format("key-{}", Version + 1)}));
  return Version == 1 ? "" : fmt::format("key-{}", Version - 1);
}

std::string Mesh::key() const { return fmt::format("key-{}", Version + 1); }

std::string Mesh::oldKey(std::uint64_t Random) const {
  return fmt::format("key-{}", 1 + Random % Version);
}

void Mesh::disturbStore(std::size_t Index, const std::string &Fault) const {
  commandStore("set?only=" + Nodes[Index].Ip + "&" + Fault);
}

void Mesh::calmStore() const { commandStore("set"); }

std::string Mesh::callersAddress(std::size_t Index) const {
  return endpoint(Nodes[Index].Ip, CallersPort);
}

std::string Mesh::nodeLog(std::size_t Index) const {
  return fmt::format("{}/node-{}.log", Paths.Folder, Index);
}

void Mesh::commandStore(const std::string &Command,
                        const std::string &Body) const {
  const auto Answer = standins::ask(
      storeAddress(0),
      standins::requestText("POST", "/control/" + Command, "", Body));
  constexpr int StatusOk = 200;
  if (Answer.status() != StatusOk)
    throw std::runtime_error("the store refuses " + Command);
}

/// Each node calls the store at an address of its own, so that the store can
/// treat the nodes differently.
std::string Mesh::storeAddress(std::size_t Index) const {
  return endpoint(Nodes[Index].Ip, StorePort);
}

std::string Mesh::modeFile(std::size_t Index) const {
  return fmt::format("{}/mode-{}", Paths.Folder, Index);
}

} // namespace fescuewood::soak
