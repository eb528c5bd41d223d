/// \file
/// Stand-in for the platform: serves an intent folder and a list of instances
/// with increasing revisions, counts reads and injects faults.
///
///   GET /v1/intent?after=REV&wait_ms=N   200, or 204 without newer content
///   GET /v1/instances?after=REV          the same
///   GET /stats[?reset=1]                 read counters as JSON
///   GET /control?NAME=VALUE&...          sets one or more of \ref Faults
///
/// Prints "listening IP:port" once it accepts connections.

#include "core/Clock.h"
#include "core/Endpoint.h"
#include "core/ReadFile.h"
#include "intent/IntentFolder.h"
#include "sources/PlatformCodec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(listen, "127.0.0.1:0",
              "IP:port to listen on; port 0 selects a free one");
DEFINE_string(folder, "", "directory of intent files to serve");
DEFINE_string(instances, "", "JSON file with {\"instances\": [...]} to serve");

using namespace fescuewood;
using asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr std::size_t MaxRequestBytes = 16 * 1024;
constexpr std::size_t MaxHistory = 256;
constexpr DurationMs PollPeriod{20};
constexpr DurationMs StatsWindow{1000};

/// Faults set by /control. A request leaves faults that it does not name
/// unchanged.
struct Faults {
  std::int64_t SlowMs = 0;        ///< slow_ms: delays every response.
  std::uint64_t StaleAt = 0;      ///< stale: newest revision served; 0: all.
  std::int64_t InstanceLagMs = 0; ///< lag_ms: age at which a list is served.
  bool Out = false;               ///< out: closes connections on requests.
  bool Silent = false;            ///< silent: accepts requests, never responds.
  bool Torn = false;              ///< torn: a file does not match its digest.
  bool Refusing = false;          ///< refusing: responds with status 500.
  bool Garbled = false;           ///< garbled: truncates the JSON body.
  bool Twin = false;              ///< twin: different content, same revision.
};

struct Request {
  std::string Path;
  std::map<std::string, std::string> Query;

  std::uint64_t number(const std::string &Name) const {
    const auto It = Query.find(Name);
    return It == Query.end() ? 0
                             : std::strtoull(It->second.c_str(), nullptr, 10);
  }
};

struct Response {
  int Status = 200;
  std::string Body;
};

Request parseRequest(std::string_view Head) {
  Request R;
  const std::size_t Start = Head.find(' ') + 1;
  const std::string_view Target =
      Head.substr(Start, Head.find(' ', Start) - Start);
  const std::size_t Mark = Target.find('?');
  R.Path = std::string(Target.substr(0, Mark));
  std::string_view Query =
      Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  while (!Query.empty()) {
    const std::string_view Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Pair.size() + 1, Query.size()));
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos)
      R.Query[std::string(Pair.substr(0, Equals))] =
          std::string(Pair.substr(Equals + 1));
  }
  return R;
}

std::string encodeIntent(const IntentBundle &Bundle, bool Torn) {
  Json Files = Json::array();
  for (const IntentFile &F : Bundle.Files)
    Files.push_back({{"name", F.Name},
                     {"sha256", Digest::sha256(F.Text).hex()},
                     {"text", F.Text}});
  if (Torn && !Files.empty())
    Files[0]["text"] = Files[0]["text"].get<std::string>() + "; torn\n";
  const Json Body{{"revision", Bundle.Revision},
                  {"digest", Bundle.version().Content.hex()},
                  {"files", std::move(Files)}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Read counters by path, and the peak rate in any one-second window.
class ReadCounts {
public:
  void add(const std::string &Path, TimeMs Now) {
    ++ByPath[Path];
    Recent.push_back(Now);
    while (Recent.front() + StatsWindow <= Now)
      Recent.pop_front();
    Peak = std::max(Peak, Recent.size());
  }

  Json json() const {
    std::uint64_t Total = 0;
    for (const auto &[Path, Count] : ByPath)
      Total += Count;
    return {{"by_path", ByPath}, {"total", Total}, {"peak_per_second", Peak}};
  }

private:
  std::map<std::string, std::uint64_t> ByPath;
  std::deque<TimeMs> Recent;
  std::size_t Peak = 0;
};

/// The published content and the active faults.
class Platform {
public:
  /// Reads changes of the intent folder and the instance list.
  void refresh() {
    const auto Now = static_cast<std::uint64_t>(Wall.now().Value);
    refreshIntent(Now);
    refreshInstances(Now);
  }

  /// Returns the response to a request, or std::nullopt while a long poll has
  /// to wait.
  std::optional<Response> answer(const Request &R, bool LastTry) {
    if (R.Path == "/v1/intent")
      return intent(R, LastTry);
    if (R.Path == "/v1/instances")
      return instances(R);
    if (R.Path == "/stats")
      return stats(R);
    if (R.Path == "/control")
      return control(R);
    return Response{404, "{}"};
  }

  void count(const std::string &Path) { Counts.add(Path, Monotonic.now()); }

  const Faults &faults() const { return ActiveFaults; }

private:
  void refreshIntent(std::uint64_t Now) {
    const std::uint64_t Revision = intentFolderRevision(FLAGS_folder);
    const std::uint64_t Newest =
        Versions.empty() ? 0 : Versions.rbegin()->first;
    const auto Settle = static_cast<std::uint64_t>(FolderSettleTime.Value);
    if (Revision <= Newest || Revision + Settle > Now)
      return;
    Problems Found;
    std::optional<IntentFolder> Read = readIntentFolder(FLAGS_folder, Found);
    if (!Read || Read->Bundle.Revision != Revision)
      return;
    Versions.emplace(Revision, std::move(Read->Bundle));
    if (Versions.size() > MaxHistory)
      Versions.erase(Versions.begin());
  }

  void refreshInstances(std::uint64_t Now) {
    const std::uint64_t Revision = changeTimeMs(FLAGS_instances);
    const auto Lag = static_cast<std::uint64_t>(
        std::max(FolderSettleTime.Value, ActiveFaults.InstanceLagMs));
    if (Revision <= ListRevision || Revision + Lag > Now)
      return;
    const auto Text = readFile(FLAGS_instances, MaxAnswerBytes);
    Json Parsed = Json::parse(Text.value_or(""), nullptr, false);
    if (!Parsed.is_object())
      return;
    Parsed["revision"] = Revision;
    InstanceList = Parsed.dump();
    ListRevision = Revision;
  }

  std::optional<Response> intent(const Request &R, bool LastTry) {
    const auto VisibleEnd = ActiveFaults.StaleAt == 0
                                ? Versions.end()
                                : Versions.upper_bound(ActiveFaults.StaleAt);
    if (VisibleEnd != Versions.begin()) {
      IntentBundle Bundle = std::prev(VisibleEnd)->second;
      if (ActiveFaults.Twin)
        Bundle.Files.push_back({"99-twin.ini", "; the other content\n"});
      if (isNewer(Bundle, R))
        return Response{200, encodeIntent(Bundle, ActiveFaults.Torn)};
    }
    if (!LastTry)
      return std::nullopt;
    return Response{204, ""};
  }

  static bool isNewer(const IntentBundle &Bundle, const Request &R) {
    const std::uint64_t After = R.number("after");
    const auto Digest = R.Query.find("digest");
    return Bundle.Revision > After ||
           (Bundle.Revision == After && Digest != R.Query.end() &&
            Digest->second != Bundle.version().Content.hex());
  }

  Response instances(const Request &R) {
    if (ListRevision > R.number("after"))
      return {200, InstanceList};
    return {204, ""};
  }

  Response stats(const Request &R) {
    Json Body = Counts.json();
    Body["revision"] = Versions.empty() ? 0 : Versions.rbegin()->first;
    if (R.number("reset") != 0)
      Counts = ReadCounts();
    return {200, Body.dump()};
  }

  Response control(const Request &R) {
    const std::map<std::string, bool *> Switches{
        {"out", &ActiveFaults.Out},
        {"silent", &ActiveFaults.Silent},
        {"torn", &ActiveFaults.Torn},
        {"refusing", &ActiveFaults.Refusing},
        {"garbled", &ActiveFaults.Garbled},
        {"twin", &ActiveFaults.Twin}};
    for (const auto &[Name, Text] : R.Query) {
      const std::uint64_t Value = R.number(Name);
      if (const auto It = Switches.find(Name); It != Switches.end())
        *It->second = Value != 0;
      else if (Name == "slow_ms")
        ActiveFaults.SlowMs = static_cast<std::int64_t>(Value);
      else if (Name == "lag_ms")
        ActiveFaults.InstanceLagMs = static_cast<std::int64_t>(Value);
      else if (Name == "stale")
        ActiveFaults.StaleAt = Value;
      else
        return {404, "{\"unknown\": \"" + Name + "\"}"};
    }
    return {200, "{}"};
  }

  const Clock Monotonic = Clock::monotonic();
  const Clock Wall = Clock::wall();
  std::map<std::uint64_t, IntentBundle> Versions;
  std::string InstanceList = "{}";
  std::uint64_t ListRevision = 0;
  Faults ActiveFaults;
  ReadCounts Counts;
};

/// One connection; serves one request at a time until the client closes it.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Accepted, Platform &ServedPlatform)
      : Socket(std::move(Accepted)), Timer(Socket.get_executor()),
        ServedPlatform(ServedPlatform) {}

  void read() {
    asio::async_read_until(
        Socket, asio::dynamic_buffer(Input, MaxRequestBytes), "\r\n\r\n",
        [Self = shared_from_this()](const asio::error_code &Error,
                                    std::size_t Bytes) {
          if (!Error)
            Self->handle(Bytes);
        });
  }

private:
  void handle(std::size_t Bytes) {
    Current = parseRequest(std::string_view(Input).substr(0, Bytes));
    Input.erase(0, Bytes);
    IsRead = Current.Path.starts_with("/v1/");
    if (IsRead)
      ServedPlatform.count(Current.Path);
    if (IsRead && ServedPlatform.faults().Out)
      return Socket.close();
    if (IsRead && ServedPlatform.faults().Silent)
      return waitWhileSilent();
    Until = Monotonic.now() +
            DurationMs(static_cast<std::int64_t>(Current.number("wait_ms")));
    wait(DurationMs(IsRead ? ServedPlatform.faults().SlowMs : 0),
         [Self = shared_from_this()] { Self->tryToAnswer(); });
  }

  /// Keeps the connection open without a response until the fault ends.
  void waitWhileSilent() {
    if (!ServedPlatform.faults().Silent)
      return Socket.close();
    wait(PollPeriod, [Self = shared_from_this()] { Self->waitWhileSilent(); });
  }

  void tryToAnswer() {
    const bool LastTry = Monotonic.now() >= Until;
    std::optional<Response> Found = ServedPlatform.answer(Current, LastTry);
    if (Found)
      return write(std::move(*Found));
    wait(PollPeriod, [Self = shared_from_this()] { Self->tryToAnswer(); });
  }

  void write(Response A) {
    if (IsRead && ServedPlatform.faults().Refusing)
      A = {500, "{}"};
    if (IsRead && ServedPlatform.faults().Garbled)
      A.Body.resize(A.Body.size() / 2);
    Output = fmt::format(
        "HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\n", A.Status);
    if (A.Status != 204)
      Output += fmt::format("Content-Length: {}\r\n", A.Body.size());
    Output += "\r\n" + A.Body;
    asio::async_write(Socket, asio::buffer(Output),
                      [Self = shared_from_this()](const asio::error_code &Error,
                                                  std::size_t) {
                        if (!Error)
                          Self->read();
                      });
  }

  template <typename Function>
  void wait(DurationMs Duration, Function OnExpiry) {
    Timer.expires_after(std::chrono::milliseconds(Duration.Value));
    Timer.async_wait([OnExpiry = std::move(OnExpiry)](
                         const asio::error_code &Error) mutable {
      if (!Error)
        OnExpiry();
    });
  }

  tcp::socket Socket;
  asio::steady_timer Timer;
  Platform &ServedPlatform;
  const Clock Monotonic = Clock::monotonic();
  std::string Input;
  std::string Output;
  Request Current;
  bool IsRead = false;
  TimeMs Until;
};

void acceptNext(tcp::acceptor &Acceptor, Platform &ServedPlatform) {
  Acceptor.async_accept([&Acceptor, &ServedPlatform](
                            const asio::error_code &Error, tcp::socket Socket) {
    if (!Error)
      std::make_shared<Session>(std::move(Socket), ServedPlatform)->read();
    acceptNext(Acceptor, ServedPlatform);
  });
}

void refreshPeriodically(asio::steady_timer &Timer, Platform &ServedPlatform) {
  ServedPlatform.refresh();
  Timer.expires_after(std::chrono::milliseconds(PollPeriod.Value));
  Timer.async_wait([&](const asio::error_code &) {
    refreshPeriodically(Timer, ServedPlatform);
  });
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const std::optional<Endpoint> ListenEndpoint = Endpoint::parse(FLAGS_listen);
  if (!ListenEndpoint) {
    std::fprintf(stderr, "--listen: expected IP:port\n");
    return EXIT_FAILURE;
  }
  asio::io_context Context(1);
  Platform ServedPlatform;
  tcp::acceptor Acceptor(
      Context, tcp::endpoint(asio::ip::make_address(ListenEndpoint->Ip),
                             ListenEndpoint->Port));
  asio::steady_timer Timer(Context);
  refreshPeriodically(Timer, ServedPlatform);
  acceptNext(Acceptor, ServedPlatform);
  std::printf("listening %s:%u\n", ListenEndpoint->Ip.c_str(),
              static_cast<unsigned>(Acceptor.local_endpoint().port()));
  std::fflush(stdout);
  Context.run();
  return EXIT_SUCCESS;
}
