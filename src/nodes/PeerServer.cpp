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

/// Delay after a failed accept, for example when out of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

/// Replies up to this size are written before longer ones that wait. Replies
/// carry the number of their request, so their order has no meaning.
constexpr std::size_t MaxShortReplyBytes = 4096;

std::optional<Tcp::endpoint> parseAddress(const std::string &Text) {
  const auto Parsed = Endpoint::parse(Text);
  if (!Parsed)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Parsed->Ip, Error);
  if (Error)
    return std::nullopt;
  return Tcp::endpoint(Ip, Parsed->Port);
}

std::string toText(const Tcp::endpoint &Address) {
  return Endpoint{Address.address().to_string(), Address.port()}.text();
}

} // namespace

/// The listener and its connections. Except for start and stop, functions run
/// on the loop's thread.
class PeerServer::Core : public std::enable_shared_from_this<Core> {
public:
  Core(PeerLink &Link, PeerServerOptions Options)
      : Link(Link), Options(std::move(Options)),
        Receiving{StreamBudget(this->Options.MaxReceivingBytes),
                  this->Options.LargeMessageTime},
        Loop("peer-server"), Acceptor(Loop.context()),
        AcceptTimer(Loop.context()) {}

  std::map<PeerKind, PeerHandler> Handlers;

  std::optional<std::string> start();
  void stop() {
    Loop.stop([this] { closeAll(); });
  }

private:
  /// Identifies a request, so that its reply can be routed back.
  struct RequestOrigin {
    std::uint64_t Connection = 0;
    std::uint32_t Number = 0;
    PeerKind Kind = PeerKind::Heartbeat;
  };

  struct Connection {
    PeerStreamPtr Stream;
    std::size_t UnwrittenReplies = 0; ///< Their requests are in flight.
  };

  /// Shared by the copies of the reply hook of one request. When the last copy
  /// is destroyed without a reply, the request no longer counts as in flight.
  struct ReplyHandle {
    std::shared_ptr<Core> Owner;
    const RequestOrigin Origin;
    std::atomic<bool> Completed{false};

    ReplyHandle(std::shared_ptr<Core> Owner, RequestOrigin Origin)
        : Owner(std::move(Owner)), Origin(Origin) {}
    ~ReplyHandle() {
      if (!Completed.exchange(true))
        Owner->Loop.post([Owner = Owner] { Owner->endRequest(); });
    }
    ReplyHandle(const ReplyHandle &) = delete;
    ReplyHandle &operator=(const ReplyHandle &) = delete;

    void reply(PeerPhase Phase, std::string_view Body) {
      if (!Completed.exchange(true))
        Owner->reply(Origin, Phase, Body);
    }
  };

  void accept();
  void scheduleAccept();
  void addConnection(Tcp::socket Socket);
  void removeConnection(std::uint64_t Id);
  bool onFrame(const RequestOrigin &Origin, const std::string &Sender,
               std::string_view Sealed);
  void dispatch(RequestOrigin Origin, const PeerEnvelope &Message);
  void reply(const RequestOrigin &Origin, PeerPhase Phase,
             std::string_view Body);
  void write(const RequestOrigin &Origin, std::string Sealed);
  void endRequest();
  void scheduleResume();
  void resumePausedStreams();
  bool mayRead(const PeerStream &Stream) const;
  void closeAll();

  PeerLink &Link;
  const PeerServerOptions Options;

  PeerReceiving Receiving;
  PeerLoop Loop;
  Tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  bool Stopped = false;
  std::uint64_t LastConnection = 0;
  std::map<std::uint64_t, Connection> Connections;
  bool ResumePosted = false;
  std::size_t InFlight = 0;                ///< Requests without a reply yet.
  std::deque<std::uint64_t> PausedStreams; ///< Not read at a limit.
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
  return toText(Bound);
}

void PeerServer::Core::accept() {
  Acceptor.async_accept([this](asio::error_code Error, Tcp::socket Socket) {
    if (Stopped)
      return;
    if (Error) {
      scheduleAccept();
      return;
    }
    addConnection(std::move(Socket));
    accept();
  });
}

void PeerServer::Core::scheduleAccept() {
  AcceptTimer.expires_after(AcceptRetryDelay);
  AcceptTimer.async_wait([this](asio::error_code /*Error*/) {
    if (!Stopped)
      accept();
  });
}

void PeerServer::Core::addConnection(Tcp::socket Socket) {
  asio::error_code Error;
  const Tcp::endpoint Remote = Socket.remote_endpoint(Error);
  if (Error || Connections.size() >= Options.MaxConnections)
    return; // Closes the socket.
  const std::uint64_t Id = ++LastConnection;
  const std::string Sender = toText(Remote);
  PeerStreamHooks Hooks;
  Hooks.OnFrame = [this, Id, Sender](std::uint32_t Number,
                                     std::string_view Sealed) {
    return onFrame({Id, Number}, Sender, Sealed);
  };
  // A request stays in flight until its reply is handed to the system, so that
  // the server soon stops reading from a node that does not read its replies.
  Hooks.OnBeforeWrite = [this, Id](std::uint32_t /*Number*/) {
    --Connections.at(Id).UnwrittenReplies;
    endRequest();
    return true;
  };
  Hooks.OnWritten = [this] { scheduleResume(); };
  Hooks.OnClosed = [this, Id, Sender](bool TooLarge) {
    if (TooLarge)
      Link.refuse(ResultCode::PeerMessageTooLarge, Sender);
    removeConnection(Id);
  };
  const auto Stream = std::make_shared<PeerStream>(
      std::move(Socket), Link.Traffic, Receiving, std::move(Hooks));
  Connections.emplace(Id, Connection{Stream});
  Stream->start();
}

/// Ends the requests whose replies can no longer be written.
void PeerServer::Core::removeConnection(std::uint64_t Id) {
  const auto Removed = Connections.extract(Id);
  for (std::size_t I = 0; I < Removed.mapped().UnwrittenReplies; ++I)
    endRequest();
}

bool PeerServer::Core::onFrame(const RequestOrigin &Origin,
                               const std::string &Sender,
                               std::string_view Sealed) {
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = Link.open(Sealed, Sender, Reason);
  if (Opened && Opened->Phase == PeerPhase::Request)
    dispatch(Origin, *Opened);
  else if (Opened)
    Link.refuse(ResultCode::PeerMessageMalformed, Sender);
  if (mayRead(*Connections.at(Origin.Connection).Stream))
    return true;
  PausedStreams.push_back(Origin.Connection);
  return false;
}

void PeerServer::Core::dispatch(RequestOrigin Origin,
                                const PeerEnvelope &Message) {
  Origin.Kind = Message.Kind;
  ++InFlight;
  if (Message.Kind == PeerKind::Heartbeat) {
    write(Origin, Link.seal(Origin.Kind, PeerPhase::Reply, {}));
    return;
  }
  const auto It = Handlers.find(Message.Kind);
  if (It == Handlers.end()) {
    Link.refuse(ResultCode::PeerKindUnknown, Message.Sender.Name);
    write(Origin, Link.seal(Origin.Kind, PeerPhase::Refusal, {}));
    return;
  }
  auto Handle = std::make_shared<ReplyHandle>(shared_from_this(), Origin);
  It->second(Message.Sender, Message.Body,
             [Handle = std::move(Handle)](const std::string &Body) {
               Handle->reply(PeerPhase::Reply, Body);
             });
}

/// Seals a reply on the calling thread and posts it to the loop. Discards it
/// after \ref stop.
void PeerServer::Core::reply(const RequestOrigin &Origin, PeerPhase Phase,
                             std::string_view Body) {
  if (Body.size() > MaxPeerBodyBytes) {
    Link.refuse(ResultCode::PeerMessageTooLarge, Link.Self.Name);
    Phase = PeerPhase::Refusal;
    Body = {};
  }
  Loop.post([this, Self = shared_from_this(), Origin,
             Sealed = Link.seal(Origin.Kind, Phase, Body)]() mutable {
    write(Origin, std::move(Sealed));
  });
}

void PeerServer::Core::write(const RequestOrigin &Origin, std::string Sealed) {
  const auto It = Connections.find(Origin.Connection);
  if (It == Connections.end()) {
    endRequest();
    return;
  }
  ++It->second.UnwrittenReplies;
  const PeerFramePlace Place = Sealed.size() <= MaxShortReplyBytes
                                   ? PeerFramePlace::Ahead
                                   : PeerFramePlace::InOrder;
  It->second.Stream->write(Origin.Number, std::move(Sealed), Place);
}

/// Ends a request that was in flight.
void PeerServer::Core::endRequest() {
  --InFlight;
  scheduleResume();
}

/// A stream whose own replies are written is read even when the replies to
/// others use up the bytes, so that one slow node does not stop the rest.
bool PeerServer::Core::mayRead(const PeerStream &Stream) const {
  return InFlight < Options.MaxInFlight &&
         (Stream.queuedBytes() == 0 ||
          Link.Traffic.queuedBytes() < Options.MaxQueuedBytes);
}

/// Posts the resumption, since this may run inside a hook of a stream.
void PeerServer::Core::scheduleResume() {
  if (PausedStreams.empty() || ResumePosted)
    return;
  ResumePosted = Loop.post([this] { resumePausedStreams(); });
}

/// Resumes the streams that may be read again.
void PeerServer::Core::resumePausedStreams() {
  ResumePosted = false;
  for (const std::uint64_t Id : std::exchange(PausedStreams, {})) {
    const auto It = Connections.find(Id);
    if (It == Connections.end())
      continue;
    const PeerStreamPtr Stream = It->second.Stream;
    if (mayRead(*Stream))
      Stream->resume();
    else
      PausedStreams.push_back(Id);
  }
}

void PeerServer::Core::closeAll() {
  Stopped = true;
  asio::error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  for (const auto &[Id, Entry] : std::exchange(Connections, {}))
    Entry.Stream->close();
}

PeerServer::PeerServer(PeerLink &Link, PeerServerOptions Options)
    : Implementation(std::make_shared<Core>(Link, std::move(Options))) {}

PeerServer::~PeerServer() { stop(); }

void PeerServer::handle(PeerKind Kind, PeerHandler Handler) {
  Implementation->Handlers[Kind] = std::move(Handler);
}

std::optional<std::string> PeerServer::start() {
  auto Bound = Implementation->start();
  LastReason = Bound ? ResultCode::Ok : ResultCode::PeerListenFailed;
  return Bound;
}

void PeerServer::stop() { Implementation->stop(); }

} // namespace fescuewood
