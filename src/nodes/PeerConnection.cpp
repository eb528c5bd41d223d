#include "nodes/PeerConnection.h"

#include "core/Endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fescuewood {

namespace {

constexpr DurationMs MinReconnectDelay{50};
constexpr DurationMs MaxReconnectDelay{1000};

/// An attempt to connect is abandoned and repeated after this time. After a
/// network partition the kernel's next SYN retransmission can be tens of
/// seconds away.
constexpr DurationMs ConnectAttemptTimeout{1000};

/// The client retires an address that it could not connect to for this long.
constexpr DurationMs MaxDisconnectedTime{3000};

/// A call must not be asked about or cancelled before it is started, so only
/// heartbeats leave the order.
PeerFramePlace placeOf(PeerKind Kind) {
  return Kind == PeerKind::Heartbeat ? PeerFramePlace::Ahead
                                     : PeerFramePlace::InOrder;
}

std::chrono::milliseconds toChrono(DurationMs Duration) {
  return std::chrono::milliseconds(std::max<std::int64_t>(Duration.Value, 0));
}

} // namespace

PeerConnection::PeerConnection(asio::io_context &Context, PeerLink &Link,
                               PeerConnectionLimits Limits, std::string Address,
                               PeerRoute Route,
                               std::atomic<std::size_t> &InFlight,
                               PeerReceiving &Receiving)
    : Link(Link), Limits(Limits), Address(std::move(Address)), Route(Route),
      InFlight(InFlight), Receiving(Receiving), Connecting(Context),
      ConnectTimer(Context), ReconnectDelay(MinReconnectDelay),
      DisconnectedSince(OpenedAt), LastBytesAt(DisconnectedSince),
      LastUsed(DisconnectedSince) {}

bool PeerConnection::open() {
  const auto Parsed = Endpoint::parse(Address);
  if (!Parsed)
    return false;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(Parsed->Ip, Error);
  if (Error)
    return false;
  Remote = {Ip, Parsed->Port};
  connect();
  return true;
}

/// Binds the next socket to the configured source address. On failure the
/// system chooses one, since the peer may accept any.
void PeerConnection::bindSourceAddress() {
  asio::error_code Error;
  const auto Source = asio::ip::make_address(Link.SourceIp, Error);
  if (Error || Source.is_v4() != Remote.address().is_v4())
    return;
  Connecting.open(Remote.protocol(), Error);
  Connecting.bind({Source, 0}, Error);
}

void PeerConnection::connect() {
  Connecting = asio::ip::tcp::socket(ConnectTimer.get_executor());
  bindSourceAddress();
  ConnectTimer.expires_after(toChrono(ConnectAttemptTimeout));
  ConnectTimer.async_wait([Self = shared_from_this()](asio::error_code Error) {
    asio::error_code Ignored;
    if (!Error && !Self->Stream)
      Self->Connecting.close(Ignored);
  });
  Connecting.async_connect(Remote,
                           [Self = shared_from_this()](asio::error_code Error) {
                             Self->onConnected(Error);
                           });
}

void PeerConnection::onConnected(asio::error_code Error) {
  if (Closed)
    return;
  ConnectTimer.cancel();
  // The attempt's timeout may have closed the socket just after it connected.
  if (Error || !Connecting.is_open()) {
    failAll(ResultCode::PeerUnreachable, ResultCode::PeerConnectionLost);
    scheduleReconnect();
    return;
  }
  ReconnectDelay = MinReconnectDelay;
  Link.Traffic.countConnection();
  Stream = std::make_shared<PeerStream>(std::move(Connecting), Link.Traffic,
                                        Receiving, streamHooks());
  LastBytesAt = Monotonic.now();
  DeliveredBytes = 0;
  Stream->start();
  for (auto &[Number, Sealed] : std::exchange(Unsent, {}))
    Stream->write(Number, std::move(Sealed), PeerFramePlace::InOrder);
}

PeerStreamHooks PeerConnection::streamHooks() {
  // The hooks do not share ownership: close() disables them before this object
  // is destroyed.
  PeerStreamHooks Hooks;
  Hooks.OnBytes = [this](std::size_t Bytes) { onBytes(Bytes); };
  Hooks.OnFrame = [this](std::uint32_t Number, std::string_view Sealed) {
    return onFrame(Number, Sealed);
  };
  Hooks.OnBeforeWrite = [this](std::uint32_t Number) {
    return markSent(Number);
  };
  Hooks.OnClosed = [this](bool /*TooLarge*/) { onDisconnected(); };
  return Hooks;
}

void PeerConnection::scheduleReconnect() {
  ConnectTimer.expires_after(toChrono(ReconnectDelay));
  ReconnectDelay = std::min(ReconnectDelay * 2, MaxReconnectDelay);
  ConnectTimer.async_wait([Self = shared_from_this()](asio::error_code Error) {
    if (!Error && !Self->Closed)
      Self->connect();
  });
}

void PeerConnection::onDisconnected() {
  Stream.reset();
  DisconnectedSince = Monotonic.now();
  SilentSince.reset();
  HeartbeatSentAt.reset();
  failAll(ResultCode::PeerUnreachable, ResultCode::PeerConnectionLost);
  if (!Closed)
    scheduleReconnect();
}

void PeerConnection::send(SealedRequest Request) {
  LastUsed = Monotonic.now();
  if (!Stream && LastUsed - DisconnectedSince > Limits.ConnectTimeout) {
    --InFlight;
    Request.OnReply({std::nullopt, {}, ResultCode::PeerUnreachable});
    return;
  }
  const std::uint32_t Number = ++LastNumber;
  const auto Inserted = Pending.emplace(
      Number,
      PeerConnection::Request{Request.Kind, LastUsed + Request.Timeout, false,
                              0, std::move(Request.OnReply),
                              asio::steady_timer(ConnectTimer.get_executor())});
  // A heartbeat that cannot be written shows that the connection is stuck.
  const bool MayWait = Request.Kind == PeerKind::Heartbeat;
  armTimer(Number, Inserted.first->second,
           MayWait ? Request.Timeout
                   : std::min(Request.Timeout, Limits.ConnectTimeout));
  if (Stream)
    Stream->write(Number, std::move(Request.Bytes), placeOf(Request.Kind));
  else
    Unsent.emplace_back(Number, std::move(Request.Bytes));
}

void PeerConnection::sendHeartbeat() {
  HeartbeatSentAt = Monotonic.now();
  BytesBeforeHeartbeat.reset();
  ++InFlight;
  SealedRequest Request;
  // Exceeds the silence limit, so that the connection is dropped as silent
  // before this request times out.
  Request.Timeout = Limits.SilenceLimit * 2;
  Request.Bytes = Link.seal(PeerKind::Heartbeat, PeerPhase::Request, {});
  // Any received byte ends the wait for a heartbeat that was sent.
  Request.OnReply = [this](const PeerReply &Reply) {
    if (neverSent(Reply.Reason))
      HeartbeatSentAt.reset();
  };
  send(std::move(Request));
}

void PeerConnection::observeDelivery() {
  if (!Stream)
    return;
  const bool AwaitsDelivery =
      !BytesBeforeHeartbeat || DeliveredBytes <= *BytesBeforeHeartbeat;
  const std::uint64_t Delivered = Stream->deliveredBytes();
  if (HeartbeatSentAt && AwaitsDelivery && Delivered > DeliveredBytes)
    HeartbeatSentAt = Monotonic.now();
  DeliveredBytes = std::max(DeliveredBytes, Delivered);
}

void PeerConnection::armTimer(std::uint32_t Number, Request &Entry,
                              DurationMs Delay) {
  Entry.Timer.expires_after(toChrono(Delay));
  Entry.Timer.async_wait(
      [Self = shared_from_this(), Number](asio::error_code Error) {
        if (!Error)
          Self->onTimer(Number);
      });
}

void PeerConnection::onTimer(std::uint32_t Number) {
  const auto It = Pending.find(Number);
  if (It == Pending.end())
    return;
  Request &Entry = It->second;
  if (!Entry.Sent) {
    finish(Number, {std::nullopt, {}, ResultCode::PeerUnreachable});
    return;
  }
  const DurationMs Remaining = Entry.Deadline - Monotonic.now();
  if (Remaining > DurationMs(0))
    armTimer(Number, Entry, Remaining);
  else
    finish(Number, {std::nullopt, {}, ResultCode::PeerTimeout});
}

/// Returns false for a request that ended before it was written.
bool PeerConnection::markSent(std::uint32_t Number) {
  const auto It = Pending.find(Number);
  if (It == Pending.end())
    return false;
  const TimeMs Now = Monotonic.now();
  It->second.Sent = true;
  It->second.ReceivedBefore = ReceivedBytes;
  if (It->second.Kind == PeerKind::Heartbeat)
    BytesBeforeHeartbeat = Stream->takenBytes();
  if (!SilentSince)
    SilentSince = Now;
  return true;
}

void PeerConnection::onBytes(std::size_t Bytes) {
  ReceivedBytes += Bytes;
  LastBytesAt = Monotonic.now();
  HeartbeatSentAt.reset();
  onActivity();
}

bool PeerConnection::onFrame(std::uint32_t Number, std::string_view Sealed) {
  const auto It = Pending.find(Number);
  // Replies to requests that have timed out are discarded.
  if (It != Pending.end())
    finish(Number, readReply(It->second.Kind, Sealed));
  if (Pending.empty())
    SilentSince.reset();
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
  return {std::string(Opened->Body), Opened->Sender, ResultCode::Ok};
}

void PeerConnection::finish(std::uint32_t Number, PeerReply Reply) {
  const auto Finished = Pending.extract(Number);
  --InFlight;
  Finished.mapped().OnReply(std::move(Reply));
}

void PeerConnection::failAll(ResultCode UnsentReason, ResultCode SentReason) {
  const auto Finished = std::exchange(Pending, {});
  Unsent.clear();
  for (const auto &[Number, Entry] : Finished) {
    --InFlight;
    Entry.OnReply({std::nullopt, {}, Entry.Sent ? SentReason : UnsentReason});
  }
}

void PeerConnection::onActivity() {
  // With other requests pending, the silence is measured from now on.
  if (Pending.empty())
    SilentSince.reset();
  else
    SilentSince = Monotonic.now();
}

void PeerConnection::close(ResultCode Reason) {
  if (Closed)
    return;
  Closed = true;
  if (Stream)
    Stream->close();
  Stream.reset();
  asio::error_code Ignored;
  Connecting.close(Ignored);
  ConnectTimer.cancel();
  const bool Stopped = Reason == ResultCode::Stopped;
  failAll(Stopped ? Reason : ResultCode::PeerUnreachable, Reason);
}

bool PeerConnection::isFresh() const {
  return Route == PeerRoute::Fresh &&
         Monotonic.now() - OpenedAt < Limits.HeartbeatAfter;
}

std::vector<EventField> PeerConnection::eventFields() const {
  const TimeMs Now = Monotonic.now();
  const auto Oldest =
      std::find_if(Pending.begin(), Pending.end(),
                   [](const auto &Entry) { return Entry.second.Sent; });
  const std::uint64_t Received =
      Oldest == Pending.end() ? 0
                              : ReceivedBytes - Oldest->second.ReceivedBefore;
  const DurationMs HeartbeatAge =
      HeartbeatSentAt ? Now - *HeartbeatSentAt : DurationMs(0);
  return {{"peer", Address},
          {"pending", std::to_string(Pending.size())},
          {"received_bytes", std::to_string(Received)},
          {"queued_bytes", std::to_string(Stream ? Stream->queuedBytes() : 0)},
          {"silent_ms", std::to_string((Now - LastBytesAt).Value)},
          {"heartbeat_ms", std::to_string(HeartbeatAge.Value)}};
}

PeerHealth PeerConnection::health() const {
  const TimeMs Now = Monotonic.now();
  if (!Stream)
    return Now - DisconnectedSince > MaxDisconnectedTime
               ? PeerHealth::Disconnected
               : PeerHealth::Healthy;
  if (!SilentSince)
    return PeerHealth::Healthy;
  // Silence is measured from the heartbeat, not from the request: after a pause
  // of this process every request looks old.
  if (!HeartbeatSentAt)
    return Now - *SilentSince > Limits.HeartbeatAfter
               ? PeerHealth::NeedsHeartbeat
               : PeerHealth::Healthy;
  const DurationMs HeartbeatTimeout =
      Limits.SilenceLimit - Limits.HeartbeatAfter;
  return Now - *HeartbeatSentAt > HeartbeatTimeout ? PeerHealth::Silent
                                                   : PeerHealth::Healthy;
}

} // namespace fescuewood
