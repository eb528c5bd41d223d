#include "callers/CallerServerCore.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <pthread.h>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Size of the buffer for one read.
constexpr std::size_t ReadBufferBytes = 16 * 1024;

/// Maximum number of pipelined requests per connection; more would only be held
/// until others are answered. Below this limit the server keeps reading, which
/// is how it detects a disconnected caller.
constexpr std::size_t MaxPipelinedRequests = 8;

/// Maximum number of requests of a connection that run or whose answers are
/// kept. More than ordinary callers pipeline.
constexpr std::size_t MaxRunningRequests = 8;

/// Longer than any call: the mesh enforces call deadlines, not RESTinio.
constexpr std::chrono::hours HandlingTimeout{24};

/// Interval of the timeout check; the timeouts last several seconds.
constexpr DurationMs OverdueCheckInterval{250};

/// Connections accepted in one pass over what is ready. With one a pass, new
/// connections wait for seconds behind open ones that keep the thread busy.
constexpr std::size_t ConcurrentAccepts = 32;

std::chrono::milliseconds toMilliseconds(DurationMs Duration) {
  return std::chrono::milliseconds(Duration.Value);
}

/// The shorter of two times, of which the declared one is none if it is 0.
DurationMs shorterTime(DurationMs Declared, DurationMs Own) {
  return Declared > DurationMs(0) ? std::min(Declared, Own) : Own;
}

CallerRequest toCallerRequest(std::uint64_t Number, const HeaderScheme &Scheme,
                              const restinio::request_handle_t &Handle) {
  CallerRequest Request;
  Request.Number = Number;
  Request.Method = Handle->header().method().c_str();
  Request.Target = Handle->header().request_target();
  Request.Body = Handle->body();
  Handle->header().for_each_field([&](const auto &Field) {
    Request.Headers.push_back({Field.name(), Field.value()});
  });
  removeHopByHopFields(Request.Headers);
  if (const auto Remaining =
          parseNumberField(Request.Headers, Scheme.RemainingTime)) {
    constexpr std::uint64_t MaxRemainingMs = 24ULL * 60 * 60 * 1000;
    Request.Remaining = DurationMs(
        static_cast<std::int64_t>(std::min(*Remaining, MaxRemainingMs)));
  }
  constexpr std::uint64_t MaxDepth = std::numeric_limits<std::uint8_t>::max();
  Request.Depth = static_cast<std::uint8_t>(std::min(
      parseNumberField(Request.Headers, Scheme.Depth).value_or(0), MaxDepth));
  removeField(Request.Headers, Scheme.RemainingTime);
  removeField(Request.Headers, Scheme.Depth);
  return Request;
}

/// Number of fields that a head of this size holds, within what nodes send each
/// other.
std::size_t maxFields(std::size_t HeaderBytes) {
  return std::min(HeaderBytes / MinFieldBytes, MaxCallerFields);
}

/// Bytes that the body and the fields of an answer take.
std::size_t answerBytes(const CallAnswer &Answer) {
  return Answer.Body.size() + fieldBytes(Answer.Headers);
}

/// Bytes that a request takes: RESTinio's, and the copy that is submitted.
std::size_t requestBytes(const restinio::request_handle_t &Handle) {
  constexpr std::size_t Copies = 2;
  std::size_t Bytes =
      Handle->body().size() + Handle->header().request_target().size();
  Handle->header().for_each_field([&](const auto &Field) {
    Bytes += Field.name().size() + Field.value().size() + FieldOverheadBytes;
  });
  const auto *Chunks = Handle->chunked_input_info();
  return Bytes * Copies +
         (Chunks ? Chunks->chunk_count() * ChunkOverheadBytes : 0);
}

/// The request ID given by the caller, or an empty string.
std::string requestId(const CallerRequest &Request,
                      const HeaderScheme &Scheme) {
  const std::string *Id = findField(Request.Headers, Scheme.RequestId);
  return Id ? *Id : "";
}

/// Whether HTTP allows a body in this answer (RFC 9110, section 6.4.1).
bool allowsBody(const std::string &Method, int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Method != "HEAD" && Status != NoContent && Status != NotModified;
}

/// `Content-Length` of an answer without a body, such as one to `HEAD`: the
/// length stated by the target, else that of the body.
std::size_t contentLength(const CallAnswer &Answer) {
  return parseNumberField(Answer.Headers, "Content-Length")
      .value_or(Answer.Body.size());
}

std::string reasonPhrase(int Status) {
  return http_status_str(static_cast<http_status>(Status));
}

} // namespace

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t &Notice) {
  using restinio::connection_state::accepted_t;
  using restinio::connection_state::closed_t;
  if (restinio::holds_alternative<accepted_t>(Notice.cause()))
    Core.connectionOpened(Notice.connection_id());
  if (restinio::holds_alternative<closed_t>(Notice.cause()))
    Core.connectionClosed(Notice.connection_id());
}

CallerServerCore::CallerServerCore(CallerServerOptions Options,
                                   RequestHook OnRequest,
                                   DisconnectHook OnDisconnect,
                                   EventHook OnEvent)
    : Options(std::move(Options)), OnRequest(std::move(OnRequest)),
      OnDisconnect(std::move(OnDisconnect)), OnEvent(std::move(OnEvent)),
      Registry(asio::use_service<ConnectionRegistry>(Context)) {}

CallerServerCore::~CallerServerCore() { stop(); }

bool CallerServerCore::start() {
  std::error_code Error;
  const auto Address = asio::ip::make_address(Options.Address, Error);
  if (Error) {
    LastReason = ResultCode::AddressInvalid;
    return false;
  }
  Registry.configure({configuredLimits(),
                      Options.MaxHeldBytes,
                      {Options.MaxClientBytes, Options.MaxConnections}},
                     {[this](const asio::ip::tcp::endpoint &Endpoint) {
                        return hasUnansweredRequest(Endpoint);
                      },
                      [this](ResultCode Reason) { reportRefusal(Reason); },
                      [this](ClosingReason Reason) { reportClosing(Reason); }});
  try {
    Http = std::make_unique<Server>(restinio::external_io_context(Context),
                                    settings(Address));
    Http->open_sync();
  } catch (const std::system_error &Failure) {
    const bool AddressInUse = Failure.code() == asio::error::address_in_use;
    LastReason =
        AddressInUse ? ResultCode::AddressBusy : ResultCode::AddressInvalid;
    Http.reset();
    return false;
  }
  WorkGuard.emplace(Context.get_executor());
  scheduleOverdueCheck();
  Thread = std::thread([this] { runThread(); });
  return true;
}

restinio::server_settings_t<CallerServerTraits>
CallerServerCore::settings(const asio::ip::address &Address) {
  restinio::server_settings_t<CallerServerTraits> Settings;
  Settings.address(Address)
      .protocol(Address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
      .port(Options.Port)
      .buffer_size(ReadBufferBytes)
      .max_pipelined_requests(MaxPipelinedRequests)
      .max_parallel_connections(Options.MaxConnections +
                                spareConnections(Options.MaxConnections))
      .concurrent_accepts_count(ConcurrentAccepts)
      // The other limits end a request and an idle connection before it.
      .read_next_http_message_timelimit(
          toMilliseconds(Options.ReadTimeout + Options.Transfers.MaxBodyTime))
      .write_http_response_timelimit(toMilliseconds(Options.WriteTimeout))
      .handle_request_timeout(HandlingTimeout)
      .connection_state_listener(std::make_shared<ConnectionListener>(*this))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
        Port = Acceptor.local_endpoint().port();
      })
      .socket_options_setter([](auto &SocketOptions) {
        SocketOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .request_handler([this](const restinio::request_handle_t &Handle) {
        return handleRequest(Handle);
      });
  return Settings;
}

void CallerServerCore::runThread() {
  pthread_setname_np(pthread_self(), "callers");
  Context.run();
}

restinio::request_handling_status_t
CallerServerCore::handleRequest(const restinio::request_handle_t &Handle) {
  const std::uint64_t Number = ++LastRequestNumber;
  PendingRequest &Request = PendingRequests[Number];
  Request.Handle = Handle;
  Request.Connection = Handle->connection_id();
  Request.Endpoint = Handle->remote_endpoint();
  Request.Body = Registry.takeCompletedBody();
  Request.Bytes = requestBytes(Handle);
  Request.ReceivedAt = MonotonicClock.now();
  Registry.addServed(Request.Endpoint, Request.Bytes);
  OpenRequests[Request.Connection].insert(Number);
  ++Unanswered;
  submitNext(Handle->connection_id());
  return restinio::request_accepted();
}

/// Submits the requests of a connection in order. The later of many wait here,
/// where they hold little: each one that runs may bring a large answer, which
/// is kept until the answers before it are read.
void CallerServerCore::submitNext(restinio::connection_id_t Connection) {
  const auto Open = OpenRequests.find(Connection);
  if (Open == OpenRequests.end())
    return;
  // A request that is refused at once may change the set.
  const std::vector<std::uint64_t> Numbers(Open->second.begin(),
                                           Open->second.end());
  const std::size_t Count = std::min(Numbers.size(), MaxRunningRequests);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Position = PendingRequests.find(Numbers[I]);
    if (Position != PendingRequests.end() && !Position->second.Submitted)
      submit(Numbers[I], Position->second);
  }
}

void CallerServerCore::submit(std::uint64_t Number, PendingRequest &Request) {
  Request.Submitted = true;
  CallerRequest Call = toCallerRequest(Number, Options.Scheme, Request.Handle);
  Request.Method = Call.Method;
  Request.Id = requestId(Call, Options.Scheme);
  if (Call.Remaining) {
    const DurationMs Waited = MonotonicClock.now() - Request.ReceivedAt;
    Call.Remaining = std::max(*Call.Remaining - Waited, DurationMs(0));
  }
  OnRequest(std::move(Call), answerHook(Number));
}

AnswerHook CallerServerCore::answerHook(std::uint64_t Number) {
  return [WeakCore = weak_from_this(), Number](CallAnswer Answer) {
    const auto Core = WeakCore.lock();
    if (!Core)
      return;
    asio::post(Core->Context,
               [WeakCore, Number, Answer = std::move(Answer)]() mutable {
                 if (const auto Owner = WeakCore.lock())
                   Owner->answer(Number, std::move(Answer));
               });
  };
}

void CallerServerCore::answer(std::uint64_t Number, CallAnswer Answer) {
  const auto Position = PendingRequests.find(Number);
  if (Position == PendingRequests.end() || Position->second.isAnswered())
    return;
  PendingRequest &Request = Position->second;
  const std::size_t Bytes = answerBytes(Answer);
  Request.Bytes += Bytes;
  Request.Answer = std::move(Answer);
  Registry.addAnswer(Request.Endpoint, Bytes);
  writeNext(Request.Connection);
}

/// Writes the answer to the oldest request of a connection, if it is there.
/// RESTinio would accept answers in any order, but whether an answer closes the
/// connection can only be decided when all others are written.
void CallerServerCore::writeNext(restinio::connection_id_t Connection) {
  const auto Open = OpenRequests.find(Connection);
  if (Open == OpenRequests.end() || Open->second.empty())
    return;
  const std::uint64_t Oldest = *Open->second.begin();
  PendingRequest &Request = PendingRequests.at(Oldest);
  if (Request.Answer)
    write(Oldest, Request);
}

void CallerServerCore::write(std::uint64_t Number, PendingRequest &Request) {
  CallAnswer Answer = std::move(*Request.Answer);
  Request.Answer.reset();
  const auto Handle = std::exchange(Request.Handle, nullptr);
  Request.Body.release();
  auto Response = Handle->create_response<restinio::user_controlled_output_t>(
      restinio::http_status_line_t(
          restinio::http_status_code_t(
              static_cast<std::uint16_t>(Answer.Status)),
          reasonPhrase(Answer.Status)));
  const std::size_t Length = contentLength(Answer);
  removeHopByHopFields(Answer.Headers);
  for (Header &Field : Answer.Headers)
    Response.append_header(restinio::http_header_field_t(
        std::move(Field.Name), std::move(Field.Value)));
  if (allowsBody(Request.Method, Answer.Status)) {
    Response.set_content_length(Answer.Body.size());
    Response.set_body(std::move(Answer.Body));
  } else {
    Response.set_content_length(Length);
  }
  if (closesConnection(Request))
    Response.connection_close();
  Response.done([this, Number](const auto &) { onWritten(Number); });
}

/// Whether a drain ends the connection with the answer that is written now. If
/// so, no request is read behind it, since its answer could not be written.
bool CallerServerCore::closesConnection(const PendingRequest &Request) {
  const bool IsLast = OpenRequests.at(Request.Connection).size() == 1;
  return Draining && IsLast && Registry.endInput(Request.Endpoint);
}

void CallerServerCore::onWritten(std::uint64_t Number) {
  const auto Position = PendingRequests.find(Number);
  if (Position == PendingRequests.end())
    return;
  const auto Connection = Position->second.Connection;
  removePending(Number);
  // RESTinio is still finishing this answer.
  asio::post(Context, [WeakCore = weak_from_this(), Connection] {
    if (const auto Core = WeakCore.lock()) {
      Core->writeNext(Connection);
      Core->submitNext(Connection);
    }
  });
}

void CallerServerCore::connectionOpened(restinio::connection_id_t Connection) {
  OpenRequests[Connection];
  OpenConnections = OpenRequests.size();
}

void CallerServerCore::connectionClosed(restinio::connection_id_t Connection) {
  // RESTinio may report the closing of a connection twice.
  const auto Closed = OpenRequests.extract(Connection);
  OpenConnections = OpenRequests.size();
  if (Closed.empty())
    return;
  for (std::uint64_t Number : Closed.mapped()) {
    const bool Answered = PendingRequests.at(Number).isAnswered();
    const bool Submitted = PendingRequests.at(Number).Submitted;
    if (Answered)
      reportUnwrittenAnswer(PendingRequests.at(Number));
    removePending(Number);
    if (Submitted && !Answered && OnDisconnect)
      OnDisconnect(Number);
  }
}

bool CallerServerCore::hasUnansweredRequest(
    const asio::ip::tcp::endpoint &Endpoint) const {
  return std::any_of(
      PendingRequests.begin(), PendingRequests.end(),
      [&](const auto &Entry) { return Entry.second.Endpoint == Endpoint; });
}

void CallerServerCore::removePending(std::uint64_t Number) {
  const auto Position = PendingRequests.find(Number);
  if (Position == PendingRequests.end())
    return;
  const auto Endpoint = Position->second.Endpoint;
  const std::size_t Bytes = Position->second.Bytes;
  if (const auto Open = OpenRequests.find(Position->second.Connection);
      Open != OpenRequests.end())
    Open->second.erase(Number);
  PendingRequests.erase(Position);
  --Unanswered;
  Registry.onAnswerWritten(Endpoint, Bytes);
}

void CallerServerCore::reportUnwrittenAnswer(const PendingRequest &Request) {
  if (OnEvent)
    OnEvent({EventId::AnswerNotWritten, {{"request", Request.Id}}});
}

void CallerServerCore::reportRefusal(ResultCode Reason) {
  if (!OnEvent)
    return;
  OnEvent(
      {EventId::CallRefused, {{"reason", std::string(resultName(Reason))}}});
  if (Reason == ResultCode::RequestTooSlow ||
      Reason == ResultCode::RequestTimeout)
    OnEvent({EventId::ClientTooSlow, {{"direction", "sending"}}});
}

void CallerServerCore::reportClosing(ClosingReason Reason) {
  if (!OnEvent)
    return;
  if (Reason == ClosingReason::Rate)
    OnEvent({EventId::ClientTooSlow, {{"direction", "reading"}}});
  else
    OnEvent({EventId::ClientClosed,
             {{"reason", std::string(closingReasonName(Reason))}}});
}

CallerServerStatus CallerServerCore::status() const {
  return {Registry.connectionCount(), Registry.heldBytes(),
          Options.MaxClientBytes, Registry.closedCount(), Registry.slowCount()};
}

RequestLimits CallerServerCore::configuredLimits() const {
  return {Options.MaxHeaderBytes, maxFields(Options.MaxHeaderBytes),
          Options.MaxBodyBytes,   Options.ReadTimeout,
          Options.ReadTimeout,    Options.Transfers};
}

void CallerServerCore::setLimits(
    const std::optional<CallerLimits> &DeclaredLimits) {
  RequestLimits Limits = configuredLimits();
  if (DeclaredLimits) {
    Limits.MaxHeaderBytes =
        std::min(Limits.MaxHeaderBytes, DeclaredLimits->MaxHeaderBytes);
    Limits.MaxHeaderFields = maxFields(Limits.MaxHeaderBytes);
    Limits.MaxBodyBytes =
        std::min(Limits.MaxBodyBytes, DeclaredLimits->MaxBodyBytes);
    Limits.HeaderTimeout =
        shorterTime(DeclaredLimits->HeaderTimeout, Options.ReadTimeout);
    Limits.IdleTimeout =
        shorterTime(DeclaredLimits->IdleTimeout, Options.ReadTimeout);
  }
  asio::post(Context, [this, Limits] { Registry.setLimits(Limits); });
}

void CallerServerCore::scheduleOverdueCheck() {
  OverdueTimer.expires_after(toMilliseconds(OverdueCheckInterval));
  OverdueTimer.async_wait([this](const std::error_code &Error) {
    // An expired timer cannot be cancelled any more.
    if (Error || Stopping)
      return;
    Registry.closeOverdue();
    scheduleOverdueCheck();
  });
}

std::size_t CallerServerCore::unansweredCount() const {
  if (!Draining)
    return Unanswered;
  return std::max(Unanswered.load(), OpenConnections.load()) +
         Registry.lingeringCount() + (InGracePeriod ? 1 : 0);
}

void CallerServerCore::stopAccepting() {
  InGracePeriod = true;
  Draining = true;
  asio::post(Context, [this] {
    closeAcceptor();
    closeIdleAfterGrace();
  });
}

void CallerServerCore::closeAcceptor() {
  if (!Http)
    return;
  // Closes only the listening socket; connections stay open.
  Http->close_sync();
}

void CallerServerCore::closeIdleAfterGrace() {
  GraceTimer.expires_after(toMilliseconds(Options.DrainGrace));
  GraceTimer.async_wait([this](const std::error_code &Error) {
    if (Error || Stopping)
      return;
    Registry.closeIdle();
    InGracePeriod = false;
    // A connection that is in use now may be idle at the next check.
    if (OpenConnections > 0)
      closeIdleAfterGrace();
  });
}

void CallerServerCore::stop() {
  if (!Thread.joinable())
    return;
  asio::post(Context, [this] {
    Stopping = true;
    closeAcceptor();
    GraceTimer.cancel();
    OverdueTimer.cancel();
    // First, so that no connection waits for the memory of the requests.
    Registry.closeAll();
    PendingRequests.clear();
    OpenRequests.clear();
    Unanswered = 0;
    OpenConnections = 0;
    InGracePeriod = false;
    WorkGuard.reset();
  });
  // The thread exits after the last handler of a closed connection has run.
  Thread.join();
}

} // namespace fescuewood
