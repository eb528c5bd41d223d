#include "platform/StoreMeshFixture.h"

#include "core/ReadFile.h"
#include "standins/SettingsTemplate.h"
#include "support/Await.h"

#include <stdexcept>
#include <unistd.h>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace fescuewood {

namespace {

// Ports of each instance; instances differ in their addresses.
constexpr int CallersPort = 8548;
constexpr int PeersPort = 8543;
constexpr int ReadyPort = 8546;
constexpr int TargetPort = 8547;
constexpr int ControlPort = 8549;
constexpr int OperatorsPort = 7000;

constexpr std::chrono::seconds ConditionTimeout{30};
constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::size_t MaxTemplateBytes = 64 * 1024;

std::string endpoint(const std::string &Ip, int Port) {
  return fmt::format("{}:{}", Ip, Port);
}

/// The entry that a target writes to the store.
std::string targetEntry(const StoreMeshInstance &Instance,
                        const std::string &State, int Slots) {
  return nlohmann::json{{"service", Instance.Service},
                        {"address", endpoint(Instance.Ip, TargetPort)},
                        {"zone", Instance.Domain},
                        {"version", "1"},
                        {"slots", Slots},
                        {"state", State},
                        {"warmup_left_s", 0},
                        {"sequence", 1},
                        {"born", 1700000000000}}
      .dump();
}

std::string serviceJson(const std::string &Name) {
  return R"({"name":")" + Name +
         R"(","health_path":"/health","max_connections":100,)"
         R"("slow_start_s":0,"warmup_per_s":100})";
}

std::string routeJson(const std::string &Name, const std::string &Service,
                      const std::string &Kind, bool Public) {
  return R"({"name":")" + Name + R"(","host":"shop.example","prefix":"/)" +
         Name + R"(/","kind":")" + Kind + R"(","service":")" + Service +
         R"(","timeout_s":5,"target_latency_s":1,"priority":1,)"
         R"("max_attempts":2,"public":)" +
         (Public ? "true}" : "false}");
}

/// Adds a line `key = value` to a section, in place of the one with its key.
void addSetting(std::string &Text, const std::string &Section,
                const std::string &Line) {
  const std::string Heading = "[" + Section + "]\n";
  const std::size_t Start = Text.find(Heading);
  if (Start == std::string::npos)
    throw std::runtime_error("deploy/settings.ini has no section " + Section);
  const std::size_t Lines = Start + Heading.size();
  const std::size_t End = Text.find("\n[", Lines);
  const std::string Key = "\n" + Line.substr(0, Line.find('=') + 1);
  if (const std::size_t Old = Text.find(Key, Lines - 1); Old < End)
    Text.erase(Old + 1, Text.find('\n', Old + 1) - Old);
  Text.insert(Lines, Line + "\n");
}

} // namespace

StoreMesh::StoreMesh() {
  // Instances of one test process differ in the last octet; test processes that
  // run in parallel differ in the two before.
  constexpr int Octets = 250;
  AddressPrefix = fmt::format("127.{}.{}.", 1 + getpid() / Octets % Octets,
                              1 + getpid() % Octets);
  addInstance("east", "queue", "i-east");
  addInstance("west", "queue", "i-west");
  addInstance("east", "ledger", "i-ledger");
}

void StoreMesh::addInstance(const std::string &Domain,
                            const std::string &Service, const std::string &Id) {
  static int AddressCount = 0;
  StoreMeshInstance Instance;
  Instance.Domain = Domain;
  Instance.Service = Service;
  Instance.Id = Id;
  Instance.Ip = AddressPrefix + std::to_string(1 + AddressCount++);
  Instances.push_back(std::move(Instance));
}

/// The address at which a node calls the store. Each node has its own, so that
/// the store can reject a single one.
std::string StoreMesh::storeAddress(const StoreMeshInstance &Instance) {
  return endpoint(Instance.Ip, 8545);
}

std::string StoreMesh::peerAddress(const StoreMeshInstance &Instance) {
  return endpoint(Instance.Ip, PeersPort);
}

std::string StoreMesh::callersAddress(const StoreMeshInstance &Instance) {
  return endpoint(Instance.Ip, CallersPort);
}

std::string StoreMesh::readyAddress(const StoreMeshInstance &Instance) {
  return endpoint(Instance.Ip, ReadyPort);
}

std::string StoreMesh::operatorsAddress(const StoreMeshInstance &Instance) {
  return endpoint(Instance.Ip, OperatorsPort);
}

void StoreMesh::start() {
  std::string Addresses;
  for (const StoreMeshInstance &Instance : Instances)
    Addresses += (Addresses.empty() ? "" : ",") + storeAddress(Instance);
  Store = standins::Process(
      {std::string(BINARY_DIR) + "/standins/Store", "--listen", Addresses},
      Folder.file("store.log"));
  awaitCondition("the control port of the store answers", [this] {
    try {
      commandStore("stats");
      return true;
    } catch (const std::exception &) {
      return false;
    }
  });
  configure("queue");
  for (StoreMeshInstance &Instance : Instances) {
    startTarget(Instance);
    registerTarget(Instance);
    startNode(Instance);
  }
  for (const StoreMeshInstance &Instance : Instances) {
    awaitCondition("the control port of a target answers",
                   [&] { return isTargetUp(Instance); });
    awaitCondition("a node is ready", [&] { return isReady(Instance); });
    awaitCondition("a node serves a request", [&] {
      return send(Instance, {.Id = "start"}).status() == 200;
    });
  }
}

nlohmann::json StoreMesh::commandStore(const std::string &Command,
                                       const std::string &Body) const {
  const std::string Text = standins::requestText(
      Body.empty() ? "GET" : "POST", "/control/" + Command, "", Body);
  return nlohmann::json::parse(
      standins::ask(storeAddress(Instances.front()), Text).Body);
}

std::uint64_t StoreMesh::storeRevision() const {
  return commandStore("stats").at("at").get<std::uint64_t>();
}

void StoreMesh::restoreStore(std::uint64_t Revision) const {
  commandStore("restore?to=" + std::to_string(Revision));
}

void StoreMesh::putItem(const std::string &Key,
                        const std::string &Value) const {
  commandStore("put?key=" + Key, Value);
}

void StoreMesh::configure(const std::string &OpenService,
                          const std::string &Keys) const {
  static int Version = 0;
  const std::string Organisations = fmt::format(
      R"(,"tenants":[{{"name":"clerks","api_keys":[{}],"priority":1,)"
      R"("rate_per_s":1000,"burst":1000}}])",
      Keys);
  putItem(
      "op/config",
      fmt::format(R"({{"version":{},"routes":[{},{},{}],"services":[{},{}],)"
                  R"("limits":{{"max_header_bytes":16384,"max_body_bytes":{},)"
                  R"("header_timeout_s":3,"idle_timeout_s":15}}{}}})",
                  ++Version, routeJson("open", OpenService, "idempotent", true),
                  routeJson("read", "queue", "idempotent", false),
                  routeJson("book", "ledger", "non_idempotent", false),
                  serviceJson("queue"), serviceJson("ledger"), MaxBodyBytes,
                  HasOrganisations ? Organisations : ""));
}

void StoreMesh::registerTarget(const StoreMeshInstance &Instance,
                               const std::string &State) const {
  putItem("servers/" + Instance.Id, targetEntry(Instance, State, Slots));
}

void StoreMesh::startTarget(StoreMeshInstance &Instance) const {
  Instance.Target = standins::Process(
      {std::string(BINARY_DIR) + "/standins/Target", "--listen",
       endpoint(Instance.Ip, TargetPort), "--control",
       endpoint(Instance.Ip, ControlPort), "--id", Instance.Id, "--id_field",
       "request-id", "--signature_field", "Response-Signature", "--meant_field",
       "target-instance", "--not_run_field", "Not-Executed"},
      Folder.file("target.log"));
}

void StoreMesh::startNode(StoreMeshInstance &Instance) const {
  const std::string Path = "settings-" + Instance.Id + ".ini";
  Folder.write(Path, settings(Instance));
  Instance.Node = standins::Process({std::string(BINARY_DIR) + "/fescuewood",
                                     "run", "--settings", Folder.file(Path)},
                                    logFile(Instance));
}

std::string StoreMesh::settings(const StoreMeshInstance &Instance) const {
  auto Text = readFile(std::string(SOURCE_DIR) + "/deploy/settings.ini",
                       MaxTemplateBytes);
  if (!Text)
    throw std::runtime_error("deploy/settings.ini cannot be read");
  standins::TemplateValues Values = {
      {"ip", Instance.Ip},
      {"zone", Instance.Domain},
      {"service", Instance.Service},
      {"listen_addresses.outbound", endpoint(Instance.Ip, CallersPort)},
      {"listen_addresses.inbound", endpoint(Instance.Ip, PeersPort)},
      {"listen_addresses.ready", endpoint(Instance.Ip, ReadyPort)},
      {"app_address", endpoint(Instance.Ip, TargetPort)},
      {"provider.address", storeAddress(Instance)},
      {"zones", "east:coast,west:coast"},
      {"bounds.config_apply_s", "2"},
      {"bounds.grace_s", "6"},
  };
  if (HasOrganisations) {
    Values["bounds.revoke_s"] = "5";
    Values["bounds.quota_window_s"] = "5";
    Values["bounds.quota_overage"] = "0.25";
    Values["bounds.quota_slack"] = "20";
  } else {
    Values["limits.link_mbps"] = "1000";
  }
  std::string Rendered = standins::renderTemplate(std::move(*Text), Values);
  if (LinkMbps > 0)
    addSetting(Rendered, "calls", fmt::format("link_mbps = {}", LinkMbps));
  for (const auto &[Section, Line] : AddedSettings)
    addSetting(Rendered, Section, Line);
  return Rendered;
}

std::string StoreMesh::logFile(const StoreMeshInstance &Instance) const {
  return Folder.file("node-" + Instance.Id + ".log");
}

standins::Message StoreMesh::send(const StoreMeshInstance &Receiver,
                                  const StoreMeshRequest &Request) const {
  std::string Text =
      fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n"
                  "Deadline-Ms: {}\r\nContent-Length: {}\r\n{}",
                  Request.Method, Request.Path, Request.Id, Request.TimeLeftMs,
                  Request.Body.size(), Request.ExtraFields);
  if (!Request.Key.empty())
    Text += "Authorization: Token " + Request.Key + "\r\n";
  try {
    return standins::ask(callersAddress(Receiver),
                         Text + "\r\n" + Request.Body);
  } catch (const std::exception &) {
    return {};
  }
}

bool StoreMesh::isReady(const StoreMeshInstance &Instance) const {
  try {
    return standins::ask(
               readyAddress(Instance),
               standins::requestText("GET", "/fescuewood/ready", "", ""))
               .status() == 200;
  } catch (const std::exception &) {
    return false;
  }
}

nlohmann::json StoreMesh::status(const StoreMeshInstance &Instance) const {
  try {
    return nlohmann::json::parse(
        standins::ask(operatorsAddress(Instance),
                      standins::requestText("GET", "/status", "", ""))
            .Body);
  } catch (const std::exception &) {
    return {};
  }
}

double StoreMesh::metric(const StoreMeshInstance &Instance,
                         const std::string &Name) const {
  try {
    const std::string Page =
        standins::ask(operatorsAddress(Instance),
                      standins::requestText("GET", "/metrics", "", ""))
            .Body;
    const std::size_t Line = Page.find("\n" + Name + " ");
    return Line == std::string::npos
               ? 0
               : std::stod(Page.substr(Line + Name.size() + 2));
  } catch (const std::exception &) {
    return 0;
  }
}

bool StoreMesh::isTargetUp(const StoreMeshInstance &Instance) const {
  try {
    commandTarget(Instance, "stats");
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

nlohmann::json StoreMesh::commandTarget(const StoreMeshInstance &Instance,
                                        const std::string &Command) const {
  return nlohmann::json::parse(standins::control(
      endpoint(Instance.Ip, ControlPort), "/control/" + Command));
}

int StoreMesh::runCount(const std::string &RequestId) const {
  int Count = 0;
  for (const StoreMeshInstance &Instance : Instances)
    Count += commandTarget(Instance, "runs").value(RequestId, 0);
  return Count;
}

std::string StoreMesh::timeline(const std::string &RequestId) const {
  std::string Logs;
  for (const StoreMeshInstance &Instance : Instances)
    Logs += (Logs.empty() ? "" : ",") + logFile(Instance);
  const std::string Output = Folder.file("timeline-" + RequestId);
  standins::Process Command({std::string(BINARY_DIR) + "/fescuewood",
                             "timeline", "--log", Logs, "--request", RequestId},
                            Output);
  Command.wait(ConditionTimeout);
  return readFile(Output, MaxTemplateBytes).value_or("");
}

void awaitCondition(const std::string &Description,
                    const std::function<bool()> &Condition) {
  if (!waitUntil(Condition, ConditionTimeout, PollInterval))
    FAIL(("timed out waiting until " + Description).c_str());
}

} // namespace fescuewood
