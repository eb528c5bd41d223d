#include "nodes/PeerConnection.h"

#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 1000;

/// Past this time without a connection the socket is given up. A new one sends
/// its first packet at once, where the old one would wait for the kernel's
/// next try, up to tens of seconds away after a network partition.
constexpr DurationMs GiveUpAfter{3000};

nng_duration toNng(DurationMs Span) {
  return static_cast<nng_duration>(std::max<std::int64_t>(Span.Value, 0));
}

/// nng takes the source before a semicolon. Its parser finds no source in IPv6
/// numbers; for those the system chooses.
std::string urlOf(const std::string &SourceIp, const std::string &Address) {
  const bool HasSource = !SourceIp.empty() &&
                         SourceIp.find(':') == std::string::npos &&
                         !Address.starts_with('[');
  return "tcp://" + (HasSource ? SourceIp + ";" : std::string()) + Address;
}

} // namespace

PeerConnection::PeerConnection(PeerLink &Link, PeerConnectionLimits Limits,
                               std::string Address,
                               std::atomic<std::size_t> &Total)
    : Link(Link), Limits(Limits), Address(std::move(Address)), Total(Total),
      DownSince(Monotonic.now()), LastUsed(DownSince) {}

PeerConnection::~PeerConnection() { close(ResultCode::Stopped); }

bool PeerConnection::open() {
  if (nng_req0_open(&Socket) != 0)
    return false;
  nng_socket_set_ms(Socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxPeerMessageBytes);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectMinMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
  nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, &onPipe, this);
  nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, &onPipe, this);
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  const std::string Url = urlOf(Link.SourceIp, Address);
  if (nng_dialer_create(&Dialer, Socket, Url.c_str()) != 0)
    return false;
  nng_dialer_set_bool(Dialer, NNG_OPT_TCP_KEEPALIVE, true);
  return nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK) == 0;
}

void PeerConnection::onPipe(nng_pipe /*Pipe*/, nng_pipe_ev Change,
                            void *Argument) {
  auto &Self = *static_cast<PeerConnection *>(Argument);
  std::lock_guard<std::mutex> Lock(Self.Mutex);
  // The quiet time stays as it is: a request can be sent before the pipe is
  // announced, and a heartbeat clears it where it is stale.
  if (Change == NNG_PIPE_EV_ADD_POST) {
    ++Self.Pipes;
    Self.Link.Traffic.countConnection();
    return;
  }
  --Self.Pipes;
  Self.DownSince = Self.Monotonic.now();
}

bool PeerConnection::reserve() {
  std::lock_guard<std::mutex> Lock(Mutex);
  LastUsed = Monotonic.now();
  if (Pipes == 0 && LastUsed - DownSince > Limits.ConnectTimeout)
    return false;
  ++InFlight;
  ++Total;
  return true;
}

void PeerConnection::send(const PeerRequest &Request, PeerReplyHook OnReply) {
  Place *Where = takePlace();
  MessagePtr Message =
      makeMessage(Link.seal(Request.Kind, PeerPhase::Request, Request.Body));
  if (Where == nullptr || !Message) {
    OnReply({std::nullopt, {}, ResultCode::PeerBusy});
    giveBack(Where);
    return;
  }
  Where->Sent = false;
  Where->Kind = Request.Kind;
  Where->Deadline = Monotonic.now() + Request.Timeout;
  Where->OnReply = std::move(OnReply);
  nng_aio *Operation = Where->Operation.get();
  nng_aio_set_timeout(Operation,
                      toNng(std::min(Request.Timeout, Limits.ConnectTimeout)));
  nng_aio_set_msg(Operation, Message.release());
  nng_ctx_send(Where->Context, Operation);
}

void PeerConnection::sendHeartbeat() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    HeartbeatSince = Monotonic.now();
    ++InFlight;
  }
  ++Total;
  PeerRequest Request;
  Request.Address = Address;
  // Ends with the connection at the latest, when that is dropped as silent.
  Request.Timeout = Limits.SilenceLimit * 2;
  send(Request, [this](const PeerReply &) {
    std::lock_guard<std::mutex> Lock(Mutex);
    HeartbeatSince.reset();
  });
}

PeerConnection::Place *PeerConnection::takePlace() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!IdlePlaces.empty()) {
      Place *Where = IdlePlaces.back();
      IdlePlaces.pop_back();
      return Where;
    }
  }
  auto Added = std::make_unique<Place>();
  Added->Owner = this;
  nng_aio *Operation = nullptr;
  if (nng_ctx_open(&Added->Context, Socket) != 0)
    return nullptr;
  if (nng_aio_alloc(&Operation, &onOperation, Added.get()) != 0)
    return nullptr;
  Added->Operation.reset(Operation);
  std::lock_guard<std::mutex> Lock(Mutex);
  return Places.emplace_back(std::move(Added)).get();
}

void PeerConnection::onOperation(void *Argument) {
  auto &Where = *static_cast<Place *>(Argument);
  Where.Owner->completed(Where);
}

void PeerConnection::completed(Place &Where) {
  nng_aio *Operation = Where.Operation.get();
  const int Error = nng_aio_result(Operation);
  if (!Where.Sent && Error == 0) {
    receiveReply(Where);
    return;
  }
  const MessagePtr Message(nng_aio_get_msg(Operation));
  nng_aio_set_msg(Operation, nullptr);
  if (Error != 0) {
    finish(Where, {std::nullopt, {}, failure(Error, Where.Sent)});
    return;
  }
  noteHeard();
  finish(Where, readReply(Where, Message.get()));
}

void PeerConnection::receiveReply(Place &Where) {
  Where.Sent = true;
  noteSent();
  nng_aio *Operation = Where.Operation.get();
  nng_aio_set_msg(Operation, nullptr);
  nng_aio_set_timeout(Operation, toNng(Where.Deadline - Monotonic.now()));
  nng_ctx_recv(Where.Context, Operation);
}

PeerReply PeerConnection::readReply(const Place &Where, nng_msg *Message) {
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = Link.open(messageBody(Message), Address, Reason);
  if (!Opened)
    return {std::nullopt, {}, Reason};
  if (Opened->Kind != Where.Kind || Opened->Phase == PeerPhase::Request) {
    Link.refuse(ResultCode::PeerMessageMalformed, Address);
    return {std::nullopt, {}, ResultCode::PeerMessageMalformed};
  }
  if (Opened->Phase == PeerPhase::Refusal)
    return {std::nullopt, {}, ResultCode::PeerKindUnknown};
  return {std::string(Opened->Body), Opened->From, ResultCode::Ok};
}

ResultCode PeerConnection::failure(int Error, bool Sent) const {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (CloseReason == ResultCode::Stopped)
      return ResultCode::Stopped;
    if (!Sent)
      return ResultCode::PeerUnreachable;
    if (CloseReason)
      return *CloseReason;
  }
  return Error == NNG_ETIMEDOUT ? ResultCode::PeerTimeout
                                : ResultCode::PeerConnectionLost;
}

void PeerConnection::finish(Place &Where, PeerReply Reply) {
  const PeerReplyHook OnReply = std::move(Where.OnReply);
  Where.OnReply = nullptr;
  OnReply(std::move(Reply));
  giveBack(&Where);
}

void PeerConnection::giveBack(Place *Where) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Where != nullptr)
    IdlePlaces.push_back(Where);
  --InFlight;
  --Total;
}

void PeerConnection::noteSent() {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!QuietSince)
    QuietSince = Monotonic.now();
}

void PeerConnection::noteHeard() {
  std::lock_guard<std::mutex> Lock(Mutex);
  // With other requests still waiting the quiet time starts anew.
  if (InFlight > 1)
    QuietSince = Monotonic.now();
  else
    QuietSince.reset();
}

void PeerConnection::close(ResultCode Why) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    CloseReason = Why;
  }
  nng_close(Socket);
}

PeerHealth PeerConnection::health() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  const TimeMs Now = Monotonic.now();
  if (Pipes == 0)
    return Now - DownSince > GiveUpAfter ? PeerHealth::Unconnected
                                         : PeerHealth::Good;
  if (!QuietSince)
    return PeerHealth::Good;
  // Silence is counted from the heartbeat, not from the request: after a pause
  // of this process every request looks old.
  if (!HeartbeatSince)
    return Now - *QuietSince > Limits.HeartbeatAfter
               ? PeerHealth::NeedsHeartbeat
               : PeerHealth::Good;
  const DurationMs Patience = Limits.SilenceLimit - Limits.HeartbeatAfter;
  return Now - *HeartbeatSince > Patience ? PeerHealth::Silent
                                          : PeerHealth::Good;
}

TimeMs PeerConnection::lastUsed() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return LastUsed;
}

std::size_t PeerConnection::inFlight() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return InFlight;
}

} // namespace fescuewood
