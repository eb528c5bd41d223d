#include "callers/LingeringSockets.h"

#include <array>
#include <chrono>
#include <system_error>
#include <utility>

namespace fescuewood {

namespace {

/// Time for a caller to read the answer and close the connection.
constexpr std::chrono::milliseconds LingerTime{1000};

} // namespace

/// A socket with the timer that limits its time. Pending operations share it.
struct LingeringSockets::Entry {
  explicit Entry(asio::ip::tcp::socket Moved)
      : Socket(std::move(Moved)), Timer(Socket.get_executor()) {}

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  std::size_t DiscardedBytes = 0;
  std::array<char, 4096> Buffer{};
};

void LingeringSockets::add(asio::ip::tcp::socket Socket) {
  const auto Item = std::make_shared<Entry>(std::move(Socket));
  std::error_code Ignored;
  Item->Socket.shutdown(asio::socket_base::shutdown_send, Ignored);
  Entries.push_back(Item);
  Count = Entries.size();
  Item->Timer.expires_after(LingerTime);
  Item->Timer.async_wait([this, Item](const std::error_code &Error) {
    if (!Error)
      close(Item);
  });
  discard(Item);
}

void LingeringSockets::discard(const EntryPtr &Item) {
  Item->Socket.async_read_some(
      asio::buffer(Item->Buffer),
      [this, Item](const std::error_code &Error, std::size_t Size) {
        Item->DiscardedBytes += Size;
        if (Error || Item->DiscardedBytes > MaxDiscardedBytes)
          close(Item);
        else
          discard(Item);
      });
}

void LingeringSockets::close(const EntryPtr &Item) {
  std::error_code Ignored;
  Item->Socket.close(Ignored);
  Item->Timer.cancel();
  std::erase(Entries, Item);
  Count = Entries.size();
}

void LingeringSockets::closeOldest() {
  if (!Entries.empty())
    close(Entries.front());
}

void LingeringSockets::closeAll() {
  while (!Entries.empty())
    closeOldest();
}

} // namespace fescuewood
