#include "nodes/PeerServer.h"

#include "core/Endpoint.h"
#include "nodes/PeerLoop.h"
#include "nodes/PeerStream.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

namespace fescuewood {

namespace {

using Tcp = asio::ip::tcp;

/// Wait after an accept that failed, for instance for want of descriptors.
constexpr std::chrono::milliseconds AcceptPause{100};

std::optional<Tcp::endpoint> parseAddress(const std::string &Text) {
  const auto Where = Endpoint::parse(Text);
  if (!Where)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Where->Ip, Error);
  if (Error)
    return std::nullopt;
  return Tcp::endpoint(Ip, Where->Port);
}

std::string textOf(const Tcp::endpoint &Where) {
  return Endpoint{Where.address().to_string(), Where.port()}.text();
}

} // namespace

/// The listener and its connections, on the thread of its loop.
class PeerServer::Core : public std::enable_shared_from_this<Core> {
public:
  Core(PeerLink &Link, PeerServerOptions Options)
      : Link(Link), Options(std::move(Options)), Loop("peer-server"),
        Acceptor(Loop.context()), AcceptTimer(Loop.context()) {}

  std::map<PeerKind, PeerHandler> Handlers;

  std::optional<std::string> start();
  void stop() {
    Loop.stop([this] { closeAll(); });
  }

private:
  /// Where the reply to a request goes.
  struct Origin {
    std::uint64_t Connection = 0;
    std::uint32_t Number = 0;
    PeerKind Kind = PeerKind::Heartbeat;
  };

  /// Held by the reply hooks of one request; the last one to go frees its
  /// place if no reply was sent.
  struct Ticket {
    std::shared_ptr<Core> Owner;
    const Origin Where;
    std::atomic<bool> Used{false};

    Ticket(std::shared_ptr<Core> Owner, Origin Where)
        : Owner(std::move(Owner)), Where(Where) {}
    ~Ticket() {
      if (!Used.exchange(true))
        Owner->Loop.post([Owner = Owner] { Owner->release(); });
    }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    void reply(PeerPhase Phase, std::string_view Body) {
      if (!Used.exchange(true))
        Owner->reply(Where, Phase, Body);
    }
  };

  void accept();
  void acceptLater();
  void add(Tcp::socket Socket);
  bool received(const Origin &Where, const std::string &Sender,
                std::string_view Sealed);
  void dispatch(Origin Where, const PeerEnvelope &Message);
  void reply(const Origin &Where, PeerPhase Phase, std::string_view Body);
  void write(const Origin &Where, std::string Sealed);
  void release();
  void readWaiting();
  bool full() const { return InFlight >= Options.MaxInFlight; }
  void closeAll();

  PeerLink &Link;
  const PeerServerOptions Options;

  PeerLoop Loop;
  Tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  bool Stopped = false;
  std::uint64_t LastConnection = 0;
  std::map<std::uint64_t, PeerStreamPtr> Streams;
  std::size_t InFlight = 0;          ///< Requests whose reply is still open.
  std::deque<std::uint64_t> Waiting; ///< Streams not read until a place frees.
};

std::optional<std::string> PeerServer::Core::start() {
  const auto Address = parseAddress(Options.Address);
  if (!Address)
    return std::nullopt;
  asio::error_code Error;
  Acceptor = Tcp::acceptor(Loop.context());
  Acceptor.open(Address->protocol(), Error);
  Acceptor.set_option(Tcp::acceptor::reuse_address(true), Error);
  Acceptor.bind(*Address, Error);
  if (!Error)
    Acceptor.listen(Tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return std::nullopt;
  const Tcp::endpoint Bound = Acceptor.local_endpoint(Error);
  accept();
  Loop.start();
  return textOf(Bound);
}

void PeerServer::Core::accept() {
  Acceptor.async_accept([this](asio::error_code Error, Tcp::socket Socket) {
    if (Stopped)
      return;
    if (Error) {
      acceptLater();
      return;
    }
    add(std::move(Socket));
    accept();
  });
}

void PeerServer::Core::acceptLater() {
  AcceptTimer.expires_after(AcceptPause);
  AcceptTimer.async_wait([this](asio::error_code /*Error*/) {
    if (!Stopped)
      accept();
  });
}

void PeerServer::Core::add(Tcp::socket Socket) {
  asio::error_code Error;
  const Tcp::endpoint Remote = Socket.remote_endpoint(Error);
  if (Error || Streams.size() >= Options.MaxConnections)
    return; // Closes the socket.
  const std::uint64_t Id = ++LastConnection;
  const std::string Sender = textOf(Remote);
  PeerStreamHooks Hooks;
  Hooks.OnFrame = [this, Id, Sender](std::uint32_t Number,
                                     std::string_view Sealed) {
    return received({Id, Number}, Sender, Sealed);
  };
  // A reply gives its place back when the system takes it, so that a node that
  // does not read its replies is soon not read any more either.
  Hooks.OnWriting = [this](std::uint32_t /*Number*/) {
    release();
    return true;
  };
  Hooks.OnClosed = [this, Id, Sender](bool TooLarge) {
    if (TooLarge)
      Link.refuse(ResultCode::PeerMessageTooLarge, Sender);
    Streams.erase(Id);
  };
  const auto Stream =
      std::make_shared<PeerStream>(std::move(Socket), std::move(Hooks));
  Streams.emplace(Id, Stream);
  Stream->start();
}

bool PeerServer::Core::received(const Origin &Where, const std::string &Sender,
                                std::string_view Sealed) {
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = Link.open(Sealed, Sender, Reason);
  if (Opened && Opened->Phase == PeerPhase::Request)
    dispatch(Where, *Opened);
  else if (Opened)
    Link.refuse(ResultCode::PeerMessageMalformed, Sender);
  if (!full())
    return true;
  Waiting.push_back(Where.Connection);
  return false;
}

void PeerServer::Core::dispatch(Origin Where, const PeerEnvelope &Message) {
  Where.Kind = Message.Kind;
  ++InFlight;
  if (Message.Kind == PeerKind::Heartbeat) {
    write(Where, Link.seal(Where.Kind, PeerPhase::Reply, {}));
    return;
  }
  const auto Found = Handlers.find(Message.Kind);
  if (Found == Handlers.end()) {
    Link.refuse(ResultCode::PeerKindUnknown, Message.From.Name);
    write(Where, Link.seal(Where.Kind, PeerPhase::Refusal, {}));
    return;
  }
  auto Held = std::make_shared<Ticket>(shared_from_this(), Where);
  Found->second(Message.From, Message.Body,
                [Held = std::move(Held)](const std::string &Body) {
                  Held->reply(PeerPhase::Reply, Body);
                });
}

/// Seals a reply on the thread that has it and hands it to the loop. After
/// \ref stop it is dropped.
void PeerServer::Core::reply(const Origin &Where, PeerPhase Phase,
                             std::string_view Body) {
  if (Body.size() > MaxPeerBodyBytes) {
    Link.refuse(ResultCode::PeerMessageTooLarge, Link.Self.Name);
    Phase = PeerPhase::Refusal;
    Body = {};
  }
  Loop.post([this, Kept = shared_from_this(), Where,
             Sealed = Link.seal(Where.Kind, Phase, Body)]() mutable {
    write(Where, std::move(Sealed));
  });
}

void PeerServer::Core::write(const Origin &Where, std::string Sealed) {
  const auto Found = Streams.find(Where.Connection);
  if (Found == Streams.end())
    release();
  else
    Found->second->write(Where.Number, std::move(Sealed));
}

/// Gives a request's place back.
void PeerServer::Core::release() {
  --InFlight;
  // Not at once: this may run inside the writing or reading of a stream.
  if (!Waiting.empty())
    Loop.post([this] { readWaiting(); });
}

/// Reads on where places were lacking.
void PeerServer::Core::readWaiting() {
  while (!full() && !Waiting.empty()) {
    const auto Found = Streams.find(Waiting.front());
    Waiting.pop_front();
    if (Found == Streams.end())
      continue;
    const PeerStreamPtr Stream = Found->second;
    Stream->resume();
  }
}

void PeerServer::Core::closeAll() {
  Stopped = true;
  asio::error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  for (const auto &[Id, Stream] : std::exchange(Streams, {}))
    Stream->close();
}

PeerServer::PeerServer(PeerLink &Link, PeerServerOptions Options)
    : Shared(std::make_shared<Core>(Link, std::move(Options))) {}

PeerServer::~PeerServer() { stop(); }

void PeerServer::handle(PeerKind Kind, PeerHandler Handler) {
  Shared->Handlers[Kind] = std::move(Handler);
}

std::optional<std::string> PeerServer::start() {
  auto Bound = Shared->start();
  LastReason = Bound ? ResultCode::Ok : ResultCode::PeerListenFailed;
  return Bound;
}

void PeerServer::stop() { Shared->stop(); }

} // namespace fescuewood
