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

/// Maximum number of concurrent requests per connection. Below this limit the
/// server keeps reading, which is how it detects a disconnected caller.
constexpr std::size_t MaxPipelinedRequests = 32;

/// Longer than any call: the mesh enforces call deadlines, not RESTinio.
constexpr std::chrono::hours HandlingTimeout{24};

/// Interval of the timeout check; the timeouts last several seconds.
constexpr DurationMs OverduePeriod{250};

std::chrono::milliseconds chronoSpan(DurationMs Span) {
  return std::chrono::milliseconds(Span.Value);
}

std::optional<DurationMs> limitOf(DurationMs Span) {
  return Span > DurationMs(0) ? std::optional(Span) : std::nullopt;
}

CallerRequest convert(std::uint64_t Number, const HeaderScheme &Scheme,
                      const restinio::request_handle_t &Handle) {
  CallerRequest Request;
  Request.Number = Number;
  Request.Method = Handle->header().method().c_str();
  Request.Target = Handle->header().request_target();
  Request.Body = Handle->body();
  Handle->header().for_each_field([&](const auto &Field) {
    Request.Headers.push_back({Field.name(), Field.value()});
  });
  removeHopFields(Request.Headers);
  if (const auto Remaining = numberField(Request.Headers, Scheme.TimeLeft)) {
    constexpr std::uint64_t MaxRemainingMs = 24ULL * 60 * 60 * 1000;
    Request.Remaining = DurationMs(
        static_cast<std::int64_t>(std::min(*Remaining, MaxRemainingMs)));
  }
  constexpr std::uint64_t MaxDepth = std::numeric_limits<std::uint8_t>::max();
  Request.Depth = static_cast<std::uint8_t>(std::min(
      numberField(Request.Headers, Scheme.Depth).value_or(0), MaxDepth));
  removeField(Request.Headers, Scheme.TimeLeft);
  removeField(Request.Headers, Scheme.Depth);
  return Request;
}

/// The request ID given by the caller, or an empty string.
std::string idOf(const CallerRequest &Request, const HeaderScheme &Scheme) {
  const std::string *Id = findField(Request.Headers, Scheme.RequestId);
  return Id ? *Id : "";
}

/// Whether HTTP allows a body in this answer (RFC 9110, section 6.4.1).
bool hasContent(const std::string &Method, int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Method != "HEAD" && Status != NoContent && Status != NotModified;
}

/// `Content-Length` of an answer without a body, such as one to `HEAD`: the
/// length stated by the target, else that of the body.
std::size_t namedLength(const CallAnswer &Answer) {
  return numberField(Answer.Headers, "Content-Length")
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
                                   CallerHook OnRequest, GoneHook OnGone,
                                   EventHook OnEvent)
    : Options(std::move(Options)), OnRequest(std::move(OnRequest)),
      OnGone(std::move(OnGone)), OnEvent(std::move(OnEvent)) {}

CallerServerCore::~CallerServerCore() { stop(); }

bool CallerServerCore::start() {
  std::error_code Error;
  const auto Address = asio::ip::make_address(Options.Address, Error);
  if (Error) {
    LastReason = ResultCode::AddressInvalid;
    return false;
  }
  asio::use_service<ConnectionRegistry>(Context).configure(
      ownLimits(), Options.MaxHeldBytes,
      [this](const asio::ip::tcp::endpoint &Caller) { return busy(Caller); },
      [this](ResultCode Reason) { reportRefusal(Reason); });
  try {
    Http = std::make_unique<Server>(restinio::external_io_context(Context),
                                    settings(Address));
    Http->open_sync();
  } catch (const std::system_error &Failure) {
    const bool Busy = Failure.code() == asio::error::address_in_use;
    LastReason = Busy ? ResultCode::AddressBusy : ResultCode::AddressInvalid;
    Http.reset();
    return false;
  }
  Work.emplace(Context.get_executor());
  endOverdueLater();
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
      .max_parallel_connections(Options.MaxConnections)
      .read_next_http_message_timelimit(chronoSpan(Options.ReadTimeout))
      .write_http_response_timelimit(chronoSpan(Options.WriteTimeout))
      .handle_request_timeout(HandlingTimeout)
      .connection_state_listener(std::make_shared<ConnectionListener>(*this))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
        Port = Acceptor.local_endpoint().port();
      })
      .socket_options_setter([](auto &SocketOptions) {
        SocketOptions.set_option(asio::ip::tcp::no_delay(true));
      })
      .request_handler([this](const restinio::request_handle_t &Handle) {
        return take(Handle);
      });
  return Settings;
}

void CallerServerCore::runThread() {
  pthread_setname_np(pthread_self(), "callers");
  Context.run();
}

restinio::request_handling_status_t
CallerServerCore::take(const restinio::request_handle_t &Handle) {
  const std::uint64_t Number = ++LastNumber;
  CallerRequest Request = convert(Number, Options.Scheme, Handle);
  Pending[Number] = {
      Handle,         Handle->connection_id(),       Handle->remote_endpoint(),
      Request.Method, idOf(Request, Options.Scheme), Request.Body.size()};
  asio::use_service<ConnectionRegistry>(Context).bodies().add(
      Request.Body.size());
  ++Unanswered;
  OnRequest(std::move(Request), answerHook(Number));
  return restinio::request_accepted();
}

AnswerHook CallerServerCore::answerHook(std::uint64_t Number) {
  return [Weak = weak_from_this(), Number](CallAnswer Answer) {
    const auto Core = Weak.lock();
    if (!Core)
      return;
    asio::post(Core->Context,
               [Weak, Number, Answer = std::move(Answer)]() mutable {
                 if (const auto Owner = Weak.lock())
                   Owner->answer(Number, std::move(Answer));
               });
  };
}

void CallerServerCore::answer(std::uint64_t Number, CallAnswer Answer) {
  auto Position = Pending.find(Number);
  if (Position == Pending.end() || !Position->second.Handle)
    return;
  PendingRequest &Request = Position->second;
  const auto Handle = std::move(Request.Handle);
  Request.Handle = nullptr;
  releaseBody(Request);
  auto Response = Handle->create_response<restinio::user_controlled_output_t>(
      restinio::http_status_line_t(
          restinio::http_status_code_t(
              static_cast<std::uint16_t>(Answer.Status)),
          reasonPhrase(Answer.Status)));
  const std::size_t Length = namedLength(Answer);
  removeHopFields(Answer.Headers);
  for (Header &Field : Answer.Headers)
    Response.append_header(restinio::http_header_field_t(
        std::move(Field.Name), std::move(Field.Value)));
  if (hasContent(Request.Method, Answer.Status)) {
    Response.set_content_length(Answer.Body.size());
    Response.set_body(std::move(Answer.Body));
  } else {
    Response.set_content_length(Length);
  }
  if (Draining && lastOfConnection(Number))
    Response.connection_close();
  Response.done([this, Number](const auto &) { forget(Number); });
}

bool CallerServerCore::lastOfConnection(std::uint64_t Number) const {
  const auto Connection = Pending.at(Number).Connection;
  return std::none_of(
      Pending.upper_bound(Number), Pending.end(),
      [&](const auto &Entry) { return Entry.second.Connection == Connection; });
}

void CallerServerCore::connectionOpened(restinio::connection_id_t Connection) {
  Open.insert(Connection);
  OpenConnections = Open.size();
}

void CallerServerCore::connectionClosed(restinio::connection_id_t Connection) {
  // RESTinio may report the closing of a connection twice.
  Open.erase(Connection);
  OpenConnections = Open.size();
  std::vector<std::uint64_t> Gone;
  for (const auto &[Number, Request] : Pending)
    if (Request.Connection == Connection)
      Gone.push_back(Number);
  for (std::uint64_t Number : Gone) {
    const bool Answered = !Pending.at(Number).Handle;
    if (Answered)
      reportUnwritten(Pending.at(Number));
    forget(Number);
    if (!Answered && OnGone)
      OnGone(Number);
  }
}

bool CallerServerCore::busy(const asio::ip::tcp::endpoint &Caller) const {
  return std::any_of(Pending.begin(), Pending.end(), [&](const auto &Entry) {
    return Entry.second.Caller == Caller;
  });
}

void CallerServerCore::releaseBody(PendingRequest &Request) {
  asio::use_service<ConnectionRegistry>(Context).bodies().release(
      std::exchange(Request.BodyBytes, 0));
}

void CallerServerCore::forget(std::uint64_t Number) {
  const auto Position = Pending.find(Number);
  if (Position == Pending.end())
    return;
  releaseBody(Position->second);
  const auto Caller = Position->second.Caller;
  Pending.erase(Position);
  --Unanswered;
  asio::use_service<ConnectionRegistry>(Context).answerWritten(Caller);
}

void CallerServerCore::reportUnwritten(const PendingRequest &Request) {
  if (OnEvent)
    OnEvent({EventId::AnswerNotWritten, {{"request", Request.Id}}});
}

void CallerServerCore::reportRefusal(ResultCode Reason) {
  if (OnEvent)
    OnEvent(
        {EventId::CallRefused, {{"reason", std::string(resultName(Reason))}}});
}

RequestLimits CallerServerCore::ownLimits() const {
  return {Options.MaxHeaderBytes, Options.MaxHeaderFields,
          Options.MaxBodyBytes};
}

void CallerServerCore::setLimits(const std::optional<CallerLimits> &Declared) {
  RequestLimits Limits = ownLimits();
  if (Declared) {
    Limits.MaxHeaderBytes =
        std::min(Limits.MaxHeaderBytes, Declared->MaxHeaderBytes);
    Limits.MaxBodyBytes = std::min(Limits.MaxBodyBytes, Declared->MaxBodyBytes);
    Limits.HeaderTimeout = limitOf(Declared->HeaderTimeout);
    Limits.IdleTimeout = limitOf(Declared->IdleTimeout);
  }
  asio::post(Context, [this, Limits] {
    asio::use_service<ConnectionRegistry>(Context).setLimits(Limits);
  });
}

void CallerServerCore::endOverdueLater() {
  OverdueTimer.expires_after(chronoSpan(OverduePeriod));
  OverdueTimer.async_wait([this](const std::error_code &Error) {
    if (Error)
      return;
    asio::use_service<ConnectionRegistry>(Context).endOverdue();
    endOverdueLater();
  });
}

std::size_t CallerServerCore::unanswered() const {
  if (!Draining)
    return Unanswered;
  return std::max(Unanswered.load(), OpenConnections.load()) +
         (InGrace ? 1 : 0);
}

void CallerServerCore::stopAccepting() {
  InGrace = true;
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
  GraceTimer.expires_after(chronoSpan(Options.DrainGrace));
  GraceTimer.async_wait([this](const std::error_code &Error) {
    if (Error)
      return;
    asio::use_service<ConnectionRegistry>(Context).closeIdle();
    InGrace = false;
    // A connection that is in use now may be idle at the next check.
    if (OpenConnections > 0)
      closeIdleAfterGrace();
  });
}

void CallerServerCore::stop() {
  if (!Thread.joinable())
    return;
  asio::post(Context, [this] {
    closeAcceptor();
    GraceTimer.cancel();
    OverdueTimer.cancel();
    Pending.clear();
    Open.clear();
    Unanswered = 0;
    OpenConnections = 0;
    InGrace = false;
    asio::use_service<ConnectionRegistry>(Context).closeAll();
    Work.reset();
  });
  // The thread exits after the last handler of a closed connection has run.
  Thread.join();
}

} // namespace fescuewood
