/// \file
/// A whole mesh of real processes on loopback addresses: a platform, targets,
/// nodes, and where asked for a fault proxy in front of each node and target.
///
/// Addresses are chosen by the process id, so that runs side by side do not
/// meet. Everything is ended when the mesh goes out of scope.

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
  // Ports of every instance, each on an address of its own.
  enum Port { Callers, Peers, Operators, TargetPort, TargetControl };
  enum ProxyPort { ForPeers = 5, PeersControl, ForTarget, ForTargetControl };

  explicit Mesh(MeshOptions Given) : Options(std::move(Given)) {
    std::filesystem::create_directory(Folder.path() + "/intent");
    std::filesystem::create_directory(Folder.path() + "/state");
    // Meshes of one process differ by port, those of two by address as well.
    static int Meshes = 0;
    const int Id = getpid();
    Net = "127.30." + std::to_string(64 + Id % 190) + ".";
    BasePort = 10'000 + Id / 190 % 200 * 100 + Meshes++ % 10 * 10;
    for (const auto &[Name, Text] : Options.Intent)
      writeIntent(Name, Text);
    for (const MeshGroup &Group : Options.Groups)
      addGroup(Group);
    writeInstances();
  }

  ~Mesh() {
    for (MeshInstance &Each : Instances)
      Each.Node.end();
    Instances.clear();
    Platform.end();
  }
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;

  /// Starts everything and waits until every node serves.
  void start() {
    startPlatform();
    for (MeshInstance &Each : Instances) {
      startTarget(Each);
      startNode(Each);
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
      PlatformProxies[Domain] =
          launch("standins/FaultProxy",
                 {"--listen", platformProxy(Number), "--to", platformAddress(),
                  "--control", platformProxy(Number, 1)},
                 "proxy");
    }
  }

  void startTarget(MeshInstance &Each) {
    std::vector<std::string> Flags = {
        "--listen",     address(Each, TargetPort),
        "--control",    address(Each, TargetControl),
        "--slots",      std::to_string(Each.Slots),
        "--cold_ms",    std::to_string(Options.ColdMs),
        "--cold_slots", std::to_string(Options.ColdSlots),
        "--latency_ms", std::to_string(Options.LatencyMs)};
    Flags.insert(Flags.end(), Options.TargetFlags.begin(),
                 Options.TargetFlags.end());
    Each.Target = launch("standins/Target", Flags, "target");
    if (Options.TargetProxies)
      Each.TargetProxy =
          launchProxy(Each, ForTarget, TargetPort, ForTargetControl);
    if (Options.PeerProxies)
      Each.PeerProxy = launchProxy(Each, ForPeers, Peers, PeersControl);
  }

  void startNode(MeshInstance &Each) {
    writeSettings(Each);
    Each.Node =
        launch("fescuewood", {"run", "--settings", Each.Settings}, "node");
  }

  /// Whether every running node has a version in force.
  bool allServing() const {
    return std::all_of(Instances.begin(), Instances.end(),
                       [this](const MeshInstance &Each) {
                         return !Each.Node.running() || serving(Each);
                       });
  }

  /// Waits for a condition; throws when it does not come.
  static void await(const std::string &What,
                    const std::function<bool()> &Condition,
                    std::chrono::seconds Patience = std::chrono::seconds(30)) {
    if (!comesTrue(Condition, Patience, std::chrono::milliseconds(20)))
      throw std::runtime_error("did not come in time: " + What);
  }

  std::string address(const MeshInstance &Each, int Offset) const {
    return Each.Ip + ":" + std::to_string(BasePort + Offset);
  }

  std::string platformAddress() const {
    return Net + "250:" + std::to_string(BasePort);
  }

  /// Where other nodes are told to connect.
  std::string peerAddress(const MeshInstance &Each) const {
    return address(Each, Options.PeerProxies ? int(ForPeers) : int(Peers));
  }

  std::vector<std::string> callerAddresses() const {
    std::vector<std::string> Addresses;
    for (const MeshInstance &Each : Instances)
      Addresses.push_back(address(Each, Callers));
    return Addresses;
  }

  /// Sends one request to a node; an empty message when there is no answer.
  Message request(const MeshInstance &To, const std::string &Method,
                  const std::string &Path, const std::string &Fields) const {
    try {
      return ask(address(To, Callers), requestText(Method, Path, Fields, ""));
    } catch (const std::exception &) {
      return {};
    }
  }

  nlohmann::json targetStats(const MeshInstance &Each,
                             const std::string &Command = "stats") const {
    return nlohmann::json::parse(
        control(address(Each, TargetControl), "/control/" + Command));
  }

  /// Commands the proxy in front of a node's peer port, or of its target.
  void disturbPeers(const MeshInstance &Each, const std::string &What) const {
    control(address(Each, PeersControl), "/control/" + What);
  }
  void disturbTarget(const MeshInstance &Each, const std::string &What) const {
    control(address(Each, ForTargetControl), "/control/" + What);
  }

  /// Parts the nodes of a domain from all others; an empty name heals it.
  void partition(const std::string &Domain) const {
    for (const MeshInstance &Each : Instances) {
      std::string From;
      for (const MeshInstance &Other : Instances)
        if ((Other.Domain == Domain) != (Each.Domain == Domain))
          From += Other.Ip + ",";
      disturbPeers(Each, "partition?from=" + From);
    }
  }

  /// Commands the platform's stand-in and returns its answer.
  nlohmann::json platform(const std::string &Command) const {
    return nlohmann::json::parse(control(platformAddress(), "/" + Command));
  }

  /// Cuts a domain off from the others and from the platform, or heals that.
  void cutDomain(const std::string &Domain, bool Off) const {
    partition(Off ? Domain : "");
    const std::string Proxy = platformProxy(DomainNumbers.at(Domain), 1);
    control(Proxy, Off ? "/control/set?silent=1" : "/control/set?silent=0");
    control(Proxy, Off ? "/control/silence" : "/control/cut");
  }

  /// A page of a node's operator port; empty when it does not answer.
  std::string page(const MeshInstance &Of, const std::string &Path) const {
    try {
      return control(address(Of, Operators), Path);
    } catch (const std::exception &) {
      return {};
    }
  }

  /// Holds the logs, until the mesh ends.
  const std::string &folder() const { return Folder.path(); }

  /// The targets' records together.
  RunRecord runs() const {
    RunRecord All;
    for (const MeshInstance &Each : Instances)
      for (const auto &[Mark, Times] :
           targetStats(Each, "runs").get<RunRecord>())
        All[Mark] += Times;
    return All;
  }

  void writeIntent(const std::string &Name, const std::string &Text) const {
    replaceFile(Folder.path() + "/intent/" + Name, Text);
  }

  void removeIntent(const std::string &Name) const {
    std::filesystem::remove(Folder.path() + "/intent/" + Name);
  }

  /// Publishes the list of instances; those in \p Leaving are named so.
  void writeInstances(const std::vector<std::string> &Leaving = {}) const {
    nlohmann::json Rows = nlohmann::json::array();
    for (const MeshInstance &Each : Instances) {
      const bool Leaves =
          std::find(Leaving.begin(), Leaving.end(), Each.Name) != Leaving.end();
      Rows.push_back({{"name", Each.Name},
                      {"domain", Each.Domain},
                      {"service", Each.Service},
                      {"slot", Each.Slot},
                      {"peer_address", peerAddress(Each)},
                      {"state", Leaves ? "leaving" : "live"}});
    }
    replaceFile(Folder.path() + "/state/instances.json",
                nlohmann::json{{"instances", Rows}}.dump());
  }

  std::vector<MeshInstance> Instances;
  Process Platform;

private:
  void addGroup(const MeshGroup &Group) {
    for (int I = 0; I < Group.Count; ++I) {
      MeshInstance Each;
      Each.Domain = Group.Domain;
      Each.Service = Group.Service;
      Each.Slot = SlotsUsed[Group.Domain]++;
      DomainNumbers.try_emplace(Group.Domain, int(DomainNumbers.size()));
      Each.Slots = Group.Slots;
      Each.Name = fmt::format("{}-{}-{}", Group.Domain, Group.Service, I);
      Each.Ip = Net + std::to_string(1 + Instances.size());
      Each.Settings = Folder.path() + "/state/" + Each.Name + ".ini";
      Instances.push_back(std::move(Each));
    }
  }

  void writeSettings(const MeshInstance &Each) const {
    const int Behind = Options.TargetProxies ? int(ForTarget) : int(TargetPort);
    std::string Text = fmt::format(
        "[node]\nname = {}\ndomain = {}\nservice = {}\nslot = {}\naddress = "
        "{}\n[callers]\nlisten = {}\n{}[peers]\nlisten = {}\nadvertise = {}\n"
        "seeds = {}\nsecret = "
        "a-secret-of-this-test-mesh-only\n[target]\naddress = {}\n"
        "[platform]\nsource = http://{}\n[operators]\nlisten = {}\n",
        Each.Name, Each.Domain, Each.Service, Each.Slot, Each.Ip,
        address(Each, Callers), Options.CallerSettings, address(Each, Peers),
        peerAddress(Each), Options.Seeds ? peerAddresses() : "",
        address(Each, Behind), platformOf(Each), address(Each, Operators));
    replaceFile(Each.Settings, Text + Options.Settings);
  }

  /// Readers see the old file or the new one, never half of it.
  void replaceFile(const std::string &Path, const std::string &Text) const {
    const std::string Draft = Folder.path() + "/state/draft";
    std::ofstream(Draft) << Text;
    std::filesystem::rename(Draft, Path);
  }

  Process launch(const std::string &Program, std::vector<std::string> Words,
                 const std::string &Log) const {
    Words.insert(Words.begin(), Options.Binaries + "/" + Program);
    return {Words, Folder.path() + "/state/" + Log + ".log"};
  }

  Process launchProxy(const MeshInstance &Each, int Listen, int To,
                      int Control) const {
    return launch("standins/FaultProxy",
                  {"--listen", address(Each, Listen), "--to", address(Each, To),
                   "--control", address(Each, Control)},
                  "proxy");
  }

  /// Where a domain's proxy to the platform listens, or its control port.
  std::string platformProxy(int Domain, int Offset = 0) const {
    return Net + std::to_string(240 + Domain) + ":" +
           std::to_string(BasePort + Offset);
  }

  std::string platformOf(const MeshInstance &Each) const {
    return Options.PlatformProxies
               ? platformProxy(DomainNumbers.at(Each.Domain))
               : platformAddress();
  }

  std::string peerAddresses() const {
    std::string All;
    for (const MeshInstance &Each : Instances)
      All += (All.empty() ? "" : ", ") + peerAddress(Each);
    return All;
  }

  /// A node that serves knows that this route does not exist.
  bool serving(const MeshInstance &Each) const {
    const Message Answer = request(Each, "GET", "/no/such/route", "");
    const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
    constexpr int RouteUnknown = 500;
    return Json.is_object() && Json.value("code", 0) == RouteUnknown;
  }

  MeshOptions Options;
  TemporaryFolder Folder;
  std::string Net;
  int BasePort = 0;
  std::map<std::string, int> SlotsUsed;
  std::map<std::string, int> DomainNumbers;
  std::map<std::string, Process> PlatformProxies; ///< By domain.
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_MESH_H
