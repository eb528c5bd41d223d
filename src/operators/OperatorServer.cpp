#include "operators/OperatorServer.h"

#include "callers/GuardedTraits.h"

#include <string_view>
#include <system_error>
#include <thread>

#include <restinio/all.hpp>

namespace fescuewood {

namespace {

using Server = restinio::http_server_t<GuardedTraits>;
using RequestHandle = restinio::request_handle_t;

constexpr auto ReadTimeout = std::chrono::seconds(10);
constexpr auto WriteTimeout = std::chrono::seconds(10);

/// Enough for the operators' tools and for all load balancers that check
/// readiness. When all are in use, the one idle for longest is closed.
constexpr std::size_t MaxConnections = 16;

/// Each connection may hold a request of the largest size; pages are written
/// from memory that is not accounted for.
constexpr std::size_t MaxClientBytes = 2 * MaxConnections * ConnectionBytes;

/// Requests for pages have short heads and no body.
constexpr std::size_t MaxHeaderBytes = 8 * 1024;
constexpr std::size_t MaxHeaderFields = 64;
constexpr std::size_t MaxBodyBytes = 0;

/// Shorter than the idle timeout, since a check of readiness is sent at once.
constexpr DurationMs HeaderTimeout{3000};
constexpr DurationMs IdleTimeout{10'000};

/// A request for a page arrives whole, so that a gap means a stalled client.
constexpr DurationMs StallTime{250};

constexpr auto OverdueCheckInterval = std::chrono::milliseconds(250);
constexpr int MethodNotAllowed = 405;
constexpr int NotFound = 404;
constexpr int BadRequest = 400;
constexpr int ServerError = 500;

Page errorPage(int Status, std::string_view Message) {
  return {Status, "text/plain", std::string(Message) + "\n"};
}

PageQuery parseQuery(std::string_view Text) {
  PageQuery Result;
  const auto Parsed =
      restinio::parse_query(restinio::string_view_t(Text.data(), Text.size()));
  for (const auto &Item : Parsed)
    Result.emplace(std::string(Item.first), std::string(Item.second));
  return Result;
}

Page makePage(const Pages &PagesByPath,
              const restinio::http_request_header_t &Header) {
  if (Header.method() != restinio::http_method_get())
    return errorPage(MethodNotAllowed, "the operator port only answers GET");
  const auto Found = PagesByPath.find(std::string_view(Header.path()));
  if (Found == PagesByPath.end())
    return errorPage(NotFound, "no such page");
  PageQuery Query;
  try {
    Query = parseQuery(Header.query());
  } catch (const std::exception &) {
    return errorPage(BadRequest, "the query cannot be decoded");
  }
  try {
    return Found->second(Query);
  } catch (const std::exception &Error) {
    return errorPage(ServerError, Error.what());
  }
}

restinio::request_handling_status_t serve(const Pages &PagesByPath,
                                          const RequestHandle &Request) {
  Page Response = makePage(PagesByPath, Request->header());
  const auto Status =
      restinio::http_status_code_t(static_cast<std::uint16_t>(Response.Status));
  return Request
      ->create_response(restinio::http_status_line_t(
          Status, Response.Status < BadRequest ? "OK" : "Error"))
      .append_header(restinio::http_field::content_type, Response.ContentType)
      .append_header(restinio::http_field::cache_control, "no-store")
      .set_body(std::move(Response.Body))
      .done();
}

} // namespace

/// A RESTinio server and its thread.
class OperatorServer::Impl {
public:
  Impl(const Endpoint &Listen, Pages PagesByPath)
      : PagesByPath(std::move(PagesByPath)),
        Http(restinio::external_io_context(Io),
             [&](auto &Settings) {
               Settings.address(Listen.Ip)
                   .port(Listen.Port)
                   .max_parallel_connections(MaxConnections +
                                             spareConnections(MaxConnections))
                   .concurrent_accepts_count(spareConnections(MaxConnections))
                   .read_next_http_message_timelimit(ReadTimeout)
                   .write_http_response_timelimit(WriteTimeout)
                   .request_handler([this](const RequestHandle &Request) {
                     return serve(this->PagesByPath, Request);
                   });
             }),
        Registry(asio::use_service<ConnectionRegistry>(Io)) {
    const RequestLimits Requests{MaxHeaderBytes, MaxHeaderFields, MaxBodyBytes,
                                 HeaderTimeout, IdleTimeout};
    Registry.configure(
        {Requests, 0, {MaxClientBytes, MaxConnections, StallTime}}, {});
  }

  ~Impl() { stop(); }

  bool start() {
    try {
      Http.open_sync();
    } catch (const std::exception &) {
      return false;
    }
    scheduleOverdueCheck();
    Thread = std::thread([this] { Io.run(); });
    return true;
  }

  void stop() {
    if (!Thread.joinable())
      return;
    asio::post(Io, [this] {
      Http.close_sync();
      Io.stop();
    });
    Thread.join();
  }

private:
  void scheduleOverdueCheck() {
    OverdueTimer.expires_after(OverdueCheckInterval);
    OverdueTimer.async_wait([this](const std::error_code &Error) {
      if (Error)
        return;
      Registry.closeOverdue();
      scheduleOverdueCheck();
    });
  }

  Pages PagesByPath;
  asio::io_context Io{1};
  Server Http;
  ConnectionRegistry &Registry;
  asio::steady_timer OverdueTimer{Io};
  std::thread Thread;
};

OperatorServer::OperatorServer(const Endpoint &Listen, Pages PagesByPath)
    : State(std::make_unique<Impl>(Listen, std::move(PagesByPath))) {}

OperatorServer::~OperatorServer() = default;

bool OperatorServer::start() {
  if (State->start())
    return true;
  LastReason = ResultCode::OperatorAddressBusy;
  return false;
}

void OperatorServer::stop() { State->stop(); }

} // namespace fescuewood
