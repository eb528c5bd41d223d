/// \file
/// Stand-in for the store of the users' platform; implements its published
/// protocol and injects faults.
///
///   GET  /fescuewood/kv-key, kv-range, kv-watch   the published protocol
///   POST /control/put?key=K       sets the item's value to the body
///   POST /control/remove?key=K    removes the item
///   GET  /control/set?NAME=VALUE  sets \ref Faults, clears the others
///   GET  /control/compact         discards the history
///   GET  /control/restore?to=R    goes back to a copy of revision R
///   GET  /control/stats           call counters by path and status
///
/// Prints "listening PORT" once it accepts connections.

#include "standins/Http.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

DEFINE_string(listen, "127.0.0.1:0",
              "addresses (IP:port) to listen on, separated by commas; port 0 "
              "selects a free one");
DEFINE_int32(page_items, 500, "maximum number of items per page");
DEFINE_int32(reads_per_s, 0,
             "calls per second beyond which the status is 429; 0: no limit");
DEFINE_int32(era, 1,
             "era at the start, which each restore raises; 0: the answers have "
             "no header field for it");

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds PollPeriod{5};
constexpr std::int64_t MaxWaitMs = 30'000;

/// Faults set by /control/set. They affect the callers that use the address
/// \ref Only of the store, or all callers when that is empty. On loopback all
/// callers have the same address of their own.
struct Faults {
  std::string Only;        ///< only: an IP address that the store listens on.
  int Status = 0;          ///< status: responds with it, does nothing.
  bool Reset = false;      ///< reset: closes connections on calls.
  bool Silent = false;     ///< silent: accepts calls, never responds.
  bool Endless = false;    ///< endless: responds with a body that never ends.
  bool Lost = false;       ///< lost: executes the call, drops the response.
  std::int64_t SlowMs = 0; ///< slow_ms: delays every response.
  std::uint64_t Stale = 0; ///< stale: newest revision of stale reads; 0: all.
};

/// A write or a removal.
struct Change {
  std::string Key;
  std::optional<std::string> Value; ///< Empty for a removal.
  std::uint64_t Revision = 0;
  std::uint64_t Created = 0; ///< Revision that created the item.
};

std::string base64(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

/// Decodes percent-encoding.
std::string percentDecoded(const std::string &Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Result += Text[I];
      continue;
    }
    Result += static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
    I += 2;
  }
  return Result;
}

Json itemJson(const Change &Item) {
  if (!Item.Value)
    return {{"key", Item.Key}, {"revision", Item.Revision}, {"removed", true}};
  return {{"key", Item.Key},
          {"value", base64(*Item.Value)},
          {"revision", Item.Revision},
          {"created", Item.Created},
          {"lease_id", 0}};
}

struct Response {
  int Status = 200;
  std::string Body = "{}";
};

/// The items with their history, and the active faults.
class Store {
public:
  Faults ActiveFaults;

  /// Returns the response to a call, or std::nullopt while a watch has to wait.
  std::optional<Response> answer(const std::string &Target,
                                 const std::string &Body, bool LastTry) {
    const std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/fescuewood/kv-key")
      return item(Target);
    if (Path == "/fescuewood/kv-range")
      return range(Target);
    if (Path == "/fescuewood/kv-watch")
      return watch(Target, LastTry);
    if (Path.starts_with("/control/"))
      return control(Path.substr(9), Target, Body);
    return Response{404};
  }

  /// Header lines of every answer.
  std::string headerLines() const {
    return Era == 0 ? "" : "Store-Era: " + std::to_string(Era) + "\r\n";
  }

  void count(const std::string &Path, int Status) {
    ++Counts[Path + " " + std::to_string(Status)];
  }

  /// Counts a call and returns whether it is within the rate limit.
  bool withinRate() {
    const auto Now = SteadyClock::now();
    while (!RecentCalls.empty() &&
           Now - RecentCalls.front() > std::chrono::seconds(1))
      RecentCalls.pop_front();
    RecentCalls.push_back(Now);
    return FLAGS_reads_per_s == 0 ||
           RecentCalls.size() <= static_cast<std::size_t>(FLAGS_reads_per_s);
  }

private:
  static std::string text(const std::string &Target, const std::string &Name) {
    return percentDecoded(standins::queryValue(Target, Name).value_or(""));
  }

  static std::uint64_t number(const std::string &Target,
                              const std::string &Name) {
    return std::strtoull(text(Target, Name).c_str(), nullptr, 10);
  }

  /// The newest revision that is visible to a read.
  std::uint64_t visibleRevision(const std::string &Target) const {
    const bool MayBeStale = number(Target, "is_stale") == 1;
    return MayBeStale && ActiveFaults.Stale > 0 ? ActiveFaults.Stale : Revision;
  }

  /// The items as of the revision \p At.
  std::map<std::string, Change> itemsAt(std::uint64_t At) const {
    std::map<std::string, Change> Items;
    for (const Change &Next : Changes) {
      if (Next.Revision > At)
        break;
      if (Next.Value)
        Items[Next.Key] = Next;
      else
        Items.erase(Next.Key);
    }
    return Items;
  }

  Response item(const std::string &Target) const {
    const std::uint64_t At = visibleRevision(Target);
    const auto Items = itemsAt(At);
    const auto Found = Items.find(text(Target, "key"));
    if (Found == Items.end())
      return {404, Json{{"at", At}}.dump()};
    Json Body = itemJson(Found->second);
    Body["at"] = At;
    return {200, Body.dump()};
  }

  Response range(const std::string &Target) const {
    const std::string Prefix = text(Target, "prefix");
    const std::string After = text(Target, "after");
    const std::uint64_t At = visibleRevision(Target);
    Json Items = Json::array();
    bool More = false;
    for (const auto &[Key, Item] : itemsAt(At)) {
      if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
        continue;
      More = Items.size() >= static_cast<std::size_t>(FLAGS_page_items);
      if (More)
        break;
      Items.push_back(itemJson(Item));
    }
    return {200, Json{{"items", Items}, {"has_more", More}, {"at", At}}.dump()};
  }

  std::optional<Response> watch(const std::string &Target, bool LastTry) const {
    const std::uint64_t After = number(Target, "after");
    if (After < CompactedRevision || After > Revision)
      return Response{410};
    const std::string Prefix = text(Target, "prefix");
    Json Events = Json::array();
    for (const Change &Next : Changes)
      if (Next.Revision > After && Next.Key.starts_with(Prefix))
        Events.push_back(itemJson(Next));
    if (Events.empty() && !LastTry)
      return std::nullopt;
    return Response{200, Json{{"events", Events}, {"at", Revision}}.dump()};
  }

  Response control(const std::string &Command, const std::string &Target,
                   const std::string &Body) {
    if (Command == "put")
      write(text(Target, "key"), Body);
    else if (Command == "remove")
      write(text(Target, "key"), std::nullopt);
    else if (Command == "compact")
      CompactedRevision = Revision;
    else if (Command == "restore")
      restore(number(Target, "to"));
    else if (Command == "set")
      set(Target);
    return {200, Json{{"at", Revision}, {"calls", Counts}}.dump()};
  }

  /// Loses all changes after a revision; later ones get the same revisions.
  void restore(std::uint64_t To) {
    std::erase_if(Changes,
                  [To](const Change &Each) { return Each.Revision > To; });
    Revision = std::min(Revision, To);
    CompactedRevision = std::min(CompactedRevision, To);
    if (Era > 0)
      ++Era;
  }

  void write(const std::string &Key, std::optional<std::string> Value) {
    const auto Items = itemsAt(Revision);
    const auto Old = Items.find(Key);
    if (!Value && Old == Items.end())
      return;
    Change Next{Key, std::move(Value), ++Revision, Revision};
    if (Old != Items.end())
      Next.Created = Old->second.Created;
    Changes.push_back(std::move(Next));
  }

  void set(const std::string &Target) {
    Faults Next;
    Next.Only = text(Target, "only");
    Next.Status = static_cast<int>(number(Target, "status"));
    Next.Reset = number(Target, "reset") != 0;
    Next.Silent = number(Target, "silent") != 0;
    Next.Endless = number(Target, "endless") != 0;
    Next.Lost = number(Target, "lost") != 0;
    Next.SlowMs = static_cast<std::int64_t>(number(Target, "slow_ms"));
    Next.Stale = number(Target, "stale");
    ActiveFaults = Next;
  }

  /// Every change ever made; a watch can only read those after
  /// \ref CompactedRevision.
  std::vector<Change> Changes;
  std::uint64_t Revision = 1;
  std::uint64_t CompactedRevision = 0;
  std::uint64_t Era = static_cast<std::uint64_t>(FLAGS_era);
  std::map<std::string, std::uint64_t> Counts;
  std::deque<SteadyClock::time_point> RecentCalls;
};

/// One connection; serves one call at a time.
class Session {
public:
  Session(Store &ServedStore, standins::Tcp::socket Accepted)
      : ServedStore(ServedStore), Socket(std::move(Accepted)),
        UsedAddress(Socket.local_endpoint().address().to_string()) {}

  asio::awaitable<void> serve() {
    std::string Buffer;
    for (;;) {
      const auto Request = co_await standins::readMessage(Socket, Buffer);
      const std::string Target = Request.word(1);
      if (Target.starts_with("/control/")) {
        co_await reply(Target, Request.Body);
        continue;
      }
      const bool KeepOpen = co_await answerWithFaults(Target);
      if (!KeepOpen)
        co_return;
    }
  }

private:
  bool isAffected() const {
    return ServedStore.ActiveFaults.Only.empty() ||
           ServedStore.ActiveFaults.Only == UsedAddress;
  }

  // g++ 12 destroys temporaries in co_await expressions incorrectly, so the
  // arguments below are named variables.

  /// Serves a call under the active faults; returns false when the connection
  /// has to be closed.
  asio::awaitable<bool> answerWithFaults(const std::string &Target) {
    const Faults Active = isAffected() ? ServedStore.ActiveFaults : Faults();
    co_await standins::sleepFor(std::chrono::milliseconds(Active.SlowMs));
    while (isAffected() && ServedStore.ActiveFaults.Silent) {
      co_await standins::sleepFor(PollPeriod);
    }
    if (Active.Reset || Active.Silent)
      co_return false;
    if (Active.Endless) {
      co_await sendEndlessly();
    }
    if (Active.Status != 0 || !ServedStore.withinRate()) {
      const Response Refusal{Active.Status != 0 ? Active.Status : 429};
      co_await write(Target, Refusal);
      co_return true;
    }
    if (Active.Lost) {
      ServedStore.answer(Target, "", true);
      co_return false;
    }
    const std::string NoBody;
    co_await reply(Target, NoBody);
    co_return true;
  }

  /// Sends a body until the caller closes the connection.
  asio::awaitable<void> sendEndlessly() {
    const std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    const std::string Block(64 * 1024, ' ');
    co_await standins::send(Socket, Head);
    for (;;) {
      co_await standins::send(Socket, Block);
    }
  }

  asio::awaitable<void> reply(const std::string &Target,
                              const std::string &Body) {
    const auto Wait = std::min<std::int64_t>(
        std::atoll(
            standins::queryValue(Target, "wait_ms").value_or("0").c_str()),
        MaxWaitMs);
    const auto End = SteadyClock::now() + std::chrono::milliseconds(Wait);
    for (;;) {
      const bool LastTry = SteadyClock::now() >= End;
      if (const auto Found = ServedStore.answer(Target, Body, LastTry)) {
        co_await write(Target, *Found);
        co_return;
      }
      co_await standins::sleepFor(PollPeriod);
    }
  }

  asio::awaitable<void> write(const std::string &Target, const Response &A) {
    ServedStore.count(Target.substr(0, Target.find('?')), A.Status);
    const std::string Text = standins::responseText(
        A.Status,
        ServedStore.headerLines() + "Content-Type: application/json\r\n",
        A.Body);
    co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
  }

  Store &ServedStore;
  standins::Tcp::socket Socket;
  const std::string UsedAddress; ///< Address at which the caller connected.
};

asio::awaitable<void> serve(Store &ServedStore, standins::Tcp::socket Socket) {
  try {
    Session Connection(ServedStore, std::move(Socket));
    co_await Connection.serve();
  } catch (const std::exception &) {
    // The connection has ended.
  }
}

asio::awaitable<void> acceptLoop(asio::io_context &Context,
                                 standins::Tcp::acceptor &Acceptor,
                                 Store &ServedStore) {
  for (;;) {
    auto Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(Context, serve(ServedStore, std::move(Socket)),
                   asio::detached);
  }
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Context;
  Store ServedStore;
  std::deque<standins::Tcp::acceptor> Acceptors;
  std::istringstream Addresses(FLAGS_listen);
  for (std::string Address; std::getline(Addresses, Address, ',');) {
    Acceptors.emplace_back(Context, standins::endpointOf(Address));
    asio::co_spawn(Context, acceptLoop(Context, Acceptors.back(), ServedStore),
                   asio::detached);
  }
  std::printf("listening %d\n", Acceptors.front().local_endpoint().port());
  std::fflush(stdout);
  Context.run();
}
