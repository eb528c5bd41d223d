// Tests of nodes whose clients misuse them: they send or read very slowly, stop
// partway, pipeline without reading, or hold connections open; with real
// processes. The client load is fixed: it changes with the requirement only,
// never with what a node withstands.

#include "platform/FakeClients.h"
#include "platform/StoreMeshFixture.h"

#include "support/ProcessPeak.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Memory of the smallest machine, less a quarter for its system.
constexpr std::uint32_t MachineMb = 160;
constexpr std::size_t MaxResidentBytes =
    std::size_t(MachineMb) * 1'000'000 / 4 * 3;

/// Descriptors of a node, less those that the machines reserve for files. The
/// deployments have 4,100; fewer show the fault with a small load.
constexpr rlim_t MaxDescriptors = 500;
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t MaxOpenDescriptors = MaxDescriptors - FileDescriptors;

constexpr std::size_t Connections = 300;
constexpr std::size_t MaxHeaderBytes = 16'384;
constexpr std::size_t MaxBodyBytes = 1'000'000;
constexpr std::size_t OversizedBytes = 20'000'000;
constexpr std::size_t LargeAnswerBytes = 540'000;

constexpr std::chrono::milliseconds LoadTime{3000};
constexpr std::chrono::milliseconds Pause{20};

/// Lowers the limit on descriptors for processes that are started meanwhile.
class DescriptorLimit {
public:
  explicit DescriptorLimit(rlim_t Limit) {
    getrlimit(RLIMIT_NOFILE, &Usual);
    rlimit Lowered = Usual;
    Lowered.rlim_cur = Limit;
    setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &Usual); }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
  rlimit Usual{};
};

std::size_t openDescriptors(pid_t Id) {
  std::error_code Error;
  const std::filesystem::directory_iterator Entries(
      fmt::format("/proc/{}/fd", Id), Error);
  return Error ? 0
               : static_cast<std::size_t>(std::distance(
                     Entries, std::filesystem::directory_iterator()));
}

/// The beginning of a head, up to the fields of the form.
std::string headStart(const std::string &Path, const std::string &Method) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\n"
                     "Request-Id: uncontrolled\r\nDeadline-Ms: 5000\r\n"
                     "Authorization: Token key-one\r\n",
                     Method, Path);
}

std::string bodyHead(const std::string &Path, std::size_t Bytes,
                     const std::string &Fields = "") {
  return headStart(Path, "POST") +
         fmt::format("{}Content-Length: {}\r\n\r\n", Fields, Bytes);
}

std::string chunkedHead(const std::string &Path,
                        const std::string &Fields = "") {
  return headStart(Path, "POST") + Fields +
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string plainRequest(const std::string &Path) {
  return headStart(Path, "GET") + "\r\n";
}

/// Fields of \p FieldSize bytes that fill a head up to the limit.
std::string manyFields(std::size_t UsedBytes, const std::string &Field) {
  std::string Fields;
  while (UsedBytes + Fields.size() + Field.size() + 2 <= MaxHeaderBytes)
    Fields += Field;
  return Fields;
}

using Forms = std::vector<ClientForm>;
using MakeForms = std::function<Forms(const std::string &Path)>;

const std::string Block(1000, 'x');
const std::string SmallChunk = "1\r\nx\r\n";

Forms bodiesInOnePiece(const std::string &Path) {
  return {{bodyHead(Path, MaxBodyBytes), Block, MaxBodyBytes - 1},
          {bodyHead(Path, 16'000), Block, 16'000 - 1}};
}

Forms bodiesInSmallPieces(const std::string &Path) {
  return {{bodyHead(Path, MaxBodyBytes), Block, MaxBodyBytes - 1, 2000},
          {bodyHead(Path, MaxBodyBytes), Block, MaxBodyBytes - 1, 100}};
}

Forms bodiesInChunks(const std::string &Path) {
  const std::size_t ChunkedBytes = (MaxBodyBytes - 1) * SmallChunk.size();
  return {{chunkedHead(Path), SmallChunk, ChunkedBytes},
          {chunkedHead(Path), "3e8\r\n" + Block + "\r\n",
           (MaxBodyBytes / Block.size() - 1) * (Block.size() + 7)}};
}

Forms bodiesOverTheLimit(const std::string &Path) {
  const std::string Expect = "Expect: 100-continue\r\n";
  const std::string Chunk = "3e8\r\n" + Block + "\r\n";
  return {{bodyHead(Path, OversizedBytes), Block, OversizedBytes},
          {bodyHead(Path, OversizedBytes, Expect), Block, OversizedBytes},
          {chunkedHead(Path), Chunk, OversizedBytes},
          {chunkedHead(Path, Expect), Chunk, OversizedBytes}};
}

Forms headsOfManyFields(const std::string &Path) {
  const std::string Start = headStart(Path, "GET");
  const std::string Fields = manyFields(Start.size(), "x:\r\n");
  const std::string Request = Start + Fields + "\r\n";
  return {{Start + Fields},
          {"", Request, 1000 * Request.size()},
          {chunkedHead(Path) + "0\r\n", "x:\r\n", OversizedBytes}};
}

Forms pipelinedRequests(const std::string &Path) {
  const std::string Plain = plainRequest(Path);
  const std::string Large =
      plainRequest(Path + "?bytes=" + std::to_string(LargeAnswerBytes));
  const std::string Body = bodyHead(Path, 15'000) + std::string(15'000, 'x');
  return {{"", Plain, 10'000 * Plain.size()},
          {"", Large, 10'000 * Large.size()},
          {"", Body, 1000 * Body.size()}};
}

Forms slowSenders(const std::string &Path) {
  const std::string Head = bodyHead(Path, MaxBodyBytes);
  const std::size_t Slow = 1;
  return {{"GET /op"},
          {"GET " + Path + " HTTP/1.1\r\nHost: shop"},
          {Head + "x"},
          {plainRequest(Path)},
          {plainRequest(Path), "\r\n", OversizedBytes, Slow},
          {"", "x", MaxHeaderBytes, Slow},
          {headStart(Path, "GET") + "x: ", "x", MaxHeaderBytes, Slow},
          {Head, "x", MaxBodyBytes - 1, Slow}};
}

Forms slowReaders(const std::string &Path) {
  const std::string Large =
      plainRequest(Path + "?bytes=" + std::to_string(LargeAnswerBytes));
  return {{Large}, {.Start = Large, .ReadPerStep = 1}};
}

Forms idleConnections(const std::string &) { return {{""}}; }

Forms allForms(const std::string &Path) {
  Forms All;
  for (const auto &Make :
       {bodiesInOnePiece, bodiesInSmallPieces, bodiesInChunks,
        bodiesOverTheLimit, headsOfManyFields, pipelinedRequests, slowSenders,
        slowReaders, idleConnections})
    for (ClientForm &Form : Make(Path))
      All.push_back(std::move(Form));
  return All;
}

} // namespace

TEST_GROUP(UncontrolledClients) {
  StoreMesh Mesh;
  std::vector<std::unique_ptr<FakeClients>> Crowds;
  std::atomic<bool> Stopping = false;
  std::thread Driver;
  std::vector<std::size_t> MostDescriptors;

  void setup() override {
    const DescriptorLimit Lowered(MaxDescriptors);
    Mesh.MaxBodyBytes = MaxBodyBytes;
    Mesh.AddedSettings = {{"node", "memory_mb = " + std::to_string(MachineMb)}};
    try {
      Mesh.start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
    MostDescriptors.resize(Mesh.Instances.size());
  }
  void teardown() override { stopLoad(); }

  void stopLoad() {
    Stopping = true;
    if (Driver.joinable())
      Driver.join();
    Crowds.clear();
  }

  const StoreMeshInstance &loadedInstance() const {
    return Mesh.Instances.front();
  }

  void addCrowd(const std::string &Address, const MakeForms &Make,
                const std::vector<std::string> &Paths, std::size_t Count) {
    Forms All;
    for (const std::string &Path : Paths)
      for (ClientForm &Form : Make(Path))
        All.push_back(std::move(Form));
    Crowds.push_back(
        std::make_unique<FakeClients>(Address, std::move(All), Count));
  }

  /// Clients of an open route, of one that needs a key and of no route.
  void addCallers(const MakeForms &Make, std::size_t Count = Connections) {
    addCrowd(StoreMesh::callersAddress(loadedInstance()), Make,
             {"/open/", "/read/", "/no-such-route/", "/fescuewood/ready"},
             Count);
  }

  /// Clients of the ready address and of the operators' address.
  void addOperators(const MakeForms &Make, std::size_t Count = Connections) {
    addCrowd(StoreMesh::readyAddress(loadedInstance()), Make,
             {"/fescuewood/ready", "/no-such-page"}, Count / 2);
    addCrowd(StoreMesh::operatorsAddress(loadedInstance()), Make,
             {"/metrics", "/status"}, Count / 2);
  }

  void noteDescriptors() {
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      MostDescriptors[I] = std::max(
          MostDescriptors[I], openDescriptors(Mesh.Instances[I].Node.id()));
  }

  void startLoad() {
    Driver = std::thread([this] {
      while (!Stopping) {
        for (const auto &Crowd : Crowds)
          Crowd->step();
        noteDescriptors();
        std::this_thread::sleep_for(Pause);
      }
    });
  }

  void checkServing(const char *When) {
    for (const StoreMeshInstance &Instance : Mesh.Instances) {
      awaitCondition(
          fmt::format("{} answers a request {}", Instance.Id, When), [&] {
            return Mesh.send(Instance, {.Id = "ordinary"}).status() == 200;
          });
      awaitCondition(
          fmt::format("{} answers a readiness check {}", Instance.Id, When),
          [&] { return Mesh.isReady(Instance); });
      awaitCondition(fmt::format("{} shows its status {}", Instance.Id, When),
                     [&] { return !Mesh.status(Instance).is_null(); });
    }
  }

  void checkBounds() {
    std::size_t Peak = 0;
    for (StoreMeshInstance &Instance : Mesh.Instances) {
      Peak = std::max(Peak, processPeak(Instance.Node.id()));
      CHECK_FALSE(Instance.Node.poll().has_value());
    }
    const std::size_t Most = *std::ranges::max_element(MostDescriptors);
    const std::string Measured =
        fmt::format("peak bytes: {}, descriptors: {}", Peak, Most);
    UT_PRINT(Measured.c_str());
    CHECK_TRUE_TEXT(Peak > 0 && Peak < MaxResidentBytes, Measured.c_str());
    CHECK_TRUE_TEXT(Most < MaxOpenDescriptors, Measured.c_str());
  }

  /// Checks that the nodes live, stay small and serve others, under the load
  /// and after it.
  void checkLoad() {
    startLoad();
    std::this_thread::sleep_for(LoadTime);
    checkServing("under load");
    checkBounds();
    stopLoad();
    checkServing("after the load");
    checkBounds();
  }

  /// Checks that each node serves a request.
  void checkServed(const StoreMeshRequest &Request) {
    for (const StoreMeshInstance &Instance : Mesh.Instances)
      LONGS_EQUAL(200, Mesh.send(Instance, Request).status());
  }
};

// Each guards against clients of one kind that exhaust a node's memory or
// descriptors, and other callers' requests or the readiness check with them.

TEST(UncontrolledClients, BodiesInOnePieceOfCallers) {
  addCallers(bodiesInOnePiece);
  checkLoad();
}

TEST(UncontrolledClients, BodiesInOnePieceAtOperatorsAddresses) {
  addOperators(bodiesInOnePiece);
  checkLoad();
}

TEST(UncontrolledClients, BodiesInSmallPiecesOfCallers) {
  addCallers(bodiesInSmallPieces);
  checkLoad();
}

TEST(UncontrolledClients, BodiesInSmallPiecesAtOperatorsAddresses) {
  addOperators(bodiesInSmallPieces);
  checkLoad();
}

TEST(UncontrolledClients, BodiesInChunksOfCallers) {
  addCallers(bodiesInChunks);
  checkLoad();
}

TEST(UncontrolledClients, BodiesInChunksAtOperatorsAddresses) {
  addOperators(bodiesInChunks);
  checkLoad();
}

TEST(UncontrolledClients, BodiesOverTheLimitOfCallers) {
  addCallers(bodiesOverTheLimit);
  checkLoad();
}

TEST(UncontrolledClients, BodiesOverTheLimitAtOperatorsAddresses) {
  addOperators(bodiesOverTheLimit);
  checkLoad();
}

TEST(UncontrolledClients, HeadsOfManyFieldsOfCallers) {
  addCallers(headsOfManyFields);
  checkLoad();
}

TEST(UncontrolledClients, HeadsOfManyFieldsAtOperatorsAddresses) {
  addOperators(headsOfManyFields);
  checkLoad();
}

TEST(UncontrolledClients, PipelinedRequestsOfCallers) {
  addCallers(pipelinedRequests);
  checkLoad();
}

TEST(UncontrolledClients, PipelinedRequestsAtOperatorsAddresses) {
  addOperators(pipelinedRequests);
  checkLoad();
}

TEST(UncontrolledClients, SlowSendersAmongCallers) {
  addCallers(slowSenders);
  checkLoad();
}

TEST(UncontrolledClients, SlowSendersAtOperatorsAddresses) {
  addOperators(slowSenders);
  checkLoad();
}

TEST(UncontrolledClients, SlowReadersAmongCallers) {
  addCallers(slowReaders);
  checkLoad();
}

TEST(UncontrolledClients, SlowReadersAtOperatorsAddresses) {
  addOperators(slowReaders);
  checkLoad();
}

TEST(UncontrolledClients, IdleConnectionsOfCallers) {
  addCallers(idleConnections);
  checkLoad();
}

TEST(UncontrolledClients, IdleConnectionsAtOperatorsAddresses) {
  addOperators(idleConnections);
  checkLoad();
}

TEST(UncontrolledClients, AllFormsAtAllAddresses) {
  addCallers(allForms, Connections / 2);
  addOperators(allForms, Connections / 2);
  checkLoad();
}

// Guards against limits that also refuse a single request which the declared
// limits allow.
TEST(UncontrolledClients, RequestsAtTheLimitsAreServedWithoutLoad) {
  const std::string Long = "X-Long: " + std::string(MaxHeaderBytes / 2, 'x');
  const std::string Many = manyFields(MaxHeaderBytes / 4, "x:\r\n");

  checkServed({.Id = "at-limit-of-body",
               .Method = "POST",
               .Body = std::string(MaxBodyBytes, 'x')});
  checkServed({.Id = "long-field", .ExtraFields = Long + "\r\n"});
  checkServed({.Id = "many-fields", .ExtraFields = Many});
}
