#include "nodes/PeerConnection.h"

#include "core/Endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fescuewood {

namespace {

constexpr DurationMs ReconnectMin{50};
constexpr DurationMs ReconnectMax{1000};

/// An attempt to connect is given up after this and made anew: after a network
/// partition the kernel's own next try can be tens of seconds away.
constexpr DurationMs AttemptLimit{1000};

/// Past this time without a connection the client gives the address up.
constexpr DurationMs GiveUpAfter{3000};

std::chrono::milliseconds toChrono(DurationMs Span) {
  return std::chrono::milliseconds(std::max<std::int64_t>(Span.Value, 0));
}

} // namespace

PeerConnection::PeerConnection(asio::io_context &Context, PeerLink &Link,
                               PeerConnectionLimits Limits, std::string Address,
                               std::atomic<std::size_t> &InFlight)
    : Link(Link), Limits(Limits), Address(std::move(Address)),
      InFlight(InFlight), Connecting(Context), ConnectTimer(Context),
      NextDelay(ReconnectMin), DownSince(Monotonic.now()), LastUsed(DownSince) {
}

bool PeerConnection::open() {
  const auto Where = Endpoint::parse(Address);
  if (!Where)
    return false;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Where->Ip, Error);
  if (Error)
    return false;
  Remote = {Ip, Where->Port};
  connect();
  return true;
}

/// Binds the next socket to the address that connections come from. Where that
/// fails the system chooses, as the other end may not mind.
void PeerConnection::bindSource() {
  asio::error_code Error;
  const auto Source = asio::ip::make_address(Link.SourceIp, Error);
  if (Error || Source.is_v4() != Remote.address().is_v4())
    return;
  Connecting.open(Remote.protocol(), Error);
  Connecting.bind({Source, 0}, Error);
}

void PeerConnection::connect() {
  Connecting = asio::ip::tcp::socket(ConnectTimer.get_executor());
  bindSource();
  ConnectTimer.expires_after(toChrono(AttemptLimit));
  ConnectTimer.async_wait([Self = shared_from_this()](asio::error_code Error) {
    asio::error_code Ignored;
    if (!Error && !Self->Stream)
      Self->Connecting.close(Ignored);
  });
  Connecting.async_connect(Remote,
                           [Self = shared_from_this()](asio::error_code Error) {
                             Self->connected(Error);
                           });
}

void PeerConnection::connected(asio::error_code Error) {
  if (Closed)
    return;
  ConnectTimer.cancel();
  // The attempt's limit may have closed the socket just after it connected.
  if (Error || !Connecting.is_open()) {
    failAll(ResultCode::PeerUnreachable, ResultCode::PeerConnectionLost);
    connectLater();
    return;
  }
  NextDelay = ReconnectMin;
  Link.Traffic.countConnection();
  Stream = std::make_shared<PeerStream>(std::move(Connecting), streamHooks());
  Stream->start();
  for (auto &[Number, Sealed] : std::exchange(Unsent, {}))
    Stream->write(Number, std::move(Sealed));
}

PeerStreamHooks PeerConnection::streamHooks() {
  // No shared ownership here: close() ends the hooks before this object goes.
  PeerStreamHooks Hooks;
  Hooks.OnFrame = [this](std::uint32_t Number, std::string_view Sealed) {
    return received(Number, Sealed);
  };
  Hooks.OnWriting = [this](std::uint32_t Number) { return markSent(Number); };
  Hooks.OnClosed = [this](bool /*TooLarge*/) { lost(); };
  return Hooks;
}

void PeerConnection::connectLater() {
  ConnectTimer.expires_after(toChrono(NextDelay));
  NextDelay = std::min(NextDelay * 2, ReconnectMax);
  ConnectTimer.async_wait([Self = shared_from_this()](asio::error_code Error) {
    if (!Error && !Self->Closed)
      Self->connect();
  });
}

void PeerConnection::lost() {
  Stream.reset();
  DownSince = Monotonic.now();
  QuietSince.reset();
  HeartbeatSince.reset();
  failAll(ResultCode::PeerUnreachable, ResultCode::PeerConnectionLost);
  if (!Closed)
    connectLater();
}

void PeerConnection::send(SealedRequest Request) {
  LastUsed = Monotonic.now();
  if (!Stream && LastUsed - DownSince > Limits.ConnectTimeout) {
    --InFlight;
    Request.OnReply({std::nullopt, {}, ResultCode::PeerUnreachable});
    return;
  }
  const std::uint32_t Number = ++LastNumber;
  const auto Added = Waiting.emplace(
      Number,
      PeerConnection::Request{Request.Kind, LastUsed + Request.Timeout, false,
                              std::move(Request.OnReply),
                              asio::steady_timer(ConnectTimer.get_executor())});
  armTimer(Number, Added.first->second,
           std::min(Request.Timeout, Limits.ConnectTimeout));
  if (Stream)
    Stream->write(Number, std::move(Request.Bytes));
  else
    Unsent.emplace_back(Number, std::move(Request.Bytes));
}

void PeerConnection::sendHeartbeat() {
  HeartbeatSince = Monotonic.now();
  ++InFlight;
  SealedRequest Request;
  // Ends with the connection at the latest, when that is dropped as silent.
  Request.Timeout = Limits.SilenceLimit * 2;
  Request.Bytes = Link.seal(PeerKind::Heartbeat, PeerPhase::Request, {});
  Request.OnReply = [this](const PeerReply &) { HeartbeatSince.reset(); };
  send(std::move(Request));
}

void PeerConnection::armTimer(std::uint32_t Number, Request &Which,
                              DurationMs After) {
  Which.Timer.expires_after(toChrono(After));
  Which.Timer.async_wait(
      [Self = shared_from_this(), Number](asio::error_code Error) {
        if (!Error)
          Self->expired(Number);
      });
}

void PeerConnection::expired(std::uint32_t Number) {
  const auto Found = Waiting.find(Number);
  if (Found == Waiting.end())
    return;
  Request &Which = Found->second;
  if (!Which.Sent) {
    finish(Number, {std::nullopt, {}, ResultCode::PeerUnreachable});
    return;
  }
  const DurationMs Left = Which.Deadline - Monotonic.now();
  if (Left > DurationMs(0))
    armTimer(Number, Which, Left);
  else
    finish(Number, {std::nullopt, {}, ResultCode::PeerTimeout});
}

/// False for a request that has ended while it waited to be written.
bool PeerConnection::markSent(std::uint32_t Number) {
  const auto Found = Waiting.find(Number);
  if (Found == Waiting.end())
    return false;
  Found->second.Sent = true;
  if (!QuietSince)
    QuietSince = Monotonic.now();
  return true;
}

bool PeerConnection::received(std::uint32_t Number, std::string_view Sealed) {
  const auto Found = Waiting.find(Number);
  // The reply to a request that has timed out is dropped.
  if (Found != Waiting.end())
    finish(Number, readReply(Found->second.Kind, Sealed));
  noteHeard();
  return true;
}

PeerReply PeerConnection::readReply(PeerKind Kind, std::string_view Sealed) {
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = Link.open(Sealed, Address, Reason);
  if (!Opened)
    return {std::nullopt, {}, Reason};
  if (Opened->Kind != Kind || Opened->Phase == PeerPhase::Request) {
    Link.refuse(ResultCode::PeerMessageMalformed, Address);
    return {std::nullopt, {}, ResultCode::PeerMessageMalformed};
  }
  if (Opened->Phase == PeerPhase::Refusal)
    return {std::nullopt, {}, ResultCode::PeerKindUnknown};
  return {std::string(Opened->Body), Opened->From, ResultCode::Ok};
}

void PeerConnection::finish(std::uint32_t Number, PeerReply Reply) {
  const auto Ended = Waiting.extract(Number);
  --InFlight;
  Ended.mapped().OnReply(std::move(Reply));
}

void PeerConnection::failAll(ResultCode UnsentReason, ResultCode SentReason) {
  const auto Ended = std::exchange(Waiting, {});
  Unsent.clear();
  for (const auto &[Number, Each] : Ended) {
    --InFlight;
    Each.OnReply({std::nullopt, {}, Each.Sent ? SentReason : UnsentReason});
  }
}

void PeerConnection::noteHeard() {
  // With other requests still waiting the quiet time starts anew.
  if (Waiting.empty())
    QuietSince.reset();
  else
    QuietSince = Monotonic.now();
}

void PeerConnection::close(ResultCode Why) {
  if (Closed)
    return;
  Closed = true;
  if (Stream)
    Stream->close();
  Stream.reset();
  asio::error_code Ignored;
  Connecting.close(Ignored);
  ConnectTimer.cancel();
  const bool Stopped = Why == ResultCode::Stopped;
  failAll(Stopped ? Why : ResultCode::PeerUnreachable, Why);
}

PeerHealth PeerConnection::health() const {
  const TimeMs Now = Monotonic.now();
  if (!Stream)
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

} // namespace fescuewood
