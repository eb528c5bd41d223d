/// \file
/// Minimal HTTP/1.1 for the stand-ins: reads and writes one message at a time
/// on an asio socket, in coroutines. Supports neither chunked bodies nor folded
/// header lines.

#ifndef FESCUEWOOD_TESTS_STANDINS_HTTP_H
#define FESCUEWOOD_TESTS_STANDINS_HTTP_H

#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <asio.hpp>

namespace standins {

using Tcp = asio::ip::tcp;

/// Header field that identifies a request; the target repeats it in the
/// response.
inline constexpr const char *MarkField = "X-Request-Mark";

/// A request or a response.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string, std::less<>> Fields; ///< Lower-case names.
  std::string Body;

  std::string field(std::string_view Name) const {
    const auto Position = Fields.find(Name);
    return Position == Fields.end() ? "" : Position->second;
  }

  /// The word of the start line with the zero-based index \p N: for example 1
  /// for the path of a request or the status of a response.
  std::string word(std::size_t N) const {
    std::istringstream Words(StartLine);
    std::string Word;
    for (std::size_t I = 0; I <= N; ++I)
      Words >> Word;
    return Word;
  }

  int status() const { return std::atoi(word(1).c_str()); }
};

inline Message parseHead(const std::string &Head) {
  Message Result;
  std::istringstream Lines(Head);
  std::string Line;
  std::getline(Lines, Result.StartLine);
  while (std::getline(Lines, Line) && Line.size() > 1) {
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    std::string Value = Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
      Value.pop_back();
    Result.Fields[Name] = Value;
  }
  return Result;
}

/// Reads one message; \p Buffer keeps the bytes that follow it. Throws
/// asio::system_error when the connection ends first.
inline asio::awaitable<Message> readMessage(Tcp::socket &Socket,
                                            std::string &Buffer) {
  const std::size_t HeadSize = co_await asio::async_read_until(
      Socket, asio::dynamic_buffer(Buffer), "\r\n\r\n", asio::use_awaitable);
  Message Result = parseHead(Buffer.substr(0, HeadSize));
  Buffer.erase(0, HeadSize);
  const std::size_t Size =
      std::strtoull(Result.field("content-length").c_str(), nullptr, 10);
  if (Buffer.size() < Size) {
    co_await asio::async_read(Socket, asio::dynamic_buffer(Buffer),
                              asio::transfer_exactly(Size - Buffer.size()),
                              asio::use_awaitable);
  }
  Result.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  co_return Result;
}

/// Serializes a response. \p Fields holds header lines, each ending in CRLF.
inline std::string responseText(int Status, const std::string &Fields,
                                const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Serializes a request. \p Fields holds header lines, each ending in CRLF.
inline std::string requestText(const std::string &Method,
                               const std::string &Target,
                               const std::string &Fields,
                               const std::string &Body) {
  return Method + " " + Target + " HTTP/1.1\r\nHost: mesh\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline asio::awaitable<void> send(Tcp::socket &Socket, std::string Text) {
  co_await asio::async_write(Socket, asio::buffer(Text), asio::use_awaitable);
}

/// Parses "IP:port"; throws when malformed.
inline Tcp::endpoint endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return {asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)))};
}

/// Name and value of each parameter in a query, in order.
using QueryParameters = std::vector<std::pair<std::string, std::string>>;

/// Returns the parameters in the query of a request target, such as
/// "?a=1&b=2". The values are not percent-decoded.
inline QueryParameters queryParameters(const std::string &Target) {
  const std::size_t Start = Target.find('?');
  std::istringstream Pairs(
      Start == std::string::npos ? "" : Target.substr(Start + 1));
  QueryParameters Parameters;
  std::string Pair;
  while (std::getline(Pairs, Pair, '&')) {
    const std::size_t Equals = Pair.find('=');
    Parameters.emplace_back(
        Pair.substr(0, Equals),
        Equals == std::string::npos ? "" : Pair.substr(Equals + 1));
  }
  return Parameters;
}

/// Returns the value of the parameter \p Name in the query of a request target.
inline std::optional<std::string> queryValue(const std::string &Target,
                                             const std::string &Name) {
  for (auto &[Given, Value] : queryParameters(Target))
    if (Given == Name)
      return Value;
  return std::nullopt;
}

inline asio::awaitable<void> sleepFor(std::chrono::milliseconds Duration) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Duration);
  co_await Timer.async_wait(asio::use_awaitable);
}

/// Serves a control port: calls \p Control with the target of each request and
/// responds with the returned text, or with status 400 and the reason when
/// \p Control throws std::invalid_argument.
inline asio::awaitable<void>
serveControl(Tcp::acceptor &Acceptor,
             std::function<std::string(const std::string &Target)> Control) {
  for (;;) {
    Tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    try {
      std::string Buffer;
      const Message Request = co_await readMessage(Socket, Buffer);
      int Status = 200;
      std::string Body;
      try {
        Body = Control(Request.word(1));
      } catch (const std::invalid_argument &Error) {
        Status = 400;
        Body = Error.what();
      }
      co_await send(Socket,
                    responseText(Status, "Connection: close\r\n", Body));
    } catch (const std::exception &) {
      // An error on one connection does not affect the next one.
    }
  }
}

/// Sends the request \p Text on a new connection and blocks until the response
/// has been read; throws on failure and after \p Limit.
inline Message ask(const std::string &Address, const std::string &Text,
                   std::chrono::seconds Limit = std::chrono::seconds(30)) {
  asio::io_context Context;
  Tcp::socket Socket(Context);
  std::string Buffer;
  std::optional<Message> Answer;
  std::exception_ptr Failure;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        co_await Socket.async_connect(endpointOf(Address), asio::use_awaitable);
        co_await asio::async_write(Socket, asio::buffer(Text),
                                   asio::use_awaitable);
        Answer = co_await readMessage(Socket, Buffer);
      },
      [&](const std::exception_ptr &Error) { Failure = Error; });
  Context.run_for(Limit);
  if (Failure)
    std::rethrow_exception(Failure);
  if (!Answer)
    throw std::runtime_error("no response in time");
  return *Answer;
}

/// Sends a command to a control port and returns the body of the response;
/// throws on failure and when the status is not 200.
inline std::string control(const std::string &Address,
                           const std::string &Target) {
  const Message Answer = ask(Address, requestText("GET", Target, "", ""));
  if (Answer.status() != 200)
    throw std::runtime_error(Target + ": " + Answer.StartLine + ": " +
                             Answer.Body);
  return Answer.Body;
}

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_HTTP_H
