#include "platform/StoreMeshFixture.h"

#include "core/ReadFile.h"
#include "support/Await.h"

#include <array>
#include <stdexcept>
#include <unistd.h>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace fescuewood {

namespace {

// Ports, the same on every instance's address.
constexpr int CallersPort = 8548;
constexpr int PeersPort = 8543;
constexpr int ReadyPort = 8546;
constexpr int TargetPort = 8547;
constexpr int ControlPort = 8549;

constexpr std::chrono::seconds Patience{30};
constexpr std::chrono::milliseconds LookPause{20};
constexpr std::size_t MaxTemplateBytes = 64 * 1024;

std::string at(const std::string &Ip, int Port) {
  return fmt::format("{}:{}", Ip, Port);
}

/// A target's entry as it registers itself.
std::string entryOf(const StoreMeshInstance &Each, const std::string &State) {
  return nlohmann::json{{"service", Each.Service},
                        {"address", at(Each.Ip, TargetPort)},
                        {"zone", Each.Domain},
                        {"version", "1"},
                        {"slots", 6},
                        {"state", State},
                        {"warmup_left_s", 0},
                        {"sequence", 1},
                        {"born", 1700000000000}}
      .dump();
}

std::string serviceText(const std::string &Name) {
  return R"({"name":")" + Name +
         R"(","health_path":"/health","max_connections":100,)"
         R"("slow_start_s":0,"warmup_per_s":100})";
}

std::string routeText(const std::string &Name, const std::string &Service,
                      const std::string &Kind, bool Public) {
  return R"({"name":")" + Name + R"(","host":"shop.example","prefix":"/)" +
         Name + R"(/","kind":")" + Kind + R"(","service":")" + Service +
         R"(","timeout_s":5,"target_latency_s":1,"priority":1,)"
         R"("max_attempts":2,"public":)" +
         (Public ? "true}" : "false}");
}

void replaceAll(std::string &Text, std::string_view From, std::string_view To) {
  for (std::size_t At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
}

} // namespace

StoreMesh::StoreMesh() {
  // Meshes of one process differ by the last part, those of two by the third.
  Net = "127.31." + std::to_string(1 + getpid() % 250) + ".";
  add("east", "queue", "i-east");
  add("west", "queue", "i-west");
  add("east", "ledger", "i-ledger");
}

void StoreMesh::add(const std::string &Domain, const std::string &Service,
                    const std::string &Id) {
  static int Addresses = 0;
  StoreMeshInstance Each;
  Each.Domain = Domain;
  Each.Service = Service;
  Each.Id = Id;
  Each.Ip = Net + std::to_string(1 + Addresses++);
  Instances.push_back(std::move(Each));
}

std::string StoreMesh::storeAddress() const {
  return at(Instances.front().Ip, 8545);
}

void StoreMesh::start() {
  Store = standins::Process(
      {std::string(BINARY_DIR) + "/standins/Store", "--listen", storeAddress()},
      Folder.file("store.log"));
  awaitThat("the store answers", [this] {
    try {
      store("stats");
      return true;
    } catch (const std::exception &) {
      return false;
    }
  });
  configure("queue");
  for (StoreMeshInstance &Each : Instances) {
    startTarget(Each);
    registerTarget(Each);
    startNode(Each);
  }
  for (const StoreMeshInstance &Each : Instances) {
    awaitThat("a target answers", [&] { return answers(Each); });
    awaitThat("a node is ready", [&] { return ready(Each); });
    awaitThat("a node serves",
              [&] { return send(Each, {.Id = "start"}).status() == 200; });
  }
}

nlohmann::json StoreMesh::store(const std::string &Command,
                                const std::string &Body) const {
  const std::string Text = standins::requestText(
      Body.empty() ? "GET" : "POST", "/control/" + Command, "", Body);
  return nlohmann::json::parse(standins::ask(storeAddress(), Text).Body);
}

void StoreMesh::put(const std::string &Key, const std::string &Value) const {
  store("put?key=" + Key, Value);
}

void StoreMesh::configure(const std::string &OpenService,
                          const std::string &Keys) const {
  static int Version = 0;
  put("op/config",
      fmt::format(
          R"({{"version":{},"routes":[{},{},{}],"services":[{},{}],)"
          R"("limits":{{"max_header_bytes":16384,"max_body_bytes":100000,)"
          R"("header_timeout_s":3,"idle_timeout_s":15}},)"
          R"("tenants":[{{"name":"clerks","api_keys":[{}],"priority":1,)"
          R"("rate_per_s":1000,"burst":1000}}]}})",
          ++Version, routeText("open", OpenService, "idempotent", true),
          routeText("read", "queue", "idempotent", false),
          routeText("book", "ledger", "non_idempotent", false),
          serviceText("queue"), serviceText("ledger"), Keys));
}

void StoreMesh::registerTarget(const StoreMeshInstance &Each,
                               const std::string &State) const {
  put("servers/" + Each.Id, entryOf(Each, State));
}

void StoreMesh::startTarget(StoreMeshInstance &Each) const {
  Each.Target = standins::Process(
      {std::string(BINARY_DIR) + "/standins/Target", "--listen",
       at(Each.Ip, TargetPort), "--control", at(Each.Ip, ControlPort), "--id",
       Each.Id, "--id_field", "request-id", "--signature_field",
       "Response-Signature", "--meant_field", "target-instance",
       "--not_run_field", "Not-Executed"},
      Folder.file("target.log"));
}

void StoreMesh::startNode(StoreMeshInstance &Each) const {
  const std::string Path = "settings-" + Each.Id + ".ini";
  Folder.write(Path, settings(Each));
  Each.Node = standins::Process({std::string(BINARY_DIR) + "/fescuewood", "run",
                                 "--settings", Folder.file(Path)},
                                logOf(Each));
}

std::string StoreMesh::settings(const StoreMeshInstance &Each) const {
  auto Text = readFile(std::string(SOURCE_DIR) + "/deploy/settings.ini",
                       MaxTemplateBytes);
  if (!Text)
    throw std::runtime_error("deploy/settings.ini cannot be read");
  const std::array<std::pair<std::string, std::string>, 12> Values{{
      {"{{ip}}", Each.Ip},
      {"{{zone}}", Each.Domain},
      {"{{service}}", Each.Service},
      {"{{listen_addresses.outbound}}", at(Each.Ip, CallersPort)},
      {"{{listen_addresses.inbound}}", at(Each.Ip, PeersPort)},
      {"{{listen_addresses.ready}}", at(Each.Ip, ReadyPort)},
      {"{{app_address}}", at(Each.Ip, TargetPort)},
      {"{{provider.address}}", storeAddress()},
      {"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "east:coast,west:coast"},
      {"{{bounds.revoke_s}}", "3"},
      {"{{bounds.quota_window_s}}", "5"},
      {"{{bounds.quota_overage}}", "0.25"},
  }};
  for (const auto &[Name, Value] : Values)
    replaceAll(*Text, Name, Value);
  replaceAll(*Text, "{{bounds.quota_slack}}", "20");
  if (Text->find("{{") != std::string::npos)
    throw std::runtime_error("deploy/settings.ini names an unknown value");
  return *Text;
}

std::string StoreMesh::logOf(const StoreMeshInstance &Each) const {
  return Folder.file("node-" + Each.Id + ".log");
}

standins::Message StoreMesh::send(const StoreMeshInstance &To,
                                  const StoreMeshRequest &Request) const {
  std::string Text =
      fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n"
                  "Deadline-Ms: {}\r\nContent-Length: 0\r\n{}",
                  Request.Method, Request.Path, Request.Id, Request.TimeLeftMs,
                  Request.Fields);
  if (!Request.Key.empty())
    Text += "Authorization: Token " + Request.Key + "\r\n";
  try {
    return standins::ask(at(To.Ip, CallersPort), Text + "\r\n");
  } catch (const std::exception &) {
    return {};
  }
}

bool StoreMesh::ready(const StoreMeshInstance &Each) const {
  try {
    return standins::ask(
               at(Each.Ip, ReadyPort),
               standins::requestText("GET", "/fescuewood/ready", "", ""))
               .status() == 200;
  } catch (const std::exception &) {
    return false;
  }
}

bool StoreMesh::answers(const StoreMeshInstance &Each) const {
  try {
    target(Each, "stats");
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

nlohmann::json StoreMesh::target(const StoreMeshInstance &Each,
                                 const std::string &Command) const {
  return nlohmann::json::parse(
      standins::control(at(Each.Ip, ControlPort), "/control/" + Command));
}

int StoreMesh::runs(const std::string &RequestId) const {
  int Sum = 0;
  for (const StoreMeshInstance &Each : Instances)
    Sum += target(Each, "runs").value(RequestId, 0);
  return Sum;
}

std::string StoreMesh::timeline(const std::string &RequestId) const {
  std::string Logs;
  for (const StoreMeshInstance &Each : Instances)
    Logs += (Logs.empty() ? "" : ",") + logOf(Each);
  const std::string Output = Folder.file("timeline-" + RequestId);
  standins::Process Command({std::string(BINARY_DIR) + "/fescuewood",
                             "timeline", "--log", Logs, "--request", RequestId},
                            Output);
  Command.wait(Patience);
  return readFile(Output, MaxTemplateBytes).value_or("");
}

void awaitThat(const std::string &What,
               const std::function<bool()> &Condition) {
  if (!comesTrue(Condition, Patience, LookPause))
    FAIL(("did not come in time: " + What).c_str());
}

} // namespace fescuewood
