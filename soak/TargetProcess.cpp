#include "soak/TargetProcess.h"

#include "soak/Connection.h"
#include "soak/PlatformWords.h"
#include "standins/Http.h"

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <random>
#include <stdexcept>
#include <system_error>
#include <unistd.h>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

using Json = nlohmann::json;
using standins::Message;
using standins::Tcp;

constexpr int StatusOk = 200;
constexpr int StatusMisdirected = 421;
constexpr int StatusFailed = 500;
constexpr int StatusUnavailable = 503;

/// The lower-case name by which a parsed message knows a field.
std::string parsedName(std::string Name) {
  for (char &C : Name)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Name;
}

class TargetServer {
public:
  TargetServer(asio::io_context &Context, const TargetProcessOptions &Options)
      : Context(Context), Options(Options),
        Acceptor(Context, standins::endpointOf(Options.Listen)),
        Record(open(Options.RecordFile.c_str(),
                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)),
        Random(std::hash<std::string>()(Options.Id)) {
    if (Record < 0)
      throw std::system_error(errno, std::generic_category(),
                              Options.RecordFile);
  }

  asio::awaitable<void> acceptLoop() {
    for (;;) {
      Tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      Socket.set_option(Tcp::no_delay(true));
      asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
    }
  }

private:
  asio::awaitable<void> serve(Tcp::socket Socket) {
    std::string Buffer;
    std::string Previous; ///< The last answer on this connection.
    try {
      for (;;) {
        const Message Request = co_await standins::readMessage(Socket, Buffer);
        const std::string Mode = mode();
        if (Mode == ModeRepeat && !Previous.empty() && Random() % 2 == 0) {
          co_await standins::send(Socket, Previous);
        }
        Previous = co_await answer(Socket, Request, Mode);
      }
    } catch (const std::exception &) {
      // The connection has ended.
    }
  }

  std::string mode() const {
    std::string Text;
    std::ifstream(Options.ModeFile) >> Text;
    return Text;
  }

  /// Answers a request; returns the answer if it was sent as a whole.
  asio::awaitable<std::string>
  answer(Tcp::socket &Socket, const Message &Request, const std::string &Mode) {
    if (Request.word(1) == platform::HealthPath) {
      co_await standins::send(
          Socket, standins::responseText(
                      StatusOk, field(platform::OwnTarget, Options.Id), ""));
      co_return "";
    }
    const std::string Meant = Request.field(parsedName(platform::MeantTarget));
    if (!Meant.empty() && Meant != Options.Id) {
      co_await refuse(Socket, Request, StatusMisdirected);
      co_return "";
    }
    if (Mode == ModeRefuse) {
      co_await refuse(Socket, Request, StatusUnavailable);
      co_return "";
    }
    const Run R = co_await run(Request, Mode);
    co_return co_await sendAnswer(Socket, R, Mode);
  }

  asio::awaitable<void> refuse(Tcp::socket &Socket, const Message &Request,
                               int Status) {
    co_await standins::send(
        Socket, standins::responseText(
                    Status,
                    field(platform::NotRun, "1") +
                        field(platform::RequestId,
                              Request.field(parsedName(platform::RequestId))),
                    ""));
  }

  asio::awaitable<Run> run(const Message &Request, const std::string &Mode) {
    Run R;
    R.Id = Request.field(parsedName(platform::RequestId));
    R.Target = Options.Id;
    R.Node = Options.Node;
    R.Signature = fmt::format("{}.{}", Options.Id, ++RunCount);
    R.Method = Request.word(0);
    R.Path = Request.word(1);
    R.RequestBody = Request.Body;
    R.Organisation = Request.field(parsedName(platform::Organisation));
    R.SawKey = !Request.field("authorization").empty();
    R.BeganMs = Clock::monotonic().now().Value;
    R.Status = Mode == ModeFail ? StatusFailed : StatusOk;
    R.Body = answerBody(R.Signature);
    write("run", R);
    co_await standins::sleepFor(workTime());
    if (R.Path.starts_with(CallingPath) && !co_await call(R)) {
      R.Status = StatusFailed;
      write("run", R);
    }
    co_return R;
  }

  std::string answerBody(const std::string &Signature) {
    // Large enough that an answer takes several reads at times.
    constexpr std::size_t MaxExtraBytes = 20'000;
    std::string Body = Signature + "\n";
    const std::size_t Size = Body.size() + Random() % MaxExtraBytes;
    while (Body.size() < Size)
      Body += Signature;
    return Body;
  }

  std::chrono::milliseconds workTime() {
    constexpr unsigned MaxMs = 40;
    constexpr unsigned SlowOneIn = 25;
    constexpr unsigned SlowFactor = 20;
    const auto Ms = static_cast<unsigned>(1 + Random() % MaxMs);
    return std::chrono::milliseconds(Random() % SlowOneIn == 0 ? SlowFactor * Ms
                                                               : Ms);
  }

  /// Makes the call of a run. A run of the same request makes it with the same
  /// ID. Returns whether it succeeded.
  asio::awaitable<bool> call(const Run &R) {
    constexpr DurationMs TimeLeft{2000};
    Send S;
    S.Id = R.Id + "c";
    S.Path = "/inner/" + R.Id;
    S.Node = Options.Node;
    S.SentMs = Clock::monotonic().now().Value;
    const int Number = ++CallCount;
    write("call", S, Number);
    Connection Caller(Options.NodeAddress);
    co_await Caller.exchange(S, TimeLeft);
    write("call", S, Number);
    co_return S.Status == StatusOk;
  }

  asio::awaitable<std::string> sendAnswer(Tcp::socket &Socket, const Run &R,
                                          const std::string &Mode) {
    const std::string Text =
        standins::responseText(R.Status,
                               field(platform::RequestId, R.Id) +
                                   field(platform::Signature, R.Signature),
                               R.Body);
    if (Mode == ModeSilent) {
      std::string Ignored;
      co_await standins::readMessage(Socket, Ignored);
    }
    if (Mode == ModeSpoilt) {
      co_await standins::send(Socket, "\x01 these bytes are no answer\r\n\r\n");
      Socket.close();
      co_return "";
    }
    if (Mode == ModeCut) {
      co_await standins::send(Socket, Text.substr(0, Random() % Text.size()));
      Socket.close();
      co_return "";
    }
    co_await standins::send(Socket, Text);
    if (Mode == ModeRepeat && Random() % 2 == 0) {
      constexpr std::chrono::milliseconds Later{10};
      co_await standins::sleepFor(Later);
      co_await standins::send(Socket, Text);
    }
    co_return Text;
  }

  static std::string field(const std::string &Name, const std::string &Value) {
    return Name + ": " + Value + "\r\n";
  }

  /// Appends a line to the record with one write.
  template <typename Entry>
  void write(const char *Kind, const Entry &E, int Number = 0) const {
    const std::string Line =
        Json{{"kind", Kind}, {"number", Number}, {"entry", E}}.dump() + "\n";
    if (::write(Record, Line.data(), Line.size()) !=
        static_cast<ssize_t>(Line.size())) {
      std::perror("cannot write the record");
      std::abort();
    }
  }

  asio::io_context &Context;
  TargetProcessOptions Options;
  Tcp::acceptor Acceptor;
  int Record;
  int RunCount = 0;
  int CallCount = 0;
  std::mt19937_64 Random;
};

} // namespace

void runTarget(const TargetProcessOptions &Options) {
  asio::io_context Context;
  TargetServer Server(Context, Options);
  asio::co_spawn(Context, Server.acceptLoop(), asio::detached);
  Context.run();
}

void readRecord(const std::string &File, History &Seen) {
  std::ifstream Lines(File);
  if (!Lines)
    throw std::runtime_error("cannot read " + File);
  std::map<std::string, Run> Runs;
  std::map<int, Send> Calls;
  for (std::string Line; std::getline(Lines, Line);) {
    const Json Parsed = Json::parse(Line, nullptr, false);
    if (Parsed.is_discarded() && Lines.eof())
      break;
    if (Parsed.is_discarded())
      throw std::runtime_error(File + " has a line that cannot be read");
    const Json &Entry = Parsed.at("entry");
    if (Parsed.at("kind") == "run")
      Runs[Entry.at("Signature")] = Entry.get<Run>();
    else
      Calls[Parsed.at("number")] = Entry.get<Send>();
  }
  for (auto &[Signature, R] : Runs)
    Seen.Runs.push_back(std::move(R));
  for (auto &[Number, S] : Calls)
    Seen.Sends.push_back(std::move(S));
}

} // namespace fescuewood::soak
