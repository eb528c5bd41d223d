/// \file
/// Mesh of real processes on loopback addresses: a platform, targets, nodes
/// and, optionally, fault proxies in front of the nodes, targets and platform.
///
/// Addresses derive from the process id, so that concurrent runs do not
/// conflict. The destructor kills all processes.

#ifndef FESCUEWOOD_TESTS_STANDINS_MESH_H
#define FESCUEWOOD_TESTS_STANDINS_MESH_H

#include "standins/LoadReport.h"
#include "standins/MeshOptions.h"
#include "support/Await.h"
#include "support/TemporaryFolder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

class Mesh {
public:
  // Port offsets; every instance has its own IP address.
  enum Port { Callers, Peers, Operators, TargetPort, TargetControl };
  enum ProxyPort {
    PeerProxyPort = 5,
    PeerProxyControl,
    TargetProxyPort,
    TargetProxyControl
  };

  explicit Mesh(MeshOptions Config) : Options(std::move(Config)) {
    std::filesystem::create_directory(Folder.path() + "/intent");
    std::filesystem::create_directory(Folder.path() + "/state");
    // Meshes of one process differ in their ports; those of different processes
    // differ in their addresses as well.
    static int MeshCount = 0;
    const int Id = getpid();
    SubnetPrefix = "127.30." + std::to_string(64 + Id % 190) + ".";
    BasePort = 10'000 + Id / 190 % 200 * 100 + MeshCount++ % 10 * 10;
    for (const auto &[Name, Text] : Options.Intent)
      writeIntent(Name, Text);
    for (const MeshGroup &Group : Options.Groups)
      addGroup(Group);
    writeInstances();
  }

  ~Mesh() {
    for (MeshInstance &Instance : Instances)
      Instance.Node.end();
    Instances.clear();
    Platform.end();
  }
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;

  /// Starts all processes and waits until every node serves.
  void start() {
    startPlatform();
    for (MeshInstance &Instance : Instances) {
      startTarget(Instance);
      startNode(Instance);
    }
    await("every node serves", [this] { return allServing(); });
  }

  void startPlatform() {
    Platform = launch("standins/Platform",
                      {"--listen", platformAddress(), "--folder",
                       Folder.path() + "/intent", "--instances",
                       Folder.path() + "/state/instances.json"},
                      "platform");
    if (!Options.PlatformProxies)
      return;
    for (const auto &[Domain, Number] : DomainNumbers) {
      PlatformProxies[Domain] = launch(
          "standins/FaultProxy",
          {"--listen", platformProxyAddress(Number), "--to", platformAddress(),
           "--control", platformProxyAddress(Number, 1)},
          "proxy");
    }
  }

  void startTarget(MeshInstance &Instance) {
    std::vector<std::string> Flags = {
        "--listen",     address(Instance, TargetPort),
        "--control",    address(Instance, TargetControl),
        "--slots",      std::to_string(Instance.Slots),
        "--cold_ms",    std::to_string(Options.ColdMs),
        "--cold_slots", std::to_string(Options.ColdSlots),
        "--latency_ms", std::to_string(Options.LatencyMs)};
    Flags.insert(Flags.end(), Options.TargetFlags.begin(),
                 Options.TargetFlags.end());
    Instance.Target = launch("standins/Target", Flags, "target");
    if (Options.TargetProxies)
      Instance.TargetProxy = launchProxy(Instance, TargetProxyPort, TargetPort,
                                         TargetProxyControl);
    if (Options.PeerProxies)
      Instance.PeerProxy =
          launchProxy(Instance, PeerProxyPort, Peers, PeerProxyControl);
  }

  void startNode(MeshInstance &Instance) {
    writeSettings(Instance);
    Instance.Node =
        launch("fescuewood", {"run", "--settings", Instance.Settings}, "node");
  }

  /// Whether every running node has a configuration version in force.
  bool allServing() const {
    return std::all_of(Instances.begin(), Instances.end(),
                       [this](const MeshInstance &Instance) {
                         return !Instance.Node.running() || isServing(Instance);
                       });
  }

  /// Waits until \p Condition holds; throws std::runtime_error with
  /// \p Description after \p Timeout.
  static void await(const std::string &Description,
                    const std::function<bool()> &Condition,
                    std::chrono::seconds Timeout = std::chrono::seconds(30)) {
    if (!waitUntil(Condition, Timeout, std::chrono::milliseconds(20)))
      throw std::runtime_error("timed out waiting until " + Description);
  }

  std::string address(const MeshInstance &Instance, int Offset) const {
    return Instance.Ip + ":" + std::to_string(BasePort + Offset);
  }

  std::string platformAddress() const {
    return SubnetPrefix + "250:" + std::to_string(BasePort);
  }

  /// The address that the node advertises to its peers.
  std::string peerAddress(const MeshInstance &Instance) const {
    return address(Instance,
                   Options.PeerProxies ? int(PeerProxyPort) : int(Peers));
  }

  std::vector<std::string> callerAddresses() const {
    std::vector<std::string> Addresses;
    for (const MeshInstance &Instance : Instances)
      Addresses.push_back(address(Instance, Callers));
    return Addresses;
  }

  /// Sends one request to a node; returns an empty message on failure.
  Message request(const MeshInstance &To, const std::string &Method,
                  const std::string &Path, const std::string &Fields) const {
    try {
      return ask(address(To, Callers), requestText(Method, Path, Fields, ""));
    } catch (const std::exception &) {
      return {};
    }
  }

  nlohmann::json targetStats(const MeshInstance &Instance,
                             const std::string &Command = "stats") const {
    return command(address(Instance, TargetControl), "/control/" + Command);
  }

  /// Sends a command to the proxy in front of a node's peer port, or of its
  /// target, and returns its counts.
  nlohmann::json commandPeerProxy(const MeshInstance &Instance,
                                  const std::string &Command) const {
    return command(address(Instance, PeerProxyControl), "/control/" + Command);
  }
  nlohmann::json commandTargetProxy(const MeshInstance &Instance,
                                    const std::string &Command) const {
    return command(address(Instance, TargetProxyControl),
                   "/control/" + Command);
  }

  /// Partitions the nodes that \p IsInside selects from all others.
  void partitionNodes(
      const std::function<bool(const MeshInstance &)> &IsInside) const {
    for (const MeshInstance &Instance : Instances) {
      std::string From;
      for (const MeshInstance &Other : Instances)
        if (IsInside(Other) != IsInside(Instance))
          From += Other.Ip + ",";
      commandPeerProxy(Instance, "partition?from=" + From);
    }
  }

  /// Partitions the nodes of a failure domain from all others; an empty name
  /// ends the partition.
  void partition(const std::string &Domain) const {
    partitionNodes([&](const MeshInstance &Instance) {
      return Instance.Domain == Domain;
    });
  }

  /// Connections between nodes that a partition silences now.
  int partitionedConnections() const {
    int Sum = 0;
    for (const MeshInstance &Instance : Instances)
      Sum += commandPeerProxy(Instance, "counts").value("partitioned", 0);
    return Sum;
  }

  /// Sends a command to the platform stand-in and returns its response.
  nlohmann::json platform(const std::string &Command) const {
    return command(platformAddress(), "/" + Command);
  }

  /// Isolates a failure domain from the others and from the platform, or ends
  /// the isolation.
  void isolateDomain(const std::string &Domain, bool Isolated) const {
    partition(Isolated ? Domain : "");
    const std::string Proxy = platformProxyAddress(DomainNumbers.at(Domain), 1);
    command(Proxy,
            Isolated ? "/control/set?silent=1" : "/control/set?silent=0");
    command(Proxy, Isolated ? "/control/silence" : "/control/cut");
  }

  /// Returns a page of a node's operator port; empty on failure.
  std::string page(const MeshInstance &Instance,
                   const std::string &Path) const {
    try {
      return control(address(Instance, Operators), Path);
    } catch (const std::exception &) {
      return {};
    }
  }

  /// Temporary directory of the mesh, which contains the logs.
  const std::string &folder() const { return Folder.path(); }

  /// Merges the run records of all targets.
  RunRecord runs() const {
    RunRecord Merged;
    for (const MeshInstance &Instance : Instances)
      for (const auto &[Mark, Times] :
           targetStats(Instance, "runs").get<RunRecord>())
        Merged[Mark] += Times;
    return Merged;
  }

  void writeIntent(const std::string &Name, const std::string &Text) const {
    replaceFile(Folder.path() + "/intent/" + Name, Text);
  }

  void removeIntent(const std::string &Name) const {
    std::filesystem::remove(Folder.path() + "/intent/" + Name);
  }

  /// Publishes the list of instances; those named in \p Leaving have the state
  /// "leaving".
  void writeInstances(const std::vector<std::string> &Leaving = {}) const {
    nlohmann::json Rows = nlohmann::json::array();
    for (const MeshInstance &Instance : Instances) {
      const bool IsLeaving = std::find(Leaving.begin(), Leaving.end(),
                                       Instance.Name) != Leaving.end();
      Rows.push_back({{"name", Instance.Name},
                      {"domain", Instance.Domain},
                      {"service", Instance.Service},
                      {"slot", Instance.Slot},
                      {"peer_address", peerAddress(Instance)},
                      {"state", IsLeaving ? "leaving" : "live"}});
    }
    replaceFile(Folder.path() + "/state/instances.json",
                nlohmann::json{{"instances", Rows}}.dump());
  }

  std::vector<MeshInstance> Instances;
  Process Platform;

private:
  /// Sends a command to a stand-in and returns its response.
  nlohmann::json command(const std::string &Address,
                         const std::string &Target) const {
    std::string Failure;
    try {
      return nlohmann::json::parse(control(Address, Target));
    } catch (const std::exception &Error) {
      Failure = Error.what();
    }
    Options.OnCommandFailure("command to " + Address + ": " + Failure);
    return nlohmann::json::object();
  }

  void addGroup(const MeshGroup &Group) {
    for (int I = 0; I < Group.Count; ++I) {
      MeshInstance Instance;
      Instance.Domain = Group.Domain;
      Instance.Service = Group.Service;
      Instance.Slot = SlotsUsed[Group.Domain]++;
      DomainNumbers.try_emplace(Group.Domain, int(DomainNumbers.size()));
      Instance.Slots = Group.Slots;
      Instance.Name = fmt::format("{}-{}-{}", Group.Domain, Group.Service, I);
      Instance.Ip = SubnetPrefix + std::to_string(1 + Instances.size());
      Instance.Settings = Folder.path() + "/state/" + Instance.Name + ".ini";
      Instances.push_back(std::move(Instance));
    }
  }

  void writeSettings(const MeshInstance &Instance) const {
    const int TargetAddressPort =
        Options.TargetProxies ? int(TargetProxyPort) : int(TargetPort);
    std::string Text = fmt::format(
        "[node]\nname = {}\ndomain = {}\nservice = {}\nslot = {}\naddress = "
        "{}\n[callers]\nlisten = {}\n{}[peers]\nlisten = {}\nadvertise = {}\n"
        "seeds = {}\nsecret = "
        "a-secret-of-this-test-mesh-only\n[target]\naddress = {}\n"
        "[platform]\nsource = http://{}\n[operators]\nlisten = {}\n",
        Instance.Name, Instance.Domain, Instance.Service, Instance.Slot,
        Instance.Ip, address(Instance, Callers), Options.CallerSettings,
        address(Instance, Peers), peerAddress(Instance),
        Options.Seeds ? peerAddresses() : "",
        address(Instance, TargetAddressPort), platformAddressFor(Instance),
        address(Instance, Operators));
    replaceFile(Instance.Settings, Text + Options.Settings);
  }

  /// Replaces a file atomically, so that readers never see partial content.
  void replaceFile(const std::string &Path, const std::string &Text) const {
    const std::string TemporaryPath = Folder.path() + "/state/draft";
    std::ofstream(TemporaryPath) << Text;
    std::filesystem::rename(TemporaryPath, Path);
  }

  Process launch(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &Log) const {
    Arguments.insert(Arguments.begin(), Options.Binaries + "/" + Program);
    return {Arguments, Folder.path() + "/state/" + Log + ".log"};
  }

  Process launchProxy(const MeshInstance &Instance, int Listen, int To,
                      int Control) const {
    return launch("standins/FaultProxy",
                  {"--listen", address(Instance, Listen), "--to",
                   address(Instance, To), "--control",
                   address(Instance, Control)},
                  "proxy");
  }

  /// Address of a failure domain's proxy to the platform, or with \p Offset 1
  /// of the proxy's control port.
  std::string platformProxyAddress(int Domain, int Offset = 0) const {
    return SubnetPrefix + std::to_string(240 + Domain) + ":" +
           std::to_string(BasePort + Offset);
  }

  std::string platformAddressFor(const MeshInstance &Instance) const {
    return Options.PlatformProxies
               ? platformProxyAddress(DomainNumbers.at(Instance.Domain))
               : platformAddress();
  }

  std::string peerAddresses() const {
    std::string Addresses;
    for (const MeshInstance &Instance : Instances)
      Addresses += (Addresses.empty() ? "" : ", ") + peerAddress(Instance);
    return Addresses;
  }

  /// Whether a node serves: only a node with a version in force can answer that
  /// a route is unknown.
  bool isServing(const MeshInstance &Instance) const {
    const Message Answer = request(Instance, "GET", "/no/such/route", "");
    const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
    constexpr int RouteUnknown = 500;
    return Json.is_object() && Json.value("code", 0) == RouteUnknown;
  }

  MeshOptions Options;
  TemporaryFolder Folder;
  std::string SubnetPrefix;
  int BasePort = 0;
  std::map<std::string, int> SlotsUsed;
  std::map<std::string, int> DomainNumbers;
  std::map<std::string, Process> PlatformProxies; ///< By failure domain.
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_MESH_H
