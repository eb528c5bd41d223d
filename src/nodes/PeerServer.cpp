#include "nodes/PeerServer.h"

#include "nodes/PeerMessage.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <nng/protocol/reqrep0/rep.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Receives posted at once; more would only wait.
constexpr std::size_t ReceiverCount = 8;

std::string senderAddress(nng_msg *Message) {
  nng_sockaddr Address{};
  const nng_pipe Pipe = nng_msg_get_pipe(Message);
  if (nng_pipe_get_addr(Pipe, NNG_OPT_REMADDR, &Address) != 0 ||
      Address.s_family != NNG_AF_INET)
    return "unknown";
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Address.s_in.sa_addr, Text.data(), Text.size());
  return fmt::format("{}:{}", Text.data(), ntohs(Address.s_in.sa_port));
}

} // namespace

/// The sockets and the places for requests. Every place has a context of nng,
/// which remembers where the reply goes, and one operation on it.
class PeerServer::Core : public std::enable_shared_from_this<Core> {
public:
  Core(PeerLink &Link, PeerServerOptions Options)
      : Link(Link), Options(std::move(Options)) {}

  std::map<PeerKind, PeerHandler> Handlers;

  std::optional<std::string> start();
  void stop();

private:
  enum class Phase : std::uint8_t { Idle, Receiving, Handling, Replying };

  struct Place {
    Core *Owner = nullptr;
    nng_ctx Context = NNG_CTX_INITIALIZER;
    OperationPtr Operation;
    Phase State = Phase::Idle;
    PeerKind Kind = PeerKind::Heartbeat;
  };

  /// Held by the reply hooks of one request; the last one to go frees its
  /// place if no reply was sent.
  struct Ticket {
    std::shared_ptr<Core> Owner;
    Place &Where;
    std::atomic<bool> Used{false};

    Ticket(std::shared_ptr<Core> Owner, Place &Where)
        : Owner(std::move(Owner)), Where(Where) {}
    ~Ticket() {
      if (!Used.exchange(true))
        Owner->release(Where);
    }
    Ticket(const Ticket &) = delete;
    Ticket &operator=(const Ticket &) = delete;

    void reply(PeerPhase Phase, std::string_view Body) {
      if (!Used.exchange(true))
        Owner->reply(Where, Phase, Body);
    }
  };

  static void onOperation(void *Argument) {
    auto &Where = *static_cast<Place *>(Argument);
    Where.Owner->completed(Where);
  }
  static void onPipe(nng_pipe Pipe, nng_pipe_ev Change, void *Argument) {
    static_cast<Core *>(Argument)->countPipe(Pipe, Change);
  }

  bool listen();
  void countPipe(nng_pipe Pipe, nng_pipe_ev Change);
  Place *addPlace();
  void completed(Place &Where);
  void received(Place &Where);
  void dispatch(Place &Where, const PeerEnvelope &Message);
  void reply(Place &Where, PeerPhase Phase, std::string_view Body);
  void release(Place &Where);
  void receiveMore();
  bool begin();
  void end();

  PeerLink &Link;
  PeerServerOptions Options;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  std::string Bound;
  std::atomic<std::size_t> Pipes{0};

  std::mutex Mutex;
  std::condition_variable Ended;
  bool Closed = true;
  std::size_t Starting = 0;  ///< Threads that are about to use an operation.
  std::size_t Receivers = 0; ///< Places in the receiving phase.
  std::vector<Place *> IdlePlaces;
  std::vector<std::unique_ptr<Place>> Places;
};

std::optional<std::string> PeerServer::Core::start() {
  if (nng_rep0_open(&Socket) != 0)
    return std::nullopt;
  if (!listen()) {
    nng_close(Socket);
    return std::nullopt;
  }
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Closed = false;
  }
  receiveMore();
  return Bound;
}

bool PeerServer::Core::listen() {
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
  nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_PRE, &onPipe, this);
  nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, &onPipe, this);
  nng_listener Listener = NNG_LISTENER_INITIALIZER;
  const std::string Url = "tcp://" + Options.Address;
  if (nng_listener_create(&Listener, Socket, Url.c_str()) != 0)
    return false;
  nng_listener_set_bool(Listener, NNG_OPT_TCP_KEEPALIVE, true);
  int Port = 0;
  if (nng_listener_start(Listener, 0) != 0 ||
      nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port) != 0)
    return false;
  const auto Host = Options.Address.substr(0, Options.Address.rfind(':'));
  Bound = fmt::format("{}:{}", Host, Port);
  return true;
}

void PeerServer::Core::countPipe(nng_pipe Pipe, nng_pipe_ev Change) {
  if (Change == NNG_PIPE_EV_REM_POST) {
    --Pipes;
    return;
  }
  // A pipe that is closed here never becomes part of the socket, but its
  // removal is still announced.
  if (++Pipes > Options.MaxConnections)
    nng_pipe_close(Pipe);
}

void PeerServer::Core::stop() {
  {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Closed)
      return;
    Closed = true;
    Ended.wait(Lock, [this] { return Starting == 0; });
  }
  nng_close(Socket);
  // Frees the operations, which waits for their callbacks. Reply hooks that
  // are still held see Closed and touch no place any more.
  Places.clear();
}

/// Guards the use of an operation against \ref stop.
bool PeerServer::Core::begin() {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Closed)
    return false;
  ++Starting;
  return true;
}

void PeerServer::Core::end() {
  // Notifies under the lock: stop() may destroy this object right after it.
  std::lock_guard<std::mutex> Lock(Mutex);
  --Starting;
  Ended.notify_all();
}

/// Adds a place for the caller to use; null when all are taken.
PeerServer::Core::Place *PeerServer::Core::addPlace() {
  if (Places.size() >= Options.MaxInFlight + ReceiverCount)
    return nullptr;
  auto Added = std::make_unique<Place>();
  Added->Owner = this;
  nng_aio *Operation = nullptr;
  if (nng_ctx_open(&Added->Context, Socket) != 0)
    return nullptr;
  if (nng_aio_alloc(&Operation, &onOperation, Added.get()) != 0)
    return nullptr;
  Added->Operation.reset(Operation);
  return Places.emplace_back(std::move(Added)).get();
}

/// Posts receives until enough wait. With every place taken none is posted, so
/// that TCP holds the senders back.
void PeerServer::Core::receiveMore() {
  if (!begin())
    return;
  while (true) {
    Place *Next = nullptr;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Closed || Receivers >= ReceiverCount)
        break;
      if (IdlePlaces.empty()) {
        Next = addPlace();
      } else {
        Next = IdlePlaces.back();
        IdlePlaces.pop_back();
      }
      if (Next == nullptr)
        break;
      Next->State = Phase::Receiving;
      ++Receivers;
    }
    nng_ctx_recv(Next->Context, Next->Operation.get());
  }
  end();
}

void PeerServer::Core::completed(Place &Where) {
  if (Where.State == Phase::Receiving) {
    received(Where);
    return;
  }
  if (nng_aio_result(Where.Operation.get()) != 0)
    MessagePtr Unsent(nng_aio_get_msg(Where.Operation.get()));
  release(Where);
}

void PeerServer::Core::received(Place &Where) {
  const int Result = nng_aio_result(Where.Operation.get());
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    --Receivers;
    Where.State = Phase::Handling;
  }
  if (Result != 0) {
    release(Where);
    return;
  }
  MessagePtr Message(nng_aio_get_msg(Where.Operation.get()));
  receiveMore();
  const std::string Sender = senderAddress(Message.get());
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = Link.open(messageBody(Message.get()), Sender, Reason);
  if (Opened && Opened->Phase == PeerPhase::Request) {
    dispatch(Where, *Opened);
    return;
  }
  if (Opened)
    Link.refuse(ResultCode::PeerMessageMalformed, Sender);
  release(Where);
}

void PeerServer::Core::dispatch(Place &Where, const PeerEnvelope &Message) {
  Where.Kind = Message.Kind;
  if (Message.Kind == PeerKind::Heartbeat) {
    reply(Where, PeerPhase::Reply, {});
    return;
  }
  const auto Found = Handlers.find(Message.Kind);
  if (Found == Handlers.end()) {
    Link.refuse(ResultCode::PeerKindUnknown, Message.From.Name);
    reply(Where, PeerPhase::Refusal, {});
    return;
  }
  auto Held = std::make_shared<Ticket>(shared_from_this(), Where);
  Found->second(Message.From, Message.Body,
                [Held = std::move(Held)](const std::string &Body) {
                  Held->reply(PeerPhase::Reply, Body);
                });
}

void PeerServer::Core::reply(Place &Where, PeerPhase Phase,
                             std::string_view Body) {
  if (!begin())
    return;
  if (Body.size() > MaxPeerBodyBytes) {
    Link.refuse(ResultCode::PeerMessageTooLarge, Link.Self.Name);
    Phase = PeerPhase::Refusal;
    Body = {};
  }
  MessagePtr Message = makeMessage(Link.seal(Where.Kind, Phase, Body));
  if (Message) {
    Where.State = Core::Phase::Replying;
    nng_aio_set_msg(Where.Operation.get(), Message.release());
    nng_ctx_send(Where.Context, Where.Operation.get());
  } else {
    release(Where);
  }
  end();
}

/// Makes a place free for the next receive. A receive on its context discards
/// the request that was not answered.
void PeerServer::Core::release(Place &Where) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Closed)
      return;
    Where.State = Phase::Idle;
    IdlePlaces.push_back(&Where);
  }
  receiveMore();
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
