#include "soak/Connection.h"

#include "soak/PlatformWords.h"

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

/// How much longer than its time a caller waits for an answer.
constexpr DurationMs Patience{500};

std::string lowerCase(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

std::string requestText(const Send &S, DurationMs TimeLeft) {
  std::string Text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: shop.example\r\n{}: {}\r\n{}: {}\r\n", S.Method,
      S.Path, platform::RequestId, S.Id, platform::TimeLeft, TimeLeft.Value);
  if (!S.Key.empty())
    Text += fmt::format("Authorization: {}{}\r\n", platform::KeyScheme, S.Key);
  return Text + fmt::format("Content-Length: {}\r\n\r\n{}",
                            S.RequestBody.size(), S.RequestBody);
}

} // namespace

asio::awaitable<void> Connection::exchange(Send &S, DurationMs TimeLeft) {
  const Clock Time = Clock::monotonic();
  S.Stray = takeStray();
  S.SentMs = Time.now().Value;
  try {
    co_await tryExchange(S, TimeLeft);
  } catch (const std::exception &) {
    // Status 0 tells that the connection ended first.
    close();
  }
  S.EndMs = Time.now().Value;
}

asio::awaitable<void> Connection::tryExchange(Send &S, DurationMs TimeLeft) {
  const auto Executor = co_await asio::this_coro::executor;
  const bool IsNew = !Socket;
  if (IsNew)
    Socket = std::make_shared<standins::Tcp::socket>(Executor);
  asio::steady_timer Limit(
      Executor, std::chrono::milliseconds((TimeLeft + Patience).Value));
  Limit.async_wait([Limited = Socket](const std::error_code &Error) {
    std::error_code Ignored;
    if (!Error)
      Limited->close(Ignored);
  });
  if (IsNew) {
    co_await Socket->async_connect(standins::endpointOf(Address),
                                   asio::use_awaitable);
    Socket->set_option(standins::Tcp::no_delay(true));
  }
  S.SentMs = Clock::monotonic().now().Value;
  co_await standins::send(*Socket, requestText(S, TimeLeft));
  const auto Answer = co_await standins::readMessage(*Socket, Buffer);
  if (!Answer.StartLine.starts_with("HTTP/1.1 ")) {
    S.Stray += Answer.StartLine;
    close();
    co_return;
  }
  S.Status = Answer.status();
  S.AnsweredId = Answer.field(lowerCase(platform::RequestId));
  S.Signature = Answer.field(lowerCase(platform::Signature));
  S.Body = Answer.Body;
  if (lowerCase(Answer.field("connection")) == "close")
    close();
}

std::string Connection::takeStray() {
  if (!Socket)
    return "";
  std::error_code Error;
  std::string Stray = std::move(Buffer);
  Buffer.clear();
  if (const std::size_t Count = Socket->available(Error); Count > 0) {
    std::string Bytes(Count, '\0');
    Bytes.resize(Socket->read_some(asio::buffer(Bytes), Error));
    Stray += Bytes;
  }
  // An idle connection may end with a timeout that answers no request.
  const bool IsIdleTimeout = Stray.starts_with("HTTP/1.1 408 ");
  if (!Stray.empty())
    close();
  return IsIdleTimeout ? "" : Stray;
}

void Connection::close() {
  std::error_code Ignored;
  if (Socket)
    Socket->close(Ignored);
  Socket.reset();
  Buffer.clear();
}

} // namespace fescuewood::soak
