#include "targets/FakeEndlessTarget.h"

#include <string_view>
#include <utility>

namespace fescuewood {

namespace {

/// Limit on the bytes of one target, so that a client which reads on cannot
/// load the machine for long.
constexpr std::size_t MaxSentBytes = 256 * 1024 * 1024;

/// Repetitions are joined to writes of about this size.
constexpr std::size_t WriteBytes = 32 * 1024;

constexpr std::chrono::milliseconds PollInterval{2};

constexpr std::string_view GoodAnswer =
    "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n"
    "Content-Length: 4\r\n\r\ngood";

} // namespace

FakeEndlessTarget::FakeEndlessTarget(EndlessBytes Bytes)
    : Bytes(std::move(Bytes)),
      Acceptor(Context, Tcp::endpoint(asio::ip::make_address("127.30.0.3"), 0)),
      Thread([this] { accept(); }) {}

FakeEndlessTarget::~FakeEndlessTarget() {
  Stopping = true;
  Thread.join();
  for (std::thread &Server : Servers)
    Server.join();
}

std::string FakeEndlessTarget::address() const {
  return "127.30.0.3:" + std::to_string(Acceptor.local_endpoint().port());
}

bool FakeEndlessTarget::awaitClosed(std::chrono::milliseconds Timeout) const {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (OpenEndless > 0) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

void FakeEndlessTarget::accept() {
  Acceptor.non_blocking(true);
  while (!Stopping) {
    std::error_code Error;
    Tcp::socket Client(Context);
    Acceptor.accept(Client, Error);
    if (Error)
      std::this_thread::sleep_for(PollInterval);
    else
      Servers.emplace_back([this, Socket = std::move(Client)]() mutable {
        serve(std::move(Socket));
      });
  }
}

void FakeEndlessTarget::serve(Tcp::socket Client) {
  Client.non_blocking(true);
  std::string Request;
  while (!Stopping) {
    char Buffer[4096];
    std::error_code Error;
    const std::size_t Size = Client.read_some(asio::buffer(Buffer), Error);
    if (Error == asio::error::would_block) {
      std::this_thread::sleep_for(PollInterval);
      continue;
    }
    if (Error)
      return;
    Request.append(Buffer, Size);
    if (!Request.ends_with("\r\n\r\n"))
      continue;
    if (Request.starts_with("GET /endless "))
      return sendEndlessly(Client);
    asio::write(Client, asio::buffer(GoodAnswer), Error);
    Request.clear();
  }
}

void FakeEndlessTarget::sendEndlessly(Tcp::socket &Client) {
  ++OpenEndless;
  std::error_code Error;
  asio::write(Client, asio::buffer(Bytes.Start), Error);
  std::string Block = Bytes.Repeat;
  while (Bytes.Pause.count() == 0 && Block.size() < WriteBytes)
    Block += Bytes.Repeat;
  std::size_t Offset = 0;
  while (!Stopping && SentBytes < MaxSentBytes) {
    std::this_thread::sleep_for(Bytes.Pause);
    const std::size_t Size = Client.write_some(
        asio::buffer(Block.data() + Offset, Block.size() - Offset), Error);
    if (Error && Error != asio::error::would_block)
      break;
    SentBytes += Size;
    Offset = (Offset + Size) % Block.size();
    if (Error)
      std::this_thread::sleep_for(PollInterval);
  }
  // At the limit the connection stays open until the client closes it.
  while (!Stopping) {
    char Byte = 0;
    Client.read_some(asio::buffer(&Byte, 1), Error);
    if (Error && Error != asio::error::would_block)
      break;
    std::this_thread::sleep_for(PollInterval);
  }
  --OpenEndless;
}

} // namespace fescuewood
